// The object `keys/session`: keys that sign and verify session tokens, and when
// they are replaced.
#ifndef SNIPEWALK_VERSION_SESSION_KEYS_H_
#define SNIPEWALK_VERSION_SESSION_KEYS_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/service_view.h"

#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace snipewalk {

// The one object of kind `keys`.
inline constexpr char kSessionKeysName[] = "session";

// {"keys": [{"id", "secret", "sign_after_ms"}]}: 1 to 4 keys; the secret is
// base64, the time in milliseconds since 1970. Decoding is strict; errors are
// InvalidArgument.
std::string
EncodeSessionKeys(const std::vector<session_key>& aKeys);
absl::StatusOr<std::vector<session_key>>
DecodeSessionKeys(const std::string& aText);

// Keys to store in place of `aCurrent`, or nothing while the newest one is
// young enough. The first key signs at once; a later one after a delay in which
// it reaches every instance. The oldest keys are dropped beyond the limit, when
// each has been replaced for days. `aSecret` becomes the secret of the new key.
std::optional<std::vector<session_key>>
ReplaceSessionKeys(const std::vector<session_key>& aCurrent,
                   wall_time aNow,
                   const std::string& aSecret);

// 32 random bytes from the operating system.
std::string
NewSecret();

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_SESSION_KEYS_H_
