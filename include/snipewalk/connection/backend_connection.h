// One connection to a backend server with at most one outstanding request.
#ifndef SNIPEWALK_CONNECTION_BACKEND_CONNECTION_H_
#define SNIPEWALK_CONNECTION_BACKEND_CONNECTION_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/backend_adapter.h"
#include "snipewalk/connection/http_codec.h"
#include "snipewalk/connection/stream_connection.h"
#include "snipewalk/messages/backend_messages.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace snipewalk {

// Loop thread only. A handler may call Send() and Close(), but must not destroy
// the connection before it returned: post the destruction to the loop.
class backend_connection
{
public:
  struct handlers
  {
    std::function<void(time_point aNow)> mOnOpened;
    // Called once, not after Close(). `aRefused`: it was never established. An
    // outstanding request gets no reply.
    std::function<void(bool aRefused, time_point aNow)> mOnClosed;
    std::function<void(backend_reply aReply, time_point aNow)> mOnReply;
  };

  // Starts to connect; the handlers are called from the loop.
  backend_connection(event_loop& aLoop,
                     server_endpoint aServer,
                     handlers aHandlers);
  backend_connection(const backend_connection&) = delete;
  backend_connection& operator=(const backend_connection&) = delete;

  // Sends a request. False, with no byte sent, when the connection is not open,
  // a request is outstanding, or the request cannot be encoded.
  bool Send(const backend_request& aRequest);

  void Close();
  // See stream_connection::CloseAwaitingEnd.
  bool CloseAwaitingEnd(std::function<void(time_point)> aOnEnd);

  bool IsOpen() const { return mStream->IsConnected(); }
  bool IsBusy() const { return mCall.has_value(); }
  const server_endpoint& Server() const { return mServer; }

private:
  void OnInput(std::string& aInput, time_point aNow);
  void Deliver(const http_response& aResponse, time_point aNow);
  // Closes because the server broke the protocol or ends the connection.
  void Abandon(std::string_view aWhy, time_point aNow);

  server_endpoint mServer;
  handlers mHandlers;
  http_reader mReader{ kBackendReplyLimits };
  // Kind and id of the outstanding request.
  std::optional<backend_call> mCall;
  std::string mRequestId;
  std::unique_ptr<stream_connection> mStream;
};

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_BACKEND_CONNECTION_H_
