// Tests of sessions, transactions and replies of the session engine.
#include "session/engine_fixture.h"

namespace snipewalk {
namespace {

// Guards against a new process refusing valid databases because it has not
// received the desired state yet.
TEST_F(SessionEngineTest, HoldsOpeningsUntilTheDesiredStateIsKnown)
{
  const session_id known = Open("main");
  const session_id unknown = Open("absent");
  EXPECT_TRUE(mLinks.mOpened.empty());
  EXPECT_TRUE(mLinks.mRefused.empty());
  Configure();
  EXPECT_TRUE(mLinks.mOpened.contains(known));
  EXPECT_EQ(mLinks.mRefused.at(unknown), result_code::UnknownDatabase);
}

TEST_F(SessionEngineTest, RunsAPrimaryReadAtThePrimary)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  ASSERT_TRUE(LastRequestConnection());
  EXPECT_EQ(ServerOf(*LastRequestConnection()), "p");
  Answer(*LastRequestConnection(), Done(5));
  EXPECT_EQ(LastReply(session).mSignature, "signed");
}

// Guards against stale reads: a primary that may have been replaced lacks the
// commits of the new primary.
TEST_F(SessionEngineTest, KeepsPrimaryReadsWhileThePrimaryIsNotConfirmed)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(5));
  AdvanceClock(3'000);
  SendStatement(session, read_statement{ "2" });
  EXPECT_FALSE(LastRequestConnection());
  Confirm();
  // The idle connection may be in use for a status request.
  AcceptConnections();
  EXPECT_TRUE(LastRequestConnection());
}

TEST_F(SessionEngineTest, ReportsBusyWhenNoServerCanExecuteTheStatement)
{
  Configure();
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  const session_id session = Open("main");
  SendStatement(session, write_statement{ "1", "x" });
  AdvanceClock(820);
  EXPECT_EQ(LastReply(session).mError, result_code::Busy);
  EXPECT_NE(LastReply(session).mErrorText.find("retry_after_ms="),
            std::string::npos);
}

// If a statement were sent together with its begin and the begin were refused,
// the statement would run outside a transaction.
TEST_F(SessionEngineTest, SendsAStatementOnlyAfterItsBeginWasAccepted)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, begin_statement{});
  EXPECT_EQ(LastReply(session).mState, session_state::InTransaction);
  EXPECT_TRUE(mLinks.mServers.empty());
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  EXPECT_FALSE(LastRequestConnection());
  const auto connection = Connections("p").at(0);
  Answer(connection, Done(3, session_state::InTransaction));
  EXPECT_EQ(LastRequestConnection(), connection);
}

TEST_F(SessionEngineTest, KeepsATransactionOnItsConnection)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, begin_statement{});
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  const auto connection = Connections("p").at(0);
  Answer(connection, Done(3, session_state::InTransaction));
  Answer(connection, Done(3, session_state::InTransaction));
  // Another session must not use the connection during the transaction.
  const session_id other = Open("main");
  SendStatement(other, read_statement{ "2" });
  EXPECT_NE(LastRequestConnection(), connection);
  SendStatement(session, write_statement{ "1", "x" });
  EXPECT_EQ(LastRequestConnection(), connection);
  Answer(connection, Done(3, session_state::InTransaction));
  SendStatement(session, commit_statement{});
  EXPECT_EQ(LastRequestConnection(), connection);
  Answer(connection, Done(4));
  EXPECT_EQ(LastReply(session).mSignature, "signed");
  EXPECT_EQ(LastReply(session).mState, session_state::Idle);
}

TEST_F(SessionEngineTest, RollsBackWhenTheCallerLeaves)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, begin_statement{});
  SendStatement(session, write_statement{ "1", "x" });
  AcceptConnections();
  const auto connection = Connections("p").at(0);
  Answer(connection, Done(3, session_state::InTransaction));
  mEngine.OnCallerClosed(session, mNow);
  // The pending statement is answered before the rollback is sent.
  Answer(connection, Done(3, session_state::InTransaction));
  const auto& last = mLinks.mServers.at(connection).mCommands.back();
  const auto* command = std::get_if<statement_command>(&last);
  ASSERT_NE(command, nullptr);
  EXPECT_TRUE(std::holds_alternative<rollback_statement>(command->mStatement));
  EXPECT_TRUE(command->mRequestId.empty());
}

TEST_F(SessionEngineTest, EndsATransactionWhoseConnectionIsLost)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, begin_statement{});
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  const auto connection = Connections("p").at(0);
  Answer(connection, Done(3, session_state::InTransaction));
  Answer(connection, Done(3, session_state::InTransaction));
  mEngine.OnServerClosed(connection, mNow);
  SendStatement(session, read_statement{ "2" });
  EXPECT_EQ(LastReply(session).mError, result_code::Aborted);
  EXPECT_EQ(LastReply(session).mState, session_state::Failed);
  SendStatement(session, rollback_statement{});
  EXPECT_FALSE(LastReply(session).mError);
  EXPECT_EQ(LastReply(session).mState, session_state::Idle);
}

TEST_F(SessionEngineTest, NeverRepeatsAWriteWithoutAnAnswer)
{
  Configure();
  const session_id session = Open("own");
  SendStatement(session, write_statement{ "1", "x" });
  AcceptConnections();
  const auto connection = Connections("p").at(0);
  mEngine.OnServerClosed(connection, mNow);
  EXPECT_EQ(LastReply(session).mError, result_code::InDoubt);
}

