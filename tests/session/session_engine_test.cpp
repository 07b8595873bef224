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

// After a power failure, servers keep the old connections for seconds.
// Restarted instances need the connections that surplus idle ones would occupy.
TEST_F(SessionEngineTest, KeepsOneIdleConnectionToAServer)
{
  Configure();
  std::vector<session_id> sessions;
  for (int i = 0; i < 3; ++i) {
    sessions.push_back(Open("main"));
    SendStatement(sessions.back(), read_statement{ "1" });
    AcceptConnections();
  }
  EXPECT_EQ(Connections("p").size(), 3U);
  for (const auto connection : Connections("p")) {
    Answer(connection, Done(5));
  }
  AdvanceClock(500);
  EXPECT_EQ(Connections("p").size(), 1U);
}

// The store is unreachable for a long time. Status replies of the servers prove
// that the primary has not been replaced, so reads continue.
TEST_F(SessionEngineTest, ReadsWithoutTheStoreAfterAskingTheServers)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(5));
  AdvanceClock(3'000);
  SendStatement(session, read_statement{ "2" });
  EXPECT_FALSE(LastRequestConnection());
  AdvanceClock(300);
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("p", "primary", 1, 9));
  EXPECT_FALSE(LastRequestConnection());
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 8));
  ASSERT_TRUE(LastRequestConnection());
  EXPECT_EQ(ServerOf(*LastRequestConnection()), "p");
}

// A replica in a newer term may follow a newer primary, whose commits the known
// primary lacks.
TEST_F(SessionEngineTest, DoesNotConfirmAPrimaryWhenAReplicaIsInANewerTerm)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(5));
  AdvanceClock(3'000);
  SendStatement(session, read_statement{ "2" });
  AdvanceClock(300);
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("p", "primary", 1, 9));
  ASSERT_TRUE(AnswerStatus("a", "replica", 2, 9));
  EXPECT_FALSE(LastRequestConnection());
}

// The primary is unavailable and not yet replaced. The replicas together hold
// every acknowledged commit, so reads need not wait for a new primary.
TEST_F(SessionEngineTest, ReadsFromReplicasWhileThePrimaryIsReplaced)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(5));
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  AdvanceClock(20);
  SendStatement(session, read_statement{ "2" });
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 9));
  EXPECT_FALSE(LastRequestConnection());
  ASSERT_TRUE(AnswerStatus("b", "replica", 1, 7));
  AdvanceClock(20);
  ASSERT_TRUE(LastRequestConnection());
  const auto& command = std::get<statement_command>(
    mLinks.mServers.at(*LastRequestConnection()).mCommands.back());
  EXPECT_NE(ServerOf(*LastRequestConnection()), "p");
  EXPECT_EQ(command.mMinPosition, (log_position{ 1, 9 }));
}

// If one of the other servers is already primary, the logs of the replicas do
// not prove which commits were acknowledged.
TEST_F(SessionEngineTest, TakesNoProofFromReplicasBesideANewPrimary)
{
  Configure();
  const session_id session = Open("main");
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("a", "primary", 2, 9));
  ASSERT_TRUE(AnswerStatus("b", "replica", 2, 9));
  AdvanceClock(20);
  EXPECT_FALSE(LastRequestConnection());
}

// A process that started while server entries were expired knows only some of
// the servers. The unknown ones may hold commits that the known ones lack.
TEST_F(SessionEngineTest, TakesNoProofBeforeItHasKnownAllServers)
{
  mEngine.SetDesiredState(DesiredState(), mNow);
  mEngine.PutServer(Server("a"), mNow);
  const session_id session = Open("own");
  SendStatement(session, read_statement{ "1" });
  AdvanceClock(300);
  AcceptConnections();
  AdvanceClock(300);
  AnswerStatus("a", "replica", 1, 7);
  AdvanceClock(20);
  EXPECT_FALSE(LastRequestConnection());
  // A status reply of the primary does not complete the proof either.
  mEngine.PutServer(Server("p"), mNow);
  mEngine.SetPrimary("s", { "p", 0, true }, mNow);
  AdvanceClock(300);
  AcceptConnections();
  AdvanceClock(300);
  AnswerStatus("a", "replica", 1, 7);
  AnswerStatus("p", "primary", 1, 7);
  AdvanceClock(20);
  EXPECT_FALSE(LastRequestConnection());
}

// Entries of servers that cannot reach the store are missing as well. One
// replica out of two does not prove anything, even if the other servers are no
// longer listed.
TEST_F(SessionEngineTest, CountsServersThatVanishedWithoutLeaving)
{
  Configure();
  const session_id session = Open("own");
  mEngine.RemoveServer("p", mNow);
  mEngine.RemoveServer("b", mNow);
  mEngine.SetPrimary("s", {}, mNow);
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 7));
  AdvanceClock(20);
  EXPECT_FALSE(LastRequestConnection());
}

// Guards against checks that never succeed again after a server was lost for
// good: a server that has been missing for a long time while the primaries were
// confirmed is no longer counted.
TEST_F(SessionEngineTest, ExpectsNoServerThatHasBeenMissingForLong)
{
  Configure();
  mEngine.RemoveServer("p", mNow);
  mEngine.RemoveServer("b", mNow);
  mEngine.SetPrimary("s", {}, mNow);
  for (int second = 0; second < 31; ++second) {
    Confirm();
    AdvanceClock(1'000);
  }
  const session_id session = Open("own");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 7));
  AdvanceClock(20);
  EXPECT_TRUE(LastRequestConnection());
}

