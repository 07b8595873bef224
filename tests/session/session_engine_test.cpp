// Tests of sessions, transactions and answers in the session engine.
#include "session/engine_fixture.h"

namespace snipewalk {
namespace {

// A new process must not refuse databases that it has not read of yet.
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
  Ask(session, read_statement{ "1" });
  AcceptAll();
  ASSERT_TRUE(Carrier());
  EXPECT_EQ(ServerOf(*Carrier()), "p");
  Answer(*Carrier(), Done(5));
  EXPECT_EQ(LastReply(session).mSignature, "signed");
}

// A primary that may have been replaced answers reads without the commits of
// the new one.
TEST_F(SessionEngineTest, KeepsPrimaryReadsWhileThePrimaryIsNotConfirmed)
{
  Configure();
  const session_id session = Open("main");
  Ask(session, read_statement{ "1" });
  AcceptAll();
  Answer(*Carrier(), Done(5));
  Pass(3'000);
  Ask(session, read_statement{ "2" });
  EXPECT_FALSE(Carrier());
  Confirm();
  // The idle connection may be busy with a question to the server.
  AcceptAll();
  EXPECT_TRUE(Carrier());
}

TEST_F(SessionEngineTest, RefusesTruthfullyWhenNoServerCanTakeTheStatement)
{
  Configure();
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  const session_id session = Open("main");
  Ask(session, write_statement{ "1", "x" });
  Pass(820);
  EXPECT_EQ(LastReply(session).mError, result_code::Busy);
  EXPECT_NE(LastReply(session).mErrorText.find("retry_after_ms="),
            std::string::npos);
}

// A statement that follows a refused begin would run outside a transaction.
TEST_F(SessionEngineTest, SendsAStatementOnlyAfterItsBeginWasAccepted)
{
  Configure();
  const session_id session = Open("main");
  Ask(session, begin_statement{});
  EXPECT_EQ(LastReply(session).mState, session_state::InTransaction);
  EXPECT_TRUE(mLinks.mServers.empty());
  Ask(session, read_statement{ "1" });
  AcceptAll();
  EXPECT_FALSE(Carrier());
  const auto connection = Connections("p").at(0);
  Answer(connection, Done(3, session_state::InTransaction));
  EXPECT_EQ(Carrier(), connection);
}

TEST_F(SessionEngineTest, KeepsATransactionOnItsConnection)
{
  Configure();
  const session_id session = Open("main");
  Ask(session, begin_statement{});
  Ask(session, read_statement{ "1" });
  AcceptAll();
  const auto connection = Connections("p").at(0);
  Answer(connection, Done(3, session_state::InTransaction));
  Answer(connection, Done(3, session_state::InTransaction));
  // Another session cannot use the connection meanwhile.
  const session_id other = Open("main");
  Ask(other, read_statement{ "2" });
  EXPECT_NE(Carrier(), connection);
  Ask(session, write_statement{ "1", "x" });
  EXPECT_EQ(Carrier(), connection);
  Answer(connection, Done(3, session_state::InTransaction));
  Ask(session, commit_statement{});
  EXPECT_EQ(Carrier(), connection);
  Answer(connection, Done(4));
  EXPECT_EQ(LastReply(session).mSignature, "signed");
  EXPECT_EQ(LastReply(session).mState, session_state::Idle);
}

TEST_F(SessionEngineTest, RollsBackWhenTheCallerLeaves)
{
  Configure();
  const session_id session = Open("main");
  Ask(session, begin_statement{});
  Ask(session, write_statement{ "1", "x" });
  AcceptAll();
  const auto connection = Connections("p").at(0);
  Answer(connection, Done(3, session_state::InTransaction));
  mEngine.OnCallerClosed(session, mNow);
  // The statement under way ends first.
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
  Ask(session, begin_statement{});
  Ask(session, read_statement{ "1" });
  AcceptAll();
  const auto connection = Connections("p").at(0);
  Answer(connection, Done(3, session_state::InTransaction));
  Answer(connection, Done(3, session_state::InTransaction));
  mEngine.OnServerClosed(connection, mNow);
  Ask(session, read_statement{ "2" });
  EXPECT_EQ(LastReply(session).mError, result_code::Aborted);
  EXPECT_EQ(LastReply(session).mState, session_state::Failed);
  Ask(session, rollback_statement{});
  EXPECT_FALSE(LastReply(session).mError);
  EXPECT_EQ(LastReply(session).mState, session_state::Idle);
}

TEST_F(SessionEngineTest, NeverRepeatsAWriteWithoutAnAnswer)
{
  Configure();
  const session_id session = Open("own");
  Ask(session, write_statement{ "1", "x" });
  AcceptAll();
  const auto connection = Connections("p").at(0);
  mEngine.OnServerClosed(connection, mNow);
  EXPECT_EQ(LastReply(session).mError, result_code::InDoubt);
}

TEST_F(SessionEngineTest, RepeatsARefusedWrite)
{
  Configure();
  const session_id session = Open("own");
  Ask(session, write_statement{ "1", "x" });
  AcceptAll();
  Answer(*Carrier(), Error(result_code::NotPrimary));
  EXPECT_FALSE(mLinks.mReplies.contains(session));
  Pass(60);
  Answer(Connections("p").at(0), Done(4));
  EXPECT_FALSE(LastReply(session).mError);
}

// A replica gets the position that the stated age and the session's own commit
// require.
TEST_F(SessionEngineTest, AsksReplicasForTheSessionsOwnCommit)
{
  Configure();
  const session_id session = Open("own");
  Ask(session, write_statement{ "1", "x" });
  AcceptAll();
  Answer(*Carrier(), Done(40));
  Pass(100);
  Ask(session, read_statement{ "1" });
  AcceptAll();
  ASSERT_TRUE(Carrier());
  const auto& command = std::get<statement_command>(
    mLinks.mServers.at(*Carrier()).mCommands.back());
  if (ServerOf(*Carrier()) != "p") {
    ASSERT_TRUE(command.mAfter);
    EXPECT_GE(*command.mAfter, (log_position{ 1, 40 }));
  }
}

// Without a sample of the primary's position nothing bounds a replica's age.
TEST_F(SessionEngineTest, DoesNotReadFromReplicasWithoutASample)
{
  Configure();
  const session_id session = Open("old");
  Ask(session, read_statement{ "1" });
  AcceptAll();
  ASSERT_TRUE(Carrier());
  EXPECT_EQ(ServerOf(*Carrier()), "p");
}

// A sample of a primary that was not confirmed proves nothing.
TEST_F(SessionEngineTest, TakesNoSamplesWhileThePrimaryIsNotConfirmed)
{
  Configure();
  mEngine.SetPrimariesConfirmed(mNow - milliseconds(1), mNow);
  const session_id writer = Open("own");
  Ask(writer, write_statement{ "1", "x" });
  AcceptAll();
  Answer(*Carrier(), Done(40));
  const session_id reader = Open("old");
  Ask(reader, read_statement{ "1" });
  AcceptAll();
  EXPECT_TRUE(!Carrier() || ServerOf(*Carrier()) == "p");
}

// Load pattern: all replicas lag. Their refusals cost round trips only; the
// read waits for the primary instead of running out of attempts.
TEST_F(SessionEngineTest, OutlastsReplicasThatAreBehind)
{
  Configure();
  const session_id writer = Open("own");
  Ask(writer, write_statement{ "1", "x" });
  AcceptAll();
  Answer(*Carrier(), Done(40));
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  const session_id reader = Open("old");
  Ask(reader, read_statement{ "1" });
  int refusals = 0;
  for (int ms = 0; ms < 700; ms += 20) {
    AcceptAll();
    if (const auto carrier = NextCarrier("q2")) {
      Answer(*carrier, Error(result_code::Behind));
      ++refusals;
    }
    Pass(20);
  }
  EXPECT_FALSE(mLinks.mReplies.contains(reader));
  EXPECT_GE(refusals, 2);
  EXPECT_LE(refusals, 12);
}

// A dark server holds a read for a fraction of the read's time limit only.
TEST_F(SessionEngineTest, MovesAReadAwayFromADarkServer)
{
  Configure();
  const session_id writer = Open("own");
  Ask(writer, write_statement{ "1", "x" });
  AcceptAll();
  Answer(*Carrier(), Done(40));
  const session_id reader = Open("old");
  Ask(reader, read_statement{ "1" });
  AcceptAll();
  ASSERT_TRUE(Carrier());
  const std::string first = ServerOf(*Carrier());
  Pass(340);
  AcceptAll();
  ASSERT_TRUE(Carrier());
  EXPECT_NE(ServerOf(*Carrier()), first);
}

// After a loss of power servers keep the old connections for seconds: the
// restarted instances need the places that surplus ones would occupy.
TEST_F(SessionEngineTest, KeepsOneIdleConnectionToAServer)
{
  Configure();
  std::vector<session_id> sessions;
  for (int i = 0; i < 3; ++i) {
    sessions.push_back(Open("main"));
    Ask(sessions.back(), read_statement{ "1" });
    AcceptAll();
  }
  EXPECT_EQ(Connections("p").size(), 3U);
  for (const auto connection : Connections("p")) {
    Answer(connection, Done(5));
  }
  Pass(500);
  EXPECT_EQ(Connections("p").size(), 1U);
}

// The store is away for long: the servers themselves show that nobody has
// replaced the primary.
TEST_F(SessionEngineTest, ReadsWithoutTheStoreAfterAskingTheServers)
{
  Configure();
  const session_id session = Open("main");
  Ask(session, read_statement{ "1" });
  AcceptAll();
  Answer(*Carrier(), Done(5));
  Pass(3'000);
  Ask(session, read_statement{ "2" });
  EXPECT_FALSE(Carrier());
  Pass(300);
  AcceptAll();
  Pass(300);
  ASSERT_TRUE(AnswerStatus("p", "primary", 1, 9));
  EXPECT_FALSE(Carrier());
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 8));
  ASSERT_TRUE(Carrier());
  EXPECT_EQ(ServerOf(*Carrier()), "p");
}

// A replica in a newer term may belong to a newer primary, whose commits the
// known one lacks.
TEST_F(SessionEngineTest, DoesNotTrustAPrimaryThatAReplicaHasLeft)
{
  Configure();
  const session_id session = Open("main");
  Ask(session, read_statement{ "1" });
  AcceptAll();
  Answer(*Carrier(), Done(5));
  Pass(3'000);
  Ask(session, read_statement{ "2" });
  Pass(300);
  AcceptAll();
  Pass(300);
  ASSERT_TRUE(AnswerStatus("p", "primary", 1, 9));
  ASSERT_TRUE(AnswerStatus("a", "replica", 2, 9));
  EXPECT_FALSE(Carrier());
}

// The primary is gone and not yet replaced: the replicas together hold every
// acknowledged commit, so reads need not wait for its successor.
TEST_F(SessionEngineTest, ReadsFromReplicasWhileThePrimaryIsReplaced)
{
  Configure();
  const session_id session = Open("main");
  Ask(session, read_statement{ "1" });
  AcceptAll();
  Answer(*Carrier(), Done(5));
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  Pass(20);
  Ask(session, read_statement{ "2" });
  AcceptAll();
  Pass(300);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 9));
  EXPECT_FALSE(Carrier());
  ASSERT_TRUE(AnswerStatus("b", "replica", 1, 7));
  Pass(20);
  ASSERT_TRUE(Carrier());
  const auto& command = std::get<statement_command>(
    mLinks.mServers.at(*Carrier()).mCommands.back());
  EXPECT_NE(ServerOf(*Carrier()), "p");
  EXPECT_EQ(command.mAfter, (log_position{ 1, 9 }));
}

