// Changes of a crashed primary whose last commits no remaining replica has,
// with the session front end as real processes.
#include "standins/platform_standin.h"
#include "standins/session_caller.h"
#include "standins/session_fleet.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <thread>

namespace snipewalk::standins {
namespace {

using testing::Contains;
using testing::Pair;

// Longer than it takes to notice and to replace a crashed primary.
constexpr milliseconds kOutage{ 3'000 };
constexpr milliseconds kWriteTimeout{ 500 };

class SessionFailoverTest : public testing::Test
{
protected:
  SessionFailoverTest()
    : mPlatform(3)
    , mFleet(SNIPEWALK_BINARY_DIR, testing::TempDir())
  {
    for (const char* name : { "i1", "i2" }) {
      const std::string platform = mPlatform.StoreAddress();
      mFleet.Configure(name, platform, platform);
      EXPECT_TRUE(mFleet.Start(name).ok());
      EXPECT_TRUE(WaitFor([&] { return mFleet.IsReady(name); }));
    }
  }

  bool Write(const std::string& aItem)
  {
    session_caller session(mFleet.Ports("i1").mCallers, kWriteTimeout);
    return session.Start("main").mError.empty() &&
           session.Query("WRITE " + aItem + " v").mCompleted;
  }

  void Change(const std::function<void(line_server_group&)>& aTask)
  {
    mPlatform.Change(
      [&](line_server_group& aServers, platform_store&) { aTask(aServers); });
  }

  platform_standin mPlatform;
  session_fleet mFleet;
};

// Guards against the promotion of a replica that received nothing, after the
// only one that had the last commits has left.
TEST_F(SessionFailoverTest, WaitsForAPrimaryThatAloneHasTheLastCommits)
{
  ASSERT_TRUE(WaitFor([&] { return Write("w0"); }));
  Change([](line_server_group& aServers) { aServers.SetDeaf("s2", true); });
  ASSERT_TRUE(Write("w1"));
  Change([](line_server_group& aServers) {
    aServers.Remove("s3");
    aServers.Crash("s1");
    aServers.SetDeaf("s2", false);
  });
  const auto until = std::chrono::steady_clock::now() + kOutage;
  while (std::chrono::steady_clock::now() < until) {
    EXPECT_FALSE(Write("w2"));
  }
  Change([](line_server_group& aServers) { aServers.Restart("s1"); });
  ASSERT_TRUE(WaitFor([&] { return Write("w3"); }, seconds(10)));
  EXPECT_THAT(mPlatform.Items(), Contains(Pair("w1", "v")));
}

} // namespace
} // namespace snipewalk::standins
