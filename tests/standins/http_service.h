// HTTP/1.1 server of the stand-ins on an event loop. One request a connection
// is handed out at a time; its answer may be given at any later time.
#ifndef SNIPEWALK_STANDINS_HTTP_SERVICE_H_
#define SNIPEWALK_STANDINS_HTTP_SERVICE_H_

#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/http_codec.h"
#include "snipewalk/connection/stream_connection.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <Poco/Net/ServerSocket.h>

namespace snipewalk::standins {

using connection_number = std::uint64_t;

class http_service : private socket_handler
{
public:
  struct handlers
  {
    std::function<void(connection_number, http_request, time_point)> mOnRequest;
    // The peer closed the connection; not called after Close().
    std::function<void(connection_number)> mOnClosed;
    // A connection was established; may be empty.
    std::function<void(connection_number)> mOnOpened;
  };

  http_service(event_loop& aLoop, handlers aHandlers);
  ~http_service() override;
  http_service(const http_service&) = delete;
  http_service& operator=(const http_service&) = delete;

  // Listens on 127.0.0.1; port 0 takes a free one. Returns the port. Throws
  // Poco::Exception when the port is taken.
  std::uint16_t Listen(std::uint16_t aPort);
  // Stops listening and closes all connections without mOnClosed.
  void Shut();
  bool IsListening() const { return mListening; }

  // Time between accepting a connection and reading from it.
  void SetSetUpDelay(milliseconds aDelay) { mSetUpDelay = aDelay; }

  // Answers the connection's outstanding request. Ignored when it is gone.
  void Answer(connection_number aConnection, const http_response& aResponse);
  void Close(connection_number aConnection);
  std::size_t Connections() const { return mConnections.size(); }

private:
  struct client
  {
    std::unique_ptr<stream_connection> mStream;
    http_reader mReader;
    // A request was handed out and not answered yet.
    bool mBusy = false;
    bool mKeepAlive = true;
    // Input that arrived while busy; read again after the answer.
    std::string mPending;
  };

  void OnReadable(time_point aNow) override;
  void OnWritable(time_point) override {}
  void OnSocketError(time_point) override {}
  void Open(const Poco::Net::StreamSocket& aSocket);
  void Read(connection_number aConnection, time_point aNow);
  // Destroys the connection once no handler of it can be running.
  void Release(connection_number aConnection);
  void ReleaseOnceClosed(connection_number aConnection);

  event_loop& mLoop;
  handlers mHandlers;
  Poco::Net::ServerSocket mSocket;
  bool mListening = false;
  milliseconds mSetUpDelay{ 0 };
  connection_number mNext = 1;
  std::unordered_map<connection_number, client> mConnections;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

// Response with a JSON body.
http_response
JsonResponse(int aStatus, std::string aBody);

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_HTTP_SERVICE_H_