// One of the others leads already: the replicas' logs prove nothing.
TEST_F(SessionEngineTest, TakesNoProofFromReplicasBesideANewPrimary)
{
  Configure();
  const session_id session = Open("main");
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  Ask(session, read_statement{ "1" });
  AcceptAll();
  Pass(300);
  ASSERT_TRUE(AnswerStatus("a", "primary", 2, 9));
  ASSERT_TRUE(AnswerStatus("b", "replica", 2, 9));
  Pass(20);
  EXPECT_FALSE(Carrier());
}

// A process that started while entries were lapsed knows some of the servers
// only: the others may hold commits that these lack.
TEST_F(SessionEngineTest, TakesNoProofBeforeItHasKnownAllServers)
{
  mEngine.SetDesiredState(DesiredState(), mNow);
  mEngine.PutServer(Server("a"), mNow);
  const session_id session = Open("own");
  Ask(session, read_statement{ "1" });
  Pass(300);
  AcceptAll();
  Pass(300);
  AnswerStatus("a", "replica", 1, 7);
  Pass(20);
  EXPECT_FALSE(Carrier());
  // Also not with the primary's word alone.
  mEngine.PutServer(Server("p"), mNow);
  mEngine.SetPrimary("s", { "p", 0, true }, mNow);
  Pass(300);
  AcceptAll();
  Pass(300);
  AnswerStatus("a", "replica", 1, 7);
  AnswerStatus("p", "primary", 1, 7);
  Pass(20);
  EXPECT_FALSE(Carrier());
}

