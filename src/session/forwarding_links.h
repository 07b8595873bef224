// What the sockets of forwarded sessions need of the control side, on the
// instance that forwards and on the one that serves; and the exchange of
// desired states between the two.
#ifndef SNIPEWALK_SESSION_FORWARDING_LINKS_H_
#define SNIPEWALK_SESSION_FORWARDING_LINKS_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/stream_connection.h"
#include "snipewalk/session/forwarded_messages.h"
#include "snipewalk/session/session_hosts.h"

#include <cstdint>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

namespace snipewalk {

// A desired state that the store has not told by then is asked of the other
// instance: the store may turn this one away.
inline constexpr milliseconds kAskForStateAfter{ 150 };

class forwarding_links
{
public:
  virtual ~forwarding_links() = default;

  // Instance that serves a new session of a database; nothing for this one.
  virtual std::optional<host_candidate> HostFor(const std::string& aDatabase,
                                                time_point aNow) = 0;
  virtual void OnHostFailed(const std::string& aHost, time_point aNow) = 0;
  // Asks for a sign of life, which session_forwarder::OnHostHeard() tells.
  virtual void AskHost(const host_candidate& aHost, time_point aNow) = 0;
  // Revision of the desired state in force; connection_table::OnDesiredState()
  // tells of a new one.
  virtual std::uint64_t DesiredRevision() const = 0;
  // Another instance knows of this revision.
  virtual void WantDesiredRevision(std::uint64_t aRevision,
                                   time_point aNow) = 0;
  // The desired state in force, and one that another instance has in force.
  virtual relayed_state DesiredState() const = 0;
  virtual void LearnDesiredState(const relayed_state& aState,
                                 time_point aNow) = 0;
};

// Asks the other end for its desired state.
void
AskForState(const forwarding_links& aLinks, stream_connection& aStream);

// Takes the next message of the session protocol off the input; nothing while
// none is complete. Desired states in between are learnt, and sent if the other
// end asks. Errors as of PeekForwarded().
absl::StatusOr<std::optional<forwarded_message>>
TakeForwarded(std::string& aInput,
              forwarding_links& aLinks,
              stream_connection& aStream,
              time_point aNow);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_FORWARDING_LINKS_H_