// The duty holder replaces a primary whose writes stall. An instance must keep
// reporting the stall although each single write ends at its time limit.
TEST_F(SessionEngineTest, ReportsStalledWritesAcrossTheirTimeouts)
{
  Configure();
  SendStatement(Open("own"), write_statement{ "1", "x" });
  AcceptConnections();
  const time_point first = mNow;
  AdvanceClock(820);
  SendStatement(Open("own"), write_statement{ "2", "x" });
  AcceptConnections();
  const auto observed = mEngine.ObservePrimaries();
  ASSERT_EQ(observed.size(), 1U);
  EXPECT_EQ(observed[0].mPrimary.mWriteWaitingSince, first);
  // A write that waits because another is being tried shows the stall as well.
  AdvanceClock(820);
  SendStatement(Open("own"), write_statement{ "3", "x" });
  EXPECT_EQ(mEngine.ObservePrimaries().at(0).mPrimary.mWriteWaitingSince,
            first);
  AcceptConnections();
  // A confirmed write ends the stall.
  Answer(*LastRequestConnection(), Done(4));
  SendStatement(Open("own"), write_statement{ "4", "x" });
  AcceptConnections();
  EXPECT_EQ(mEngine.ObservePrimaries().at(0).mPrimary.mWriteWaitingSince, mNow);
}

TEST_F(SessionEngineTest, RepeatsARefusedWrite)
{
  Configure();
  const session_id session = Open("own");
  SendStatement(session, write_statement{ "1", "x" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Error(result_code::NotPrimary));
  EXPECT_FALSE(mLinks.mReplies.contains(session));
  AdvanceClock(60);
  Answer(Connections("p").at(0), Done(4));
  EXPECT_FALSE(LastReply(session).mError);
}

// A replica must have applied the position required by the allowed staleness
// and by the session's own last commit.
TEST_F(SessionEngineTest, AsksReplicasForTheSessionsOwnCommit)
{
  Configure();
  const session_id session = Open("own");
  SendStatement(session, write_statement{ "1", "x" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(40));
  AdvanceClock(100);
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  ASSERT_TRUE(LastRequestConnection());
  const auto& command = std::get<statement_command>(
    mLinks.mServers.at(*LastRequestConnection()).mCommands.back());
  if (ServerOf(*LastRequestConnection()) != "p") {
    ASSERT_TRUE(command.mMinPosition);
    EXPECT_GE(*command.mMinPosition, (log_position{ 1, 40 }));
  }
}

// Without a sample of the primary's log position the staleness of a replica is
// not bounded.
TEST_F(SessionEngineTest, DoesNotReadFromReplicasWithoutASample)
{
  Configure();
  const session_id session = Open("old");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  ASSERT_TRUE(LastRequestConnection());
  EXPECT_EQ(ServerOf(*LastRequestConnection()), "p");
}

// A log position reported by an unconfirmed primary does not bound the
// staleness of replicas, because a newer primary may exist.
TEST_F(SessionEngineTest, TakesNoSamplesWhileThePrimaryIsNotConfirmed)
{
  Configure();
  mEngine.SetPrimariesConfirmed(mNow - milliseconds(1), mNow);
  const session_id writer = Open("own");
  SendStatement(writer, write_statement{ "1", "x" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(40));
  const session_id reader = Open("old");
  SendStatement(reader, read_statement{ "1" });
  AcceptConnections();
  EXPECT_TRUE(!LastRequestConnection() ||
              ServerOf(*LastRequestConnection()) == "p");
}

// All replicas lag, and the primary accepts no work. Each refusal of a replica
// costs a round trip only and must not count as an attempt: the read waits for
// the primary instead of running out of attempts.
TEST_F(SessionEngineTest, KeepsAReadWaitingWhileReplicasAreBehind)
{
  Configure();
  const session_id writer = Open("own");
  SendStatement(writer, write_statement{ "1", "x" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(40));
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  const session_id reader = Open("old");
  SendStatement(reader, read_statement{ "1" });
  int refusals = 0;
  for (int ms = 0; ms < 700; ms += 20) {
    AcceptConnections();
    if (const auto connection = NextConnectionOf("q2")) {
      Answer(*connection, Error(result_code::Behind));
      ++refusals;
    }
    AdvanceClock(20);
  }
  EXPECT_FALSE(mLinks.mReplies.contains(reader));
  EXPECT_GE(refusals, 2);
  EXPECT_LE(refusals, 12);
}

// An unresponsive server may delay a read only for a fraction of the read's
// timeout.
TEST_F(SessionEngineTest, MovesAReadAwayFromAnUnresponsiveServer)
{
  Configure();
  const session_id writer = Open("own");
  SendStatement(writer, write_statement{ "1", "x" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(40));
  const session_id reader = Open("old");
  SendStatement(reader, read_statement{ "1" });
  AcceptConnections();
  ASSERT_TRUE(LastRequestConnection());
  const std::string first = ServerOf(*LastRequestConnection());
  AdvanceClock(340);
  AcceptConnections();
  ASSERT_TRUE(LastRequestConnection());
  EXPECT_NE(ServerOf(*LastRequestConnection()), first);
}

TEST_F(SessionEngineTest, ClosesIdleSessionsWhenLeaving)
{
  Configure();
  const session_id idle = Open("main");
  const session_id busy = Open("main");
  SendStatement(busy, read_statement{ "1" });
  AcceptConnections();
  mEngine.CloseIdleSessions(mNow);
  EXPECT_TRUE(mLinks.mClosed.contains(idle));
  EXPECT_FALSE(mLinks.mClosed.contains(busy));
  Answer(*LastRequestConnection(), Done(5));
  EXPECT_TRUE(mLinks.mClosed.contains(busy));
  EXPECT_EQ(mEngine.Counts().mSessions, 0U);
}

} // namespace
} // namespace snipewalk
