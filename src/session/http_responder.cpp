// Implementation of the minimal HTTP server.
#include "session/http_responder.h"

#include <utility>

namespace snipewalk {

http_responder::http_responder(event_loop& aLoop, respond_function aRespond)
  : mLoop(aLoop)
  , mRespond(std::move(aRespond))
{
}

absl::Status
http_responder::Listen(const std::string& aAddress)
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
http_responder::Accept(const Poco::Net::StreamSocket& aSocket)
{
  const auto entry = mClients.emplace(mClients.end());
  entry->mStream = stream_connection::Adopt(
    mLoop,
    aSocket,
    { {},
      [this, entry](std::string& aInput, time_point) {
        OnInput(entry, aInput);
      },
      [this, entry](close_cause, time_point) { CloseClient(entry); } });
}

void
http_responder::OnInput(client_entry aClient, std::string& aInput)
{
  while (!aClient->mClosing) {
    const auto request = aClient->mReader.ReadRequest(aInput);
    if (request.ok() && !*request) {
      return;
    }
    if (!request.ok()) {
      CloseClient(aClient);
      return;
    }
    http_response response = mRespond(**request);
    response.mKeepAlive = (*request)->mKeepAlive;
    aClient->mStream->Send(WriteResponse(response));
    if (!response.mKeepAlive) {
      aClient->mStream->CloseAfterOutput();
      CloseClient(aClient);
      return;
    }
  }
  aInput.clear();
}

void
http_responder::CloseClient(client_entry aClient)
{
  // Destroyed after a fixed delay: responses are small, and output that the
  // socket has not accepted by then is discarded.
  if (std::exchange(aClient->mClosing, true)) {
    return;
  }
  mLoop.RunAt(mLoop.Now() + milliseconds(500),
              [this, aClient](time_point) { mClients.erase(aClient); });
}

} // namespace snipewalk