// Entries of servers that do not reach the store are missing, too: one replica
// of two proves nothing although the others are taken as gone.
TEST_F(SessionEngineTest, CountsServersThatVanishedWithoutLeaving)
{
  Configure();
  const session_id session = Open("own");
  mEngine.RemoveServer("p", mNow);
  mEngine.RemoveServer("b", mNow);
  mEngine.SetPrimary("s", {}, mNow);
  Ask(session, read_statement{ "1" });
  AcceptAll();
  Pass(300);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 7));
  Pass(20);
  EXPECT_FALSE(Carrier());
}

// Guards against a service whose proofs end for good with a server that is
// gone: after a long time with confirmed primaries it is not expected any more.
TEST_F(SessionEngineTest, ExpectsNoServerThatHasBeenMissingForLong)
{
  Configure();
  mEngine.RemoveServer("p", mNow);
  mEngine.RemoveServer("b", mNow);
  mEngine.SetPrimary("s", {}, mNow);
  for (int second = 0; second < 31; ++second) {
    Confirm();
    Pass(1'000);
  }
  const session_id session = Open("own");
  Ask(session, read_statement{ "1" });
  AcceptAll();
  Pass(300);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 7));
  Pass(20);
  EXPECT_TRUE(Carrier());
}

// Guards against a service whose proofs end with its first planned release.
TEST_F(SessionEngineTest, CountsNoServersThatHaveLeft)
{
  Configure();
  mEngine.PutServer(Server("c"), mNow);
  server_entry leaving = Server("b");
  leaving.mDraining = true;
  mEngine.PutServer(leaving, mNow);
  mEngine.RemoveServer("b", mNow);
  const session_id session = Open("own");
  mEngine.RemoveServer("p", mNow);
  mEngine.SetPrimary("s", {}, mNow);
  Ask(session, read_statement{ "1" });
  AcceptAll();
  Pass(300);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 7));
  ASSERT_TRUE(AnswerStatus("c", "replica", 1, 6));
  Pass(20);
  EXPECT_TRUE(Carrier());
}

