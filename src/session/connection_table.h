// Sockets of the session front end: connections of callers and to backend
// servers, by the engine's numbers. Carries out the engine's orders.
#ifndef SNIPEWALK_SESSION_CONNECTION_TABLE_H_
#define SNIPEWALK_SESSION_CONNECTION_TABLE_H_

#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/listener.h"
#include "snipewalk/connection/stream_connection.h"
#include "snipewalk/session/session_engine.h"
#include "snipewalk/session/session_protocol.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace snipewalk {

class connection_table : public session_links
{
public:
  connection_table(event_loop& aLoop, const session_protocol& aProtocol);

  // Before any event. The engine refers to this table, hence not in the
  // constructor.
  void SetEngine(session_engine& aEngine) { mEngine = &aEngine; }
  // Called before input of callers is handled.
  void SetBeforeInput(std::function<void(time_point)> aHandler)
  {
    mBeforeInput = std::move(aHandler);
  }

  // Errors: Unavailable when the address cannot be bound.
  absl::Status Listen(const std::string& aAddress);
  void StopListening(time_point aNow);

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
  };
  struct server
  {
    std::unique_ptr<stream_connection> mStream;
    // The answer to the opening message is due.
    bool mOpening = true;
  };

  void Accept(const Poco::Net::StreamSocket& aSocket);
  void OnCallerInput(session_id aSession, std::string& aInput, time_point aNow);
  void OnServerInput(server_connection_id aConnection,
                     std::string& aInput,
                     time_point aNow);
  void SendToCaller(session_id aSession, const std::string& aBytes);
  // Destroys a stream once none of its handlers runs.
  void Bury(std::unique_ptr<stream_connection> aStream);

  event_loop& mLoop;
  const session_protocol& mProtocol;
  session_engine* mEngine = nullptr;
  std::function<void(time_point)> mBeforeInput;
  std::unique_ptr<listener> mListener;
  std::unordered_map<session_id, caller> mCallers;
  std::unordered_map<server_connection_id, server> mServers;
  session_id mNextSession = 1;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_CONNECTION_TABLE_H_
