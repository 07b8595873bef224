// HMAC-SHA256 (RFC 2104) by OpenSSL.
#ifndef SNIPEWALK_BASE_HMAC_H_
#define SNIPEWALK_BASE_HMAC_H_

#include <string>
#include <string_view>

namespace snipewalk {

inline constexpr std::size_t kHmacBytes = 32;

// 32 bytes of authentication code over `aText`.
std::string
HmacSha256(std::string_view aKey, std::string_view aText);

// Compares in time that does not depend on the contents.
bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace snipewalk

#endif // SNIPEWALK_BASE_HMAC_H_
