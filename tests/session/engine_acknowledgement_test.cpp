// Tests of the acknowledgement of writes: a commit that a replaced primary
// reports as done is missing in the log of the new primary.
#include "session/engine_fixture.h"

namespace snipewalk {
namespace {

class AcknowledgementTest : public SessionEngineTest
{
protected:
  // Sends a single write that the primary "p" has not answered yet.
  void SendWrite()
  {
    Configure();
    mSession = Open("main");
    SendStatement(mSession, write_statement{ "1", "x" });
    AcceptConnections();
    ASSERT_TRUE(LastRequestConnection());
    mWriteConnection = *LastRequestConnection();
  }

  // All confirmations of the primaries have expired.
  void ExpireConfirmations() { mEngine.SetPrimariesConfirmed(mNow, mNow); }

  std::size_t ReplyCount() { return mLinks.mReplies[mSession].size(); }

  session_id mSession = 0;
  server_connection_id mWriteConnection = 0;
};

TEST_F(AcknowledgementTest, AcknowledgesAWriteOfAConfirmedPrimary)
{
  SendWrite();
  Answer(mWriteConnection, Done(5));
  ASSERT_EQ(ReplyCount(), 1U);
  EXPECT_FALSE(LastReply(mSession).mError);
}

// Open transactions may end while a planned change of primary begins.
TEST_F(AcknowledgementTest, AcknowledgesAWriteDuringAPlannedChange)
{
  SendWrite();
  mEngine.SetPrimary(
    "s", { "p", 0, false, true, write_permission::Allowed }, mNow);
  Answer(mWriteConnection, Done(5));
  ASSERT_EQ(ReplyCount(), 1U);
  EXPECT_FALSE(LastReply(mSession).mError);
}

// A change of primary needs to know how far callers have been told of commits.
TEST_F(AcknowledgementTest, KnowsThePositionOfTheLastAcknowledgedWrite)
{
  SendWrite();
  EXPECT_EQ(mEngine.AcknowledgedPosition("s"), log_position{});
  Answer(mWriteConnection, Done(5));
  EXPECT_EQ(mEngine.AcknowledgedPosition("s"), *Done(5).mPosition);
}

TEST_F(AcknowledgementTest, CountsNoWriteThatIsNotAcknowledged)
{
  SendWrite();
  mEngine.SetPrimary(
    "s", { "p", 0, false, true, write_permission::Ended }, mNow);
  Answer(mWriteConnection, Done(5));
  EXPECT_EQ(mEngine.AcknowledgedPosition("s"), log_position{});
}

TEST_F(AcknowledgementTest, DoesNotAcknowledgeAWriteOfAReleasedPrimary)
{
  SendWrite();
  mEngine.SetPrimary(
    "s", { "p", 0, false, true, write_permission::Ended }, mNow);
  Answer(mWriteConnection, Done(5));
  ASSERT_EQ(ReplyCount(), 1U);
  EXPECT_EQ(LastReply(mSession).mError, result_code::InDoubt);
}

TEST_F(AcknowledgementTest, DoesNotAcknowledgeAWriteOfAReplacedPrimary)
{
  SendWrite();
  mEngine.SetPrimary("s", { "a", 2, true }, mNow);
  Answer(mWriteConnection, Done(5));
  ASSERT_EQ(ReplyCount(), 1U);
  EXPECT_EQ(LastReply(mSession).mError, result_code::InDoubt);
}

// The record of a change may be read before the request to release the primary,
// or without ever getting it.
TEST_F(AcknowledgementTest, HoldsAWriteUntilTheKindOfChangeIsKnown)
{
  for (const auto known :
       { write_permission::Allowed, write_permission::Ended }) {
    SendWrite();
    mEngine.SetPrimary(
      "s", { "p", 0, false, true, write_permission::Unknown }, mNow);
    Answer(mWriteConnection, Done(5));
    AdvanceClock(100);
    EXPECT_EQ(ReplyCount(), 0U);
    mEngine.SetPrimary("s", { "p", 0, false, true, known }, mNow);
    AdvanceClock(20);
    ASSERT_EQ(ReplyCount(), 1U);
    EXPECT_EQ(LastReply(mSession).mError.has_value(),
              known == write_permission::Ended);
  }
}

TEST_F(AcknowledgementTest, HoldsAWriteUntilThePrimaryIsConfirmed)
{
  SendWrite();
  ExpireConfirmations();
  Answer(mWriteConnection, Done(5));
  AdvanceClock(100);
  EXPECT_EQ(ReplyCount(), 0U);
  Confirm();
  AdvanceClock(20);
  ASSERT_EQ(ReplyCount(), 1U);
  EXPECT_FALSE(LastReply(mSession).mError);
}

// Without the store, the servers show that the primary still led after it had
// reported the write.
TEST_F(AcknowledgementTest, AsksTheServersWhileThePrimaryIsNotConfirmed)
{
  SendWrite();
  ExpireConfirmations();
  Answer(mWriteConnection, Done(5));
  AcceptConnections();
  AdvanceClock(280);
  ASSERT_TRUE(AnswerStatus("p", "primary", 1, 9));
  AdvanceClock(20);
  EXPECT_EQ(ReplyCount(), 0U);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 8));
  AdvanceClock(20);
  ASSERT_EQ(ReplyCount(), 1U);
  EXPECT_FALSE(LastReply(mSession).mError);
}