// A server that is being promoted may hold the only copy of a commit that the
// old primary acknowledged: it counts like the other replicas.
TEST_F(SessionEngineTest, AsksTheServerThatIsBeingPromotedToo)
{
  Configure();
  const session_id session = Open("main");
  mEngine.RemoveServer("p", mNow);
  mEngine.SetPrimary("s", { "a", 0, false, false }, mNow);
  Ask(session, read_statement{ "1" });
  AcceptAll();
  Pass(300);
  ASSERT_TRUE(AnswerStatus("b", "replica", 1, 7));
  Pass(20);
  EXPECT_FALSE(Carrier());
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 9));
  Pass(20);
  ASSERT_TRUE(Carrier());
  const auto& command = std::get<statement_command>(
    mLinks.mServers.at(*Carrier()).mCommands.back());
  EXPECT_EQ(command.mAfter, (log_position{ 1, 9 }));
}

// No replica has received anything of the primary's term: commits that it
// brought along may be in no other log.
TEST_F(SessionEngineTest, TakesNoProofFromReplicasThatHaveNotReachedTheTerm)
{
  Configure();
  const session_id session = Open("main");
  mEngine.SetPrimary("s", { "p", 2, false, true }, mNow);
  Ask(session, read_statement{ "1" });
  AcceptAll();
  Pass(300);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 9));
  ASSERT_TRUE(AnswerStatus("b", "replica", 1, 9));
  Pass(20);
  EXPECT_FALSE(Carrier());
}

// Load pattern: more instances than a server has connections. An instance that
// serves a session though others host the service must not keep a connection
// from them.
TEST_F(SessionEngineTest, LeavesConnectionsToTheHostsOfAService)
{
  Configure();
  mEngine.SetInstances(60, mNow);
  mHosting = { 3, false };
  const session_id session = Open("own");
  Ask(session, write_statement{ "1", "x" });
  AcceptAll();
  Answer(*Carrier(), Done(40));
  Pass(100);
  EXPECT_TRUE(Connections("p").empty());
}

// The hosts divide a server's connections between themselves only.
TEST_F(SessionEngineTest, SharesConnectionsBetweenTheHostsOfAService)
{
  Configure();
  mEngine.SetInstances(60, mNow);
  mHosting = { 3, true };
  std::vector<session_id> sessions;
  for (int i = 0; i < 3; ++i) {
    sessions.push_back(Open("own"));
    Ask(sessions.back(), write_statement{ "1", "x" });
    AcceptAll();
  }
  EXPECT_EQ(Connections("p").size(), 3U);
}

TEST_F(SessionEngineTest, ClosesIdleSessionsWhenLeaving)
{
  Configure();
  const session_id idle = Open("main");
  const session_id busy = Open("main");
  Ask(busy, read_statement{ "1" });
  AcceptAll();
  mEngine.CloseIdleSessions(mNow);
  EXPECT_TRUE(mLinks.mClosed.contains(idle));
  EXPECT_FALSE(mLinks.mClosed.contains(busy));
  Answer(*Carrier(), Done(5));
  EXPECT_TRUE(mLinks.mClosed.contains(busy));
  EXPECT_EQ(mEngine.Counts().mSessions, 0U);
}

// A server that starts again under its id has forgotten its connections.
TEST_F(SessionEngineTest, DropsConnectionsToARestartedServer)
{
  Configure();
  const session_id session = Open("main");
  Ask(session, read_statement{ "1" });
  AcceptAll();
  Answer(*Carrier(), Done(5));
  server_entry restarted = Server("p");
  restarted.mStarted = 77;
  mEngine.PutServer(restarted, mNow);
  EXPECT_TRUE(Connections("p").empty());
}

} // namespace
} // namespace snipewalk
