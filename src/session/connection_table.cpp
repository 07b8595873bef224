// Implementation of the connection table: callers and backend servers.
#include "session/connection_table.h"

#include "snipewalk/base/log.h"

#include <utility>
#include <vector>

namespace snipewalk {

connection_table::connection_table(event_loop& aLoop,
                                   const session_protocol& aProtocol,
                                   forwarding_links& aLinks)
  : mLoop(aLoop)
  , mProtocol(aProtocol)
  , mLinks(aLinks)
  , mForwarder(aLoop, aProtocol, aLinks, *this)
{
}

absl::Status
connection_table::Open(const std::string& aAddress,
                       bool aFromPeers,
                       std::unique_ptr<listener>& aListener)
{
  auto opened = listener::Open(
    mLoop,
    aAddress,
    [this, aFromPeers](const Poco::Net::StreamSocket& aSocket, time_point) {
      Accept(aSocket, aFromPeers);
    });
  if (!opened.ok()) {
    return opened.status();
  }
  aListener = *std::move(opened);
  return absl::OkStatus();
}

absl::Status
connection_table::Listen(const std::string& aAddress)
{
  return Open(aAddress, false, mListener);
}

absl::Status
connection_table::ListenForPeers(const std::string& aAddress)
{
  return Open(aAddress, true, mPeerListener);
}

void
connection_table::StopListening(time_point aNow)
{
  if (mListener) {
    mListener->Close(aNow);
  }
}

void
connection_table::StopListeningForPeers(time_point aNow)
{
  if (mPeerListener) {
    mPeerListener->Close(aNow);
  }
}

bool
connection_table::StoppedListening() const
{
  return (!mListener || mListener->IsClosed()) &&
         (!mPeerListener || mPeerListener->IsClosed());
}

void
connection_table::Accept(const Poco::Net::StreamSocket& aSocket, bool aFromPeer)
{
  const session_id id = mNextSession++;
  caller& accepted = mCallers[id];
  accepted.mFromPeer = aFromPeer;
  accepted.mServedLocally = aFromPeer;
  accepted.mStream = stream_connection::Adopt(
    mLoop,
    aSocket,
    { {},
      [this, id](std::string& aInput, time_point aNow) {
        OnCallerInput(id, aInput, aNow);
      },
      [this, id](close_cause, time_point aNow) {
        mForwarder.OnCallerClosed(id);
        mEngine->OnCallerClosed(id, aNow);
        CloseCallerConnection(id);
      } });
}

absl::StatusOr<std::optional<connection_table::received_message>>
connection_table::ReadMessage(session_id aSession,
                              std::string& aInput,
                              time_point aNow)
{
  const caller& from = mCallers.at(aSession);
  if (from.mFromPeer) {
    return ReadFromPeer(aSession, aInput, aNow);
  }
  received_message received;
  if (!from.mServedLocally) {
    received.mBytes = aInput;
  }
  auto message = mProtocol.ReadCallerMessage(aInput);
  if (!message.ok()) {
    return message.status();
  }
  if (!*message) {
    return std::nullopt;
  }
  if (!from.mServedLocally) {
    received.mBytes.resize(received.mBytes.size() - aInput.size());
  }
  received.mMessage = **std::move(message);
  return received;
}

void
connection_table::Deliver(session_id aSession,
                          const received_message& aReceived,
                          time_point aNow)
{
  if (mForwarder.IsForwarding(aSession)) {
    mForwarder.OnCallerMessage(
      aSession, aReceived.mMessage, aReceived.mBytes, aNow);
    return;
  }
  caller& from = mCallers.at(aSession);
  const auto* open = std::get_if<open_session>(&aReceived.mMessage);
  if (open != nullptr && !from.mServedLocally) {
    if (const auto host = mLinks.HostFor(*open, aNow)) {
      mForwarder.Open(aSession, *host, *open, aReceived.mBytes, aNow);
      return;
    }
  }
  from.mServedLocally = true;
  mEngine->OnCallerMessage(aSession, aReceived.mMessage, aNow);
}

void
connection_table::CloseMalformed(session_id aSession,
                                 const absl::Status& aStatus,
                                 time_point aNow)
{
  Log(log_level::Info,
      "session",
      "malformed message from a caller; closing the session",
      { { "error", std::string(aStatus.message()) } });
  mForwarder.OnCallerClosed(aSession);
  mEngine->OnCallerClosed(aSession, aNow);
  RefuseSession(aSession, result_code::Malformed, "malformed message");
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
    const auto received = ReadMessage(aSession, aInput, aNow);
    if (!received.ok()) {
      CloseMalformed(aSession, received.status(), aNow);
      return;
    }
    if (!*received) {
      return;
    }
    Deliver(aSession, **received, aNow);
    if (mAfterInput) {
      mAfterInput(aNow);
    }
  }
  aInput.clear();
}

