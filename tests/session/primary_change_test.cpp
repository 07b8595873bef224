// Tests for the steps of a change of the primary.
#include "session/primary_change_fixture.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

TEST(PrimaryChangeTest, RecordsATermAboveAllSeen)
{
  primary_change change(Plan());
  change.Start(At(0));
  Reply(change, "a", Status(server_role::Replica, 3, 10), At(1));
  const auto next =
    Reply(change, "b", Status(server_role::Replica, 5, 1), At(1));
  const auto writes = ActionsOfType<write_primary_record>(next);
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_EQ(writes[0].mRecord.mTerm, 6U);
  EXPECT_EQ(writes[0].mRecord.mPhase, primary_phase::Changing);
  EXPECT_EQ(writes[0].mRecord.mPrimary, "p");
}

// An instance that still uses the old primary could read data that the new
// primary has replaced.
TEST(PrimaryChangeTest, PausesNoReplicaBeforeInstancesReleaseThePrimary)
{
  primary_change change(Plan());
  change.Start(At(0));
  Reply(change, "a", Status(server_role::Replica, 3, 10), At(1));
  Reply(change, "b", Status(server_role::Replica, 3, 10), At(1));
  const auto released = change.OnRecordWritten(true, At(10));
  EXPECT_EQ(ActionsOfType<release_instances>(released).size(), 1U);
  EXPECT_TRUE(change.OnTick(At(5'000)).empty());
  EXPECT_EQ(change.Step(), change_step::Releasing);
}

// A replica receives from the old primary as soon as it registers.
TEST(PrimaryChangeTest, PausesAReplicaThatRegistersDuringTheChange)
{
  primary_change change(Plan());
  AdvanceToPausing(change);
  Reply(change, "a", Status(server_role::Replica, 3, 10), At(21));
  const auto sent =
    ActionsOfType<send_command>(change.OnServerAdded({ "c", false }, At(22)));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].mServer, "c");
  EXPECT_TRUE(std::holds_alternative<pause_command>(sent[0].mCommand));
  Reply(change, "b", Status(server_role::Replica, 3, 10), At(23));
  EXPECT_EQ(change.Step(), change_step::Pausing);
  Reply(change, "c", Status(server_role::Replica, 3, 12), At(24));
  EXPECT_EQ(change.Candidate(), "c");
}

// A restart ends the pause.
TEST(PrimaryChangeTest, PausesAReplicaAgainThatStartedAgain)
{
  primary_change change(Plan());
  AdvanceToPausing(change);
  Reply(change, "a", Status(server_role::Replica, 3, 10), At(21));
  change.OnServerAdded({ "a", false }, At(22));
  Reply(change, "b", Status(server_role::Replica, 3, 10), At(23));
  EXPECT_EQ(change.Step(), change_step::Pausing);
  Reply(change, "a", Status(server_role::Replica, 3, 12), At(24));
  ReplySteppedDown(change, Status(server_role::Replica, 3, 12), At(25));
  EXPECT_EQ(change.Candidate(), "a");
}

// The old primary may still be running when another server takes over.
TEST(PrimaryChangeTest, EndsWritesBeforeItReplacesAPrimaryThatDoesNotStepDown)
{
  primary_change change(Plan(true));
  change.Start(At(0));
  Reply(change, "a", Status(server_role::Replica, 3, 10), At(1));
  Reply(change, "b", Status(server_role::Replica, 3, 10), At(1));
  const auto first =
    ActionsOfType<release_instances>(change.OnRecordWritten(true, At(10)));
  ASSERT_EQ(first.size(), 1U);
  EXPECT_FALSE(first[0].mEndsWrites);
  change.OnInstancesReleased(At(20));
  const std::uint64_t term = change.Term();
  EXPECT_EQ(ActionsOfType<write_primary_record>(change.OnTick(At(500))).size(),
            1U);
  const auto second =
    ActionsOfType<release_instances>(change.OnRecordWritten(true, At(505)));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_GT(second[0].mTerm, term);
  EXPECT_TRUE(second[0].mEndsWrites);
  change.OnInstancesReleased(At(510));
  EXPECT_EQ(change.Step(), change_step::Pausing);
}

// Logs of a later term than the primary's would never be found.
TEST(PrimaryChangeTest, RecordsTheTermInWhichTheCandidateLeads)
{
  change_plan plan = Plan();
  plan.mKnownTerm = 9;
  primary_change change(plan);
  AdvanceToPausing(change);
  Reply(change, "a", Status(server_role::Replica, 4, 10), At(21));
  Reply(change, "b", Status(server_role::Replica, 4, 12), At(22));
  change.OnRecordWritten(true, At(30));
  change.OnPromoted(promotion_result::Accepted, At(40));
  const auto stable = ActionsOfType<write_primary_record>(
    Reply(change, "b", Status(server_role::Primary, 5, 12), At(400)));
  ASSERT_EQ(stable.size(), 1U);
  EXPECT_EQ(stable[0].mRecord.mTerm, 10U);
  EXPECT_EQ(stable[0].mRecord.mLeadTerm, 5U);
}

// A reply from before the pause does not show what the server received until it
// was paused.
TEST(PrimaryChangeTest, IgnoresAnswersOfEarlierSteps)
{
  primary_change change(Plan());
  AdvanceToPausing(change);
  Reply(change, "a", Status(server_role::Replica, 4, 10), At(21));
  change.OnServerStatus(
    "b", status_command{}, Status(server_role::Replica, 3, 10), At(22));
  change.OnServerStatus(
    "b", pause_command{ 2 }, Status(server_role::Replica, 3, 10), At(22));
  EXPECT_EQ(change.Step(), change_step::Pausing);
}

// An order without a reply may take effect later. Ordering another candidate
// would then result in two primaries.
TEST(PrimaryChangeTest, NeverChangesTheCandidateAfterAnOrder)
{
  primary_change change(Plan());
  AdvanceToPausing(change);
  Reply(change, "a", Status(server_role::Replica, 4, 10), At(21));
  Reply(change, "b", Status(server_role::Replica, 4, 12), At(22));
  change.OnRecordWritten(true, At(30));
  for (const auto result :
       { promotion_result::Unknown, promotion_result::Rejected }) {
    change.OnPromoted(result, At(40));
    for (int ms = 40; ms < 6'000; ms += 20) {
      for (const auto& order :
           ActionsOfType<order_promotion>(change.OnTick(At(ms)))) {
        EXPECT_EQ(order.mServer, "b");
      }
    }
  }
}

TEST(PrimaryChangeTest, RecordsStableOnceTheCandidateLeads)
{
  primary_change change(Plan());
  AdvanceToPausing(change);
  Reply(change, "a", Status(server_role::Replica, 4, 10), At(21));
  Reply(change, "b", Status(server_role::Replica, 4, 12), At(22));
  change.OnRecordWritten(true, At(30));
  change.OnPromoted(promotion_result::Accepted, At(40));
  EXPECT_TRUE(
    Reply(change, "b", Status(server_role::Replica, 4, 12), At(300)).empty());
  const auto stable =
    Reply(change, "b", Status(server_role::Primary, 4, 12), At(400));
  ASSERT_EQ(ActionsOfType<write_primary_record>(stable).size(), 1U);
  const auto last = change.OnRecordWritten(true, At(410));
  // The other replica is resumed, and the old primary is stepped down.
  EXPECT_EQ(ActionsOfType<send_command>(last).size(), 2U);
  Reply(change, "a", Status(server_role::Replica, 4, 12), At(420));
  EXPECT_EQ(change.Step(), change_step::Done);
}

// The candidate may reply to the first request before it leads, so the request
// must be repeated.
TEST(PrimaryChangeTest, AsksTheCandidateUntilItLeads)
{
  primary_change change(Plan());
  AdvanceToPausing(change);
  Reply(change, "a", Status(server_role::Replica, 4, 10), At(21));
  Reply(change, "b", Status(server_role::Replica, 4, 12), At(22));
  change.OnRecordWritten(true, At(30));
  change.OnPromoted(promotion_result::Accepted, At(40));
  int requests = 0;
  for (int ms = 40; ms < 1'000; ms += 20) {
    for (const auto& sent :
         ActionsOfType<send_command>(change.OnTick(At(ms)))) {
      ++requests;
      Reply(change, sent.mServer, Status(server_role::Replica, 4, 12), At(ms));
    }
  }
  EXPECT_GE(requests, 5);
}

// The candidate reports its new role at once, and the callers wait for it.
TEST(PrimaryChangeTest, AsksACandidateThatReportsItselfAsPrimary)
{
  primary_change change(Plan());
  AdvanceToPausing(change);
  Reply(change, "a", Status(server_role::Replica, 4, 10), At(21));
  Reply(change, "b", Status(server_role::Replica, 4, 12), At(22));
  EXPECT_TRUE(change.OnReportedAsPrimary("b").empty());
  change.OnRecordWritten(true, At(30));
  change.OnPromoted(promotion_result::Accepted, At(40));
  EXPECT_TRUE(change.OnReportedAsPrimary("a").empty());
  const auto asked =
    ActionsOfType<send_command>(change.OnReportedAsPrimary("b"));
  ASSERT_EQ(asked.size(), 1U);
  EXPECT_EQ(asked[0].mServer, "b");
  // The entry was from an earlier term.
  EXPECT_TRUE(
    Reply(change, "b", Status(server_role::Replica, 4, 12), At(45)).empty());
  EXPECT_EQ(change.Step(), change_step::Settling);
}

// The order of the earlier holder may have been lost.
TEST(PrimaryChangeTest, GoesOnFromARecordedPromotion)
{
  change_plan plan = Plan();
  plan.mResumed = primary_record{ "s", "b", 7, 3, primary_phase::Promoting, 8 };
  primary_change change(plan);
  EXPECT_TRUE(ActionsOfType<write_primary_record>(change.Start(At(0))).empty());
  EXPECT_TRUE(
    ActionsOfType<write_primary_record>(change.OnTick(At(999))).empty());
  const auto writes =
    ActionsOfType<write_primary_record>(change.OnTick(At(1'000)));
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_EQ(writes[0].mRecord.mPrimary, "b");
  EXPECT_EQ(writes[0].mRecord.mFence, 9U);
  const auto orders =
    ActionsOfType<order_promotion>(change.OnRecordWritten(true, At(1'005)));
  EXPECT_EQ(orders.size(), 1U);
}

// Guards against a second order for a server that leads already: it could
// arrive after that server was replaced in its turn.
TEST(PrimaryChangeTest, OrdersNoPromotionThatHasTakenEffect)
{
  change_plan plan = Plan();
  plan.mResumed = primary_record{ "s", "b", 7, 3, primary_phase::Promoting, 8 };
  primary_change change(plan);
  const auto asked = ActionsOfType<send_command>(change.Start(At(0)));
  ASSERT_EQ(asked.size(), 1U);
  EXPECT_EQ(asked[0].mServer, "b");
  const auto next =
    Reply(change, "b", Status(server_role::Primary, 7, 12), At(5));
  const auto writes = ActionsOfType<write_primary_record>(next);
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_EQ(writes[0].mRecord.mPhase, primary_phase::Stable);
  EXPECT_TRUE(ActionsOfType<order_promotion>(next).empty());
}

// Guards against a service that never gets a primary again: the platform
// refuses to promote a server that has left, and the record names no other.
TEST(PrimaryChangeTest, BeginsAgainIfTheCandidateHasLeft)
{
  primary_change change(Plan());
  AdvanceToPausing(change);
  Reply(change, "a", Status(server_role::Replica, 4, 10), At(21));
  Reply(change, "b", Status(server_role::Replica, 4, 12), At(22));
  change.OnRecordWritten(true, At(30));
  ASSERT_EQ(change.Step(), change_step::Promoting);
  change.OnPromoted(promotion_result::Rejected, At(40));
  change.OnServerRemoved("b", At(6'000));
  EXPECT_EQ(change.Step(), change_step::Failed);

  change_plan next = Plan();
  next.mOldPrimary = "gone";
  next.mReplicasComplete = false;
  next.mKnownTerm = change.Term();
  next.mResumed = primary_record{
    "s", "gone", change.Term(), 0, primary_phase::Promoting, 9
  };
  next.mOldPrimaryLost = true;
  primary_change again(next);
  // What callers were told of while the candidate led must be kept as well.
  AdvanceToPausing(again, { { 5, 13 }, true });
  EXPECT_GT(again.Term(), change.Term());
  Reply(again, "a", Status(server_role::Replica, 5, 12), At(21));
  EXPECT_EQ(again.Candidate(), "");
  Reply(again, "b", Status(server_role::Replica, 5, 13), At(22));
  EXPECT_EQ(again.Candidate(), "b");
}

// Guards against lost commits: a candidate that has started again has lost the
// log for which it was chosen.
TEST(PrimaryChangeTest, BeginsAgainIfTheCandidateHasStartedAgain)
{
  for (const bool ordered : { false, true }) {
    primary_change change(Plan());
    AdvanceToPausing(change);
    Reply(change, "a", Status(server_role::Replica, 4, 10), At(21));
    Reply(change, "b", Status(server_role::Replica, 4, 12), At(22));
    if (ordered) {
      change.OnRecordWritten(true, At(30));
      change.OnPromoted(promotion_result::Unknown, At(40));
    }
    EXPECT_TRUE(change.OnServerAdded({ "b", false }, At(500)).empty());
    EXPECT_EQ(change.Step(), change_step::Failed);
    EXPECT_TRUE(change.OnTick(At(5'000)).empty());
  }
}

// Guards against stale reads: no change is reverted to a primary that has lost
// its log.
TEST(PrimaryChangeTest, DoesNotRevertToAPrimaryThatHasStartedAgain)
{
  primary_change change(Plan());
  AdvanceToPausing(change);
  change.OnServerAdded({ "p", false }, At(21));
  const auto actions = change.OnTick(At(5'000));
  EXPECT_TRUE(ActionsOfType<write_primary_record>(actions).empty());
  EXPECT_EQ(change.Step(), change_step::Failed);
}

// A planned change gives open transactions a grace period before it ends them.
TEST(PrimaryChangeTest, StepsAReachablePrimaryDownAfterAGracePeriod)
{
  primary_change change(Plan(true));
  change.Start(At(0));
  Reply(change, "a", Status(server_role::Replica, 3, 10), At(1));
  Reply(change, "b", Status(server_role::Replica, 3, 10), At(1));
  change.OnRecordWritten(true, At(10));
  EXPECT_TRUE(change.OnInstancesReleased(At(20)).empty());
  EXPECT_TRUE(change.OnTick(At(100)).empty());
  const auto asked = ActionsOfType<send_command>(change.OnTick(At(200)));
  ASSERT_EQ(asked.size(), 1U);
  EXPECT_EQ(asked[0].mServer, "p");
  EXPECT_TRUE(std::holds_alternative<step_down_command>(asked[0].mCommand));
}

} // namespace
} // namespace snipewalk
