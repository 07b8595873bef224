// Tests of which server a change of the primary promotes, and when it promotes
// none.
#include "session/primary_change_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace snipewalk {
namespace {

// Either replica may have confirmed the last commit, so the newest log can be
// on any of them.
TEST(PrimaryChangeTest, PromotesTheNewestLogAfterAllArePaused)
{
  primary_change change(Plan());
  AdvanceToPausing(change);
  EXPECT_TRUE(
    Reply(change, "a", Status(server_role::Replica, 4, 10), At(21)).empty());
  const auto chosen =
    Reply(change, "b", Status(server_role::Replica, 4, 12), At(22));
  ASSERT_EQ(ActionsOfType<write_primary_record>(chosen).size(), 1U);
  EXPECT_EQ(change.Candidate(), "b");
  const auto ordered = change.OnRecordWritten(true, At(30));
  ASSERT_EQ(ActionsOfType<order_promotion>(ordered).size(), 1U);
  EXPECT_EQ(ActionsOfType<order_promotion>(ordered)[0].mServer, "b");
}

TEST(PrimaryChangeTest, PrefersAStayingServerAmongEqualLogs)
{
  change_plan plan = Plan();
  plan.mReplicas[0].mDraining = true;
  primary_change change(plan);
  AdvanceToPausing(change);
  Reply(change, "a", Status(server_role::Replica, 4, 12), At(21));
  Reply(change, "b", Status(server_role::Replica, 4, 12), At(22));
  EXPECT_EQ(change.Candidate(), "b");
}

// Guards against requests that reach a leaving server for too long: a change
// can wait for seconds before it chooses.
TEST(PrimaryChangeTest, PrefersAStayingServerToOneThatHasBegunToLeave)
{
  primary_change change(Plan());
  AdvanceToPausing(change);
  change.OnServerDraining("a");
  Reply(change, "a", Status(server_role::Replica, 4, 12), At(21));
  Reply(change, "b", Status(server_role::Replica, 4, 12), At(22));
  EXPECT_EQ(change.Candidate(), "b");
}

TEST(PrimaryChangeTest, TakesALeavingServerWithANewerLog)
{
  change_plan plan = Plan();
  plan.mReplicas[0].mDraining = true;
  primary_change change(plan);
  AdvanceToPausing(change);
  Reply(change, "a", Status(server_role::Replica, 4, 13), At(21));
  Reply(change, "b", Status(server_role::Replica, 4, 12), At(22));
  EXPECT_EQ(change.Candidate(), "a");
}

// A replica that does not reply may hold the only copy of an acknowledged
// commit.
TEST(PrimaryChangeTest, RevertsWhenAReplicaCannotBePaused)
{
  primary_change change(Plan());
  AdvanceToPausing(change);
  Reply(change, "a", Status(server_role::Replica, 4, 10), At(21));
  const auto reverted = change.OnTick(At(2'500));
  const auto writes = ActionsOfType<write_primary_record>(reverted);
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_EQ(writes[0].mRecord.mPhase, primary_phase::Stable);
  EXPECT_EQ(writes[0].mRecord.mPrimary, "p");
  EXPECT_EQ(ActionsOfType<send_command>(reverted).size(), 2U);
}

// Probes a change whose replica b does not reply, up to `aUntil` ms.
primary_change
ProbedWithoutB(const server_status& aPrimary,
               const server_status& aReplica,
               int aUntil)
{
  primary_change change(Plan(true));
  change.Start(At(0));
  Reply(change, "p", aPrimary, At(1));
  Reply(change, "a", aReplica, At(1));
  for (int ms = 20; ms <= aUntil && change.Step() == change_step::Probing;
       ms += 20) {
    change.OnTick(At(ms));
  }
  return change;
}

// Steps the old primary down at 200 ms after the release, and pauses a.
void
StepDownAndPause(primary_change& aChange,
                 const acknowledged_commits& aAcknowledged,
                 const server_status& aPrimary,
                 const server_status& aReplica)
{
  aChange.OnRecordWritten(true, At(510));
  aChange.OnInstancesReleased(At(520), aAcknowledged);
  aChange.OnTick(At(700));
  aChange.OnServerStatus(
    "p", step_down_command{ aChange.Term() }, aPrimary, At(701));
  Reply(aChange, "a", aReplica, At(702));
}

// The old primary's last position bounds all that was acknowledged, so a
// replica that does not reply can have no more.
TEST(PrimaryChangeTest, ReplacesALeavingPrimaryWithoutASilentReplica)
{
  primary_change change = ProbedWithoutB(Status(server_role::Primary, 3, 50),
                                         Status(server_role::Replica, 3, 50),
                                         400);
  ASSERT_EQ(change.Step(), change_step::Recording);
  StepDownAndPause(change,
                   { { 3, 51 }, false },
                   Status(server_role::Replica, 3, 52),
                   Status(server_role::Replica, 3, 52));
  EXPECT_EQ(change.Step(), change_step::Pausing);
  change.OnTick(At(1'020));
  EXPECT_EQ(change.Candidate(), "a");
}

// The silent replica may be the only one that has the last commits.
TEST(PrimaryChangeTest, PromotesNoOlderLogWithoutASilentReplica)
{
  primary_change change = ProbedWithoutB(Status(server_role::Primary, 3, 50),
                                         Status(server_role::Replica, 3, 50),
                                         400);
  ASSERT_EQ(change.Step(), change_step::Recording);
  StepDownAndPause(change,
                   { { 3, 51 }, false },
                   Status(server_role::Replica, 3, 52),
                   Status(server_role::Replica, 3, 51));
  for (int ms = 720; ms < 4'000; ms += 20) {
    change.OnTick(At(ms));
    EXPECT_NE(change.Candidate(), "a");
  }
  EXPECT_EQ(change.Candidate(), "p");
}

// An old primary that starts again without its log says nothing about what it
// acknowledged.
TEST(PrimaryChangeTest, BelievesNoOldPrimaryThatHasLostItsLog)
{
  for (const std::uint64_t last : { 3, 51 }) {
    primary_change change = ProbedWithoutB(Status(server_role::Primary, 3, 50),
                                           Status(server_role::Replica, 3, 50),
                                           400);
    ASSERT_EQ(change.Step(), change_step::Recording);
    StepDownAndPause(change,
                     { { 3, 52 }, false },
                     Status(server_role::Replica, 3, last),
                     Status(server_role::Replica, 3, 51));
    for (int ms = 720; ms < 4'000; ms += 20) {
      change.OnTick(At(ms));
      EXPECT_EQ(change.Candidate(), "");
    }
  }
}

// If the old primary did not answer either, its last position would not be
// known; and a replica that is behind would only take the service's primary
// away for a while.
TEST(PrimaryChangeTest, KeepsThePrimaryIfNoReplicaHasItsLogAndOneIsSilent)
{
  const primary_change behind =
    ProbedWithoutB(Status(server_role::Primary, 3, 50),
                   Status(server_role::Replica, 3, 49),
                   600);
  EXPECT_EQ(behind.Step(), change_step::Failed);
  primary_change silent(Plan(true));
  silent.Start(At(0));
  Reply(silent, "a", Status(server_role::Replica, 3, 50), At(1));
  for (int ms = 20; ms <= 600; ms += 20) {
    silent.OnTick(At(ms));
  }
  EXPECT_EQ(silent.Step(), change_step::Failed);
}

// The replica's reply may be older than that of the primary.
TEST(PrimaryChangeTest, AsksAReplicaAgainThatLacksThePrimarysLog)
{
  primary_change change(Plan(true));
  change.Start(At(0));
  Reply(change, "p", Status(server_role::Primary, 3, 50), At(1));
  Reply(change, "a", Status(server_role::Replica, 3, 49), At(1));
  std::set<std::string> asked;
  for (const auto& sent : ActionsOfType<send_command>(change.OnTick(At(160)))) {
    asked.insert(sent.mServer);
  }
  EXPECT_EQ(asked, (std::set<std::string>{ "a", "b" }));
  Reply(change, "a", Status(server_role::Replica, 3, 53), At(161));
  EXPECT_EQ(change.Step(), change_step::Probing);
  change.OnTick(At(300));
  EXPECT_EQ(change.Step(), change_step::Recording);
}

// A replica that has left may have received commits that no other replica has.
// While the old primary is alive, it has them and stays.
TEST(PrimaryChangeTest, KeepsThePrimaryWhoseCommitsNoReplicaHas)
{
  change_plan plan = Plan();
  plan.mRequiredPosition = { 1, 50 };
  primary_change change(plan);
  change.Start(At(0));
  std::size_t actions = 0;
  for (const auto& replica : plan.mReplicas) {
    actions += change
                 .OnServerStatus(replica.mId,
                                 status_command{},
                                 Status(server_role::Replica, 1, 49),
                                 At(1))
                 .size();
  }
  actions +=
    change
      .OnServerStatus(
        "p", status_command{}, Status(server_role::Primary, 1, 50), At(2))
      .size();
  EXPECT_EQ(actions, 0U);
  EXPECT_EQ(change.Step(), change_step::Failed);
}

// The old primary was promoted with commits that only it holds, no replica has
// received anything of its term yet, and it does not answer.
TEST(PrimaryChangeTest, RevertsWhenNoReplicaHasReachedTheLeadTerm)
{
  change_plan plan = Plan();
  plan.mLeadTerm = 3;
  primary_change change(plan);
  AdvanceToPausing(change);
  change.OnServerStatus("a",
                        pause_command{ change.Term() },
                        server_status{ server_role::Replica, 4, { 2, 50 }, {} },
                        At(21));
  EXPECT_TRUE(
    change
      .OnServerStatus("b",
                      pause_command{ change.Term() },
                      server_status{ server_role::Replica, 4, { 2, 51 }, {} },
                      At(22))
      .empty());
  const auto reverted = change.OnTick(At(320));
  const auto writes = ActionsOfType<write_primary_record>(reverted);
  ASSERT_EQ(writes.size(), 1U);
  EXPECT_EQ(writes[0].mRecord.mPrimary, "p");
  EXPECT_EQ(writes[0].mRecord.mPhase, primary_phase::Stable);
  EXPECT_EQ(writes[0].mRecord.mLeadTerm, 3U);
}

// Stepping it down would leave the service without a primary.
TEST(PrimaryChangeTest, KeepsAPrimaryWhoseTermNoReplicaHasReached)
{
  change_plan plan = Plan();
  plan.mLeadTerm = 3;
  primary_change change(plan);
  change.Start(At(0));
  Reply(change, "a", Status(server_role::Replica, 2, 50), At(1));
  Reply(change, "b", Status(server_role::Replica, 2, 51), At(1));
  EXPECT_EQ(change.Step(), change_step::Probing);
  EXPECT_TRUE(
    Reply(change, "p", Status(server_role::Primary, 3, 60), At(2)).empty());
  EXPECT_EQ(change.Step(), change_step::Failed);
}

// No replica can ever reach the term of a primary that has lost its role.
TEST(PrimaryChangeTest, PromotesTheOldPrimaryAgainWhenOnlyItHasItsTerm)
{
  change_plan plan = Plan();
  plan.mLeadTerm = 3;
  primary_change change(plan);
  change.Start(At(0));
  Reply(change, "a", Status(server_role::Replica, 2, 50), At(1));
  Reply(change, "b", Status(server_role::Replica, 2, 50), At(1));
  Reply(change, "p", Status(server_role::Replica, 3, 60), At(1));
  change.OnRecordWritten(true, At(10));
  change.OnInstancesReleased(At(20));
  Reply(change, "a", Status(server_role::Replica, 2, 50), At(21));
  Reply(change, "b", Status(server_role::Replica, 2, 50), At(21));
  ReplySteppedDown(change, Status(server_role::Replica, 3, 60), At(22));
  EXPECT_EQ(change.Step(), change_step::Choosing);
  EXPECT_EQ(change.Candidate(), "p");
}

// The replica that confirmed the old primary's last commits may have left
// before this instance knew it.
TEST(PrimaryChangeTest, PrefersTheOldPrimaryToAnOlderLogIfReplicasMayBeMissing)
{
  change_plan plan = Plan();
  plan.mReplicasComplete = false;
  primary_change change(plan);
  AdvanceToPausing(change);
  Reply(change, "a", Status(server_role::Replica, 3, 50), At(21));
  Reply(change, "b", Status(server_role::Replica, 3, 50), At(21));
  EXPECT_EQ(change.Step(), change_step::Pausing);
  ReplySteppedDown(change, Status(server_role::Replica, 3, 268), At(22));
  EXPECT_EQ(change.Candidate(), "p");
}

TEST(PrimaryChangeTest, PromotesAReplicaThatHasTheOldPrimarysLog)
{
  change_plan plan = Plan();
  plan.mReplicasComplete = false;
  primary_change change(plan);
  AdvanceToPausing(change);
  ReplySteppedDown(change, Status(server_role::Replica, 3, 50), At(21));
  Reply(change, "a", Status(server_role::Replica, 3, 50), At(21));
  Reply(change, "b", Status(server_role::Replica, 3, 49), At(21));
  EXPECT_EQ(change.Candidate(), "a");
}

// The replica's log may be gone, and with it commits that only it had
// confirmed.
TEST(PrimaryChangeTest, PrefersTheOldPrimaryAfterAReplicaStartedAgain)
{
  primary_change change(Plan());
  AdvanceToPausing(change);
  change.OnServerAdded({ "a", false }, At(21));
  Reply(change, "a", Status(server_role::Replica, 3, 10), At(22));
  Reply(change, "b", Status(server_role::Replica, 3, 10), At(22));
  ReplySteppedDown(change, Status(server_role::Replica, 3, 12), At(23));
  EXPECT_EQ(change.Candidate(), "p");
}

// A replica that has left may have been the only one with the last commits, so
// that the old primary is waited for, but not for ever.
TEST(PrimaryChangeTest, WaitsForTheOldPrimaryIfAReplicaIsGone)
{
  primary_change change(Plan());
  AdvanceToPausing(change);
  Reply(change, "a", Status(server_role::Replica, 4, 10), At(21));
  change.OnServerRemoved("b", At(500));
  change.OnTick(At(520));
  change.OnTick(At(10'019));
  EXPECT_EQ(change.Step(), change_step::Pausing);
  change.OnTick(At(10'020));
  EXPECT_EQ(change.Candidate(), "a");
}

TEST(PrimaryChangeTest, GoesOnAskingTheOldPrimaryThatItWaitsFor)
{
  primary_change change = ChangeWithAWitnessGone({ { 4, 12 }, false });
  for (int ms = 400; ms < 9'000; ms += 200) {
    const auto sent = ActionsOfType<send_command>(change.OnTick(At(ms)));
    EXPECT_TRUE(std::any_of(sent.begin(),
                            sent.end(),
                            [](const auto& aSent) {
                              return aSent.mServer == "p" &&
                                     std::holds_alternative<step_down_command>(
                                       aSent.mCommand);
                            }))
      << ms;
  }
}

// The old primary has crashed and returns with its log while it is waited for.
TEST(PrimaryChangeTest, PromotesAnOldPrimaryThatReturnsWithItsLog)
{
  primary_change change = ChangeWithAWitnessGone({ { 4, 15 }, true });
  EXPECT_EQ(change.Step(), change_step::Pausing);
  change.OnServerStatus("p",
                        step_down_command{ change.Term() },
                        Status(server_role::Replica, 4, 15),
                        At(200));
  EXPECT_EQ(change.Candidate(), "p");
}

TEST(PrimaryChangeTest, PromotesALogWithAllThatInstancesHaveAcknowledged)
{
  const primary_change change = ChangeWithAWitnessGone({ { 4, 12 }, true });
  EXPECT_EQ(change.Candidate(), "b");
}

// An instance that did not answer may have acknowledged more than the others.
TEST(PrimaryChangeTest, WaitsIfNotAllAcknowledgedCommitsAreKnown)
{
  primary_change change = ChangeWithAWitnessGone({ { 4, 12 }, false });
  EXPECT_EQ(change.Step(), change_step::Pausing);
  change.OnTick(At(10'020));
  EXPECT_EQ(change.Candidate(), "b");
}

TEST(PrimaryChangeTest, NeverPromotesALogThatLacksAnAcknowledgedCommit)
{
  for (const bool allKnown : { false, true }) {
    primary_change change = ChangeWithAWitnessGone({ { 4, 13 }, allKnown });
    for (int ms = 40; ms < 20'000 && !change.IsOver(); ms += 20) {
      change.OnTick(At(ms));
      if (change.Step() == change_step::Reverting) {
        change.OnRecordWritten(true, At(ms));
      }
    }
    EXPECT_EQ(change.Step(), change_step::Failed);
    EXPECT_TRUE(change.IsLogMissing());
    EXPECT_EQ(change.Candidate(), "");
  }
}

// The position that a server states with a commit can be that of a later one,
// which no replica has received.
TEST(PrimaryChangeTest, TrustsTheLogsOfAllReplicasBeforeStatedPositions)
{
  primary_change change(Plan());
  AdvanceToPausing(change, { { 4, 13 }, true });
  Reply(change, "a", Status(server_role::Replica, 4, 10), At(21));
  Reply(change, "b", Status(server_role::Replica, 4, 12), At(22));
  EXPECT_EQ(change.Candidate(), "b");
}

} // namespace
} // namespace snipewalk
