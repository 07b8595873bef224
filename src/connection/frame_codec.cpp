// Implementation of the frames between instances.
#include "snipewalk/connection/frame_codec.h"

#include <cstdint>

namespace snipewalk {

void
AppendFrame(std::string& aOut, std::string_view aPayload)
{
  const auto length = static_cast<std::uint32_t>(aPayload.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    aOut.push_back(static_cast<char>((length >> shift) & 0xffu));
  }
  aOut.append(aPayload);
}

absl::StatusOr<std::optional<std::string_view>>
TakeFrame(std::string_view& aInput, std::size_t aLimit)
{
  if (aInput.size() < kFrameHeaderBytes) {
    return std::optional<std::string_view>();
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    length = (length << 8) | static_cast<unsigned char>(aInput[i]);
  }
  if (length == 0) {
    return absl::InvalidArgumentError("empty frame");
  }
  if (length > aLimit) {
    return absl::ResourceExhaustedError("frame is too large");
  }
  if (aInput.size() < kFrameHeaderBytes + length) {
    return std::optional<std::string_view>();
  }
  const std::string_view payload = aInput.substr(kFrameHeaderBytes, length);
  aInput.remove_prefix(kFrameHeaderBytes + length);
  return std::optional<std::string_view>(payload);
}

} // namespace snipewalk
