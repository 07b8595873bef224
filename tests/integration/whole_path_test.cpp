// The whole path with real processes: store, backend servers and instances.
#include "standins/system_fleet.h"

#include <gtest/gtest.h>

namespace snipewalk::standins {
namespace {

// Guards against a session that does not see its own write at another instance.
TEST(WholePathTest, ReadsOwnWriteThroughAnotherInstance)
{
  system_options options;
  options.mBackendArguments = { "--apply_lag_ms=50" };
  const auto fleet = system_fleet::Start(options);
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  std::string session;
  for (int i = 0; i < 30; ++i) {
    const std::string value = "cleaned" + std::to_string(i);
    const auto written =
      (*fleet)->Write(i % 3, "set drum/1 " + value, {}, session);
    ASSERT_TRUE(written.Done()) << written.mStatus << written.mBody;
    ASSERT_FALSE(written.mSession.empty());
    session = written.mSession;
    const auto read = (*fleet)->Read((i + 1) % 3, "get drum/1", session);
    ASSERT_TRUE(read.Done()) << read.mStatus << read.mBody;
    EXPECT_EQ(read.mBody, value);
  }
}

// Guards against a service that stays without writes after its primary died,
// and against an acknowledged write that is lost with the primary.
TEST(WholePathTest, FailsOverWhenThePrimaryIsKilled)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const auto before = (*fleet)->Write(0, "set drum/2 cleaned");
  ASSERT_TRUE(before.Done());
  const std::string old = (*fleet)->Primary(0);
  (*fleet)->Server(old).Kill();
  caller_answer after;
  EXPECT_TRUE(WaitFor([&] {
    after = (*fleet)->Write(1, "set drum/3 cleaned");
    return after.Done();
  }))
    << after.mStatus << after.mBody;
  EXPECT_NE((*fleet)->Primary(0), old);
  const auto read = (*fleet)->Read(2, "get drum/2", before.mSession);
  EXPECT_EQ(read.mBody, "cleaned") << read.mStatus << read.mReason;
}

// Guards against a leaving server that still serves, and against requests that
// fail while its role moves.
TEST(WholePathTest, DrainsTheLeavingPrimary)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const std::string leaving = (*fleet)->Primary(0);
  ASSERT_TRUE((*fleet)->PutDocument(0, { leaving }).ok());
  EXPECT_TRUE(WaitFor([&] {
    const auto written = (*fleet)->Write(0, "set drum/4 cleaned");
    EXPECT_TRUE(written.Done()) << written.mStatus << written.mBody;
    return (*fleet)->Primary(0) != leaving && !(*fleet)->Primary(0).empty();
  }));
}

// Guards against a shutdown that cuts requests or never ends.
TEST(WholePathTest, ShutsDownGracefully)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  EXPECT_EQ((*fleet)->StopInstance(0, seconds(20)), 0);
  EXPECT_TRUE((*fleet)->Write(1, "set drum/5 cleaned").Done());
}

} // namespace
} // namespace snipewalk::standins
