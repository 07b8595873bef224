// Messages on the connection of a forwarded session, in both directions. A
// frame holds a message of a caller or a part of a reply, and the revision of
// the desired state that it requires. An instance must not process a message
// under an older desired state than one whose effect the caller may have
// observed through another instance.
#ifndef SNIPEWALK_SESSION_FORWARDED_MESSAGES_H_
#define SNIPEWALK_SESSION_FORWARDED_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace snipewalk {

// A desired state as stored, sent from one instance to another.
struct relayed_desired_state
{
  std::uint64_t mRevision = 0;
  std::string mValue;
};

struct forwarded_message
{
  // Store revision of the newest desired state that the sender knows.
  std::uint64_t mDesiredRevision = 0;
  // One complete message of a caller, or the next part of a reply. If it is
  // empty, the frame sends `mState` or, without it, requests the receiver's
  // desired state. Instances whose calls the store refuses request it this way.
  std::string mBytes;
  std::optional<relayed_desired_state> mState;

  bool RequestsDesiredState() const { return mBytes.empty() && !mState; }
};

std::string
EncodeForwardedMessage(const forwarded_message& aMessage);

// Encodes a message or reply in as many frames as it needs.
std::string
EncodeForwardedBytes(std::uint64_t aDesiredRevision, std::string_view aBytes);

// Decodes the first frame of the input without removing it and sets
// `aFrameBytes` to its length. Returns std::nullopt while the frame is
// incomplete. Errors: InvalidArgument, ResourceExhausted.
absl::StatusOr<std::optional<forwarded_message>>
PeekForwardedMessage(const std::string& aInput, std::size_t& aFrameBytes);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_FORWARDED_MESSAGES_H_
