// Implementation of the messages of forwarded sessions.
#include "snipewalk/session/forwarded_messages.h"

#include "snipewalk/connection/frame_codec.h"

#include <msgpack.hpp>

#include <string_view>
#include <tuple>
#include <utility>

namespace snipewalk {

namespace {

// Revision of the newest known desired state, bytes of the message, and
// revision and value of the sent desired state; revision zero means that none
// is sent.
using wire_message =
  std::tuple<std::uint64_t, std::string, std::uint64_t, std::string>;

// Size limit of a frame: two strings of at most the size of a value in the
// store.
constexpr std::size_t kMaxFrameBytes = 2 * kFrameLimitBytes;

const msgpack::unpack_limit kUnpackLimits(/*array=*/4,
                                          /*map=*/0,
                                          /*str=*/kFrameLimitBytes,
                                          /*bin=*/0,
                                          /*ext=*/0,
                                          /*depth=*/1);

} // namespace

std::string
EncodeForwardedMessage(const forwarded_message& aMessage)
{
  msgpack::sbuffer packed;
  const relayed_desired_state state =
    aMessage.mState.value_or(relayed_desired_state{});
  msgpack::pack(packed,
                wire_message{ aMessage.mDesiredRevision,
                              aMessage.mBytes,
                              state.mRevision,
                              state.mValue });
  std::string frame;
  AppendFrame(frame, { packed.data(), packed.size() });
  return frame;
}

std::string
EncodeForwardedBytes(std::uint64_t aDesiredRevision, std::string_view aBytes)
{
  std::string frames;
  do {
    const std::string_view part = aBytes.substr(0, kFrameLimitBytes);
    frames += EncodeForwardedMessage(
      { aDesiredRevision, std::string(part), std::nullopt });
    aBytes.remove_prefix(part.size());
  } while (!aBytes.empty());
  return frames;
}

absl::StatusOr<std::optional<forwarded_message>>
PeekForwardedMessage(const std::string& aInput, std::size_t& aFrameBytes)
{
  std::string_view rest = aInput;
  const auto payload = TakeFrame(rest, kMaxFrameBytes);
  if (!payload.ok()) {
    return payload.status();
  }
  if (!*payload) {
    return std::nullopt;
  }
  aFrameBytes = aInput.size() - rest.size();
  try {
    const auto unpacked = msgpack::unpack(
      (*payload)->data(), (*payload)->size(), nullptr, nullptr, kUnpackLimits);
    auto message = unpacked.get().as<wire_message>();
    forwarded_message taken{ std::get<0>(message),
                             std::move(std::get<1>(message)),
                             std::nullopt };
    if (std::get<2>(message) != 0) {
      taken.mState = relayed_desired_state{ std::get<2>(message),
                                            std::move(std::get<3>(message)) };
    }
    return taken;
  } catch (const msgpack::unpack_error& error) {
    return absl::InvalidArgumentError(error.what());
  } catch (const msgpack::type_error& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

} // namespace snipewalk
