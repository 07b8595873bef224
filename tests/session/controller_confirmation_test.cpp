// Tests of the confirmations of recorded primaries that instances pass on to
// each other while the store refuses them.
#include "session/controller_fixture.h"

namespace snipewalk {
namespace {

// Longer than it takes until an instance that stands still is marked as gone.
constexpr int kSilentMs = 3'500;

// Guards against stale reads: a change of primary does not wait for an instance
// that was marked as gone, so no instance may confirm the primaries to it, also
// none that the store refuses and that has not read the mark.
TEST_F(SessionControllerTest, NoInstanceConfirmsThePrimariesToOneMarkedAsGone)
{
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  const std::vector<instance*> refused = Others();
  for (instance* each : refused) {
    each->mStore.mRefuses = true;
  }
  instance& silent = *refused[0];
  silent.mPaused = true;
  Run(kSilentMs);
  ASSERT_EQ(RecordedState(silent.mName), instance_state::Gone);
  ASSERT_TRUE(IsConfirmed(*refused[1]));
  refused[1]->mController.OnDatagram(
    "asking", confirmation_request{ silent.mName, 1, 1, 0 }, mLoop.Now());
  EXPECT_FALSE(refused[1]->mConfirmsRequester);
  silent.mPaused = false;
  Run(300);
  EXPECT_EQ(RecordedState(silent.mName), instance_state::Gone);
  EXPECT_FALSE(IsConfirmed(silent));
}

// The instance that was silent lives on, and its callers need not wait until
// the store serves it again.
TEST_F(SessionControllerTest, TheHolderRegistersAnInstanceAgainThatLives)
{
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  instance& silent = *Others()[0];
  silent.mStore.mRefuses = true;
  silent.mPaused = true;
  Run(kSilentMs);
  ASSERT_EQ(RecordedState(silent.mName), instance_state::Gone);
  silent.mPaused = false;
  Run(2'000);
  EXPECT_EQ(RecordedState(silent.mName), instance_state::Live);
  EXPECT_TRUE(IsConfirmed(silent));
}

// Once the silent instance has registered again, the instances that the store
// refuses learn of it from the holder's confirmations.
TEST_F(SessionControllerTest, RefusedInstancesConfirmOneThatRegisteredAgain)
{
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  const std::vector<instance*> others = Others();
  instance& refused = *others[0];
  instance& silent = *others[1];
  refused.mStore.mRefuses = true;
  silent.mStore.mRefuses = true;
  silent.mPaused = true;
  Run(kSilentMs);
  ASSERT_EQ(RecordedState(silent.mName), instance_state::Gone);
  silent.mStore.mRefuses = false;
  silent.mPaused = false;
  Run(3'000);
  ASSERT_EQ(RecordedState(silent.mName), instance_state::Live);
  refused.mController.OnDatagram(
    "asking", confirmation_request{ silent.mName, 1, 1, 0 }, mLoop.Now());
  EXPECT_TRUE(refused.mConfirmsRequester);
}

// A datagram has no room for the records of a large fleet that has just
// started. The answer then states how far it is complete, and the next one goes
// on there.
TEST_F(SessionControllerTest, TellsTheRecordsOfALargeFleetInSeveralAnswers)
{
  const std::size_t others = kMaxConfirmedInstances + 20;
  for (std::size_t i = 0; i < others; ++i) {
    const instance_record record{ "x" + std::to_string(i), "dc1", "x", 1 };
    mStore.Write(
      kFleetKind, FleetRecordName(record), EncodeFleetRecord(record));
  }
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  instance& holder = *mNetwork.mInstances.at(HolderName());
  holder.mController.OnDatagram(
    "asking", confirmation_request{ "asking", 1, 1, 0 }, mLoop.Now());
  const confirmation_answer first = holder.mLastAnswer;
  EXPECT_EQ(first.mInstanceCoverage, instance_coverage::Partial);
  ASSERT_EQ(first.mInstances.size(), kMaxConfirmedInstances);
  EXPECT_EQ(first.mKnownRevision, first.mInstances.back().mVersion);
  holder.mController.OnDatagram(
    "asking",
    confirmation_request{ "asking", 1, 2, first.mKnownRevision },
    mLoop.Now());
  const confirmation_answer& second = holder.mLastAnswer;
  EXPECT_EQ(second.mInstanceCoverage, instance_coverage::All);
  // The three instances of the test have registered after the others.
  ASSERT_EQ(second.mInstances.size(), others + 3 - kMaxConfirmedInstances);
  EXPECT_GT(second.mInstances.front().mVersion, first.mKnownRevision);
}

// Guards against watches that are started again without end: the version that
// the other instances know belongs to an object that no list contains any more.
TEST_F(SessionControllerTest, RestartsNoWatchForAServerThatIsGone)
{
  mStore.Write("servers", "r", "replica");
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  mStore.Remove("servers", "r");
  mInstances.push_back(
    std::make_unique<instance>(mNetwork, mStore, std::string("late")));
  Run(2'500);
  ASSERT_TRUE(IsConfirmed(*mInstances.back()));
  EXPECT_EQ(mInstances.back()->mController.WatchRestarts(), 0U);
}

// Guards against refusals by an old desired state on an instance that the store
// refuses, and to which no forwarded session shows a newer one.
TEST_F(SessionControllerTest, GetsTheDesiredStateFromItsPeers)
{
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  instance& refused = *Others()[0];
  refused.mStore.mRefuses = true;
  mStore.Write("config", "main", "2");
  Run(2'000);
  EXPECT_EQ(refused.mController.DesiredVersion(), 2U);
  EXPECT_EQ(refused.mController.DesiredStateBehindFor(mLoop.Now()),
            duration(0));
}

// Guards against abandoned watches that hold all connections to the store. Each
// instance has one watch of each of three kinds.
TEST_F(SessionControllerTest, LeavesNoWatchBehindWhenItRestartsOne)
{
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  const std::size_t watches = mStore.WaitingWatches();
  mStore.mWatchesMissChanges = true;
  for (const std::string version : { "2", "3", "4" }) {
    mStore.Write("config", "main", version);
    Run(1'500);
  }
  std::uint64_t restarts = 0;
  for (const auto& each : mInstances) {
    EXPECT_EQ(each->mController.DesiredVersion(), 4U);
    restarts += each->mController.WatchRestarts();
  }
  EXPECT_GE(restarts, 3U);
  EXPECT_EQ(mStore.WaitingWatches(), watches);
}

// Guards against stale reads and two holders of the duty: the steady clock does
// not count a suspension, so a reply that was on its way then looks recent.
TEST_F(SessionControllerTest, CountsNoReadOfTheStoreFromBeforeASuspension)
{
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  for (const auto& each : mInstances) {
    each->mStore.mHoldsReplies = true;
  }
  Run(800);
  for (const auto& each : mInstances) {
    each->mController.OnSuspended(mLoop.Now());
    each->mStore.Release(mLoop.Now());
  }
  EXPECT_EQ(Holders(), 0);
  EXPECT_EQ(Confirmed(), 0);
  // Reads from after it count.
  Run(2'000);
  EXPECT_EQ(Holders(), 1);
  EXPECT_EQ(Confirmed(), 3);
}

} // namespace
} // namespace snipewalk
