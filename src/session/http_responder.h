// Minimal HTTP server on the event loop for responses that are computed from
// memory: the readiness probe and the metrics page.
#ifndef SNIPEWALK_SESSION_HTTP_RESPONDER_H_
#define SNIPEWALK_SESSION_HTTP_RESPONDER_H_

#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/http_codec.h"
#include "snipewalk/connection/listener.h"
#include "snipewalk/connection/stream_connection.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

#include <absl/status/status.h>

namespace snipewalk {

class http_responder
{
public:
  using respond_function = std::function<http_response(const http_request&)>;

  http_responder(event_loop& aLoop, respond_function aRespond);

  // Errors: Unavailable when the address cannot be bound.
  absl::Status Listen(const std::string& aAddress);

private:
  struct client
  {
    std::unique_ptr<stream_connection> mStream;
    http_reader mReader;
    bool mClosing = false;
  };
  using client_entry = std::list<client>::iterator;

  void Accept(const Poco::Net::StreamSocket& aSocket);
  void OnInput(client_entry aClient, std::string& aInput);
  void CloseClient(client_entry aClient);

  event_loop& mLoop;
  respond_function mRespond;
  std::unique_ptr<listener> mListener;
  // A list, since handlers keep iterators to its elements.
  std::list<client> mClients;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_HTTP_RESPONDER_H_
