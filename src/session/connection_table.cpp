// Implementation of the sockets of the session front end.
#include "session/connection_table.h"

#include "snipewalk/base/log.h"

#include <utility>

namespace snipewalk {

connection_table::connection_table(event_loop& aLoop,
                                   const session_protocol& aProtocol)
  : mLoop(aLoop)
  , mProtocol(aProtocol)
{
}

absl::Status
connection_table::Listen(const std::string& aAddress)
{
  auto opened = listener::Open(mLoop,
                               aAddress,
                               [this](const Poco::Net::StreamSocket& aSocket,
                                      time_point) { Accept(aSocket); });
  if (!opened.ok()) {
    return opened.status();
  }
  mListener = *std::move(opened);
  return absl::OkStatus();
}

void
connection_table::StopListening(time_point aNow)
{
  if (mListener) {
    mListener->Close(aNow);
  }
}

void
connection_table::Accept(const Poco::Net::StreamSocket& aSocket)
{
  const session_id id = mNextSession++;
  mCallers[id].mStream = stream_connection::Adopt(
    mLoop,
    aSocket,
    { {},
      [this, id](std::string& aInput, time_point aNow) {
        OnCallerInput(id, aInput, aNow);
      },
      [this, id](close_cause, time_point aNow) {
        mEngine->OnCallerClosed(id, aNow);
        CloseCaller(id);
      } });
}

void
connection_table::OnCallerInput(session_id aSession,
                                std::string& aInput,
                                time_point aNow)
{
  if (mBeforeInput) {
    mBeforeInput(aNow);
  }
  while (mCallers.contains(aSession)) {
    const auto message = mProtocol.ReadCaller(aInput);
    if (message.ok() && !*message) {
      return;
    }
    if (!message.ok()) {
      Log(log_level::Info,
          "session",
          "malformed input of a caller",
          { { "error", std::string(message.status().message()) } });
      mEngine->OnCallerClosed(aSession, aNow);
      Refuse(aSession, result_code::Malformed, "malformed message");
      return;
    }
    mEngine->OnCaller(aSession, **message, aNow);
  }
  aInput.clear();
}

void
connection_table::SendToCaller(session_id aSession, const std::string& aBytes)
{
  const auto found = mCallers.find(aSession);
  if (found != mCallers.end()) {
    found->second.mStream->Send(aBytes);
  }
}

void
connection_table::Opened(session_id aSession)
{
  SendToCaller(aSession, mProtocol.WriteOpened());
}

void
connection_table::Reply(session_id aSession, const statement_reply& aReply)
{
  SendToCaller(aSession, mProtocol.WriteReply(aReply));
}

void
connection_table::Refuse(session_id aSession,
                         result_code aCode,
                         const std::string& aText)
{
  SendToCaller(aSession, mProtocol.WriteRefusal(aCode, aText));
  CloseCaller(aSession);
}

void
connection_table::CloseCaller(session_id aSession)
{
  const auto found = mCallers.find(aSession);
  if (found == mCallers.end()) {
    return;
  }
  std::unique_ptr<stream_connection> stream = std::move(found->second.mStream);
  mCallers.erase(found);
  stream->CloseAfterOutput();
  Bury(std::move(stream));
}

void
connection_table::Bury(std::unique_ptr<stream_connection> aStream)
{
  // Output that the socket did not take at once gets this long.
  constexpr milliseconds kLinger{ 2'000 };
  const bool open = aStream->IsOpen();
  mLoop.RunAt(mLoop.Now() + (open ? kLinger : milliseconds(0)),
              [stream = std::shared_ptr<stream_connection>(std::move(aStream))](
                time_point) { stream->Close(); });
}

void
connection_table::OpenServer(server_connection_id aConnection,
                             const server_entry& aServer)
{
  server& opened = mServers[aConnection];
  const std::string hello = mProtocol.WriteOpen(aServer.mService, aServer.mId);
  opened.mStream = stream_connection::Connect(
    mLoop,
    aServer.mAddress,
    { [this, aConnection, hello](time_point) {
       const auto found = mServers.find(aConnection);
       if (found != mServers.end()) {
         found->second.mStream->Send(hello);
       }
     },
      [this, aConnection](std::string& aInput, time_point aNow) {
        OnServerInput(aConnection, aInput, aNow);
      },
      [this, aConnection](close_cause, time_point aNow) {
        CloseServer(aConnection);
        mEngine->OnServerClosed(aConnection, aNow);
      } });
}

void
connection_table::OnServerInput(server_connection_id aConnection,
                                std::string& aInput,
                                time_point aNow)
{
  while (true) {
    const auto found = mServers.find(aConnection);
    if (found == mServers.end()) {
      aInput.clear();
      return;
    }
    const auto reply = mProtocol.ReadReply(aInput, found->second.mOpening);
    if (reply.ok() && !*reply) {
      return;
    }
    if (!reply.ok()) {
      Log(log_level::Warning,
          "session",
          "malformed answer of a server",
          { { "error", std::string(reply.status().message()) } });
      CloseServer(aConnection);
      mEngine->OnServerClosed(aConnection, aNow);
      return;
    }
    found->second.mOpening = false;
    mEngine->OnServerReply(aConnection, **reply, aNow);
  }
}

void
connection_table::Send(server_connection_id aConnection,
                       const std::vector<server_command>& aCommands)
{
  const auto found = mServers.find(aConnection);
  if (found == mServers.end()) {
    return;
  }
  std::string bytes;
  for (const auto& command : aCommands) {
    bytes += mProtocol.WriteCommand(command);
  }
  found->second.mStream->Send(bytes);
}

void
connection_table::CloseServer(server_connection_id aConnection)
{
  const auto found = mServers.find(aConnection);
  if (found == mServers.end()) {
    return;
  }
  std::unique_ptr<stream_connection> stream = std::move(found->second.mStream);
  mServers.erase(found);
  stream->Close();
  Bury(std::move(stream));
}

} // namespace snipewalk
