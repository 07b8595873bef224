// Control connections to backend servers: at most one per server, with one
// command in flight at a time.
#ifndef SNIPEWALK_SESSION_SERVER_CONTROL_H_
#define SNIPEWALK_SESSION_SERVER_CONTROL_H_

#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/stream_connection.h"
#include "snipewalk/session/session_controller.h"
#include "snipewalk/session/session_protocol.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace snipewalk {

class server_control
{
public:
  // Called when a server has refused a connection because all of its
  // connections are in use.
  using full_handler =
    std::function<void(const std::string& aServer, time_point aNow)>;

  server_control(event_loop& aLoop,
                 const session_protocol& aProtocol,
                 full_handler aOnFull);
  ~server_control();
  server_control(const server_control&) = delete;
  server_control& operator=(const server_control&) = delete;

  void RunCommand(const registered_server& aServer,
                  const server_command& aCommand,
                  milliseconds aTimeout,
                  control_links::status_handler aOnStatus);
  // Opens a connection if there is none, with a minimum interval between
  // attempts.
  void KeepControlConnection(const registered_server& aServer);
  void CloseAll();

private:
  struct pending_command
  {
    server_command mCommand;
    control_links::status_handler mOnStatus;
    time_point mDeadline;
    bool mSent = false;
  };
  struct channel
  {
    registered_server mServer;
    std::unique_ptr<stream_connection> mStream;
    bool mOpened = false;
    time_point mConnectedAt = time_point::min();
    // Whether the last connection was refused because the server was full.
    bool mFull = false;
    std::deque<pending_command> mCommands;
    // Distinguishes successive streams to the same server, so that callbacks of
    // a replaced stream are ignored.
    std::uint64_t mGeneration = 0;
  };

  void Connect(channel& aChannel);
  void SendNext(channel& aChannel);
  void OnInput(const std::string& aServer,
               std::string& aInput,
               time_point aNow);
  // Closes the stream and completes all queued commands without a reply.
  void FailChannel(const std::string& aServer, time_point aNow);
  void DestroyLater(std::unique_ptr<stream_connection> aStream);
  void CheckDeadlines(time_point aNow);
  void ScheduleCheck();

  event_loop& mLoop;
  const session_protocol& mProtocol;
  full_handler mOnFull;
  // Channels by server id.
  std::map<std::string, channel> mChannels;
  std::uint64_t mNextGeneration = 1;
  event_loop::timer_id mTimer = 0;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SERVER_CONTROL_H_
