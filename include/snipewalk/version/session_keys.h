// The object `keys/session`: the keys that sign and verify session tokens, and
// the rules for replacing them.
#ifndef SNIPEWALK_VERSION_SESSION_KEYS_H_
#define SNIPEWALK_VERSION_SESSION_KEYS_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/service_view.h"

#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace snipewalk {

// Name of the only object of kind `keys`.
inline constexpr char kSessionKeysName[] = "session";

// JSON form of the object: {"keys": [{"id", "secret", "sign_after_ms"}]} with 1
// to 4 keys. The secret is encoded as base64; the time is in milliseconds since
// 1970. Decoding is strict and returns InvalidArgument on any error.
std::string
EncodeSessionKeys(const std::vector<session_key>& aKeys);
absl::StatusOr<std::vector<session_key>>
DecodeSessionKeys(const std::string& aText);

// Returns the keys to store in place of `aCurrent`, or nothing if the newest
// key does not need to be replaced yet. The first key signs immediately; a
// later key signs after a delay in which it reaches every instance. The oldest
// keys beyond the limit are dropped; by then they have not signed for days.
// `aSecret` is the secret of the new key.
std::optional<std::vector<session_key>>
RotateSessionKeys(const std::vector<session_key>& aCurrent,
                  wall_time aNow,
                  const std::string& aSecret);

// Generates a secret of 32 cryptographically random bytes.
std::string
GenerateSecret();

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_SESSION_KEYS_H_
