// Sessions over several instances: reads of own writes, the age of data and
// forged tokens, with real processes.
#include "standins/system_fleet.h"

#include <gtest/gtest.h>

namespace snipewalk::standins {
namespace {

constexpr int kInstances = 3;
constexpr std::uint64_t kMaxAgeMs = 1'500;

caller_statement
AgedRead(const std::string& aBody, std::uint64_t aMaxAgeMs)
{
  caller_statement statement;
  statement.mBody = aBody;
  statement.mMaxAgeMs = aMaxAgeMs;
  statement.mTimeoutMs = 1'000;
  return statement;
}

// Guards against a session that reads a replica behind its own write after it
// moved to another instance.
TEST(SessionTest, ReadsOwnWritesOverAllInstancesWithLaggingReplicas)
{
  system_options options;
  options.mBackendArguments = { "--apply_lag_ms=200" };
  const auto fleet = system_fleet::Start(options);
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  std::string session;
  for (int i = 0; i < 12; ++i) {
    const std::string value = "cleaned" + std::to_string(i);
    const auto written =
      (*fleet)->Write(i % kInstances, "set drum/1 " + value, {}, session);
    ASSERT_TRUE(written.Done()) << written.mStatus << written.mBody;
    session = written.mSession;
    for (int reader = 1; reader <= kInstances; ++reader) {
      const auto read =
        (*fleet)->Read((i + reader) % kInstances, "get drum/1", session);
      ASSERT_TRUE(read.Done()) << read.mStatus << read.mBody;
      EXPECT_EQ(read.mBody, value);
      session = read.mSession.empty() ? session : read.mSession;
    }
  }
}

// Guards against a read that goes back to older data than an earlier read of
// the same session through another instance. One replica lags far behind the
// other, and each instance prefers the replica of its own data centre.
TEST(SessionTest, NeverGoesBackBehindAnEarlierRead)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const std::string primary = (*fleet)->Primary(0);
  ASSERT_TRUE(WaitFor([&] { return (*fleet)->SlotsInUse(0) == kInstances; }));
  const auto& servers = (*fleet)->Group(0).Servers();
  const std::size_t behind = servers[2].mName == primary ? 1 : 2;
  ASSERT_TRUE(
    (*fleet)->Group(0).SetFaults(behind, "{\"apply_lag_ms\":2000}").ok());
  std::string session;
  int newest = 0;
  for (int i = 1; i <= 10; ++i) {
    // Another session writes: only the reads move the reading session.
    ASSERT_TRUE((*fleet)
                  ->Write(i % kInstances, "set drum/2 " + std::to_string(i))
                  .Done());
    for (int reader = 0; reader < kInstances; ++reader) {
      const auto read = (*fleet)->Read(reader, "get drum/2", session);
      ASSERT_TRUE(read.Done()) << read.mStatus << read.mBody;
      const int seen = read.mBody.empty() ? 0 : std::stoi(read.mBody);
      EXPECT_GE(seen, newest);
      newest = std::max(newest, seen);
      session = read.mSession.empty() ? session : read.mSession;
    }
  }
}

// Guards against old data that is stated as fresh while the primary is silent
// and no other server can take its place.
TEST(SessionTest, RefusesAgedReadsOnceFreshnessCannotBeProven)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const auto written = (*fleet)->Write(0, "set drum/3 cleaned");
  ASSERT_TRUE(written.Done());
  EXPECT_TRUE(WaitFor([&] {
    return (*fleet)->Send(1, AgedRead("get drum/3", kMaxAgeMs)).Done();
  }));
  const std::string primary = (*fleet)->Primary(0);
  const std::string other =
    primary == "service1-1" ? "service1-2" : "service1-1";
  (*fleet)->Server(primary).Pause();
  (*fleet)->Server(other).Pause();
  const time_point paused = std::chrono::steady_clock::now();
  int refused = 0;
  EXPECT_TRUE(WaitFor([&] {
    for (int i = 0; i < kInstances; ++i) {
      const time_point sent = std::chrono::steady_clock::now();
      const auto read = (*fleet)->Send(i, AgedRead("get drum/3", kMaxAgeMs));
      if (!read.Done()) {
        EXPECT_EQ(read.mOutcome, "not_run") << read.mStatus << read.mBody;
        refused += read.mReason == "too_stale" ? 1 : 0;
        continue;
      }
      // The data cannot be newer than the pause of the primary.
      const auto leastAge =
        std::chrono::duration_cast<milliseconds>(sent - paused).count();
      EXPECT_TRUE(read.mDataAgeMs.has_value());
      EXPECT_LE(read.mDataAgeMs.value_or(kMaxAgeMs + 1), kMaxAgeMs);
      EXPECT_GE(static_cast<std::int64_t>(read.mDataAgeMs.value_or(0)) + 1,
                leastAge);
    }
    return refused >= 2 * kInstances;
  }));
  EXPECT_GE(refused, 2 * kInstances);
  (*fleet)->Server(primary).Resume();
  (*fleet)->Server(other).Resume();
  EXPECT_TRUE(WaitFor([&] {
    return (*fleet)->Send(0, AgedRead("get drum/3", kMaxAgeMs)).Done();
  }));
}

// Guards against a session position that a caller makes up.
TEST(SessionTest, RefusesForgedTokensAtEachInstance)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const auto written = (*fleet)->Write(0, "set drum/4 cleaned");
  ASSERT_TRUE(written.Done());
  for (int i = 0; i < kInstances; ++i) {
    for (const std::size_t at : { std::size_t{ 3 },
                                  written.mSession.size() / 2,
                                  written.mSession.size() - 3 }) {
      std::string forged = written.mSession;
      forged[at] = forged[at] == 'A' ? 'B' : 'A';
      const auto read = (*fleet)->Read(i, "get drum/4", forged);
      EXPECT_EQ(read.mStatus, 400) << read.mBody;
      EXPECT_EQ(read.mOutcome, "not_run");
      const auto refused = (*fleet)->Write(i, "set drum/4 forged", {}, forged);
      EXPECT_EQ(refused.mStatus, 400) << refused.mBody;
      EXPECT_EQ(refused.mOutcome, "not_run");
    }
  }
  EXPECT_EQ((*fleet)->Read(0, "get drum/4", written.mSession).mBody, "cleaned");
}

} // namespace
} // namespace snipewalk::standins
