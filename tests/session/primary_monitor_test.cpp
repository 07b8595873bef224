// Tests for the decision to replace a primary. A false positive causes an
// outage.
#include "snipewalk/session/primary_monitor.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

time_point
At(int aMs)
{
  return time_point() + milliseconds(100'000 + aMs);
}

registered_server
Entry(bool aPrimary = true, bool aDraining = false)
{
  registered_server entry;
  entry.mId = "p";
  entry.mService = "s";
  entry.mPrimary = aPrimary;
  entry.mDraining = aDraining;
  return entry;
}

primary_monitor
Monitor()
{
  primary_monitor monitor;
  monitor.OnEntry(Entry(), At(0));
  return monitor;
}

// If the first primary ended before any change was recorded and while no
// instance held the duty, the service stayed without a primary.
TEST(PrimaryMonitorTest, ReplacesAPrimaryThatVanishedBeforeItWasRecorded)
{
  primary_monitor monitor = Monitor();
  monitor.OnPrimaryUnknown(At(100));
  EXPECT_EQ(monitor.Decide(At(2'500)), change_reason::None);
  monitor.OnPrimaryUnknown(At(2'500));
  EXPECT_EQ(monitor.Decide(At(2'600)), change_reason::Unknown);
}

// A primary without its log is replaced at once, and not if it has been chosen
// again.
TEST(PrimaryMonitorTest, ReplacesAPrimaryThatHasStartedAgain)
{
  primary_monitor monitor = Monitor();
  monitor.SetRestarted(true);
  EXPECT_EQ(monitor.Decide(At(20)), change_reason::Restarted);
  monitor.SetRestarted(false);
  EXPECT_EQ(monitor.Decide(At(20)), change_reason::None);
}

TEST(PrimaryMonitorTest, WaitsForTheEntryOfAPrimaryThatReturns)
{
  primary_monitor monitor = Monitor();
  monitor.OnPrimaryUnknown(At(100));
  monitor.OnEntry(Entry(), At(2'000));
  EXPECT_EQ(monitor.Decide(At(2'600)), change_reason::None);
}

TEST(PrimaryMonitorTest, ReplacesAPrimaryThatNoInstanceReaches)
{
  primary_monitor monitor = Monitor();
  monitor.OnReport("i1", primary_health::Unreachable, At(100));
  EXPECT_TRUE(monitor.NeedsProbe(At(100)));
  monitor.OnProbe(false, At(350));
  EXPECT_EQ(monitor.Decide(At(350)), change_reason::None);
  monitor.OnProbe(false, At(600));
  EXPECT_EQ(monitor.Decide(At(600)), change_reason::Dead);
}

// Only the duty holder is cut off; the other instances still reach the primary.
TEST(PrimaryMonitorTest, KeepsAPrimaryThatOtherInstancesReach)
{
  primary_monitor monitor = Monitor();
  monitor.OnReport("holder", primary_health::Unreachable, At(100));
  monitor.OnReport("i1", primary_health::Answers, At(100));
  monitor.OnReport("i2", primary_health::Answers, At(100));
  for (int probe = 0; probe < 4; ++probe) {
    monitor.OnProbe(false, At(200 + probe));
  }
  EXPECT_EQ(monitor.Decide(At(300)), change_reason::None);
}

// A network problem of a single instance must not cause an outage for all.
TEST(PrimaryMonitorTest, KeepsAPrimaryThatOneInstanceCannotReach)
{
  primary_monitor monitor = Monitor();
  for (int ms = 0; ms <= 3'000; ms += 200) {
    monitor.OnReport("i1", primary_health::Unreachable, At(ms));
    monitor.OnReport("i2", primary_health::Answers, At(ms));
    monitor.OnReport("i3", primary_health::Answers, At(ms));
    monitor.OnProbe(true, At(ms));
    EXPECT_EQ(monitor.Decide(At(ms)), change_reason::None);
  }
}

TEST(PrimaryMonitorTest, ReplacesAServerThatManyDoNotReach)
{
  primary_monitor monitor = Monitor();
  for (int ms = 0; ms <= 600; ms += 200) {
    monitor.OnReport("i1", primary_health::Unreachable, At(ms));
    monitor.OnReport("i2", primary_health::Unreachable, At(ms));
    monitor.OnReport("i3", primary_health::Answers, At(ms));
    monitor.OnReport("i4", primary_health::Answers, At(ms));
    monitor.OnProbe(true, At(ms));
  }
  EXPECT_EQ(monitor.Decide(At(600)), change_reason::CutOff);
}

TEST(PrimaryMonitorTest, ReplacesAPrimaryWhoseWritesStall)
{
  primary_monitor monitor = Monitor();
  for (int ms = 0; ms <= 400; ms += 200) {
    monitor.OnReport("i1", primary_health::WritesStall, At(ms));
    monitor.OnProbe(true, At(ms));
  }
  EXPECT_EQ(monitor.Decide(At(400)), change_reason::WritesStall);
}

TEST(PrimaryMonitorTest, ReplacesALeavingPrimaryAtOnce)
{
  primary_monitor monitor;
  monitor.OnEntry(Entry(true, true), At(0));
  EXPECT_EQ(monitor.Decide(At(0)), change_reason::Leaving);
}

// Entries expire while the store is unavailable, and a server reports its new
// role some time after it has taken over.
TEST(PrimaryMonitorTest, WaitsForLapsedEntries)
{
  primary_monitor monitor = Monitor();
  monitor.OnEntry(std::nullopt, At(0));
  EXPECT_EQ(monitor.Decide(At(2'000)), change_reason::None);
  monitor.OnEntry(Entry(), At(2'100));
  EXPECT_EQ(monitor.Decide(At(9'000)), change_reason::None);
}

TEST(PrimaryMonitorTest, WaitsAfterAChange)
{
  primary_monitor monitor;
  monitor.Reset(At(0));
  monitor.OnEntry(Entry(true, true), At(1));
  EXPECT_EQ(monitor.Decide(At(1'000)), change_reason::None);
  EXPECT_EQ(monitor.Decide(At(2'000)), change_reason::Leaving);
}

TEST(PrimaryMonitorTest, ForgetsOldReports)
{
  primary_monitor monitor = Monitor();
  monitor.OnReport("i1", primary_health::Unreachable, At(0));
  EXPECT_FALSE(monitor.NeedsProbe(At(1'500)));
}

TEST(ClassifyObservationTest, DistinguishesSilenceFromSlowAnswers)
{
  server_observation observation;
  observation.mWaitingSince = At(0);
  observation.mLastAnswer = At(400);
  EXPECT_EQ(ClassifyObservation(observation, At(700)), primary_health::Answers);
  EXPECT_EQ(ClassifyObservation(observation, At(800)),
            primary_health::Unreachable);
}

TEST(ClassifyObservationTest, NoticesRefusedConnections)
{
  server_observation observation;
  observation.mFailedConnects = 2;
  EXPECT_EQ(ClassifyObservation(observation, At(0)),
            primary_health::Unreachable);
}

TEST(ClassifyObservationTest, NoticesStalledWritesBesideAnsweredReads)
{
  server_observation observation;
  observation.mLastAnswer = At(990);
  observation.mWriteWaitingSince = At(300);
  EXPECT_EQ(ClassifyObservation(observation, At(1'000)),
            primary_health::WritesStall);
}

} // namespace
} // namespace snipewalk
