// Implementation of the checks of text.
#include "snipewalk/base/text.h"

#include <algorithm>
#include <cstdint>

namespace snipewalk {

namespace {

// Length of the sequence that a lead byte starts; zero when it starts none.
std::size_t
SequenceLength(unsigned char aLead)
{
  if (aLead < 0x80) {
    return 1;
  }
  if (aLead >= 0xc2 && aLead < 0xe0) {
    return 2;
  }
  if (aLead >= 0xe0 && aLead < 0xf0) {
    return 3;
  }
  return aLead >= 0xf0 && aLead < 0xf5 ? 4 : 0;
}

bool
IsSequence(std::string_view aSequence)
{
  constexpr std::uint32_t kSmallest[] = { 0, 0, 0x80, 0x800, 0x10000 };
  if (aSequence.size() == 1) {
    return true;
  }
  const unsigned lead = static_cast<unsigned char>(aSequence[0]);
  std::uint32_t point = lead & (0x7fu >> aSequence.size());
  for (const char next : aSequence.substr(1)) {
    const unsigned byte = static_cast<unsigned char>(next);
    if ((byte & 0xc0u) != 0x80u) {
      return false;
    }
    point = (point << 6) | (byte & 0x3fu);
  }
  const bool surrogate = point >= 0xd800 && point < 0xe000;
  return point >= kSmallest[aSequence.size()] && point <= 0x10ffff &&
         !surrogate;
}

} // namespace

bool
IsUtf8(std::string_view aText)
{
  while (!aText.empty()) {
    const std::size_t length =
      SequenceLength(static_cast<unsigned char>(aText[0]));
    if (length == 0 || length > aText.size() ||
        !IsSequence(aText.substr(0, length))) {
      return false;
    }
    aText.remove_prefix(length);
  }
  return true;
}

bool
IsHeaderSafe(std::string_view aText)
{
  return std::none_of(aText.begin(), aText.end(), [](char aChar) {
    const auto byte = static_cast<unsigned char>(aChar);
    return byte < 0x20 || byte == 0x7f;
  });
}

bool
IsName(std::string_view aText, std::size_t aLimit)
{
  return !aText.empty() && aText.size() <= aLimit && IsHeaderSafe(aText) &&
         IsUtf8(aText);
}

} // namespace snipewalk
