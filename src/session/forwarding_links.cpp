// Implementation of the exchange of desired states between instances.
#include "session/forwarding_links.h"

#include <utility>

namespace snipewalk {

namespace {

// Answers a request of an instance that knows the state of `aKnownRevision`.
// Without a newer one the answer contains no value.
void
SendDesiredState(const forwarding_links& aLinks,
                 std::uint64_t aKnownRevision,
                 stream_connection& aStream)
{
  relayed_desired_state state = aLinks.DesiredState();
  if (state.mRevision <= aKnownRevision) {
    state.mValue.clear();
  }
  aStream.Send(
    EncodeForwardedMessage({ aLinks.DesiredRevision(), {}, std::move(state) }));
}

} // namespace

void
RequestDesiredState(const forwarding_links& aLinks, stream_connection& aStream)
{
  aStream.Send(
    EncodeForwardedMessage({ aLinks.DesiredRevision(), {}, std::nullopt }));
}

absl::StatusOr<std::optional<forwarded_message>>
ReadForwardedMessage(std::string& aInput,
                     forwarding_links& aLinks,
                     stream_connection& aStream,
                     time_point aNow)
{
  while (true) {
    std::size_t frameBytes = 0;
    auto message = PeekForwardedMessage(aInput, frameBytes);
    if (!message.ok() || !*message) {
      return message;
    }
    aInput.erase(0, frameBytes);
    if ((*message)->mState) {
      aLinks.AdoptDesiredState(*(*message)->mState, aNow);
    }
    if ((*message)->RequestsDesiredState()) {
      SendDesiredState(aLinks, (*message)->mDesiredRevision, aStream);
    }
    if (!(*message)->mBytes.empty()) {
      return message;
    }
  }
}

} // namespace snipewalk
