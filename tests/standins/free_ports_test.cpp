// Tests of the ports for processes of tests.
#include "standins/free_ports.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <gtest/gtest.h>

namespace snipewalk::standins {
namespace {

// Guards against two programs of tests that share a port, each of which gets
// some of the other's connections: listeners of callers use SO_REUSEPORT.
TEST(FreePortsTest, SkipsPortsThatAListenerWouldShare)
{
  const auto first = FreePorts(1);
  ASSERT_EQ(first.size(), 1U);
  const auto taken = static_cast<std::uint16_t>(first.front() + 1);
  Poco::Net::ServerSocket listener;
  listener.bind(Poco::Net::SocketAddress("127.0.0.1", taken), true, true);
  listener.listen();
  const auto next = FreePorts(1);
  ASSERT_EQ(next.size(), 1U);
  EXPECT_NE(next.front(), taken);
}

} // namespace
} // namespace snipewalk::standins
