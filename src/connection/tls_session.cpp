// Implementation of the TLS session by OpenSSL with a transport of its own.
#include "snipewalk/connection/tls_session.h"

#include "connection/tls_pem.h"

#include <openssl/bio.h>
#include <openssl/err.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace snipewalk {

namespace {

// Largest plain text of a record (RFC 8446, section 5.1).
constexpr std::size_t kRecordBytes = 16 * 1024;

// Errors of this thread's earlier calls must not be taken for this one's.
void
ForgetErrors()
{
  ERR_clear_error();
}

} // namespace

// Transport of OpenSSL between the strings of one call. OpenSSL's memory BIOs
// would keep their buffers while a connection is idle.
struct tls_transport
{
  static int Write(BIO* aTransport, const char* aBytes, int aLength)
  {
    auto& exchange = Of(aTransport);
    if (exchange.mOutput) {
      exchange.mOutput->append(aBytes, static_cast<std::size_t>(aLength));
    }
    return aLength;
  }

  static int Read(BIO* aTransport, char* aBytes, int aLength)
  {
    auto& records = Of(aTransport).mRecords;
    BIO_clear_retry_flags(aTransport);
    if (records.empty()) {
      BIO_set_retry_read(aTransport);
      return -1;
    }
    const std::size_t count =
      std::min(records.size(), static_cast<std::size_t>(aLength));
    std::memcpy(aBytes, records.data(), count);
    records.remove_prefix(count);
    return static_cast<int>(count);
  }

  static long Control(BIO*, int aCommand, long, void*)
  {
    return aCommand == BIO_CTRL_FLUSH ? 1 : 0;
  }

  static const BIO_METHOD* Method()
  {
    static const BIO_METHOD* const method = [] {
      BIO_METHOD* made =
        BIO_meth_new(BIO_get_new_index() | BIO_TYPE_SOURCE_SINK, "tls_session");
      BIO_meth_set_write(made, Write);
      BIO_meth_set_read(made, Read);
      BIO_meth_set_ctrl(made, Control);
      return made;
    }();
    return method;
  }

  static BIO* Make(tls_session& aSession)
  {
    BIO* transport = BIO_new(Method());
    BIO_set_data(transport, &aSession.mExchange);
    BIO_set_init(transport, 1);
    return transport;
  }

private:
  static tls_session::exchange& Of(BIO* aTransport)
  {
    return *static_cast<tls_session::exchange*>(BIO_get_data(aTransport));
  }
};

tls_session::tls_session(std::shared_ptr<const tls_context> aContext,
                         bool aIsServer)
  : mContext(std::move(aContext))
  , mNative(SSL_new(mContext->Native()))
{
  BIO* transport = tls_transport::Make(*this);
  SSL_set_bio(mNative, transport, transport);
  if (aIsServer) {
    SSL_set_accept_state(mNative);
  } else {
    SSL_set_connect_state(mNative);
  }
}

tls_session::~tls_session()
{
  SSL_free(mNative);
}

std::unique_ptr<tls_session>
tls_session::Server(std::shared_ptr<const tls_context> aContext)
{
  return std::unique_ptr<tls_session>(
    new tls_session(std::move(aContext), true));
}

std::unique_ptr<tls_session>
tls_session::Client(std::shared_ptr<const tls_context> aContext,
                    const std::string& aServerAddress)
{
  std::unique_ptr<tls_session> session(
    new tls_session(std::move(aContext), false));
  X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(session->mNative),
                                aServerAddress.c_str());
  return session;
}

void
tls_session::Start(std::string& aOutput)
{
  std::string none;
  Receive({}, none, aOutput);
}

tls_state
tls_session::Receive(std::string_view aRecords,
                     std::string& aInput,
                     std::string& aOutput)
{
  mExchange = { aRecords, &aOutput };
  ForgetErrors();
  if (mState == tls_state::Handshaking) {
    Handshake();
  }
  if (mState == tls_state::Established) {
    Read(aInput);
  }
  mExchange = {};
  return mState;
}

void
tls_session::Handshake()
{
  const int result = SSL_do_handshake(mNative);
  if (result == 1) {
    mState = tls_state::Established;
  } else if (SSL_get_error(mNative, result) != SSL_ERROR_WANT_READ) {
    Fail();
  }
}

void
tls_session::Read(std::string& aInput)
{
  // One buffer a thread: idle sessions keep none.
  thread_local std::array<char, kRecordBytes> chunk;
  for (;;) {
    const int count =
      SSL_read(mNative, chunk.data(), static_cast<int>(chunk.size()));
    if (count > 0) {
      aInput.append(chunk.data(), static_cast<std::size_t>(count));
      continue;
    }
    const int error = SSL_get_error(mNative, count);
    if (error == SSL_ERROR_ZERO_RETURN) {
      mState = tls_state::Closed;
      SSL_shutdown(mNative);
    } else if (error != SSL_ERROR_WANT_READ) {
      Fail();
    }
    return;
  }
}

void
tls_session::Fail()
{
  mState = tls_state::Failed;
  const long verified = SSL_get_verify_result(mNative);
  const char* reason = verified == X509_V_OK
                         ? ERR_reason_error_string(ERR_peek_error())
                         : X509_verify_cert_error_string(verified);
  if (verified == X509_V_ERR_APPLICATION_VERIFICATION) {
    reason = "the certificate names no valid client account";
  }
  mFailure = reason ? reason : "protocol error";
  ForgetErrors();
}

void
tls_session::Send(std::string_view aBytes, std::string& aOutput)
{
  if (mState != tls_state::Established || mOutputClosed || aBytes.empty()) {
    return;
  }
  mExchange = { {}, &aOutput };
  ForgetErrors();
  // The transport takes everything, so all is written at once.
  std::size_t written = 0;
  const int result =
    SSL_write_ex(mNative, aBytes.data(), aBytes.size(), &written);
  if (result != 1) {
    Fail();
  }
  mExchange = {};
}

void
tls_session::Close(std::string& aOutput)
{
  if (mState != tls_state::Established || mOutputClosed) {
    return;
  }
  mOutputClosed = true;
  mExchange = { {}, &aOutput };
  ForgetErrors();
  SSL_shutdown(mNative);
  mExchange = {};
}

std::string
tls_session::PeerName() const
{
  const X509* certificate = mState == tls_state::Handshaking
                              ? nullptr
                              : SSL_get0_peer_certificate(mNative);
  return certificate ? AccountOf(certificate) : std::string();
}

bool
tls_session::IsResumed() const
{
  return SSL_session_reused(mNative) == 1;
}

std::shared_ptr<ssl_session_st>
tls_session::Ticket() const
{
  SSL_SESSION* session = SSL_get1_session(mNative);
  if (!session || SSL_SESSION_is_resumable(session) != 1) {
    SSL_SESSION_free(session);
    return nullptr;
  }
  return { session, SSL_SESSION_free };
}

void
tls_session::Resume(const std::shared_ptr<ssl_session_st>& aTicket)
{
  SSL_set_session(mNative, aTicket.get());
}

} // namespace snipewalk
