// UDP socket for the datagrams between instances.
#ifndef SNIPEWALK_SESSION_PEER_SOCKET_H_
#define SNIPEWALK_SESSION_PEER_SOCKET_H_

#include "snipewalk/connection/event_loop.h"
#include "snipewalk/session/peer_datagrams.h"

#include <functional>
#include <string>

#include <Poco/Net/DatagramSocket.h>
#include <absl/status/status.h>

namespace snipewalk {

class peer_socket : public socket_handler
{
public:
  using datagram_handler = std::function<
    void(const std::string& aFrom, const peer_datagram&, time_point)>;

  peer_socket(event_loop& aLoop, datagram_handler aOnDatagram);
  ~peer_socket() override;
  peer_socket(const peer_socket&) = delete;
  peer_socket& operator=(const peer_socket&) = delete;

  // Errors: Unavailable when the address cannot be bound.
  absl::Status Open(const std::string& aAddress);
  // Sends a datagram. Datagrams that are too large or that the socket does not
  // accept are dropped.
  void Send(const std::string& aAddress, const peer_datagram& aDatagram);

  void OnReadable(time_point aNow) override;
  void OnWritable(time_point) override {}
  void OnSocketError(time_point) override {}

private:
  event_loop& mLoop;
  datagram_handler mOnDatagram;
  Poco::Net::DatagramSocket mSocket;
  bool mOpen = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_PEER_SOCKET_H_
