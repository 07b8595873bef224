// Forwards sessions to the instances that serve them (their hosts): keeps one
// connection to the host for each session, passes complete messages in both
// directions, and detects hosts that are lost or do not respond.
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

// Access to the callers of forwarded sessions. None of the functions calls
// session_forwarder before it returns.
class forwarding_callers
{
public:
  virtual ~forwarding_callers() = default;

  // Serves a session on this instance after its host failed to open it,
  // beginning with the caller's opening message.
  virtual void ServeLocally(session_id aSession,
                            const open_session& aOpen,
                            time_point aNow) = 0;
  virtual void SendToCaller(session_id aSession, const std::string& aBytes) = 0;
  virtual void CloseCallerConnection(session_id aSession) = 0;
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

  // Connects to the host and forwards the opening message, whose raw bytes are
  // `aBytes`.
  void Open(session_id aSession,
            const host_candidate& aHost,
            const open_session& aOpen,
            const std::string& aBytes,
            time_point aNow);
  bool IsForwarding(session_id aSession) const
  {
    return mSessions.contains(aSession);
  }
  void OnCallerMessage(session_id aSession,
                       const caller_message& aMessage,
                       const std::string& aBytes,
                       time_point aNow);
  void OnCallerClosed(session_id aSession);
  void OnHostHeard(const std::string& aHost, time_point aNow);
  // Probes hosts whose reply is pending, and closes the sessions of hosts that
  // do not respond in time. Must be called at least every 100 ms.
  void OnTick(time_point aNow);

  // Closes idle sessions now and the others as soon as they are idle.
  void CloseIdleSessions();
  // Also closes sessions with open transactions, except while a reply is
  // pending.
  void AbortTransactions();
  std::size_t SessionCount() const { return mSessions.size(); }

private:
  struct session
  {
    host_candidate mHost;
    std::unique_ptr<stream_connection> mStream;
    forwarded_session mState;
    open_session mOpen;
    time_point mOpeningSince;
    // Received part of the reply that is not complete yet.
    std::string mReply;
    // The host has accepted the session.
    bool mOpened = false;
  };
  struct host_liveness
  {
    time_point mLastHeardAt = time_point::min();
    time_point mLastProbeAt = time_point::min();
    // Time of the first probe that was sent since the host was last heard from.
    std::optional<time_point> mFirstProbeAt;
  };

  void OnHostInput(session_id aSession, std::string& aInput, time_point aNow);
  // Handles the loss of the session's connection to its host, or the decision
  // to give it up.
  void OnHostConnectionLost(session_id aSession, time_point aNow);
  void OnHostTimeout(const std::string& aHost, time_point aNow);
  // Removes complete replies from the input and forwards them to the caller.
  // Errors as of ReadForwardedMessage() and session_protocol::ReadReply().
  absl::Status ForwardReplies(session_id aSession,
                              std::string& aInput,
                              time_point aNow);
  std::string EncodeFrame(const std::string& aBytes) const;
  // Handles the revision of the desired state that the session's host sent with
  // a message.
  void OnHostRevision(const session& aSession,
                      std::uint64_t aRevision,
                      time_point aNow);
  // Closes a session on both sides after the caller has received all pending
  // replies.
  void CloseSession(session_id aSession);
  // Removes a session and closes its stream to the host. The stream is
  // destroyed later since one of its handlers may be on the call stack.
  void RemoveSession(session_id aSession);
  void CloseIfDraining(session_id aSession);

  event_loop& mLoop;
  const session_protocol& mProtocol;
  forwarding_links& mLinks;
  forwarding_callers& mCallers;
  std::unordered_map<session_id, session> mSessions;
  // Sessions that wait for a reply of their host.
  std::set<session_id> mAwaitingReply;
  // Liveness of hosts, by the name of the instance.
  std::map<std::string, host_liveness> mHosts;
  // Newest revision of the desired state that a host has sent. Callers may
  // already have observed its effect.
  std::uint64_t mNewestHostRevision = 0;
  // Since when the desired state in force here has been older than that of a
  // host, or when a host was last asked to send its own.
  std::optional<time_point> mBehindSince;
  bool mDraining = false;
  bool mAborting = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_FORWARDER_H_
