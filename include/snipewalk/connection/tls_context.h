// Certificate, key and authorities of a TLS endpoint. Knows no files and no
// sockets; the texts are PEM.
#ifndef SNIPEWALK_CONNECTION_TLS_CONTEXT_H_
#define SNIPEWALK_CONNECTION_TLS_CONTEXT_H_

#include "snipewalk/base/time.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

struct ssl_ctx_st;

namespace snipewalk {

// A ticket, and the verification of the client certificate in it, is good for
// this long.
inline constexpr seconds kTlsTicketLifetime{ 3'600 };

struct tls_material
{
  // The endpoint's certificate, followed by intermediate ones if any.
  std::string mCertificate;
  std::string mKey;
  // Authorities that sign the certificates of the other side.
  std::string mAuthorities;

  bool operator==(const tls_material&) const = default;
};

enum class tls_part
{
  Certificate,
  Key,
  Authorities
};

struct tls_fault
{
  tls_part mPart = tls_part::Certificate;
  // Stable name: bad_certificate, expired, not_yet_valid, bad_key, key_mismatch
  // or bad_authorities.
  std::string mName;
  std::string mMessage;
};

// All faults of the texts; empty when an endpoint can use them at `aNow`.
std::vector<tls_fault>
CheckTlsMaterial(const tls_material& aMaterial, wall_time aNow);

// End of the certificate's validity. Errors: InvalidArgument.
absl::StatusOr<wall_time>
TlsCertificateEnd(const std::string& aCertificate);

// Immutable and shared by the sessions made from it; any thread.
class tls_context
{
public:
  // Accepts TLS 1.2 or newer from clients with a certificate of one of the
  // authorities that names a client account. Contexts with the same non-empty
  // secret and the same authorities accept each other's tickets. Errors:
  // InvalidArgument.
  static absl::StatusOr<std::shared_ptr<const tls_context>> Server(
    const tls_material& aMaterial,
    std::string_view aTicketSecret);

  // Errors: InvalidArgument.
  static absl::StatusOr<std::shared_ptr<const tls_context>> Client(
    const tls_material& aMaterial);

  ~tls_context();
  tls_context(const tls_context&) = delete;
  tls_context& operator=(const tls_context&) = delete;

  ssl_ctx_st* Native() const { return mNative; }

private:
  explicit tls_context(ssl_ctx_st* aNative)
    : mNative(aNative)
  {
  }

  ssl_ctx_st* mNative;
};

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_TLS_CONTEXT_H_
