// Sockets of the session front end: connections of callers and to backend
// servers, by the engine's numbers. Carries out the engine's orders, and hands
// the sessions that another instance serves to the forwarder.
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
  void ServeHere(session_id aSession,
                 const open_session& aOpen,
                 time_point aNow) override;
  void SendToCaller(session_id aSession, const std::string& aBytes) override;
  void OpenServer(server_connection_id aConnection,
                  const server_entry& aServer) override;
  void Send(server_connection_id aConnection,
            const std::vector<server_command>& aCommands) override;
  void CloseServer(server_connection_id aConnection) override;

private:
  struct caller
  {
    std::unique_ptr<stream_connection> mStream;
    // Another instance accepted the caller and forwards the session.
    bool mFromPeer = false;
    // The session stays here: nobody needs its messages as received.
    bool mServedHere = false;
  };
  struct received_message
  {
    caller_message mMessage;
    // As received; empty where the session is served here.
    std::string mBytes;
  };
  // Message of a forwarded session that waits for the desired state that it
  // rests on.
  struct held_message
  {
    forwarded_message mMessage;
    time_point mSince;
    // The other instance was asked for its desired state.
    bool mAsked = false;
  };
  struct server
  {
    std::unique_ptr<stream_connection> mStream;
    // The answer to the opening message is due.
    bool mOpening = true;
  };

  absl::Status Open(const std::string& aAddress,
                    bool aFromPeers,
                    std::unique_ptr<listener>& aListener);
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
  void OnCallerInput(session_id aSession, std::string& aInput, time_point aNow);
  void OnServerInput(server_connection_id aConnection,
                     std::string& aInput,
                     time_point aNow);
  // Hands a held message on if its desired state is in force.
  void ReleaseHeld(session_id aSession, time_point aNow);
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
  std::map<session_id, held_message> mHeld;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_CONNECTION_TABLE_H_
