// Implementation of the TLS context by OpenSSL.
#include "snipewalk/connection/tls_context.h"

#include "connection/tls_pem.h"
#include "snipewalk/base/hmac.h"

#include <absl/strings/str_cat.h>

#include <openssl/err.h>

#include <array>
#include <chrono>
#include <ctime>
#include <utility>

namespace snipewalk {

namespace {

// Forward secrecy and authenticated encryption only.
constexpr const char* kCiphersOfTls12 = "ECDHE+AESGCM:ECDHE+CHACHA20";
// A chain of client certificates above this is refused; OpenSSL's own limit of
// 100 KB would let handshakes take more memory than requests.
constexpr long kCertificateChainLimitBytes = 32 * 1024;
constexpr int kCertificateChainLimit = 4;
constexpr std::string_view kSessionContext = "snipewalk callers";

// Lets the handshake of a certificate fail that names no client account.
int
VerifyClient(int aVerified, X509_STORE_CTX* aStore)
{
  if (aVerified == 1 && X509_STORE_CTX_get_error_depth(aStore) == 0 &&
      AccountOf(X509_STORE_CTX_get_current_cert(aStore)).empty()) {
    X509_STORE_CTX_set_error(aStore, X509_V_ERR_APPLICATION_VERIFICATION);
    return 0;
  }
  return aVerified;
}

// A resumed session does not verify the certificate again, so one that expired
// since the ticket was made leads to a whole handshake, which refuses it.
SSL_TICKET_RETURN
AcceptTicket(SSL*,
             SSL_SESSION* aSession,
             const unsigned char*,
             std::size_t,
             SSL_TICKET_STATUS aStatus,
             void*)
{
  if (aStatus != SSL_TICKET_SUCCESS && aStatus != SSL_TICKET_SUCCESS_RENEW) {
    return SSL_TICKET_RETURN_IGNORE_RENEW;
  }
  const X509* certificate = SSL_SESSION_get0_peer(aSession);
  if (!certificate ||
      X509_cmp_current_time(X509_get0_notAfter(certificate)) <= 0) {
    return SSL_TICKET_RETURN_IGNORE_RENEW;
  }
  return SSL_TICKET_RETURN_USE_RENEW;
}

bool
UseMaterial(SSL_CTX* aContext, const tls_material& aMaterial)
{
  const auto chain = ReadCertificates(aMaterial.mCertificate);
  const auto key = ReadPrivateKey(aMaterial.mKey);
  if (chain.empty() || !key ||
      SSL_CTX_use_certificate(aContext, chain.front().get()) != 1 ||
      SSL_CTX_use_PrivateKey(aContext, key.get()) != 1) {
    return false;
  }
  for (std::size_t i = 1; i < chain.size(); ++i) {
    if (SSL_CTX_add1_chain_cert(aContext, chain[i].get()) != 1) {
      return false;
    }
  }
  return true;
}

bool
UseAuthorities(SSL_CTX* aContext, const std::string& aText)
{
  const auto authorities = ReadCertificates(aText);
  X509_STORE* store = SSL_CTX_get_cert_store(aContext);
  for (const auto& authority : authorities) {
    if (X509_STORE_add_cert(store, authority.get()) != 1 ||
        SSL_CTX_add_client_CA(aContext, authority.get()) != 1) {
      return false;
    }
  }
  return !authorities.empty();
}

// Context with all that servers and clients have in common, or null.
openssl_ptr<SSL_CTX>
MakeContext(const SSL_METHOD* aMethod, const tls_material& aMaterial)
{
  openssl_ptr<SSL_CTX> context(SSL_CTX_new(aMethod));
  if (!context ||
      SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION) != 1 ||
      SSL_CTX_set_cipher_list(context.get(), kCiphersOfTls12) != 1 ||
      !UseMaterial(context.get(), aMaterial) ||
      !UseAuthorities(context.get(), aMaterial.mAuthorities)) {
    return nullptr;
  }
  SSL_CTX_set_options(context.get(),
                      SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION |
                        SSL_OP_CIPHER_SERVER_PREFERENCE);
  // Idle connections keep no record buffers.
  SSL_CTX_set_mode(context.get(), SSL_MODE_RELEASE_BUFFERS);
  SSL_CTX_set_max_cert_list(context.get(), kCertificateChainLimitBytes);
  SSL_CTX_set_verify_depth(context.get(), kCertificateChainLimit);
  return context;
}

// Bound to the authorities: a ticket must not outlive the authority that its
// client certificate was verified by.
bool
SetTicketKeys(SSL_CTX* aContext,
              std::string_view aSecret,
              const std::string& aAuthorities)
{
  if (aSecret.empty()) {
    // OpenSSL's random keys stay in force.
    return true;
  }
  std::string keys;
  const auto length = static_cast<std::size_t>(
    SSL_CTX_get_tlsext_ticket_keys(aContext, nullptr, 0));
  for (int i = 0; keys.size() < length; ++i) {
    keys += HmacSha256(
      aSecret, absl::StrCat("tls tickets of callers ", i, "\n", aAuthorities));
  }
  return SSL_CTX_set_tlsext_ticket_keys(aContext, keys.data(), length) == 1;
}

absl::Status
Failure(const char* aWhat)
{
  const char* reason = ERR_reason_error_string(ERR_peek_error());
  ERR_clear_error();
  return absl::InvalidArgumentError(
    absl::StrCat(aWhat, reason ? ": " : "", reason ? reason : ""));
}

std::string
TimeText(const ASN1_TIME* aTime)
{
  std::tm parts{};
  std::array<char, 32> text{};
  if (ASN1_TIME_to_tm(aTime, &parts) != 1 ||
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts) ==
        0) {
    return "an unknown time";
  }
  return text.data();
}

