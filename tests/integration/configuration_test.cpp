// Service documents in a running system: in force everywhere, never reverting.
#include "standins/system_fleet.h"

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <gtest/gtest.h>

namespace snipewalk::standins {
namespace {

std::uint64_t
StoredVersion(const system_fleet& aFleet)
{
  const std::string tag = aFleet.DocumentVersion(0);
  std::uint64_t version = 0;
  EXPECT_TRUE(absl::SimpleAtoi(
    absl::StripSuffix(absl::StripPrefix(tag, "\""), "\""), &version))
    << tag;
  return version;
}

// Asks instances for their version and remembers the highest that each showed.
class version_watch
{
public:
  explicit version_watch(const system_fleet& aFleet)
    : mFleet(aFleet)
  {
  }

  bool Shows(int aInstance, std::uint64_t aVersion)
  {
    const std::uint64_t shown = mFleet.VersionAt(aInstance, 0);
    // Zero: the instance does not answer or has no document yet.
    if (shown != 0) {
      EXPECT_GE(shown, mHighest[aInstance]) << "instance " << aInstance;
      mHighest[aInstance] = shown;
    }
    return shown == aVersion;
  }

private:
  const system_fleet& mFleet;
  std::map<int, std::uint64_t> mHighest;
};

// Guards against a document that misses an instance which was paused or which
// started while the store was out, and against an instance that goes back.
TEST(ConfigurationTest, ReachesPausedInstancesAndThoseStartedWithoutStore)
{
  system_options options;
  options.mInstances = 4;
  const auto started = system_fleet::Start(options);
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  version_watch watch(fleet);
  const std::uint64_t first = StoredVersion(fleet);
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(WaitFor([&] { return watch.Shows(i, first); })) << i;
  }
  child_process& paused = fleet.Processes().At(system_fleet::InstanceName(3));
  paused.Pause();
  ASSERT_TRUE(fleet.PutDocument(0, {}).ok());
  const std::uint64_t second = StoredVersion(fleet);
  ASSERT_GT(second, first);
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(WaitFor([&] { return watch.Shows(i, second); })) << i;
  }
  ASSERT_TRUE(fleet.SetStoreFaults("{\"outage\":\"refuse\"}").ok());
  fleet.Processes().At(system_fleet::InstanceName(2)).Kill();
  ASSERT_TRUE(fleet.StartInstance(2).ok());
  EXPECT_TRUE(WaitFor([&] { return watch.Shows(2, second); }));
  paused.Resume();
  EXPECT_TRUE(WaitFor([&] { return watch.Shows(3, second); }));
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(watch.Shows(i, second)) << i;
  }
}

// Guards against a document with findings that replaces the one in force, and
// against an operator who is not told.
TEST(ConfigurationTest, KeepsTheVersionInForceWhenADocumentIsInvalid)
{
  const auto started = system_fleet::Start({});
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  const std::uint64_t valid = StoredVersion(fleet);
  ASSERT_EQ(fleet.PutText(0,
                          "{\"service\":\"service1\",\"servers\":[]}",
                          fleet.DocumentVersion(0)),
            200);
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(WaitFor([&] {
      const Json::Value state = fleet.ServiceState(i, 0);
      return !state["invalid_document"].asString().empty();
    }))
      << i;
    EXPECT_EQ(fleet.VersionAt(i, 0), valid);
    EXPECT_TRUE(fleet.Write(i, "set drum/1 cleaned").Done());
  }
  // A later valid document ends the finding.
  ASSERT_TRUE(fleet.PutDocument(0, {}).ok());
  const std::uint64_t next = StoredVersion(fleet);
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(WaitFor([&] { return fleet.VersionAt(i, 0) == next; })) << i;
    EXPECT_EQ(fleet.ServiceState(i, 0)["invalid_document"].asString(), "");
  }
}

// Guards against two operators of whom the second overwrites the first.
TEST(ConfigurationTest, OneOfTwoUpdatesFromTheSameVersionWins)
{
  const auto started = system_fleet::Start({});
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  const std::string seen = fleet.DocumentVersion(0);
  const std::string text = fleet.DocumentOf(0, {});
  EXPECT_EQ(fleet.PutText(0, text, seen), 200);
  EXPECT_EQ(fleet.PutText(0, text + " ", seen), 412);
  const std::uint64_t winner = StoredVersion(fleet);
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(WaitFor([&] { return fleet.VersionAt(i, 0) == winner; })) << i;
  }
}

} // namespace
} // namespace snipewalk::standins
