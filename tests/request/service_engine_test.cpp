// Tests of the service engine with typed messages only.
#include "request/engine_driver.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace snipewalk {
namespace {

// Guards against reads that load the primary although a replica is current.
TEST(ServiceEngineTest, ServesReadsFromAReplicaOfTheSameDataCentre)
{
  engine_driver driver;
  driver.Start();
  driver.Submit(driver.Request(statement_kind::Read));
  const auto read = driver.Take<backend_statement>();
  ASSERT_TRUE(read);
  EXPECT_EQ(read->first.mServer, "b");
  driver.Execute(*read, 5, "rows");
  ASSERT_EQ(driver.mAnswers.size(), 1U);
  EXPECT_EQ(driver.mAnswers[0].mOutcome, statement_outcome::Done);
  EXPECT_EQ(driver.mAnswers[0].mBody, "rows");
}

// Guards against reads at a replica although the document asks for the primary.
TEST(ServiceEngineTest, ServesReadsFromThePrimaryByPolicy)
{
  engine_driver driver;
  driver.mView.mDocument.mReads = read_policy::Primary;
  driver.Start();
  driver.Submit(driver.Request(statement_kind::Read));
  const auto read = driver.Take<backend_statement>();
  ASSERT_TRUE(read);
  EXPECT_EQ(read->first.mServer, "a");
}

// Guards against reads that wait for a failed primary to be replaced because
// no replica was known to follow its term when they came.
TEST(ServiceEngineTest, ReadsFromReplicasFoundAfterThePrimaryFailed)
{
  engine_driver driver;
  driver.Publish();
  std::erase_if(driver.mOpening,
                [](const auto& aOpening) { return aOpening.second == "a"; });
  auto request = driver.Request(statement_kind::Read);
  request.mSession = driver.Token(1, 3);
  driver.Submit(request);
  EXPECT_FALSE(driver.Take<backend_statement>());
  driver.mView.mSuspected = { "a" };
  driver.Publish();
  std::erase_if(driver.mOpening,
                [](const auto& aOpening) { return aOpening.second == "a"; });
  driver.mApplied = { { "b", 3 }, { "c", 3 } };
  driver.Settle();
  const auto read = driver.Take<backend_statement>();
  ASSERT_TRUE(read);
  EXPECT_NE(read->first.mServer, "a");
  EXPECT_EQ(read->second.mMinIndex, 3U);
}

// Guards against acknowledging a write that only the primary holds.
TEST(ServiceEngineTest, AnswersAWriteOnlyAfterAMajorityHoldsIt)
{
  engine_driver driver;
  driver.Start();
  driver.Submit(driver.Request(statement_kind::Write));
  const auto write = driver.Take<backend_statement>("a");
  ASSERT_TRUE(write);
  driver.Execute(*write, 9);
  EXPECT_TRUE(driver.mAnswers.empty());
  ASSERT_TRUE(driver.Acknowledge("c", 9));
  ASSERT_EQ(driver.mAnswers.size(), 1U);
  EXPECT_EQ(driver.mAnswers[0].mOutcome, statement_outcome::Done);
  EXPECT_FALSE(driver.mAnswers[0].mSession.empty());
}

// Guards against a write that the caller believes lost although it ran.
TEST(ServiceEngineTest, LooksUpAWriteWhoseReplyWasLost)
{
  engine_driver driver;
  driver.Start();
  const auto request = driver.Request(statement_kind::Write);
  driver.Submit(request);
  driver.Lose(driver.Take<backend_statement>("a")->first.mConnection);
  const auto lookup = driver.Take<backend_outcome_query>("a");
  ASSERT_TRUE(lookup);
  EXPECT_EQ(lookup->second.mIdempotencyKey, request.mIdempotencyKey);
  backend_reply reply;
  reply.mTerm = 1;
  reply.mKeyState = key_state::Done;
  reply.mIndex = 4;
  driver.Handle(reply_received{ lookup->first.mConnection, reply });
  driver.Acknowledge("b", 4);
  ASSERT_EQ(driver.mAnswers.size(), 1U);
  EXPECT_EQ(driver.mAnswers[0].mOutcome, statement_outcome::Done);
  EXPECT_TRUE(driver.mAnswers[0].mReplayed);
}

// Guards against "not run" while an attempt may still take effect.
TEST(ServiceEngineTest, SaysUnknownWhenAnAttemptWasNotSettled)
{
  engine_driver driver;
  driver.Start();
  driver.Submit(driver.Request(statement_kind::Write));
  driver.Submit(driver.Request(statement_kind::Write));
  ASSERT_TRUE(driver.Take<backend_statement>("a"));
  driver.Execute(*driver.Take<backend_statement>("a"), 3);
  driver.Advance(seconds(6));
  ASSERT_EQ(driver.mAnswers.size(), 2U);
  for (const auto& answer : driver.mAnswers) {
    EXPECT_EQ(answer.mOutcome, statement_outcome::Unknown);
    EXPECT_FALSE(answer.mIdempotencyKey.empty());
  }
}

// Guards against failed writes during a change of primary: they wait and run
// at the new one.
TEST(ServiceEngineTest, HoldsWritesDuringAChangeOfPrimary)
{
  engine_driver driver;
  driver.Start();
  driver.mView.mTerm.mTerm = 2;
  driver.mView.mTerm.mPhase = term_phase::Electing;
  driver.mView.mTerm.mPrimary.clear();
  driver.Publish();
  driver.Submit(driver.Request(statement_kind::Write));
  driver.Advance(seconds(1));
  EXPECT_TRUE(driver.mAnswers.empty());
  EXPECT_FALSE(driver.Take<backend_statement>());
  driver.mView.mTerm.mPhase = term_phase::Stable;
  driver.mView.mTerm.mPrimary = "b";
  driver.Publish();
  driver.Settle();
  const auto write = driver.Take<backend_statement>("b");
  ASSERT_TRUE(write);
  EXPECT_EQ(write->second.mTerm, 2U);
}

// Guards against a write of the old term that is answered without knowing
// whether the new primary has it.
TEST(ServiceEngineTest, SettlesWritesOfTheOldTermAtTheNewPrimary)
{
  engine_driver driver;
  driver.Start();
  driver.Submit(driver.Request(statement_kind::Write));
  driver.Execute(*driver.Take<backend_statement>("a"), 3);
  const auto wait = driver.Take<backend_wait>("b");
  ASSERT_TRUE(wait);
  driver.mView.mTerm.mTerm = 2;
  driver.mView.mTerm.mPrimary = "b";
  driver.Publish();
  // A late confirmation of the old term no longer counts.
  backend_reply late;
  late.mTerm = 1;
  late.mIndex = 3;
  driver.Handle(reply_received{ wait->first.mConnection, late });
  EXPECT_TRUE(driver.mAnswers.empty());
  EXPECT_TRUE(driver.Take<backend_outcome_query>("b"));
}

// Guards against a request that is sent although it cannot be served in time.
TEST(ServiceEngineTest, RefusesWhenTheQueueIsFull)
{
  engine_driver driver;
  driver.mView.mDocument.mQueueLimit = 3;
  driver.Start();
  for (int i = 0; i < 10; ++i) {
    driver.Submit(driver.Request(statement_kind::Write));
  }
  ASSERT_EQ(driver.mAnswers.size(), 1U);
  EXPECT_EQ(driver.mAnswers[0].mOutcome, statement_outcome::NotRun);
  EXPECT_EQ(driver.mAnswers[0].mReason, refusal_reason::Overloaded);
  EXPECT_GT(driver.mAnswers[0].mRetryAfter, milliseconds(0));
}

// Guards against a write that is sent so late that its deadline cuts it, and
// whose outcome is unknown although a refusal would have been true.
TEST(ServiceEngineTest, RefusesWaitingWritesThatCannotEndInTime)
{
  engine_driver driver;
  driver.mView.mDocument.mAcknowledge = acknowledge_policy::Primary;
  driver.Start();
  for (int i = 0; i < 100; ++i) {
    driver.Submit(driver.Request(statement_kind::Write));
    const auto write = driver.Take<backend_statement>("a");
    ASSERT_TRUE(write);
    driver.Advance(milliseconds(400));
    driver.Execute(*write, 1);
    driver.Settle();
  }
  driver.mAnswers.clear();
  std::optional<std::pair<engine_driver::sent, backend_statement>> first;
  for (bool queued = false; !queued;) {
    auto request = driver.Request(statement_kind::Write);
    request.mDeadline = driver.mNow + milliseconds(600);
    driver.Submit(request);
    auto write = driver.Take<backend_statement>("a");
    queued = !write;
    first = first ? first : write;
  }
  ASSERT_TRUE(first);
  ASSERT_TRUE(driver.mAnswers.empty());
  driver.Advance(milliseconds(300));
  driver.Execute(*first, 1);
  EXPECT_FALSE(driver.Take<backend_statement>("a"));
  ASSERT_EQ(driver.mAnswers.size(), 2U);
  const auto refused = std::find_if(
    driver.mAnswers.begin(), driver.mAnswers.end(), [](const auto& aAnswer) {
      return aAnswer.mOutcome == statement_outcome::NotRun;
    });
  ASSERT_NE(refused, driver.mAnswers.end());
  EXPECT_EQ(refused->mReason, refusal_reason::Overloaded);
  EXPECT_GT(refused->mRetryAfter, milliseconds(0));
}

// Guards against statements of two transactions on one connection, and against
// a connection with an open transaction that serves others.
TEST(ServiceEngineTest, PinsEachTransactionToItsConnection)
{
  engine_driver driver;
  driver.Start();
  std::vector<connection_id> pinned;
  for (int i = 0; i < 2; ++i) {
    driver.Submit(driver.Request(statement_kind::Begin));
    const auto begin = driver.Take<backend_statement>("a");
    ASSERT_TRUE(begin);
    pinned.push_back(begin->first.mConnection);
    driver.Execute(*begin, 1);
  }
  EXPECT_NE(pinned[0], pinned[1]);
  ASSERT_EQ(driver.mAnswers.size(), 2U);
  for (const std::size_t i : { 1U, 0U, 1U }) {
    auto request = driver.Request(statement_kind::Write);
    request.mTransaction = driver.mAnswers[i].mTransaction;
    driver.Submit(request);
    const auto write = driver.Take<backend_statement>("a");
    ASSERT_TRUE(write);
    EXPECT_EQ(write->first.mConnection, pinned[i]);
    driver.Execute(*write, 1);
  }
  driver.Submit(driver.Request(statement_kind::Write));
  const auto other = driver.Take<backend_statement>("a");
  ASSERT_TRUE(other);
  EXPECT_NE(other->first.mConnection, pinned[0]);
  EXPECT_NE(other->first.mConnection, pinned[1]);
}

// Guards against another account's or a made-up transaction id.
TEST(ServiceEngineTest, RejectsAForeignTransaction)
{
  engine_driver driver;
  driver.Start();
  driver.Submit(driver.Request(statement_kind::Begin));
  driver.Execute(*driver.Take<backend_statement>("a"), 1);
  auto request = driver.Request(statement_kind::Write);
  request.mTransaction = driver.mAnswers[0].mTransaction;
  request.mAccount = "another";
  driver.Submit(request);
  EXPECT_EQ(driver.mAnswers[1].mReason, refusal_reason::UnknownTransaction);
}

// Guards against abandoned transactions that hold scarce connections.
TEST(ServiceEngineTest, EndsIdleTransactions)
{
  engine_driver driver;
  driver.Start();
  driver.Submit(driver.Request(statement_kind::Begin));
  const auto begin = driver.Take<backend_statement>("a");
  driver.Execute(*begin, 1);
  driver.Advance(seconds(31));
  EXPECT_EQ(driver.mEngine.Status().mTransactions, 0U);
  EXPECT_EQ(std::count(driver.mClosed.begin(),
                       driver.mClosed.end(),
                       begin->first.mConnection),
            1);
  auto request = driver.Request(statement_kind::Write);
  request.mTransaction = driver.mAnswers[0].mTransaction;
  driver.Submit(request);
  EXPECT_EQ(driver.mAnswers[1].mReason, refusal_reason::TransactionLost);
  EXPECT_EQ(driver.mAnswers[1].mOutcome, statement_outcome::NotRun);
}

// Guards against a lost commit that is reported as rolled back.
TEST(ServiceEngineTest, LooksUpALostCommit)
{
  engine_driver driver;
  driver.Start();
  driver.Submit(driver.Request(statement_kind::Begin));
  driver.Execute(*driver.Take<backend_statement>("a"), 1);
  auto commit = driver.Request(statement_kind::Commit);
  commit.mTransaction = driver.mAnswers[0].mTransaction;
  driver.Submit(commit);
  driver.Lose(driver.Take<backend_statement>("a")->first.mConnection);
  const auto lookup = driver.Take<backend_outcome_query>("a");
  ASSERT_TRUE(lookup);
  EXPECT_EQ(lookup->second.mIdempotencyKey, commit.mIdempotencyKey);
  driver.Advance(seconds(6));
  ASSERT_EQ(driver.mAnswers.size(), 2U);
  EXPECT_EQ(driver.mAnswers[1].mOutcome, statement_outcome::Unknown);
}

// Guards against a reply that is delivered to another request.
TEST(ServiceEngineTest, DropsAReplyWithAnotherRequestId)
{
  engine_driver driver;
  driver.Start();
  driver.Submit(driver.Request(statement_kind::Read));
  auto read = driver.Take<backend_statement>();
  ASSERT_TRUE(read);
  auto foreign = *read;
  foreign.second.mRequestId = "r0.1";
  driver.Execute(foreign, 5, "another caller's rows");
  EXPECT_TRUE(driver.mAnswers.empty());
  const auto retry = driver.Take<backend_statement>();
  ASSERT_TRUE(retry);
  driver.Execute(*retry, 5, "rows");
  EXPECT_EQ(driver.mAnswers.at(0).mBody, "rows");
}

// Guards against data older than stated while the primary is silent.
TEST(ServiceEngineTest, RefusesAReadWhoseAgeCannotBePromised)
{
  engine_driver driver;
  driver.Start();
  driver.Advance(seconds(1));
  auto request = driver.Request(statement_kind::Read);
  request.mMaxAge = milliseconds(50);
  driver.Submit(request);
  driver.Advance(milliseconds(150));
  ASSERT_EQ(driver.mAnswers.size(), 1U);
  EXPECT_EQ(driver.mAnswers[0].mReason, refusal_reason::TooStale);
  EXPECT_EQ(driver.mAnswers[0].mOutcome, statement_outcome::NotRun);
}

// Guards against reads with a stated age that fail during a planned change,
// and against ones that are held without end when it does not succeed.
TEST(ServiceEngineTest, HoldsReadsWithAnAgeDuringAChangeOfTerm)
{
  for (const bool succeeds : { true, false }) {
    engine_driver driver;
    driver.Start();
    driver.mView.mTerm.mTerm = 2;
    driver.mView.mTerm.mPhase = term_phase::Electing;
    driver.mView.mTerm.mPrimary.clear();
    driver.Publish();
    auto request = driver.Request(statement_kind::Read);
    request.mMaxAge = milliseconds(500);
    driver.Submit(request);
    driver.Advance(milliseconds(200));
    EXPECT_TRUE(driver.mAnswers.empty());
    if (succeeds) {
      driver.mView.mTerm.mPhase = term_phase::Stable;
      driver.mView.mTerm.mPrimary = "b";
      driver.Publish();
      driver.Settle();
      EXPECT_TRUE(driver.Take<backend_statement>());
    } else {
      driver.Advance(milliseconds(300));
      ASSERT_EQ(driver.mAnswers.size(), 1U);
      EXPECT_EQ(driver.mAnswers[0].mReason, refusal_reason::TooStale);
    }
  }
}

// Guards against new work on a leaving server and connections that stay there.
TEST(ServiceEngineTest, DrainsALeavingServer)
{
  engine_driver driver;
  driver.Start();
  driver.mView.mDocument.mServers[1].mState = server_state::Leaving;
  driver.mView.mTerm.mTerm = 2;
  driver.mView.mTerm.mVoters = { "a", "c" };
  driver.Publish();
  driver.Settle();
  for (const auto& server : driver.mEngine.Status().mServers) {
    EXPECT_EQ(server.mConnections, server.mName == "b" ? 0U : 6U);
  }
}

// Guards against transactions that begin on a primary that is about to be
// fenced, against writes that wait with them, and against a refusal that does
// not tell the caller when to come back.
TEST(ServiceEngineTest, HoldsNewTransactionsBeforeAPlannedChange)
{
  engine_driver driver;
  driver.Start();
  driver.Handle(begins_held{ 1 });
  auto begin = driver.Request(statement_kind::Begin);
  begin.mDeadline = driver.mNow + kBeginHold / 2;
  driver.Submit(begin);
  driver.Submit(driver.Request(statement_kind::Begin));
  driver.Submit(driver.Request(statement_kind::Write));
  const auto sent = driver.Take<backend_statement>("a");
  ASSERT_TRUE(sent);
  EXPECT_EQ(sent->second.mKind, statement_kind::Write);
  EXPECT_FALSE(driver.Take<backend_statement>("a"));
  driver.Advance(kBeginHold / 2);
  ASSERT_EQ(driver.mAnswers.size(), 1U);
  EXPECT_EQ(driver.mAnswers[0].mOutcome, statement_outcome::NotRun);
  EXPECT_GT(driver.mAnswers[0].mRetryAfter, milliseconds(0));
  driver.Advance(kBeginHold / 2);
  driver.Settle();
  const auto later = driver.Take<backend_statement>("a");
  ASSERT_TRUE(later);
  EXPECT_EQ(later->second.mKind, statement_kind::Begin);
}

// Guards against a hold of one term that delays transactions of the next, and
// against one that is not counted while its begin is under way.
TEST(ServiceEngineTest, BeginsTransactionsInTheTermAfterAPlannedChange)
{
  engine_driver driver;
  driver.Start();
  driver.Submit(driver.Request(statement_kind::Begin));
  driver.Handle(begins_held{ 1 });
  EXPECT_EQ(driver.mEngine.Status().mServers.at(0).mTransactions, 1U);
  driver.Submit(driver.Request(statement_kind::Begin));
  ASSERT_TRUE(driver.Take<backend_statement>("a"));
  EXPECT_FALSE(driver.Take<backend_statement>("a"));
  driver.mView.mTerm.mTerm = 2;
  driver.mView.mTerm.mPrimary = "b";
  driver.Publish();
  driver.Settle();
  const auto begin = driver.Take<backend_statement>("b");
  ASSERT_TRUE(begin);
  EXPECT_EQ(begin->second.mKind, statement_kind::Begin);
}

// Guards against held transactions that fill the queue and so stop the writes.
TEST(ServiceEngineTest, KeepsRoomForWritesWhileTransactionsAreHeld)
{
  engine_driver driver;
  driver.mView.mDocument.mQueueLimit = 8;
  driver.Start();
  driver.Handle(begins_held{ 1 });
  for (int i = 0; i < 3; ++i) {
    driver.Submit(driver.Request(statement_kind::Begin));
  }
  ASSERT_EQ(driver.mAnswers.size(), 1U);
  EXPECT_EQ(driver.mAnswers[0].mOutcome, statement_outcome::NotRun);
  EXPECT_EQ(driver.mAnswers[0].mReason, refusal_reason::Overloaded);
  EXPECT_GT(driver.mAnswers[0].mRetryAfter, milliseconds(0));
}

// Guards against an instance that starts transactions which its end cuts.
TEST(ServiceEngineTest, BeginsNoTransactionWhileShuttingDown)
{
  engine_driver driver;
  driver.Start();
  driver.Handle(drain_requested{});
  driver.Submit(driver.Request(statement_kind::Begin));
  EXPECT_EQ(driver.mAnswers.at(0).mReason, refusal_reason::ShuttingDown);
  driver.Submit(driver.Request(statement_kind::Read));
  EXPECT_TRUE(driver.Take<backend_statement>());
}

// Guards against writes that are accepted while no replica keeps up.
TEST(ServiceEngineTest, RefusesWritesWhileAllReplicasAreBehind)
{
  engine_driver driver;
  driver.Start();
  driver.Submit(driver.Request(statement_kind::Write));
  driver.Execute(*driver.Take<backend_statement>("a"), 3);
  driver.Advance(seconds(11));
  driver.Submit(driver.Request(statement_kind::Write));
  EXPECT_EQ(driver.mAnswers.back().mReason, refusal_reason::ReplicasBehind);
  EXPECT_EQ(driver.mAnswers.back().mOutcome, statement_outcome::NotRun);
}

// Guards against a rejected statement that is sent again and again.
TEST(ServiceEngineTest, SettlesAMalformedWriteByOneLookup)
{
  engine_driver driver;
  driver.Start();
  driver.Submit(driver.Request(statement_kind::Write));
  driver.RefuseStatement(*driver.Take<backend_statement>("a"),
                         backend_error::Malformed);
  const auto lookup = driver.Take<backend_outcome_query>("a");
  ASSERT_TRUE(lookup);
  backend_reply reply;
  reply.mTerm = 1;
  reply.mKeyState = key_state::Absent;
  driver.Handle(reply_received{ lookup->first.mConnection, reply });
  ASSERT_EQ(driver.mAnswers.size(), 1U);
  EXPECT_EQ(driver.mAnswers[0].mOutcome, statement_outcome::NotRun);
  EXPECT_EQ(driver.mAnswers[0].mReason, refusal_reason::BadRequest);
}

// Guards against an explanation that changes the engine or fails.
TEST(ServiceEngineTest, ExplainsTheRouteOfARead)
{
  engine_driver driver;
  driver.Start();
  const auto text =
    driver.mEngine.Explain(driver.Request(statement_kind::Read), driver.mNow);
  EXPECT_NE(text.find("would go to b"), std::string::npos) << text;
  EXPECT_TRUE(driver.mSent.empty());
}

} // namespace
} // namespace snipewalk
