// Messages on the connection of a forwarded session, in both directions: a
// frame with the session protocol's bytes and the revision of the desired state
// that they rest on. An instance never handles a message by an older desired
// state than the one that the caller may have seen at work through another
// instance.
#ifndef SNIPEWALK_SESSION_FORWARDED_MESSAGES_H_
#define SNIPEWALK_SESSION_FORWARDED_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

namespace snipewalk {

// A desired state as the store holds it.
struct relayed_state
{
  std::uint64_t mRevision = 0;
  std::string mValue;
};

struct forwarded_message
{
  // Store revision of the newest desired state that the sender knows of.
  std::uint64_t mDesiredRevision = 0;
  // One whole message. Empty: mState is sent, or asked for if there is none. An
  // instance that the store turns away asks another one.
  std::string mBytes;
  std::optional<relayed_state> mState;

  bool AsksForState() const { return mBytes.empty() && !mState; }
};

std::string
EncodeForwarded(const forwarded_message& aMessage);

// Reads the first frame of the input without taking it; `aFrameBytes` is its
// length then. Nothing while it is incomplete. Errors: InvalidArgument,
// ResourceExhausted.
absl::StatusOr<std::optional<forwarded_message>>
PeekForwarded(const std::string& aInput, std::size_t& aFrameBytes);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_FORWARDED_MESSAGES_H_
