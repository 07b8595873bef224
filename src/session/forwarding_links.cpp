// Implementation of the exchange of desired states between instances.
#include "session/forwarding_links.h"

namespace snipewalk {

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
      aStream.Send(EncodeForwardedMessage(
        { aLinks.DesiredRevision(), {}, aLinks.DesiredState() }));
    }
    if (!(*message)->mBytes.empty()) {
      return message;
    }
  }
}

} // namespace snipewalk