void
connection_table::SendToCaller(session_id aSession, const std::string& aBytes)
{
  const auto found = mCallers.find(aSession);
  if (found == mCallers.end()) {
    return;
  }
  caller& to = found->second;
  to.mStream->Send(to.mFromPeer
                     ? EncodeForwardedBytes(mLinks.DesiredRevision(), aBytes)
                     : aBytes);
}

void
connection_table::AcceptSession(session_id aSession)
{
  SendToCaller(aSession, mProtocol.WriteSessionOpened());
}

void
connection_table::SendReply(session_id aSession, const statement_reply& aReply)
{
  SendToCaller(aSession, mProtocol.WriteReply(aReply));
}

void
connection_table::RefuseSession(session_id aSession,
                                result_code aCode,
                                const std::string& aText)
{
  SendToCaller(aSession, mProtocol.WriteRefusal(aCode, aText));
  CloseCallerConnection(aSession);
}

void
connection_table::CloseCallerConnection(session_id aSession)
{
  const auto found = mCallers.find(aSession);
  if (found == mCallers.end()) {
    return;
  }
  std::unique_ptr<stream_connection> stream = std::move(found->second.mStream);
  mCallers.erase(found);
  mHeld.erase(aSession);
  stream->CloseAfterOutput();
  DestroyLater(std::move(stream));
}

void
connection_table::DestroyLater(std::unique_ptr<stream_connection> aStream)
{
  // Time limit for sending output that the socket has not accepted yet.
  constexpr milliseconds kOutputTimeout{ 2'000 };
  const bool open = aStream->IsOpen();
  mLoop.RunAt(mLoop.Now() + (open ? kOutputTimeout : milliseconds(0)),
              [stream = std::shared_ptr<stream_connection>(std::move(aStream))](
                time_point) { stream->Close(); });
}

void
connection_table::OpenServerConnection(server_connection_id aConnection,
                                       const registered_server& aServer,
                                       const std::string& aAccount)
{
  server& opened = mServers[aConnection];
  const std::string openingMessage =
    mProtocol.WriteServerOpening(aServer, aAccount);
  opened.mStream = stream_connection::Connect(
    mLoop,
    aServer.mAddress,
    { [this, aConnection, openingMessage](time_point) {
       const auto found = mServers.find(aConnection);
       if (found != mServers.end()) {
         found->second.mStream->Send(openingMessage);
       }
     },
      [this, aConnection](std::string& aInput, time_point aNow) {
        OnServerInput(aConnection, aInput, aNow);
      },
      [this, aConnection](close_cause, time_point aNow) {
        CloseServerConnection(aConnection);
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
          "malformed reply from a server; closing the connection",
          { { "error", std::string(reply.status().message()) } });
      CloseServerConnection(aConnection);
      mEngine->OnServerClosed(aConnection, aNow);
      return;
    }
    found->second.mOpening = false;
    mEngine->OnServerReply(aConnection, **reply, aNow);
  }
}

void
connection_table::SendCommands(server_connection_id aConnection,
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
connection_table::CloseServerConnection(server_connection_id aConnection)
{
  const auto found = mServers.find(aConnection);
  if (found == mServers.end()) {
    return;
  }
  std::unique_ptr<stream_connection> stream = std::move(found->second.mStream);
  mServers.erase(found);
  stream->Close();
  DestroyLater(std::move(stream));
}

} // namespace snipewalk
