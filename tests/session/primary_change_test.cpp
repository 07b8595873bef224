// Tests for the change of a primary: its steps, and a model of servers that
// checks that no acknowledged commit is lost.
#include "snipewalk/session/primary_change.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace snipewalk {
namespace {

time_point
At(int aMs)
{
  return time_point() + milliseconds(100'000 + aMs);
}

change_plan
Plan(bool aPlanned = false)
{
  change_plan plan;
  plan.mService = "s";
  plan.mOldPrimary = "p";
  plan.mReplicas = { { "a", false }, { "b", false } };
  plan.mKnownTerm = 1;
  plan.mFence = 9;
  plan.mPlanned = aPlanned;
  return plan;
}

server_status
Status(server_role aRole, std::uint64_t aTerm, std::uint64_t aNumber)
{
  return { aRole, aTerm, { aTerm, aNumber }, {} };
}

template<typename Action>
std::vector<Action>
ActionsOfType(const primary_change::actions& aActions)
{
  std::vector<Action> found;
  for (const auto& action : aActions) {
    if (const auto* match = std::get_if<Action>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

// Delivers the reply to the command that the present step has sent.
primary_change::actions
Reply(primary_change& aChange,
      const std::string& aServer,
      const server_status& aStatus,
      time_point aNow)
{
  server_command command = status_command{};
  if (aChange.Step() == change_step::Pausing) {
    command = pause_command{ aChange.Term() };
  } else if (aChange.Step() == change_step::Resuming) {
    command = resume_command{};
  }
  return aChange.OnServerStatus(aServer, command, aStatus, aNow);
}

// Advances a change to the step that pauses the replicas.
void
AdvanceToPausing(primary_change& aChange,
                 const acknowledged_commits& aAcknowledged = {})
{
  aChange.Start(At(0));
  Reply(aChange, "a", Status(server_role::Replica, 3, 10), At(1));
  Reply(aChange, "b", Status(server_role::Replica, 3, 10), At(1));
  aChange.OnRecordWritten(true, At(10));
  aChange.OnInstancesReleased(At(20), aAcknowledged);
}

// A change with a replica that may have left, whose others are paused at 4.10
// and 4.12. The old primary does not answer.
primary_change
ChangeWithAWitnessGone(const acknowledged_commits& aAcknowledged)
{
  change_plan plan = Plan();
  plan.mReplicasComplete = false;
  primary_change change(plan);
  AdvanceToPausing(change, aAcknowledged);
  Reply(change, "a", Status(server_role::Replica, 4, 10), At(21));
  Reply(change, "b", Status(server_role::Replica, 4, 12), At(22));
  return change;
}

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

// Reply of the old primary to the command to step down.
primary_change::actions
ReplySteppedDown(primary_change& aChange,
                 const server_status& aStatus,
                 time_point aNow)
{
  return aChange.OnServerStatus(
    "p", step_down_command{ aChange.Term() }, aStatus, aNow);
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
  next.mCandidateLeft = true;
  primary_change again(next);
  // What callers were told of while the candidate led must be kept as well.
  AdvanceToPausing(again, { { 5, 13 }, true });
  EXPECT_GT(again.Term(), change.Term());
  Reply(again, "a", Status(server_role::Replica, 5, 12), At(21));
  EXPECT_EQ(again.Candidate(), "");
  Reply(again, "b", Status(server_role::Replica, 5, 13), At(22));
  EXPECT_EQ(again.Candidate(), "b");
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

// Model of a primary whose commits are confirmed by one of two replicas, and of
// a change whose messages are lost, delayed and repeated. If `aPauseAll` is
// false, one replica keeps receiving, which the model must detect as a lost
// commit.
class change_model
{
public:
  change_model(std::uint64_t aSeed, bool aPauseAll)
    : mRandom(aSeed)
    , mPauseAll(aPauseAll)
    , mChange(Plan())
  {
    Queue(mChange.Start(mNow));
  }

  // Returns true if the promoted server lacks an acknowledged commit.
  bool Run()
  {
    for (int step = 0; step < 3'000 && !mChange.IsOver(); ++step) {
      mNow += milliseconds(Draw(20));
      Commit();
      if (!mQueue.empty() && Draw(2) == 0) {
        Deliver();
      }
      Queue(mChange.OnTick(mNow));
    }
    return mCommitLost;
  }

private:
  int Draw(int aBound)
  {
    return static_cast<int>(mRandom() % static_cast<unsigned>(aBound));
  }

  void Commit()
  {
    if (mPromoted) {
      return;
    }
    const std::string replica = Draw(2) == 0 ? "a" : "b";
    const bool receives = mPausedTerm[replica] == 0;
    if (receives) {
      ++mLog;
      mReceived[replica] = mLog;
      mAcknowledged = mLog;
    }
  }

  void Queue(const primary_change::actions& aActions)
  {
    for (const auto& action : aActions) {
      mQueue.push_back(action);
      if (Draw(5) == 0) {
        mQueue.push_back(action);
      }
    }
  }

  void Deliver()
  {
    const auto place = mQueue.begin() + Draw(static_cast<int>(mQueue.size()));
    const change_action action = *place;
    mQueue.erase(place);
    if (Draw(6) == 0) {
      return;
    }
    if (const auto* sent = std::get_if<send_command>(&action)) {
      Execute(*sent);
    } else if (std::holds_alternative<write_primary_record>(action)) {
      Queue(mChange.OnRecordWritten(true, mNow));
    } else if (std::holds_alternative<release_instances>(action)) {
      Queue(mChange.OnInstancesReleased(mNow));
    } else if (const auto* order = std::get_if<order_promotion>(&action)) {
      mPromoted = true;
      mCommitLost = mCommitLost || mReceived[order->mServer] < mAcknowledged;
      Queue(mChange.OnPromoted(promotion_result::Accepted, mNow));
    }
  }

  void Execute(const send_command& aSent)
  {
    if (aSent.mServer == "p") {
      return;
    }
    if (const auto* pause = std::get_if<pause_command>(&aSent.mCommand)) {
      if (mPauseAll || aSent.mServer == "a") {
        mPausedTerm[aSent.mServer] = pause->mTerm;
      }
    } else if (std::holds_alternative<resume_command>(aSent.mCommand)) {
      mPausedTerm[aSent.mServer] = 0;
    }
    server_status status = Status(
      mPromoted && aSent.mServer == mChange.Candidate() ? server_role::Primary
                                                        : server_role::Replica,
      3,
      mReceived[aSent.mServer]);
    Queue(mChange.OnServerStatus(aSent.mServer, aSent.mCommand, status, mNow));
  }

  std::mt19937_64 mRandom;
  bool mPauseAll;
  primary_change mChange;
  time_point mNow = At(0);
  std::deque<change_action> mQueue;
  std::map<std::string, std::uint64_t> mReceived;
  std::map<std::string, std::uint64_t> mPausedTerm;
  std::uint64_t mLog = 0;
  std::uint64_t mAcknowledged = 0;
  bool mPromoted = false;
  bool mCommitLost = false;
};

TEST(PrimaryChangeModelTest, LosesNoAcknowledgedCommit)
{
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    EXPECT_FALSE(change_model(seed, true).Run()) << "seed " << seed;
  }
}

TEST(PrimaryChangeModelTest, FindsALossWhenAReplicaKeepsReceiving)
{
  int lost = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    lost += change_model(seed, false).Run() ? 1 : 0;
  }
  EXPECT_GT(lost, 0);
}

} // namespace
} // namespace snipewalk
