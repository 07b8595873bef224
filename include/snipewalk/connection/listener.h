// Accepts TCP connections on an event loop. Several listeners share an address
// by SO_REUSEPORT, one a traffic thread.
#ifndef SNIPEWALK_CONNECTION_LISTENER_H_
#define SNIPEWALK_CONNECTION_LISTENER_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/event_loop.h"

#include <functional>
#include <memory>
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

  // Accepts what the system queued already, then stops listening.
  void Close(time_point aNow);

  void OnReadable(time_point aNow) override;
  void OnWritable(time_point) override {}
  void OnSocketError(time_point) override {}

private:
  listener(event_loop& aLoop, accept_handler aOnAccept);
  // False when no connection could be accepted.
  bool AcceptOne(time_point aNow);
  void Pause(time_point aNow);

  event_loop& mLoop;
  accept_handler mOnAccept;
  Poco::Net::ServerSocket mSocket;
  bool mOpen = false;
  event_loop::timer_id mResume = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_LISTENER_H_
