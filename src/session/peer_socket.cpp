// Implementation of the UDP socket between instances.
#include "session/peer_socket.h"

#include "snipewalk/base/log.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <absl/strings/str_cat.h>

#include <utility>
#include <vector>

namespace snipewalk {

peer_socket::peer_socket(event_loop& aLoop, datagram_handler aOnDatagram)
  : mLoop(aLoop)
  , mOnDatagram(std::move(aOnDatagram))
{
}

peer_socket::~peer_socket()
{
  if (mOpen) {
    mLoop.Remove(mSocket);
  }
}

absl::Status
peer_socket::Open(const std::string& aAddress)
{
  try {
    mSocket.bind(Poco::Net::SocketAddress(aAddress), true);
    mSocket.setBlocking(false);
    mLoop.Add(mSocket, this, false);
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(
      absl::StrCat("cannot bind the datagram socket to ",
                   aAddress,
                   ": ",
                   error.displayText()));
  }
  mOpen = true;
  return absl::OkStatus();
}

void
peer_socket::Send(const std::string& aAddress, const peer_datagram& aDatagram)
{
  const std::string bytes = EncodeDatagram(aDatagram);
  if (bytes.size() > kMaxDatagramBytes) {
    Log(log_level::Warning,
        "peers",
        "datagram exceeds the size limit and is not sent");
    return;
  }
  try {
    mSocket.sendTo(bytes.data(),
                   static_cast<int>(bytes.size()),
                   Poco::Net::SocketAddress(aAddress));
  } catch (const Poco::Exception& error) {
    Log(log_level::Debug,
        "peers",
        "cannot send a datagram; it is dropped",
        { { "to", aAddress }, { "error", error.displayText() } });
  }
}

void
peer_socket::OnReadable(time_point aNow)
{
  thread_local std::vector<char> buffer(kMaxDatagramBytes);
  Poco::Net::SocketAddress from;
  int received = 0;
  try {
    received =
      mSocket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), from);
  } catch (const Poco::Exception&) {
    // A pending error of a datagram sent earlier, such as a closed port at the
    // receiver.
    return;
  }
  if (received <= 0) {
    return;
  }
  const auto datagram = DecodeDatagram(
    std::string_view(buffer.data(), static_cast<std::size_t>(received)));
  if (!datagram.ok()) {
    Log(log_level::Warning,
        "peers",
        "received a malformed datagram",
        { { "from", from.toString() } });
    return;
  }
  mOnDatagram(from.toString(), *datagram, aNow);
}

} // namespace snipewalk
