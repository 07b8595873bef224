// A system whose store is out, slow or limits the rate of calls.
#include "standins/system_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>
#include <vector>

namespace snipewalk::standins {
namespace {

std::uint64_t
Calls(const system_fleet& aFleet)
{
  std::uint64_t sum = 0;
  const Json::Value stats = aFleet.StoreStats();
  if (stats.isObject()) {
    for (const auto& count : stats["calls"]) {
      sum += count.asUInt64();
    }
  }
  return sum;
}

// Most calls of the store within about a second; the windows are a little
// longer, which makes the figure an upper bound.
std::uint64_t
BusiestSecond(const system_fleet& aFleet, milliseconds aTime)
{
  constexpr milliseconds kStep{ 100 };
  constexpr std::size_t kSteps = 10;
  std::vector<std::uint64_t> counts;
  std::uint64_t most = 0;
  for (milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
    counts.push_back(Calls(aFleet));
    const std::size_t first =
      counts.size() > kSteps ? counts.size() - 1 - kSteps : 0;
    most = std::max(most, counts.back() - counts[first]);
    std::this_thread::sleep_for(kStep);
  }
  return most;
}

// Guards against statements that need the store.
TEST(StoreOutageTest, StatementsGoOnWithoutTheStore)
{
  const auto started = system_fleet::Start({});
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  ASSERT_TRUE(fleet.SetStoreFaults("{\"outage\":\"refuse\"}").ok());
  std::string session;
  // Longer than the time for which a holder's authority lasts unconfirmed.
  for (int round = 0; round < 70; ++round) {
    const std::string value = "cleaned" + std::to_string(round);
    const auto written =
      fleet.Write(round % 3, "set drum/1 " + value, {}, session);
    ASSERT_TRUE(written.Done()) << round << written.mStatus << written.mBody;
    session = written.mSession;
    const auto read = fleet.Read((round + 1) % 3, "get drum/1", session);
    ASSERT_TRUE(read.Done()) << round << read.mStatus << read.mBody;
    EXPECT_EQ(read.mBody, value);
    std::this_thread::sleep_for(milliseconds(100));
  }
  EXPECT_GT(
    fleet.Admin(0, "/v1/state")["store_unreachable_for_ms"].asInt64() +
      fleet.Admin(1, "/v1/state")["store_unreachable_for_ms"].asInt64() +
      fleet.Admin(2, "/v1/state")["store_unreachable_for_ms"].asInt64(),
    0);
}

// Guards against instances that all call the store at once when it returns, or
// that answer its limits with more calls.
TEST(StoreOutageTest, ReturnOfTheStoreCausesNoStampede)
{
  constexpr std::uint64_t kCallsPerInstance = 10;
  // Default of store.calls_per_second in the settings.
  constexpr std::uint64_t kSettingsLimit = 20;
  system_options options;
  options.mInstances = 8;
  const auto started = system_fleet::Start(options);
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  ASSERT_TRUE(fleet
                .SetStoreFaults("{\"reads_per_second\":5,\"writes_per_second\":"
                                "2,\"slow_ms\":300}")
                .ok());
  for (int i = 0; i < 16; ++i) {
    EXPECT_TRUE(fleet.Write(i % 8, "set drum/2 cleaned").Done()) << i;
    std::this_thread::sleep_for(milliseconds(100));
  }
  ASSERT_TRUE(fleet.SetStoreFaults("{\"outage\":\"refuse\"}").ok());
  std::this_thread::sleep_for(seconds(2));
  ASSERT_TRUE(fleet
                .SetStoreFaults("{\"outage\":\"none\",\"reads_per_second\":"
                                "2000,\"writes_per_second\":300,\"slow_ms\":0}")
                .ok());
  // The claims and watches return within 5 s.
  EXPECT_LE(BusiestSecond(fleet, seconds(6)), 8 * kCallsPerInstance);
  // A cold start counts, too: all instances watch until they know each other.
  EXPECT_LE(fleet.StoreStats()["peak_per_second"]["calls"].asUInt64(),
            8 * kSettingsLimit);
  ASSERT_TRUE(fleet.PutDocument(0, {}).ok());
  const std::string stored = fleet.DocumentVersion(0);
  for (int i = 0; i < 8; ++i) {
    EXPECT_TRUE(WaitFor([&] {
      return "\"" + std::to_string(fleet.VersionAt(i, 0)) + "\"" == stored;
    }))
      << i;
  }
}

} // namespace
} // namespace snipewalk::standins
