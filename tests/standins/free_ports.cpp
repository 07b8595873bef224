// Implementation of the ports of tests. Each test process claims whole blocks
// of ports: a socket at the first port of a block stays open for as long as the
// process runs. A check of single ports is not enough, as a port is taken by a
// program only some time after it was found free.
#include "standins/free_ports.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <unistd.h>

#include <list>

namespace snipewalk::standins {

namespace {

// Below the range from which the kernel takes ports of outgoing connections,
// so that none of those takes a port between the check and its use.
constexpr int kFirstPort = 10'000;
constexpr int kPortBlock = 100;
constexpr int kBlocks = 200;

// Without SO_REUSEPORT: the port counts as taken although the program that
// listens there would share it.
void
Bind(Poco::Net::ServerSocket& aSocket, std::uint16_t aPort)
{
  aSocket.bind(Poco::Net::SocketAddress("127.0.0.1", aPort), true, false);
}

// For TCP and UDP: a control port uses both.
bool
IsFree(std::uint16_t aPort)
{
  try {
    Poco::Net::ServerSocket stream;
    Bind(stream, aPort);
    stream.listen();
    const Poco::Net::DatagramSocket datagram(
      Poco::Net::SocketAddress("127.0.0.1", aPort));
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

// The blocks that this process claimed.
class port_blocks
{
public:
  // Zero when no port is left.
  std::uint16_t Next()
  {
    while (mNext == mEnd) {
      if (mTried == kBlocks) {
        return 0;
      }
      Claim((getpid() + mTried++) % kBlocks);
    }
    return mNext++;
  }

private:
  void Claim(int aBlock)
  {
    const auto first =
      static_cast<std::uint16_t>(kFirstPort + aBlock * kPortBlock);
    Poco::Net::ServerSocket guard;
    try {
      Bind(guard, first);
      guard.listen();
    } catch (const Poco::Exception&) {
      return;
    }
    mGuards.push_back(guard);
    mNext = static_cast<std::uint16_t>(first + 1);
    mEnd = static_cast<std::uint16_t>(first + kPortBlock);
  }

  // Children do not inherit them: child_process closes all other descriptors.
  std::list<Poco::Net::ServerSocket> mGuards;
  // Ports from mNext to mEnd are in the last block claimed and not used yet.
  std::uint16_t mNext = 0;
  std::uint16_t mEnd = 0;
  int mTried = 0;
};

} // namespace

std::vector<std::uint16_t>
FreePorts(std::size_t aCount)
{
  static port_blocks blocks;
  std::vector<std::uint16_t> ports;
  while (ports.size() < aCount) {
    const std::uint16_t port = blocks.Next();
    if (port == 0) {
      break;
    }
    if (IsFree(port)) {
      ports.push_back(port);
    }
  }
  return ports;
}

} // namespace snipewalk::standins