// Guards against checks that never succeed again after a planned removal of a
// server: a server that was drained is no longer counted.
TEST_F(SessionEngineTest, CountsNoServersThatHaveLeft)
{
  Configure();
  mEngine.PutServer(Server("c"), mNow);
  registered_server leaving = Server("b");
  leaving.mDraining = true;
  mEngine.PutServer(leaving, mNow);
  mEngine.RemoveServer("b", mNow);
  const session_id session = Open("own");
  mEngine.RemoveServer("p", mNow);
  mEngine.SetPrimary("s", {}, mNow);
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 7));
  ASSERT_TRUE(AnswerStatus("c", "replica", 1, 6));
  AdvanceClock(20);
  EXPECT_TRUE(LastRequestConnection());
}

// A server that is being promoted may hold the only copy of a commit that the
// old primary acknowledged, so its reply is required like that of any other
// replica.
TEST_F(SessionEngineTest, AsksTheServerThatIsBeingPromotedToo)
{
  Configure();
  const session_id session = Open("main");
  mEngine.RemoveServer("p", mNow);
  mEngine.SetPrimary("s", { "a", 0, false, false }, mNow);
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("b", "replica", 1, 7));
  AdvanceClock(20);
  EXPECT_FALSE(LastRequestConnection());
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 9));
  AdvanceClock(20);
  ASSERT_TRUE(LastRequestConnection());
  const auto& command = std::get<statement_command>(
    mLinks.mServers.at(*LastRequestConnection()).mCommands.back());
  EXPECT_EQ(command.mMinPosition, (log_position{ 1, 9 }));
}

// No replica has received an entry of the primary's term. Commits of earlier
// terms that only the primary holds may be missing in the replicas' logs.
TEST_F(SessionEngineTest, TakesNoProofFromReplicasThatHaveNotReachedTheTerm)
{
  Configure();
  const session_id session = Open("main");
  mEngine.SetPrimary("s", { "p", 2, false, true }, mNow);
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 9));
  ASSERT_TRUE(AnswerStatus("b", "replica", 1, 9));
  AdvanceClock(20);
  EXPECT_FALSE(LastRequestConnection());
}

// There are more instances than a server has connections. An instance that
// serves a session without hosting the service must not keep a connection that
// the hosts need.
TEST_F(SessionEngineTest, LeavesConnectionsToTheHostsOfAService)
{
  Configure();
  mEngine.SetInstanceCount(60, mNow);
  mHosting = { 3, false };
  const session_id session = Open("own");
  SendStatement(session, write_statement{ "1", "x" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(40));
  AdvanceClock(100);
  EXPECT_TRUE(Connections("p").empty());
}

// The connections of a server are divided between the hosts of the service
// only, not between all instances.
TEST_F(SessionEngineTest, SharesConnectionsBetweenTheHostsOfAService)
{
  Configure();
  mEngine.SetInstanceCount(60, mNow);
  mHosting = { 3, true };
  std::vector<session_id> sessions;
  for (int i = 0; i < 3; ++i) {
    sessions.push_back(Open("own"));
    SendStatement(sessions.back(), write_statement{ "1", "x" });
    AcceptConnections();
  }
  EXPECT_EQ(Connections("p").size(), 3U);
}

// All instances together may use more connections than the server has. The
// duty holder, which needs one to supervise the primary, asks them to yield.
TEST_F(SessionEngineTest, YieldsConnectionsBeyondItsShare)
{
  Configure();
  // 21 connections for statements.
  mEngine.SetInstanceCount(9, mNow);
  for (int i = 0; i < 3; ++i) {
    SendStatement(Open("own"), write_statement{ "1", "x" });
    AcceptConnections();
  }
  ASSERT_EQ(Connections("p").size(), 3U);
  mEngine.YieldConnections("p", mNow);
  // Statements in progress are not interrupted.
  EXPECT_EQ(Connections("p").size(), 3U);
  Answer(*LastRequestConnection(), Done(4));
  EXPECT_EQ(Connections("p").size(), 2U);
  SendStatement(Open("own"), write_statement{ "2", "x" });
  AcceptConnections();
  EXPECT_EQ(Connections("p").size(), 2U);
}

TEST_F(SessionEngineTest, ClosesAnIdleConnectionToYieldIt)
{
  Configure();
  mEngine.SetInstanceCount(9, mNow);
  for (int i = 0; i < 3; ++i) {
    SendStatement(Open("own"), write_statement{ "1", "x" });
    AcceptConnections();
  }
  Answer(*LastRequestConnection(), Done(4));
  ASSERT_EQ(Connections("p").size(), 3U);
  mEngine.YieldConnections("p", mNow);
  EXPECT_EQ(Connections("p").size(), 2U);
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

// A restarted server with an unchanged id no longer has its old connections.
TEST_F(SessionEngineTest, DropsConnectionsToARestartedServer)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(5));
  registered_server restarted = Server("p");
  restarted.mStarted = 77;
  mEngine.PutServer(restarted, mNow);
  EXPECT_TRUE(Connections("p").empty());
}

} // namespace
} // namespace snipewalk
