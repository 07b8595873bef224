// Graceful shutdown of instances with real processes under load.
#include "standins/system_fleet.h"

#include <absl/strings/str_cat.h>

#include <gtest/gtest.h>

#include <future>
#include <thread>
#include <vector>

namespace snipewalk::standins {
namespace {

// Five statements take longer than the notice, the release of the slots (5 s at
// most) and the quiet time after it.
constexpr milliseconds kStatementSpacing{ 2'000 };
constexpr int kRequestsUnderWay = 5;
constexpr milliseconds kUntilUnderWay{ 200 };
constexpr milliseconds kAfterSignal{ 400 };

// Guards against a rolling restart that cuts requests of callers which
// reconnect elsewhere.
TEST(ShutdownTest, RollingRestartUnderLoadCutsNoRequest)
{
  const auto started = system_fleet::Start({});
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  ASSERT_TRUE(
    fleet
      .StartLoad(
        { "--rate=200", "--sessions=30", "--seconds=12", "--settle_seconds=5" })
      .ok());
  for (int i = 0; i < fleet.Instances(); ++i) {
    EXPECT_EQ(fleet.StopInstance(i, seconds(20)), 0) << i;
    ASSERT_TRUE(fleet.StartInstance(i).ok());
    EXPECT_TRUE(WaitFor([&] { return fleet.Write(i, "set ready yes").Done(); }))
      << i;
  }
  EXPECT_TRUE(WaitFor([&] { return fleet.SlotsInUse(0) == 3; }, seconds(20)));
  const auto history = fleet.FinishLoad(seconds(40));
  EXPECT_GT(history.size(), 500U);
  for (const auto& record : history) {
    EXPECT_NE(record.mOutcome, statement_outcome::Unknown)
      << NameOf(kHistoryKindNames, record.mKind) << " " << record.mReason;
    EXPECT_NE(record.mReason, "caller_connection_lost");
  }
}

// Guards against a shutdown that cuts requests under way: a load of short ones
// may have none at the moment of the signal.
TEST(ShutdownTest, RequestsUnderWayAreAnswered)
{
  const auto started = system_fleet::Start({});
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  child_process& primary = fleet.Server(fleet.Primary(0));
  primary.Pause();
  std::vector<std::future<caller_answer>> answers;
  answers.reserve(kRequestsUnderWay);
  for (int i = 0; i < kRequestsUnderWay; ++i) {
    answers.push_back(std::async(std::launch::async, [&fleet, i] {
      return fleet.Write(0, absl::StrCat("set drum/", i, " cleaned"));
    }));
  }
  std::this_thread::sleep_for(kUntilUnderWay);
  child_process& instance = fleet.Processes().At(system_fleet::InstanceName(0));
  instance.Terminate();
  // Longer than the notice, shorter than the silence limit of the primary.
  std::this_thread::sleep_for(kAfterSignal);
  primary.Resume();
  for (auto& answer : answers) {
    const caller_answer got = answer.get();
    EXPECT_TRUE(got.Done()) << got.mStatus << got.mBody;
  }
  EXPECT_EQ(instance.Wait(seconds(20)).value_or(-1), 0);
}

// Guards against a shutdown that aborts a transaction its instance holds, also
// one that lasts longer than the notice and the release of slots.
TEST(ShutdownTest, OpenTransactionFinishes)
{
  const auto started = system_fleet::Start({});
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  caller_statement statement;
  statement.mKind = "begin";
  const auto begun = fleet.Send(0, statement);
  ASSERT_TRUE(begun.Done()) << begun.mStatus << begun.mBody;
  child_process& holder = fleet.Processes().At(system_fleet::InstanceName(0));
  holder.Terminate();
  statement.mTransaction = begun.mTransaction;
  statement.mKind = "write";
  statement.mBody = "set drum/1 cleaned";
  for (int i = 0; i < 5; ++i) {
    const auto written = fleet.Send(1, statement);
    ASSERT_TRUE(written.Done()) << written.mStatus << written.mBody;
    std::this_thread::sleep_for(kStatementSpacing);
  }
  statement.mKind = "commit";
  statement.mBody.clear();
  const auto committed = fleet.Send(2, statement);
  EXPECT_TRUE(committed.Done()) << committed.mStatus << committed.mBody;
  EXPECT_EQ(holder.Wait(seconds(20)).value_or(-1), 0);
  EXPECT_EQ(fleet.Read(1, "get drum/1", committed.mSession).mBody, "cleaned");
}

// Guards against slots that stay with an instance that left.
TEST(ShutdownTest, SlotsAreTakenOver)
{
  system_options options;
  options.mInstances = 4;
  const auto started = system_fleet::Start(options);
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  EXPECT_TRUE(WaitFor([&] { return fleet.SlotsInUse(0) == 3; }));
  int holder = 0;
  while (holder < 3 && fleet.ServiceState(holder, 0)["share"].asInt() == 0) {
    ++holder;
  }
  EXPECT_EQ(fleet.StopInstance(holder, seconds(20)), 0);
  EXPECT_TRUE(WaitFor([&] { return fleet.SlotsInUse(0) == 3; }, seconds(20)));
}

} // namespace
} // namespace snipewalk::standins