void
CheckValidity(const X509* aCertificate,
              std::time_t aNow,
              std::vector<tls_fault>& aFaults)
{
  const ASN1_TIME* begin = X509_get0_notBefore(aCertificate);
  const ASN1_TIME* end = X509_get0_notAfter(aCertificate);
  if (X509_cmp_time(end, &aNow) <= 0) {
    aFaults.push_back({ tls_part::Certificate,
                        "expired",
                        "the certificate expired at " + TimeText(end) });
  } else if (X509_cmp_time(begin, &aNow) > 0) {
    aFaults.push_back({ tls_part::Certificate,
                        "not_yet_valid",
                        "the certificate is valid from " + TimeText(begin) });
  }
}

} // namespace

std::vector<tls_fault>
CheckTlsMaterial(const tls_material& aMaterial, wall_time aNow)
{
  std::vector<tls_fault> faults;
  const auto chain = ReadCertificates(aMaterial.mCertificate);
  const auto key = ReadPrivateKey(aMaterial.mKey);
  if (chain.empty()) {
    faults.push_back({ tls_part::Certificate,
                       "bad_certificate",
                       "has no readable PEM certificate" });
  } else {
    CheckValidity(
      chain.front().get(), std::chrono::system_clock::to_time_t(aNow), faults);
  }
  if (!key) {
    faults.push_back({ tls_part::Key,
                       "bad_key",
                       "has no readable, unencrypted PEM private key" });
  } else if (!chain.empty() &&
             X509_check_private_key(chain.front().get(), key.get()) != 1) {
    faults.push_back(
      { tls_part::Key, "key_mismatch", "does not belong to the certificate" });
  }
  if (ReadCertificates(aMaterial.mAuthorities).empty()) {
    faults.push_back({ tls_part::Authorities,
                       "bad_authorities",
                       "has no readable PEM certificate" });
  }
  ERR_clear_error();
  return faults;
}

absl::StatusOr<wall_time>
TlsCertificateEnd(const std::string& aCertificate)
{
  const auto chain = ReadCertificates(aCertificate);
  std::tm parts{};
  if (chain.empty() ||
      ASN1_TIME_to_tm(X509_get0_notAfter(chain.front().get()), &parts) != 1) {
    return absl::InvalidArgumentError("no readable certificate");
  }
  return std::chrono::system_clock::from_time_t(timegm(&parts));
}

absl::StatusOr<std::shared_ptr<const tls_context>>
tls_context::Server(const tls_material& aMaterial,
                    std::string_view aTicketSecret)
{
  auto native = MakeContext(TLS_server_method(), aMaterial);
  if (!native) {
    return Failure("unusable certificate, key or authorities");
  }
  SSL_CTX* context = native.get();
  SSL_CTX_set_verify(
    context, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, VerifyClient);
  // Tickets keep the state with the client, also for other instances.
  SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
  SSL_CTX_set_timeout(context, kTlsTicketLifetime.count());
  SSL_CTX_set_num_tickets(context, 1);
  SSL_CTX_set_session_ticket_cb(context, nullptr, AcceptTicket, nullptr);
  const bool complete =
    SSL_CTX_set_session_id_context(
      context,
      reinterpret_cast<const unsigned char*>(kSessionContext.data()),
      static_cast<unsigned int>(kSessionContext.size())) == 1 &&
    SetTicketKeys(context, aTicketSecret, aMaterial.mAuthorities);
  if (!complete) {
    return Failure("cannot set up tickets");
  }
  return std::shared_ptr<const tls_context>(new tls_context(native.release()));
}

absl::StatusOr<std::shared_ptr<const tls_context>>
tls_context::Client(const tls_material& aMaterial)
{
  auto native = MakeContext(TLS_client_method(), aMaterial);
  if (!native) {
    return Failure("unusable certificate, key or authorities");
  }
  SSL_CTX_set_verify(native.get(), SSL_VERIFY_PEER, nullptr);
  return std::shared_ptr<const tls_context>(new tls_context(native.release()));
}

tls_context::~tls_context()
{
  SSL_CTX_free(mNative);
}

} // namespace snipewalk
