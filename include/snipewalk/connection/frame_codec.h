// Frames between instances: a 4-byte big-endian length, then that many bytes of
// msgpack (peer_messages.h, fleet_codec.h).
#ifndef SNIPEWALK_CONNECTION_FRAME_CODEC_H_
#define SNIPEWALK_CONNECTION_FRAME_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace snipewalk {

inline constexpr std::size_t kFrameHeaderBytes = 4;
// The largest statement body (1 MiB) and its fields.
inline constexpr std::size_t kFrameLimitBytes = 1024 * 1024 + 16 * 1024;
// Limit before the other end proved that it knows the fleet key.
inline constexpr std::size_t kHandshakeFrameLimitBytes = 1024;

// Appends a frame to `aOut`. `aPayload` has at most the limit that the receiver
// gives to TakeFrame().
void
AppendFrame(std::string& aOut, std::string_view aPayload);

// Takes one whole frame off the front of `aInput` and returns its payload,
// which points into `aInput`; nothing while the frame is incomplete. Errors:
// InvalidArgument for an empty frame, ResourceExhausted above `aLimit`.
absl::StatusOr<std::optional<std::string_view>>
TakeFrame(std::string_view& aInput, std::size_t aLimit);

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_FRAME_CODEC_H_
