// Interface of forwarded sessions to the session controller, used on the
// forwarding and on the serving instance, and the exchange of desired states
// between the two instances.
#ifndef SNIPEWALK_SESSION_FORWARDING_LINKS_H_
#define SNIPEWALK_SESSION_FORWARDING_LINKS_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/stream_connection.h"
#include "snipewalk/session/forwarded_messages.h"
#include "snipewalk/session/session_hosts.h"
#include "snipewalk/session/session_messages.h"

#include <cstdint>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

namespace snipewalk {

// Delay after which a desired state that the store has not delivered is
// requested from the other instance. The store may be refusing calls of this
// instance.
inline constexpr milliseconds kDesiredStateRequestDelay{ 150 };

class forwarding_links
{
public:
  virtual ~forwarding_links() = default;

  // Returns the instance that serves a new session; std::nullopt if it is this
  // instance.
  virtual std::optional<host_candidate> HostFor(const open_session& aOpen,
                                                time_point aNow) = 0;
  virtual void OnHostFailed(const std::string& aHost, time_point aNow) = 0;
  // Probes a host. The reply arrives as session_forwarder::OnHostHeard().
  virtual void ProbeHost(const host_candidate& aHost, time_point aNow) = 0;
  // Returns the store revision of the last desired state that was read, even if
  // it could not be decoded. connection_table::OnDesiredState() is called when
  // another desired state comes into force.
  virtual std::uint64_t DesiredRevision() const = 0;
  // Requests the desired state of this revision, which another instance already
  // knows.
  virtual void RequestDesiredRevision(std::uint64_t aRevision,
                                      time_point aNow) = 0;
  // Returns the desired state known to this instance, to be relayed to other
  // instances; empty if none is known.
  virtual relayed_desired_state DesiredState() const = 0;
  // Whether another instance may be asked for its desired state over the
  // connection of a session. The caller asks if it is true: no second copy is
  // requested while one is awaited or arriving.
  virtual bool TakeStateRequest(time_point aNow) = 0;
  // Passes on a desired state that another instance has in force.
  virtual void AdoptDesiredState(const relayed_desired_state& aState,
                                 time_point aNow) = 0;
};

// Sends a request for the peer instance's desired state.
void
RequestDesiredState(const forwarding_links& aLinks, stream_connection& aStream);

// Removes frames from the input up to and including the next one that carries a
// session message, and returns that one; std::nullopt while none is complete.
// Desired states received in other frames are passed to `aLinks`, and requests
// for the desired state are answered on `aStream`. Errors as of
// PeekForwardedMessage().
absl::StatusOr<std::optional<forwarded_message>>
ReadForwardedMessage(std::string& aInput,
                     forwarding_links& aLinks,
                     stream_connection& aStream,
                     time_point aNow);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_FORWARDING_LINKS_H_
