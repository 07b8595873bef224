// Tests for the session controller: several instances with a shared store, in
// real time.
#include "session/controller_fixture.h"

namespace snipewalk {
namespace {

TEST_F(SessionControllerTest, ElectsOneHolderAndConfirmsAllInstances)
{
  Run(1'200);
  EXPECT_EQ(Holders(), 1);
  EXPECT_EQ(Confirmed(), 3);
}

// Each registration pauses the fleet watch. An instance that waited for the
// pause before it is confirmed would delay the restart of a whole fleet.
TEST_F(SessionControllerTest, ConfirmsAllInstancesSoonAfterACommonStart)
{
  Run(300);
  EXPECT_EQ(Confirmed(), 3);
}

// The number of store reads must grow more slowly than the fleet: while nothing
// changes, only the duty holder reads.
TEST_F(SessionControllerTest, ReadsTheStoreThroughTheHolder)
{
  Run(1'500);
  const int before = mStore.mCalls;
  Run(2'100);
  // The holder makes two calls every 700 ms.
  EXPECT_LE(mStore.mCalls - before, 8);
  EXPECT_EQ(Confirmed(), 3);
}

// All servers register at once, and each entry would complete the watches of
// all instances.
TEST_F(SessionControllerTest, BatchesTheFirstEntriesOfServers)
{
  Run(1'500);
  const int before = mStore.mCalls;
  for (int i = 0; i < 20; ++i) {
    mStore.Write("servers", "r" + std::to_string(i), "replica");
    Run(20);
  }
  Run(600);
  // Three instances, about two batches, plus the holder's reads.
  EXPECT_LE(mStore.mCalls - before, 18);
}

// Instances that the store refuses are confirmed by other instances.
TEST_F(SessionControllerTest, KeepsServingWhenOnlyTheHolderReachesTheStore)
{
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  EXPECT_EQ(Confirmed(), 3);
}

// A watch that misses a change hides the new desired state until its timeout,
// and fleet records may be written after that change.
TEST_F(SessionControllerTest, FindsADesiredStateThatTheWatchesMissed)
{
  Run(1'500);
  mStore.mWatchesMissChanges = true;
  mStore.Write("config", "main", "2");
  mStore.Write(
    kFleetKind,
    "instance.other",
    EncodeFleetRecord(instance_record{ "other", "dc1", "nowhere", 1 }));
  Run(2'000);
  for (const auto& each : mInstances) {
    EXPECT_EQ(each->mController.DesiredVersion(), 2U) << each->mName;
  }
}

// A server that leaves must be known to all instances within the time in which
// it is drained, also if no watch reports its change.
TEST_F(SessionControllerTest, FindsAServerThatTheWatchesMissed)
{
  Run(1'500);
  mStore.mWatchesMissChanges = true;
  mStore.Write("servers", "q", "replica");
  Run(3'500);
  for (const auto& each : mInstances) {
    EXPECT_EQ(each->mController.ServerCount(), 2U) << each->mName;
  }
}

TEST_F(SessionControllerTest, FindsAMissedServerWithoutOtherInstances)
{
  Run(1'500);
  for (const auto& each : mInstances) {
    each->mPartitioned = true;
  }
  mStore.mWatchesMissChanges = true;
  mStore.Write("servers", "q", "replica");
  Run(3'500);
  for (const auto& each : mInstances) {
    EXPECT_EQ(each->mController.ServerCount(), 2U) << each->mName;
  }
}

// A desired state missed by all watches must be found even if the instances
// cannot reach each other.
TEST_F(SessionControllerTest, FindsAMissedDesiredStateWithoutOtherInstances)
{
  Run(1'500);
  for (const auto& each : mInstances) {
    each->mPartitioned = true;
  }
  mStore.mWatchesMissChanges = true;
  mStore.Write("config", "main", "2");
  mStore.Write(
    kFleetKind,
    "instance.other",
    EncodeFleetRecord(instance_record{ "other", "dc1", "nowhere", 1 }));
  Run(2'600);
  for (const auto& each : mInstances) {
    EXPECT_EQ(each->mController.DesiredVersion(), 2U) << each->mName;
  }
}

TEST_F(SessionControllerTest, StopsConfirmingWhenTheStoreIsAway)
{
  Run(1'500);
  mStore.mRefusesCalls = true;
  Run(static_cast<int>(session_controller::kConfirmationLifetime.count()) +
      300);
  EXPECT_EQ(Confirmed(), 0);
  EXPECT_EQ(Holders(), 0);
}

// The store turns the holder and one more instance away, and the third takes
// over. The other two still reach it: they must be confirmed by it, and must
// not be taken for gone because their reports went to the former holder.
TEST_F(SessionControllerTest, InstancesThatTheStoreRefusesFindTheNewHolder)
{
  Run(1'500);
  const std::string next = RefuseAllButOneThatIsNotTheHolder();
  Run(9'000);
  EXPECT_EQ(HolderName(), next);
  EXPECT_EQ(Confirmed(), 3);
  for (const auto& each : mInstances) {
    EXPECT_EQ(RecordedState(each->mName), instance_state::Live) << each->mName;
  }
}

// An instance that the store refuses last read the former holder. Instances
// that it confirms would go on reporting to that one, and be marked as gone.
TEST_F(SessionControllerTest, RefusedInstancesNameTheHolderThatConfirmedThem)
{
  Run(1'500);
  const std::string next = RefuseAllButOneThatIsNotTheHolder();
  Run(6'500);
  ASSERT_EQ(HolderName(), next);
  for (const auto& each : mInstances) {
    each->mController.OnDatagram(
      "asking", confirmation_request{ "asking", 1, 1, 0 }, mLoop.Now());
    EXPECT_EQ(each->mNamedHolder, next) << each->mName;
  }
}

TEST_F(SessionControllerTest, OnlyTheHolderAsksOthersToYieldConnections)
{
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  const std::string holder = HolderName();
  for (const auto& each : mInstances) {
    // Repeated refusals are one request.
    each->mController.OnControlConnectionRefused("p", mLoop.Now());
    each->mController.OnControlConnectionRefused("p", mLoop.Now());
    EXPECT_EQ(each->mYieldRequests, each->mName == holder ? 2 : 0);
  }
}

// An instance that replaces the holder waits before it uses the duty, so the
// duty must not move merely because the store was away for all instances.
TEST_F(SessionControllerTest, TheHolderRegainsTheDutyAfterAnOutageOfTheStore)
{
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  const std::string holder = HolderName();
  mStore.mRefusesCalls = true;
  Run(4'000);
  ASSERT_EQ(Holders(), 0);
  mStore.mRefusesCalls = false;
  Run(1'500);
  EXPECT_EQ(HolderName(), holder);
}

// A probe that ends with the duty is never answered. The next one must not wait
// for it: without probes, no change of a primary that is alive begins once a
// replica has left.
TEST_F(SessionControllerTest, ProbesAgainAfterTheDutyWasLostDuringAProbe)
{
  mStore.Write("servers", "r", "replica");
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  const std::string name = HolderName();
  instance& holder = *mNetwork.mInstances.at(name);
  holder.mHoldsReplies = true;
  mStore.Write("servers", "r", "restarted");
  Run(300);
  ASSERT_EQ(holder.mHeldReplies.size(), 1U);
  mStore.mRefusesCalls = true;
  Run(4'000);
  ASSERT_EQ(Holders(), 0);
  ASSERT_TRUE(holder.mHeldReplies.empty());
  mStore.mRefusesCalls = false;
  const int before = holder.mCommands;
  Run(2'500);
  ASSERT_EQ(HolderName(), name);
  EXPECT_GT(holder.mCommands, before);
}

// Entries that expired during an outage of the store reappear one by one within
// two seconds. A process that starts in that time knows only some of the
// servers at first, and the others may have the only copies of acknowledged
// commits.
TEST_F(SessionControllerTest, ReplacesAPrimaryOnlyOnceTheEntriesHaveReappeared)
{
  const auto replica = [](std::uint64_t aNumber) {
    return server_status{ server_role::Replica, 2, { 2, aNumber }, {} };
  };
  mNetwork.mStatuses = { { "behind", replica(509) },
                         { "newest", replica(612) } };
  mStore.Write("servers", "p", "draining");
  mStore.Write("servers", "behind", "replica");
  Run(1'600);
  mStore.Write("servers", "newest", "replica");
  // The processes are too young for a proof, so the old primary is waited for.
  Run(3'000);
  EXPECT_TRUE(mNetwork.mPromoted.empty());
  Run(10'500);
  ASSERT_FALSE(mNetwork.mPromoted.empty());
  EXPECT_EQ(mNetwork.mPromoted.front(), "newest");
}

// Guards against a holder that goes on with a change after another one has
// carried out a change of its own.
TEST_F(SessionControllerTest, ReplacesNoRecordOfAnotherHolder)
{
  mNetwork.mStatuses = { { "a", { server_role::Replica, 2, { 2, 509 }, {} } } };
  mStore.Write("servers", "a", "replica");
  Run(1'600);
  // The change waits for the old primary, which does not answer.
  mStore.Write("servers", "p", "draining");
  Run(3'000);
  ASSERT_EQ(HolderName().empty(), false);
  const primary_record other{ "s", "b", 9, 9, primary_phase::Stable, 1'000 };
  const std::string record = PrimaryRecordName("s");
  ASSERT_NE(mStore.Value(kFleetKind, record), "");
  mStore.Write(kFleetKind, record, EncodeFleetRecord(other));
  Run(9'000);
  EXPECT_TRUE(mNetwork.mPromoted.empty());
  EXPECT_EQ(mStore.Value(kFleetKind, record), EncodeFleetRecord(other));
}

// A replica whose entry cannot be read any more may have the only copies of
// acknowledged commits, like one that has left.
TEST_F(SessionControllerTest, MissesAReplicaWhoseEntryIsNotReadable)
{
  mNetwork.mStatuses = { { "a", { server_role::Replica, 2, { 2, 509 }, {} } } };
  mStore.Write("servers", "a", "replica");
  mStore.Write("servers", "b", "replica");
  // From now on the holder knows all replicas.
  Run(13'000);
  mStore.Write("servers", "b", "junk");
  Run(3'000);
  mStore.Write("servers", "p", "draining");
  Run(3'000);
  EXPECT_TRUE(mNetwork.mPromoted.empty());
}

// Guards against a service that never gets a primary again: the recorded one
// had left before any instance held the duty.
TEST_F(SessionControllerTest, ReplacesARecordedPrimaryThatIsNotThere)
{
  mNetwork.mStatuses = { { "p", { server_role::Replica, 2, { 2, 509 }, {} } } };
  mStore.Write(kFleetKind,
               PrimaryRecordName("s"),
               EncodeFleetRecord(primary_record{
                 "s", "gone", 2, 1, primary_phase::Stable, 0 }));
  Run(17'000);
  ASSERT_FALSE(mNetwork.mPromoted.empty());
  EXPECT_EQ(mNetwork.mPromoted.front(), "p");
}

} // namespace
} // namespace snipewalk
