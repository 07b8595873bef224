// Tests of the listener on real sockets.
#include "snipewalk/connection/listener.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <memory>
#include <thread>
#include <utility>

namespace snipewalk {
namespace {

constexpr int kRounds = 10;
constexpr std::size_t kCallers = 4;
constexpr int kConnectedBeforeClose = 20;
// Fewer than the system queues, as nothing is accepted before the close.
constexpr int kMostConnections = 1000;
// Rounds in which the queue is full; in about half of them a connection is held
// back by it.
constexpr int kFullRounds = 6;
// Longer than any connection on one machine takes.
const Poco::Timespan kConnectTimeout(0, 300'000);

bool
CanConnect(const Poco::Net::SocketAddress& aAddress)
{
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(aAddress, kConnectTimeout);
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

// A listener with callers that connect until told to stop. Counts connections
// at both ends.
class connecting_callers
{
public:
  connecting_callers()
  {
    auto opened = listener::Open(
      mLoop, "127.0.0.1:0", [this](const auto&, time_point) { ++mAccepted; });
    EXPECT_TRUE(opened.ok()) << opened.status();
    mListener = *std::move(opened);
  }

  // Each caller connects until `aUntil` is true.
  template<typename Condition>
  void Start(Condition aUntil)
  {
    const Poco::Net::SocketAddress address(mListener->Address());
    for (auto& caller : mCallers) {
      caller = std::thread([this, address, aUntil] {
        while (!aUntil()) {
          (CanConnect(address) ? mConnected : mRefused) += 1;
        }
      });
    }
  }

  void Join()
  {
    for (auto& caller : mCallers) {
      caller.join();
    }
  }

  event_loop mLoop;
  std::unique_ptr<listener> mListener;
  int mAccepted = 0;
  std::atomic<int> mConnected{ 0 };
  std::atomic<int> mRefused{ 0 };

private:
  std::array<std::thread, kCallers> mCallers;
};

// Guards against a connection that is established while the listener closes,
// and is reset without having been accepted: its request would be lost.
TEST(ListenerTest, AcceptsEachConnectionEstablishedBeforeItsEnd)
{
  for (int round = 0; round < kRounds; ++round) {
    connecting_callers callers;
    std::atomic<bool> stop{ false };
    callers.Start([&] {
      return stop || callers.mConnected + callers.mRefused >= kMostConnections;
    });
    while (callers.mConnected < kConnectedBeforeClose) {
      std::this_thread::yield();
    }
    callers.mListener->Close(callers.mLoop.Now());
    stop = true;
    callers.Join();
    ASSERT_TRUE(callers.mListener->IsClosed());
    ASSERT_EQ(callers.mAccepted, callers.mConnected) << "round " << round;
  }
}

// Guards against a reset of connections that the full queue held back: their
// callers regard them as established.
TEST(ListenerTest, AcceptsConnectionsThatAFullQueueHeldBack)
{
  for (int round = 0; round < kFullRounds; ++round) {
    connecting_callers callers;
    callers.Start([&] { return callers.mRefused > 0; });
    callers.Join();
    callers.mLoop.RunOnce();
    callers.mListener->Close(callers.mLoop.Now());
    while (!callers.mListener->IsClosed()) {
      callers.mLoop.RunOnce();
    }
    ASSERT_EQ(callers.mAccepted, callers.mConnected) << "round " << round;
  }
}

} // namespace
} // namespace snipewalk
