// Tests of the promotion call with a socket in the place of the platform.
#include "platform/promotion_call.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>
#include <optional>

namespace snipewalk::platform {
namespace {

using testing::HasSubstr;
using testing::StartsWith;

class PromotionCallTest : public testing::Test
{
protected:
  PromotionCallTest()
    : mPlatform(Poco::Net::SocketAddress("127.0.0.1", 0))
    , mClient(MakePromotionClient(mLoop, mPlatform.address().toString()))
  {
  }

  void Order()
  {
    mClient->OrderPromotion(
      { "ledger", "s2" },
      { "i1", 7, [this](time_point) { return mIsValid; } },
      [this](promotion_result aResult, time_point) { mResult = aResult; });
  }

  void RunUntilResult()
  {
    while (!mResult) {
      mLoop.RunOnce();
    }
  }

  std::string Receive(Poco::Net::StreamSocket& aSocket)
  {
    std::array<char, 1024> bytes{};
    const int count =
      aSocket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
    return { bytes.data(), static_cast<std::size_t>(count) };
  }

  event_loop mLoop;
  Poco::Net::ServerSocket mPlatform;
  std::unique_ptr<promotion_client> mClient;
  bool mIsValid = true;
  std::optional<promotion_result> mResult;
};

TEST_F(PromotionCallTest, SendsTheOrderWithHolderAndFence)
{
  Order();
  Poco::Net::StreamSocket accepted = mPlatform.acceptConnection();
  mLoop.RunOnce();
  const std::string received = Receive(accepted);
  EXPECT_THAT(received, StartsWith("POST /promote HTTP/1.1\r\n"));
  EXPECT_THAT(received, HasSubstr("Lease-Holder: i1\r\n"));
  EXPECT_THAT(received, HasSubstr("Fencing-Token: 7\r\n"));
  EXPECT_THAT(received, HasSubstr(R"("Id":"s2")"));
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  accepted.sendBytes(answer.data(), static_cast<int>(answer.size()));
  RunUntilResult();
  EXPECT_EQ(mResult, promotion_result::Accepted);
}

// Guards against an order that leaves after the lease has ended while its
// connection was being made.
TEST_F(PromotionCallTest, SendsNoOrderOnceTheAuthorityHasEnded)
{
  Order();
  mIsValid = false;
  Poco::Net::StreamSocket accepted = mPlatform.acceptConnection();
  RunUntilResult();
  EXPECT_EQ(mResult, promotion_result::NotSent);
  std::array<char, 16> bytes{};
  int count = 0;
  try {
    count = accepted.receiveBytes(bytes.data(), bytes.size());
  } catch (const Poco::Net::NetException&) {
    // The connection was reset.
  }
  EXPECT_EQ(count, 0);
}

// Guards against an order that the system goes on to deliver after its call has
// ended without an answer.
TEST_F(PromotionCallTest, ResetsTheConnectionOfAnUnansweredOrder)
{
  Order();
  Poco::Net::StreamSocket accepted = mPlatform.acceptConnection();
  RunUntilResult();
  EXPECT_EQ(mResult, promotion_result::Unknown);
  Receive(accepted);
  EXPECT_THROW(Receive(accepted), Poco::Net::ConnectionResetException);
}

// The same when the process ends.
TEST_F(PromotionCallTest, ResetsTheConnectionAtTheEndOfTheClient)
{
  Order();
  Poco::Net::StreamSocket accepted = mPlatform.acceptConnection();
  mLoop.RunOnce();
  mClient.reset();
  Receive(accepted);
  EXPECT_THROW(Receive(accepted), Poco::Net::ConnectionResetException);
}

} // namespace
} // namespace snipewalk::platform
