// More load than the backend servers can take, with real processes.
#include "standins/system_fleet.h"

#include <gtest/gtest.h>

namespace snipewalk::standins {
namespace {

// Guards against refusals that are not true or name no time to come back,
// against requests that are cut by their deadline after they were sent, and
// against a service that stays slow after the load.
TEST(OverloadTest, RefusesTruthfullyAndRecovers)
{
  system_options options;
  options.mConnectionsPerServer = 12;
  const auto started = system_fleet::Start(options);
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  EXPECT_TRUE(WaitFor([&] { return fleet.SlotsInUse(0) == 3; }));
  const std::size_t servers = fleet.Group(0).Servers().size();
  for (std::size_t i = 0; i < servers; ++i) {
    ASSERT_TRUE(
      fleet.Group(0).SetFaults(i, "{\"execution_delay_ms\":50}").ok());
  }
  // Three servers take 9 statements each at a time; 27 statements in 50 ms.
  // In half a second 270 sessions get an answer, of 1,080.
  ASSERT_TRUE(fleet
                .StartLoad({ "--rate=0",
                             "--sessions=1080",
                             "--seconds=5",
                             "--timeout_ms=500",
                             "--settle_seconds=10" })
                .ok());
  int refused = 0;
  for (int i = 0; i < 60; ++i) {
    caller_statement statement;
    // The account of the load: another one would get its turn beside it.
    statement.mAccount = "load";
    statement.mKind = i % 2 == 0 ? "write" : "read";
    statement.mBody = i % 2 == 0 ? "set drum/1 cleaned" : "get drum/1";
    statement.mTimeoutMs = 500;
    const auto answer = fleet.Send(i % 3, statement);
    if (!answer.Done()) {
      ++refused;
      EXPECT_EQ(answer.mOutcome, "not_run") << answer.mStatus << answer.mBody;
      EXPECT_FALSE(answer.mRetryAfter.empty()) << answer.mBody;
    }
  }
  EXPECT_GT(refused, 0);
  const auto history = fleet.FinishLoad(seconds(40));
  std::size_t done = 0;
  for (const auto& record : history) {
    EXPECT_NE(record.mOutcome, statement_outcome::Unknown)
      << NameOf(kHistoryKindNames, record.mKind) << " " << record.mReason;
    done += record.mOutcome == statement_outcome::Done ? 1 : 0;
  }
  EXPECT_GT(done, 500U);
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(fleet.Write(i, "set drum/2 cleaned").Done()) << i;
  }
}

} // namespace
} // namespace snipewalk::standins