// Guards against lost commits: that another server led after the reply does not
// prove that the server which reported the write did.
TEST_F(AcknowledgementTest, TakesNoProofThatWasMadeForAnotherServer)
{
  SendWrite();
  ExpireConfirmations();
  Answer(mWriteConnection, Done(5));
  AcceptConnections();
  AdvanceClock(280);
  mEngine.SetPrimary("s", { "a", 0, true }, mNow);
  ASSERT_TRUE(AnswerStatus("a", "primary", 2, 9));
  ASSERT_TRUE(AnswerStatus("b", "replica", 2, 9));
  mEngine.SetPrimary("s", { "p", 0, true }, mNow);
  AdvanceClock(20);
  EXPECT_EQ(ReplyCount(), 0U);
}

// A paused replica is in the term of a change of primary.
TEST_F(AcknowledgementTest, DoesNotAcknowledgeAWriteWhileReplicasArePaused)
{
  SendWrite();
  ExpireConfirmations();
  Answer(mWriteConnection, Done(5));
  AcceptConnections();
  AdvanceClock(280);
  ASSERT_TRUE(AnswerStatus("p", "primary", 1, 9));
  ASSERT_TRUE(AnswerStatus("a", "replica", 2, 8));
  ASSERT_TRUE(AnswerStatus("b", "replica", 2, 8));
  AdvanceClock(600);
  ASSERT_EQ(ReplyCount(), 1U);
  EXPECT_EQ(LastReply(mSession).mError, result_code::InDoubt);
}

// The write may be kept, so "not run" would be false.
TEST_F(AcknowledgementTest, ReportsAWriteInDoubtAtItsTimeLimit)
{
  SendWrite();
  ExpireConfirmations();
  Answer(mWriteConnection, Done(5));
  AdvanceClock(1'000);
  ASSERT_EQ(ReplyCount(), 1U);
  EXPECT_EQ(LastReply(mSession).mError, result_code::InDoubt);
}

TEST_F(AcknowledgementTest, HoldsACommitUntilThePrimaryIsConfirmed)
{
  Configure();
  mSession = Open("main");
  SendStatement(mSession, begin_statement{ false });
  SendStatement(mSession, write_statement{ "1", "x" });
  AcceptConnections();
  const auto connection = Connections("p").front();
  Answer(connection, Done(4, session_state::InTransaction));
  Answer(connection, Done(4, session_state::InTransaction));
  SendStatement(mSession, commit_statement{});
  const std::size_t before = ReplyCount();
  ExpireConfirmations();
  Answer(connection, Done(5));
  AdvanceClock(40);
  EXPECT_EQ(ReplyCount(), before);
  mEngine.SetPrimary("s", { "a", 2, true }, mNow);
  AdvanceClock(20);
  ASSERT_EQ(ReplyCount(), before + 1);
  EXPECT_EQ(LastReply(mSession).mError, result_code::InDoubt);
  EXPECT_EQ(LastReply(mSession).mState, session_state::Idle);
}

} // namespace
} // namespace snipewalk
