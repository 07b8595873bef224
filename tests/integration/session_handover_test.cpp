// Hand-overs of the failover duty between real processes while a promotion
// order is under way. The platform compares no fence numbers, so an order of
// the former holder must not reach it after one of the next holder.
#include "snipewalk/session/fleet_records.h"
#include "standins/link_network.h"
#include "standins/platform_standin.h"
#include "standins/session_caller.h"
#include "standins/session_fleet.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>
#include <thread>

namespace snipewalk::standins {
namespace {

using testing::Contains;
using testing::IsEmpty;
using testing::Pair;

// Longer than a holder waits for the answer to an order.
constexpr milliseconds kOrderTimeout{ 1'500 };
// Ample for bytes to pass a link, and for a process to take a signal.
constexpr milliseconds kDeliveryTime{ 300 };
// From a promotion until the former primary follows.
constexpr milliseconds kSuccessionTime{ 1'500 };

// An address that takes no connection while it is shut, like that of a platform
// which is too busy to accept. What is sent to it is read and not answered.
class busy_address
{
public:
  busy_address()
    : mSocket(Poco::Net::SocketAddress("127.0.0.1", 0), kBacklog)
  {
    // The system completes one connection more than the backlog.
    for (auto& each : mFillers) {
      each.connectNB(mSocket.address());
    }
    std::this_thread::sleep_for(kDeliveryTime);
  }

  std::string Address() const { return mSocket.address().toString(); }

  // Accepts connections for a while. Returns what was received on them.
  std::string AcceptFor(milliseconds aTime)
  {
    std::string received;
    const auto until = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < until) {
      if (mSocket.poll(0, Poco::Net::Socket::SELECT_READ)) {
        mAccepted.push_back(mSocket.acceptConnection());
      }
      for (auto& each : mAccepted) {
        received += Receive(each);
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
    return received;
  }

private:
  static constexpr int kBacklog = 0;

  // What has arrived; nothing if the sender has reset the connection.
  static std::string Receive(Poco::Net::StreamSocket& aSocket)
  {
    std::array<char, 1024> bytes{};
    try {
      const int count =
        aSocket.poll(0, Poco::Net::Socket::SELECT_READ)
          ? aSocket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()))
          : 0;
      return { bytes.data(), static_cast<std::size_t>(std::max(count, 0)) };
    } catch (const Poco::Net::NetException&) {
      return {};
    }
  }

  Poco::Net::ServerSocket mSocket;
  std::array<Poco::Net::StreamSocket, 2> mFillers;
  std::vector<Poco::Net::StreamSocket> mAccepted;
};

class SessionHandoverTest : public testing::Test
{
protected:
  SessionHandoverTest()
    : mNetwork(1)
    , mPlatform(3)
    , mFleet(SNIPEWALK_BINARY_DIR, testing::TempDir())
  {
  }

  void StartInstances()
  {
    for (const std::string name : { "i1", "i2", "i3" }) {
      mLinks[name] = mNetwork.Size();
      const std::string promotions =
        "127.0.0.1:" + std::to_string(mNetwork.Add(mPlatform.StoreAddress()));
      Start(name, promotions);
    }
    mHolder = AwaitHolder();
  }

  void Start(const std::string& aName, const std::string& aPromotionAddress)
  {
    mFleet.Configure(aName, mPlatform.StoreAddress(), aPromotionAddress);
    ASSERT_TRUE(mFleet.Start(aName).ok());
    ASSERT_TRUE(WaitFor([&] { return mFleet.IsReady(aName); }));
  }

  std::string AwaitHolder()
  {
    std::string holder;
    EXPECT_TRUE(WaitFor([&] {
      holder = mPlatform.DutyHolder();
      return !holder.empty();
    }));
    return holder;
  }

  // Has the primary leave, and returns once the holder has written its order,
  // which the path holds back.
  void HoldAnOrderBack()
  {
    mNetwork.SetFaults(mLinks.at(mHolder), { .mFrozen = true });
    mPlatform.Drain(mPlatform.Primary());
    ASSERT_TRUE(WaitFor(
      [&] { return mNetwork.Counts(mLinks.at(mHolder)).mBytesToTarget > 0; }));
  }

  void DeliverTheOrder()
  {
    mNetwork.SetFaults(mLinks.at(mHolder), {});
    std::this_thread::sleep_for(kDeliveryTime);
  }

  bool AwaitOrder()
  {
    return WaitFor([&] { return OrderCount() > 0; }, seconds(12));
  }

  // Whether an instance that lives acknowledges a write of the item.
  bool IsServed(const std::string& aItem)
  {
    const std::string instance = mHolder == "i1" ? "i2" : "i1";
    session_caller session(mFleet.Ports(instance).mCallers);
    return session.Start("main").mError.empty() &&
           session.Query("WRITE " + aItem + " v").mCompleted;
  }

  std::size_t OrderCount()
  {
    std::size_t count = 0;
    mPlatform.ChangePromotions([&](const promotion_service& aService) {
      count = aService.Orders().size();
    });
    return count;
  }

  std::vector<std::string> Violations()
  {
    std::vector<std::string> violations;
    mPlatform.ChangePromotions([&](const promotion_service& aService) {
      violations = aService.Violations();
    });
    return violations;
  }

  link_network mNetwork;
  platform_standin mPlatform;
  session_fleet mFleet;
  std::map<std::string, std::size_t> mLinks;
  std::string mHolder;
};

// Guards against a holder that gives the duty up while its order is under way.
TEST_F(SessionHandoverTest, NoOrderArrivesLateFromAHolderThatResigned)
{
  StartInstances();
  HoldAnOrderBack();
  mFleet.At(mHolder).Terminate();
  ASSERT_TRUE(AwaitOrder());
  DeliverTheOrder();
  EXPECT_THAT(Violations(), IsEmpty());
}

// Guards against an order that the system goes on to deliver for a process that
// has ended.
TEST_F(SessionHandoverTest, NoOrderArrivesLateFromAHolderThatWasKilled)
{
  StartInstances();
  HoldAnOrderBack();
  mFleet.At(mHolder).Kill();
  ASSERT_TRUE(AwaitOrder());
  DeliverTheOrder();
  EXPECT_THAT(Violations(), IsEmpty());
}

// The same for a process that has started again under its name: it finds itself
// named as the holder.
TEST_F(SessionHandoverTest, NoOrderArrivesLateFromAHolderThatStartedAgain)
{
  StartInstances();
  HoldAnOrderBack();
  mFleet.At(mHolder).Kill();
  const std::string platform = mPlatform.StoreAddress();
  mFleet.Configure(mHolder, platform, platform);
  ASSERT_TRUE(mFleet.Start(mHolder).ok());
  ASSERT_TRUE(AwaitOrder());
  DeliverTheOrder();
  EXPECT_THAT(Violations(), IsEmpty());
}

// Guards against an order that is still under way after its call has ended.
TEST_F(SessionHandoverTest, NoOrderArrivesLateFromAHolderThatWasStopped)
{
  StartInstances();
  HoldAnOrderBack();
  mFleet.At(mHolder).Pause();
  ASSERT_TRUE(AwaitOrder());
  mFleet.At(mHolder).Resume();
  std::this_thread::sleep_for(kDeliveryTime);
  DeliverTheOrder();
  EXPECT_THAT(Violations(), IsEmpty());
}

// Guards against the loss of all that was acknowledged since the server of a
// late order was replaced in its turn and receives nothing.
TEST_F(SessionHandoverTest, NoCommitIsLostToALateOrder)
{
  StartInstances();
  HoldAnOrderBack();
  const std::string first = mPlatform.Primary();
  mFleet.At(mHolder).Kill();
  ASSERT_TRUE(
    WaitFor([&] { return mPlatform.Primary() != first && IsServed("w0"); },
            seconds(12)));
  const std::string second = mPlatform.Primary();
  mPlatform.Drain(second);
  ASSERT_TRUE(
    WaitFor([&] { return mPlatform.Primary() != second && IsServed("w1"); },
            seconds(12)));
  mPlatform.Change([&](line_server_group& aServers, platform_store&) {
    aServers.SetDeaf(second, true);
  });
  ASSERT_TRUE(IsServed("w2"));
  DeliverTheOrder();
  std::this_thread::sleep_for(kSuccessionTime);
  const auto items = mPlatform.Items();
  EXPECT_THAT(items, Contains(Pair("w1", "v")));
  EXPECT_THAT(items, Contains(Pair("w2", "v")));
}

// Guards against an order that is written once its connection is made, although
// the lease has ended since.
TEST_F(SessionHandoverTest, NoOrderLeavesAfterTheLeaseHasEnded)
{
  busy_address busy;
  Start("i1", busy.Address());
  mHolder = AwaitHolder();
  Start("i2", mPlatform.StoreAddress());
  ASSERT_EQ(mHolder, "i1");
  mPlatform.Drain(mPlatform.Primary());
  ASSERT_TRUE(
    WaitFor([&] { return mPlatform.RecordedPhase() == "promoting"; }));
  std::this_thread::sleep_for(milliseconds(50));
  mFleet.At("i1").Pause();
  EXPECT_THAT(busy.AcceptFor(kOrderTimeout), IsEmpty());
  ASSERT_TRUE(AwaitOrder());
  mFleet.At("i1").Resume();
  EXPECT_THAT(busy.AcceptFor(kOrderTimeout), IsEmpty());
}

} // namespace
} // namespace snipewalk::standins
