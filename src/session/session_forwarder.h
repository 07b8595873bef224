// Connections of forwarded sessions to the instances that serve them: passes
// whole messages on, and notices instances that are lost or silent.
#ifndef SNIPEWALK_SESSION_SESSION_FORWARDER_H_
#define SNIPEWALK_SESSION_SESSION_FORWARDER_H_

#include "session/forwarding_links.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/stream_connection.h"
#include "snipewalk/session/forwarded_session.h"
#include "snipewalk/session/session_engine.h"
#include "snipewalk/session/session_hosts.h"
#include "snipewalk/session/session_protocol.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include <absl/status/status.h>

namespace snipewalk {

// The callers of forwarded sessions. None of the functions calls back before it
// returns.
class forwarding_callers
{
public:
  virtual ~forwarding_callers() = default;

  // The host took no session; the opening message is to be handled here.
  virtual void ServeHere(session_id aSession,
                         const open_session& aOpen,
                         time_point aNow) = 0;
  virtual void SendToCaller(session_id aSession, const std::string& aBytes) = 0;
  virtual void CloseCaller(session_id aSession) = 0;
};

class session_forwarder
{
public:
  session_forwarder(event_loop& aLoop,
                    const session_protocol& aProtocol,
                    forwarding_links& aLinks,
                    forwarding_callers& aCallers);
  ~session_forwarder();
  session_forwarder(const session_forwarder&) = delete;
  session_forwarder& operator=(const session_forwarder&) = delete;

  // `aBytes` are the opening message as received.
  void Open(session_id aSession,
            const host_candidate& aHost,
            const open_session& aOpen,
            const std::string& aBytes,
            time_point aNow);
  bool Holds(session_id aSession) const { return mSessions.contains(aSession); }
  void OnCaller(session_id aSession,
                const caller_message& aMessage,
                const std::string& aBytes,
                time_point aNow);
  void OnCallerClosed(session_id aSession);
  void OnHostHeard(const std::string& aHost, time_point aNow);
  // Notices hosts that are silent. Call at least every 100 ms.
  void OnTick(time_point aNow);

  // Ends sessions as soon as they are idle.
  void CloseIdleSessions();
  // Ends the others, too, unless an answer is due.
  void AbortTransactions();
  std::size_t Sessions() const { return mSessions.size(); }

private:
  struct session
  {
    host_candidate mHost;
    std::unique_ptr<stream_connection> mStream;
    forwarded_session mState;
    open_session mOpen;
    time_point mSince;
    // The host accepted it.
    bool mOpened = false;
  };
  struct known_host
  {
    time_point mHeardAt = time_point::min();
    time_point mAskedAt = time_point::min();
    // First question since it was heard last.
    std::optional<time_point> mAskedSince;
  };

  void OnHostInput(session_id aSession, std::string& aInput, time_point aNow);
  // The connection to the host ended or is given up.
  void OnLost(session_id aSession, time_point aNow);
  void FailHost(const std::string& aHost, time_point aNow);
  // Takes the answers off the input and passes them on. Errors as of the
  // codecs.
  absl::Status PassAnswers(session_id aSession,
                           std::string& aInput,
                           time_point aNow);
  std::string Frame(const std::string& aBytes) const;
  // The host of a session has shown a desired state of this revision.
  void OnRevision(const session& aSession,
                  std::uint64_t aRevision,
                  time_point aNow);
  // Ends a session whose caller was told all that was due.
  void End(session_id aSession);
  // Forgets a session and closes its stream, whose handlers may be running.
  void Drop(session_id aSession);
  void CloseIfLeaving(session_id aSession);

  event_loop& mLoop;
  const session_protocol& mProtocol;
  forwarding_links& mLinks;
  forwarding_callers& mCallers;
  std::unordered_map<session_id, session> mSessions;
  // Sessions that wait for the host.
  std::set<session_id> mWaiting;
  // By name.
  std::map<std::string, known_host> mHosts;
  // Newest desired state that a host has shown; callers may have seen it at
  // work.
  std::uint64_t mSeenRevision = 0;
  // Since when the one here is older, or when a host was last asked for it.
  std::optional<time_point> mBehindSince;
  bool mLeaving = false;
  bool mAborting = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_FORWARDER_H_
