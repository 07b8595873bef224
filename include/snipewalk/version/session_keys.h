// The object `keys/session`: keys that sign and verify session tokens.
#ifndef SNIPEWALK_VERSION_SESSION_KEYS_H_
#define SNIPEWALK_VERSION_SESSION_KEYS_H_

#include "snipewalk/version/service_view.h"

#include <optional>
#include <string>
#include <vector>

namespace snipewalk {

inline constexpr char kSessionKeysName[] = "session";

// Text: {"keys":[{"id":"..","secret":"<hex>","sign_after":"<RFC 3339>"}]} with
// up to 4 keys of at least 32 bytes. Nothing when any key is malformed.
std::optional<std::vector<session_key>>
DecodeSessionKeys(const std::string& aText);

std::string
EncodeSessionKeys(const std::vector<session_key>& aKeys);

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_SESSION_KEYS_H_
