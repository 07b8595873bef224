// Instances that die and return, with real processes.
#include "standins/system_fleet.h"

#include <gtest/gtest.h>

namespace snipewalk::standins {
namespace {

bool
SeesAt(const system_fleet& aFleet, int aObserver, int aInstance)
{
  const Json::Value page = aFleet.Admin(aObserver, "/v1/members");
  if (!page.isObject()) {
    return false;
  }
  for (const auto& member : page["members"]) {
    if (member["instance"].asString() ==
        system_fleet::InstanceName(aInstance)) {
      return member["state"].asString() == "alive" &&
             member["control_address"].asString() ==
               aFleet.ControlAddress(aInstance);
    }
  }
  return false;
}

// Guards against members that stick to the former address of an instance.
TEST(MembershipTest, FindsAnInstanceThatReturnsAtNewPorts)
{
  const auto started = system_fleet::Start({});
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  fleet.Processes().At(system_fleet::InstanceName(2)).Kill();
  fleet.MoveInstance(2);
  ASSERT_TRUE(fleet.StartInstance(2).ok());
  EXPECT_TRUE(WaitFor([&] { return SeesAt(fleet, 0, 2); }));
  EXPECT_TRUE(WaitFor([&] { return SeesAt(fleet, 1, 2); }));
  EXPECT_TRUE(
    WaitFor([&] { return fleet.Write(2, "set drum/1 cleaned").Done(); }));
}

// Guards against slots of a killed instance that stay unused, and against a
// successor that opens connections while the former ones still count.
TEST(MembershipTest, TakesOverSlotsWithinTheConnectionLimit)
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
  ASSERT_TRUE(
    fleet
      .StartLoad(
        { "--rate=0", "--sessions=60", "--seconds=10", "--settle_seconds=5" })
      .ok());
  fleet.Processes().At(system_fleet::InstanceName(holder)).Kill();
  EXPECT_TRUE(WaitFor([&] { return fleet.SlotsInUse(0) == 3; }, seconds(30)));
  EXPECT_GT(fleet.FinishLoad(seconds(30)).size(), 500U);
  for (const auto& server : fleet.Group(0).Servers()) {
    const Json::Value connections =
      fleet.ServerStats(server.mName)["connections"];
    EXPECT_LE(connections["max"].asInt(), options.mConnectionsPerServer);
    EXPECT_EQ(connections["refused"].asInt(), 0);
  }
}

// Kills all holders of the service and expects that an instance which is left
// serves it once the platform's list names the holders no more.
void
ExpectTakeOverFromAllHolders(const system_options& aOptions)
{
  const auto started = system_fleet::Start(aOptions);
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  EXPECT_TRUE(WaitFor([&] { return fleet.SlotsInUse(0) == aOptions.mSlots; }));
  // Each instance has seen the list with the holders.
  EXPECT_TRUE(WaitFor([&] {
    return fleet.StoreStats()["calls"]["instances"].asInt() >=
           aOptions.mInstances;
  }));
  std::vector<int> left;
  for (int i = 0; i < aOptions.mInstances; ++i) {
    if (fleet.ServiceState(i, 0)["share"].asInt() == 0) {
      left.push_back(i);
    } else {
      fleet.Processes().At(system_fleet::InstanceName(i)).Kill();
    }
  }
  ASSERT_FALSE(left.empty());
  ASSERT_TRUE(fleet.SetPlatformList(left).ok());
  EXPECT_TRUE(WaitFor(
    [&] { return fleet.Write(left.front(), "set drum/1 cleaned").Done(); },
    seconds(60)));
  for (const auto& server : fleet.Group(0).Servers()) {
    const Json::Value connections =
      fleet.ServerStats(server.mName)["connections"];
    EXPECT_LE(connections["max"].asInt(), aOptions.mConnectionsPerServer);
    EXPECT_EQ(connections["refused"].asInt(), 0);
  }
}

// Guards against a service whose only holder died and that stays without one,
// and against a successor that opens connections while the former ones count.
TEST(MembershipTest, TakesOverTheOnlySlotOnceThePlatformDropsItsHolder)
{
  system_options options;
  options.mSlots = 1;
  options.mPlatformList = true;
  ExpectTakeOverFromAllHolders(options);
}

// Guards against slots that stay vacant because no holder is left to agree to
// the replacement of another one.
TEST(MembershipTest, TakesOverWhenAllHoldersDieTogether)
{
  system_options options;
  options.mInstances = 4;
  options.mPlatformList = true;
  ExpectTakeOverFromAllHolders(options);
}

} // namespace
} // namespace snipewalk::standins
