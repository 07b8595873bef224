// A fleet whose instances are replaced by a build with a later version of the
// messages between instances, with real processes under load.
#include "snipewalk/load/history_check.h"
#include "standins/system_fleet.h"

#include <gtest/gtest.h>

namespace snipewalk::standins {
namespace {

bool
FleetVersionIs(const system_fleet& aFleet, int aVersion)
{
  for (int i = 0; i < aFleet.Instances(); ++i) {
    const Json::Value state = aFleet.Admin(i, "/v1/state");
    if (!state.isObject() ||
        state["fleet_protocol_version"].asInt() != aVersion) {
      return false;
    }
  }
  return true;
}

// Writes at one instance and reads at all: the session sees its write.
void
ExpectReadYourWrites(const system_fleet& aFleet, int aInstance)
{
  const std::string value = "v" + std::to_string(aInstance);
  caller_answer written;
  ASSERT_TRUE(WaitFor([&] {
    written = aFleet.Write(aInstance, "set drum/1 " + value);
    return written.Done();
  }));
  for (int i = 0; i < aFleet.Instances(); ++i) {
    EXPECT_EQ(aFleet.Read(i, "get drum/1", written.mSession).mBody, value) << i;
  }
}

// Guards against a rolling upgrade during which old and new instances do not
// understand each other: callers must not notice it.
TEST(UpgradeTest, ReplacesInstancesOneByOneUnderLoad)
{
  system_options options;
  options.mProtocolVersionLimit = 1;
  const auto started = system_fleet::Start(options);
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  EXPECT_TRUE(WaitFor([&] { return FleetVersionIs(fleet, 1); }));
  ASSERT_TRUE(
    fleet
      .StartLoad(
        { "--rate=200", "--sessions=30", "--seconds=15", "--settle_seconds=5" })
      .ok());
  fleet.SetProtocolVersionLimit(std::nullopt);
  for (int i = 0; i < fleet.Instances(); ++i) {
    EXPECT_EQ(fleet.StopInstance(i, seconds(20)), 0) << i;
    ASSERT_TRUE(fleet.StartInstance(i).ok());
    ExpectReadYourWrites(fleet, i);
    if (i + 1 < fleet.Instances()) {
      EXPECT_TRUE(WaitFor([&] { return FleetVersionIs(fleet, 1); })) << i;
    }
  }
  EXPECT_TRUE(WaitFor([&] { return FleetVersionIs(fleet, 2); }, seconds(20)));
  const auto history = fleet.FinishLoad(seconds(40));
  EXPECT_GT(history.size(), 500U);
  std::size_t aborted = 0;
  for (const auto& record : history) {
    const bool cut = record.mOutcome == statement_outcome::Unknown ||
                     record.mReason == "caller_connection_lost";
    aborted += cut ? 1 : 0;
    EXPECT_FALSE(cut) << NameOf(kHistoryKindNames, record.mKind) << " "
                      << record.mReason;
  }
  EXPECT_TRUE(CheckHistory(history).mFindings.empty());
  RecordProperty("requests", static_cast<int>(history.size()));
  RecordProperty("aborted", static_cast<int>(aborted));
}

// Guards against a new fleet that sends an instance which returns to the old
// version, at its former address, what it cannot read.
TEST(UpgradeTest, GoesBackOneByOne)
{
  const auto started = system_fleet::Start({});
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  EXPECT_TRUE(WaitFor([&] { return FleetVersionIs(fleet, 2); }));
  fleet.SetProtocolVersionLimit(1);
  for (int i = 0; i < fleet.Instances(); ++i) {
    EXPECT_EQ(fleet.StopInstance(i, seconds(20)), 0) << i;
    ASSERT_TRUE(fleet.StartInstance(i).ok());
    ExpectReadYourWrites(fleet, i);
    EXPECT_TRUE(WaitFor([&] { return FleetVersionIs(fleet, 1); })) << i;
  }
}

} // namespace
} // namespace snipewalk::standins
