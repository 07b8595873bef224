// The session's state travels with the caller in an authenticated token.
#ifndef SNIPEWALK_REQUEST_SESSION_TOKEN_H_
#define SNIPEWALK_REQUEST_SESSION_TOKEN_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/service_view.h"

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace snipewalk {

// Position in a service's log.
struct log_position
{
  std::uint64_t mTerm = 0;
  std::uint64_t mIndex = 0;

  auto operator<=>(const log_position&) const = default;
};

struct session_state
{
  std::string mService;
  std::string mAccount;
  // Newest position that the session wrote or read.
  log_position mPosition;
};

// Encodes and signs the state with the newest key whose mSignAfter is at or
// before `aNow`. Returns at most 256 characters of base64url. Errors:
// FailedPrecondition without a usable key, InvalidArgument when the service or
// account name is too long.
absl::StatusOr<std::string>
EncodeSession(const session_state& aState,
              const std::vector<session_key>& aKeys,
              wall_time aNow);

// Verifies and decodes a token. Errors: InvalidArgument for malformed or forged
// tokens, NotFound for an unknown key, PermissionDenied when the token belongs
// to another service or client account.
absl::StatusOr<session_state>
DecodeSession(const std::string& aToken,
              const std::vector<session_key>& aKeys,
              const std::string& aService,
              const std::string& aAccount);

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_SESSION_TOKEN_H_
