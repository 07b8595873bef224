// Checks of text that arrives from outside.
#ifndef SNIPEWALK_BASE_TEXT_H_
#define SNIPEWALK_BASE_TEXT_H_

#include <cstddef>
#include <string_view>

namespace snipewalk {

// Well-formed UTF-8 (RFC 3629): no overlong forms, surrogates or values above
// U+10FFFF.
bool
IsUtf8(std::string_view aText);

// True without control characters: safe as the value of an HTTP header.
bool
IsHeaderSafe(std::string_view aText);

// A name of a service, client account or instance: 1 to `aLimit` bytes of UTF-8
// without control characters.
bool
IsName(std::string_view aText, std::size_t aLimit);

} // namespace snipewalk

#endif // SNIPEWALK_BASE_TEXT_H_
