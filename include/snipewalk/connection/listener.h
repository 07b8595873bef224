// Accepts TCP connections on an event loop. Several listeners share an address
// by SO_REUSEPORT, one a traffic thread.
#ifndef SNIPEWALK_CONNECTION_LISTENER_H_
#define SNIPEWALK_CONNECTION_LISTENER_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/event_loop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/status/statusor.h>

namespace snipewalk {

class listener : public socket_handler
{
public:
  using accept_handler =
    std::function<void(const Poco::Net::StreamSocket&, time_point)>;

  // Binds to "IP:port"; port 0 lets the system choose. Errors: Unavailable when
  // the address cannot be bound. Loop thread only, or before the loop runs.
  static absl::StatusOr<std::unique_ptr<listener>> Open(
    event_loop& aLoop,
    const std::string& aAddress,
    accept_handler aOnAccept);

  ~listener() override;
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  // "IP:port" with the port in use.
  std::string Address() const;

  // Accepts what the system queued already, then stops listening. If the queue
  // was full a moment ago, accepts connections that it held back for about a
  // second more, but no new ones.
  void Close(time_point aNow);

  // True once no connection can be accepted any more.
  bool IsClosed() const { return !mOpen; }

  void OnReadable(time_point aNow) override;
  void OnWritable(time_point) override {}
  void OnSocketError(time_point) override {}

private:
  listener(event_loop& aLoop, accept_handler aOnAccept);
  // False when no connection could be accepted.
  bool AcceptOne(time_point aNow);
  void Pause(time_point aNow);
  void CloseSocket();

  event_loop& mLoop;
  accept_handler mOnAccept;
  Poco::Net::ServerSocket mSocket;
  bool mOpen = false;
  // Set once new connections are dropped.
  bool mClosing = false;
  // When the system's queue of this socket was last seen full.
  std::optional<time_point> mQueueFullAt;
  event_loop::timer_id mResume = 0;
  event_loop::timer_id mCloseTimer = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_LISTENER_H_
