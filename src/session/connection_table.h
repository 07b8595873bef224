// Connection table of the session front end: owns the connections of callers
// and to backend servers, addressed by the ids that the session engine uses.
// Performs the engine's I/O requests and passes sessions that another instance
// serves to the session_forwarder.
#ifndef SNIPEWALK_SESSION_CONNECTION_TABLE_H_
#define SNIPEWALK_SESSION_CONNECTION_TABLE_H_

#include "session/session_forwarder.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/listener.h"
#include "snipewalk/connection/stream_connection.h"
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

class connection_table
  : public session_links
  , public forwarding_callers
{
public:
  connection_table(event_loop& aLoop,
                   const session_protocol& aProtocol,
                   forwarding_links& aLinks);

  // Sets the engine; must be called before the event loop runs. The engine's
  // constructor needs this table, so the engine cannot be a constructor
  // argument here.
  void SetEngine(session_engine& aEngine) { mEngine = &aEngine; }
  // Sets a handler that is called before each time that input of callers is
  // processed.
  void SetBeforeInput(std::function<void(time_point)> aHandler)
  {
    mBeforeInput = std::move(aHandler);
  }

  // Sets a handler that is called after each message of a caller was processed.
  void SetAfterInput(std::function<void(time_point)> aHandler)
  {
    mAfterInput = std::move(aHandler);
  }

  // Listens for callers. Errors: Unavailable when the address cannot be bound.
  absl::Status Listen(const std::string& aAddress);
  // Listens for sessions that other instances forward to this one. Errors:
  // Unavailable when the address cannot be bound.
  absl::Status ListenForPeers(const std::string& aAddress);
  void StopListening(time_point aNow);
  void StopListeningForPeers(time_point aNow);
  // True once neither callers nor peers can connect any more.
  bool StoppedListening() const;

  session_forwarder& Forwarder() { return mForwarder; }
  // Processes held messages of forwarded sessions after a new desired state has
  // come into force.
  void OnDesiredState();
  // Closes forwarded sessions whose required desired state did not arrive in
  // time, and checks the time limits of the forwarder. Must be called at least
  // every 100 ms.
  void OnTick(time_point aNow);

  void AcceptSession(session_id aSession) override;
  void SendReply(session_id aSession, const statement_reply& aReply) override;
  void RefuseSession(session_id aSession,
                     result_code aCode,
                     const std::string& aText) override;
  void CloseCallerConnection(session_id aSession) override;
  void ServeLocally(session_id aSession,
                    const open_session& aOpen,
                    time_point aNow) override;
  void SendToCaller(session_id aSession, const std::string& aBytes) override;
  void OpenServerConnection(server_connection_id aConnection,
                            const registered_server& aServer,
                            const std::string& aAccount) override;
  void SendCommands(server_connection_id aConnection,
                    const std::vector<server_command>& aCommands) override;
  void CloseServerConnection(server_connection_id aConnection) override;

private:
  struct caller
  {
    std::unique_ptr<stream_connection> mStream;
    // The peer is another instance that forwards a caller's session.
    bool mFromPeer = false;
    // This instance serves the session, so its messages are not kept as raw
    // bytes for forwarding.
    bool mServedLocally = false;
  };
  struct received_message
  {
    caller_message mMessage;
    // Raw bytes as received; empty if this instance serves the session.
    std::string mBytes;
  };
  // Message of a forwarded session that must not be processed until the desired
  // state that it requires is in force here.
  struct held_message
  {
    forwarded_message mMessage;
    time_point mReceivedAt;
    // The forwarding instance was asked to send its desired state.
    bool mStateRequested = false;
  };
  struct server
  {
    std::unique_ptr<stream_connection> mStream;
    // The reply to the opening message is still pending.
    bool mOpening = true;
  };

  absl::Status Open(const std::string& aAddress,
                    bool aFromPeers,
                    std::unique_ptr<listener>& aListener);
  void Accept(const Poco::Net::StreamSocket& aSocket, bool aFromPeer);
  // Passes a message to the engine or, if another instance serves the session,
  // to the forwarder.
  void Deliver(session_id aSession,
               const received_message& aReceived,
               time_point aNow);
  // Removes one message from the input. Returns std::nullopt while the message
  // is incomplete or the desired state that it requires is not in force.
  absl::StatusOr<std::optional<received_message>>
  ReadMessage(session_id aSession, std::string& aInput, time_point aNow);
  absl::StatusOr<std::optional<received_message>>
  ReadFromPeer(session_id aSession, std::string& aInput, time_point aNow);
  absl::StatusOr<std::optional<received_message>> DecodeSessionMessage(
    std::string aBytes) const;
  void CloseMalformed(session_id aSession,
                      const absl::Status& aStatus,
                      time_point aNow);
  void OnCallerInput(session_id aSession, std::string& aInput, time_point aNow);
  void OnServerInput(server_connection_id aConnection,
                     std::string& aInput,
                     time_point aNow);
  // Processes the held message of the session if the desired state that it
  // requires is in force.
  void ProcessHeldMessage(session_id aSession, time_point aNow);
  // Closes and destroys a stream later, since one of its handlers may be on the
  // call stack.
  void DestroyLater(std::unique_ptr<stream_connection> aStream);

  event_loop& mLoop;
  const session_protocol& mProtocol;
  forwarding_links& mLinks;
  session_engine* mEngine = nullptr;
  std::function<void(time_point)> mBeforeInput;
  std::function<void(time_point)> mAfterInput;
  session_forwarder mForwarder;
  std::unique_ptr<listener> mListener;
  std::unique_ptr<listener> mPeerListener;
  std::unordered_map<session_id, caller> mCallers;
  std::unordered_map<server_connection_id, server> mServers;
  session_id mNextSession = 1;
  std::map<session_id, held_message> mHeld;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_CONNECTION_TABLE_H_
