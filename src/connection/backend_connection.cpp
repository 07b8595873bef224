// Implementation of the connection to a backend server.
#include "snipewalk/connection/backend_connection.h"

#include "snipewalk/base/log.h"

#include <utility>

namespace snipewalk {

backend_connection::backend_connection(event_loop& aLoop,
                                       server_endpoint aServer,
                                       handlers aHandlers)
  : mServer(std::move(aServer))
  , mHandlers(std::move(aHandlers))
{
  stream_connection::handlers stream;
  stream.mOnConnected = [this](time_point aNow) {
    if (mHandlers.mOnOpened) {
      mHandlers.mOnOpened(aNow);
    }
  };
  stream.mOnInput = [this](std::string& aInput, time_point aNow) {
    OnInput(aInput, aNow);
  };
  stream.mOnClosed = [this](close_cause aCause, time_point aNow) {
    mCall.reset();
    if (mHandlers.mOnClosed) {
      mHandlers.mOnClosed(aCause == close_cause::Refused, aNow);
    }
  };
  mStream =
    stream_connection::Connect(aLoop, mServer.mAddress, std::move(stream));
}

bool
backend_connection::Send(const backend_request& aRequest)
{
  if (!IsOpen() || IsBusy()) {
    return false;
  }
  const auto bytes = EncodeBackendRequest(aRequest, mServer.mAddress);
  if (!bytes.ok()) {
    return false;
  }
  mCall = CallOf(aRequest);
  const auto* statement = std::get_if<backend_statement>(&aRequest);
  mRequestId = statement ? statement->mRequestId : std::string();
  mStream->Send(*bytes);
  return true;
}

void
backend_connection::Close()
{
  mStream->Close();
  mCall.reset();
}

bool
backend_connection::CloseAwaitingEnd(std::function<void(time_point)> aOnEnd)
{
  mCall.reset();
  return mStream->CloseAwaitingEnd(std::move(aOnEnd));
}

void
backend_connection::OnInput(std::string& aInput, time_point aNow)
{
  if (!mCall) {
    Abandon("sent bytes without a request", aNow);
    return;
  }
  auto response = mReader.ReadResponse(aInput);
  if (!response.ok()) {
    Abandon(std::string_view(response.status().message().data(),
                             response.status().message().size()),
            aNow);
    return;
  }
  if (!*response) {
    return;
  }
  // Bytes behind the reply cannot belong to a request: none was sent.
  if (!aInput.empty()) {
    Abandon("sent bytes behind a reply", aNow);
    return;
  }
  Deliver(**response, aNow);
}

void
backend_connection::Deliver(const http_response& aResponse, time_point aNow)
{
  auto reply = DecodeBackendReply(*mCall, aResponse);
  if (!reply.ok()) {
    Abandon(std::string_view(reply.status().message().data(),
                             reply.status().message().size()),
            aNow);
    return;
  }
  // A reply to another request must never reach this one's caller.
  if (*mCall == backend_call::Statement && reply->mRequestId != mRequestId) {
    Abandon("answered another request", aNow);
    return;
  }
  mCall.reset();
  mHandlers.mOnReply(*std::move(reply), aNow);
  if (!aResponse.mKeepAlive) {
    Abandon("ended the connection after a reply", aNow);
  }
}

void
backend_connection::Abandon(std::string_view aWhy, time_point aNow)
{
  if (!mStream->IsOpen()) {
    return;
  }
  Log(log_level::Warning,
      "backend_connection",
      "closed a connection to a backend server",
      { { "server", mServer.mName }, { "cause", aWhy } });
  Close();
  if (mHandlers.mOnClosed) {
    mHandlers.mOnClosed(false, aNow);
  }
}

} // namespace snipewalk
