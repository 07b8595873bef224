// Sockets of the session front end: connections of callers and to backend
// servers, by the engine's numbers. Carries out the engine's orders, and hands
// the sessions that another instance serves to the forwarder.
#ifndef SNIPEWALK_SESSION_CONNECTION_TABLE_H_
#define SNIPEWALK_SESSION_CONNECTION_TABLE_H_

#include "session/session_forwarder.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/listener.h"
#include "snipewalk/connection/stream_connection.h"
#include "snipewalk/session/forwarded_messages.h"
#include "snipewalk/session/session_engine.h"
#include "snipewalk/session/session_protocol.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace snipewalk {

// What the table asks the control side about forwarded sessions.
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

class connection_table : public session_links
{
public:
  connection_table(event_loop& aLoop,
                   const session_protocol& aProtocol,
                   forwarding_links& aLinks);

  // Before any event. The engine refers to this table, hence not in the
  // constructor.
  void SetEngine(session_engine& aEngine) { mEngine = &aEngine; }
  // Called before input of callers is handled.
  void SetBeforeInput(std::function<void(time_point)> aHandler)
  {
    mBeforeInput = std::move(aHandler);
  }

  // Errors of both: Unavailable when the address cannot be bound.
  absl::Status Listen(const std::string& aAddress);
  // Sessions that other instances forward; they are served here.
  absl::Status ListenForPeers(const std::string& aAddress);
  void StopListening(time_point aNow);
  void StopListeningForPeers(time_point aNow);

  session_forwarder& Forwarder() { return mForwarder; }
  // A new desired state is in force: messages that were held for it go on.
  void OnDesiredState();
  // Ends forwarded sessions whose desired state does not arrive. Call at least
  // every 100 ms.
  void OnTick(time_point aNow);

  void Opened(session_id aSession) override;
  void Reply(session_id aSession, const statement_reply& aReply) override;
  void Refuse(session_id aSession,
              result_code aCode,
              const std::string& aText) override;
  void CloseCaller(session_id aSession) override;
  void OpenServer(server_connection_id aConnection,
                  const server_entry& aServer) override;
  void Send(server_connection_id aConnection,
            const std::vector<server_command>& aCommands) override;
  void CloseServer(server_connection_id aConnection) override;

private:
  struct caller
  {
    std::unique_ptr<stream_connection> mStream;
    // Another instance accepted the caller: the session stays here.
    bool mFromPeer = false;
    // Message that waits for the desired state that it rests on.
    std::optional<forwarded_message> mHeld;
  };
  struct received_message
  {
    caller_message mMessage;
    // As received.
    std::string mBytes;
  };
  struct server
  {
    std::unique_ptr<stream_connection> mStream;
    // The answer to the opening message is due.
    bool mOpening = true;
  };

  absl::StatusOr<std::unique_ptr<listener>> Open(const std::string& aAddress,
                                                 bool aFromPeers);
  void Accept(const Poco::Net::StreamSocket& aSocket, bool aFromPeer);
  // Passes a message to the engine or to the instance that serves the session.
  void Deliver(session_id aSession,
               const received_message& aReceived,
               time_point aNow);
  // Takes one message off the input, or nothing: it is incomplete, or its
  // desired state is not in force yet.
  absl::StatusOr<std::optional<received_message>>
  TakeMessage(session_id aSession, std::string& aInput, time_point aNow);
  absl::StatusOr<std::optional<received_message>>
  TakeFromPeer(session_id aSession, std::string& aInput, time_point aNow);
  absl::StatusOr<std::optional<received_message>> Unframe(
    std::string aBytes) const;
  void EndMalformed(session_id aSession,
                    const absl::Status& aStatus,
                    time_point aNow);
  session_forwarder::handlers ForwarderHandlers();
  void OnCallerInput(session_id aSession, std::string& aInput, time_point aNow);
  void OnServerInput(server_connection_id aConnection,
                     std::string& aInput,
                     time_point aNow);
  // Hands a held message on if its desired state is in force.
  void ReleaseHeld(session_id aSession, time_point aNow);
  void SendToCaller(session_id aSession, const std::string& aBytes);
  // Destroys a stream once none of its handlers runs.
  void Bury(std::unique_ptr<stream_connection> aStream);

  event_loop& mLoop;
  const session_protocol& mProtocol;
  forwarding_links& mLinks;
  session_engine* mEngine = nullptr;
  std::function<void(time_point)> mBeforeInput;
  session_forwarder mForwarder;
  std::unique_ptr<listener> mListener;
  std::unique_ptr<listener> mPeerListener;
  std::unordered_map<session_id, caller> mCallers;
  std::unordered_map<server_connection_id, server> mServers;
  session_id mNextSession = 1;
  struct parked_session
  {
    time_point mSince;
    // The other instance was asked for its desired state.
    bool mAsked = false;
  };
  // Forwarded sessions with a held message.
  std::map<session_id, parked_session> mParked;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_CONNECTION_TABLE_H_
