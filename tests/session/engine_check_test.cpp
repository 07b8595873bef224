// Tests of checks of the primary: what the status replies of the servers prove
// while the store or the primary is not available.
#include "session/engine_fixture.h"

namespace snipewalk {
namespace {

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

// Guards against stale reads: after a partition, an instance that can't read
// the records takes the new primary and then the replaced one, whose entry is
// back. What a check has proved of the one says nothing about the other.
TEST_F(SessionEngineTest, TakesNoProofThatWasMadeForAnotherServer)
{
  Configure();
  mEngine.SetPrimariesConfirmed(mNow, mNow);
  AdvanceClock(3'000);
  mEngine.SetPrimary("s", { "a", 0, true }, mNow);
  const session_id session = Open("old");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("a", "primary", 2, 9));
  ASSERT_TRUE(AnswerStatus("b", "replica", 2, 9));
  ASSERT_TRUE(LastRequestConnection());
  Answer(*LastRequestConnection(), Done(9));
  mEngine.SetPrimary("s", { "p", 0, true }, mNow);
  LeaveOnlyThePrimary();
  SendStatement(session, read_statement{ "2" });
  AcceptConnections();
  EXPECT_FALSE(LastRequestConnection());
}

// As above for a server that has started again under its id.
TEST_F(SessionEngineTest, TakesNoProofThatWasMadeBeforeTheServerStartedAgain)
{
  Configure();
  mEngine.SetPrimariesConfirmed(mNow, mNow);
  AdvanceClock(3'000);
  const session_id session = Open("old");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("p", "primary", 1, 9));
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 9));
  ASSERT_TRUE(LastRequestConnection());
  Answer(*LastRequestConnection(), Done(9));
  registered_server again = Server("p");
  again.mStarted = 2;
  mEngine.PutServer(again, mNow);
  LeaveOnlyThePrimary();
  SendStatement(session, read_statement{ "2" });
  AcceptConnections();
  EXPECT_FALSE(LastRequestConnection());
}

// Guards against stale reads: that the replicas have a position says nothing
// about the last primary, which may have been replaced by a server that is not
// known yet.
TEST_F(SessionEngineTest, TakesNoProofOfTheReplicasForOneOfThePrimary)
{
  Configure();
  const session_id session = Open("old");
  SendStatement(session, read_statement{ "0" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(5));
  mEngine.SetPrimariesConfirmed(mNow, mNow);
  AdvanceClock(3'000);
  SendStatement(session, read_statement{ "1" });
  // Only the primary has a connection when the first check begins.
  ASSERT_TRUE(AnswerStatus("p", "replica", 1, 9));
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("p", "replica", 1, 9));
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 9));
  ASSERT_TRUE(AnswerStatus("b", "replica", 1, 9));
  AdvanceClock(20);
  ASSERT_TRUE(LastRequestConnection());
  EXPECT_NE(ServerOf(*LastRequestConnection()), "p");
  Answer(*LastRequestConnection(), Done(9));
  LeaveOnlyThePrimary();
  SendStatement(session, read_statement{ "2" });
  EXPECT_FALSE(LastRequestConnection());
}

// The answer of the primary counts also if those of the replicas came first.
TEST_F(SessionEngineTest, TakesTheAnswerOfThePrimaryAfterThoseOfTheReplicas)
{
  Configure();
  const session_id session = Open("old");
  SendStatement(session, read_statement{ "0" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(5));
  mEngine.SetPrimariesConfirmed(mNow, mNow);
  AdvanceClock(3'000);
  SendStatement(session, read_statement{ "1" });
  // Only the primary has a connection when the first check begins.
  ASSERT_TRUE(AnswerStatus("p", "primary", 1, 9));
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 9));
  ASSERT_TRUE(AnswerStatus("b", "replica", 1, 9));
  ASSERT_TRUE(AnswerStatus("p", "primary", 1, 9));
  Answer(*LastRequestConnection(), Done(9));
  LeaveOnlyThePrimary();
  SendStatement(session, read_statement{ "2" });
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

// The primary has told a position that no known replica has reached, so a
// replica that is not known yet confirms its commits.
TEST_F(SessionEngineTest, TakesNoProofFromReplicasThatLackWhatThePrimaryTold)
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
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 4));
  ASSERT_TRUE(AnswerStatus("b", "replica", 1, 3));
  AdvanceClock(20);
  EXPECT_FALSE(LastRequestConnection());
}

// A position counts even if the reply came after the record of a change of
// primary, and after the confirmation of the primaries had expired.
TEST_F(SessionEngineTest, CountsWhatThePrimaryToldDuringAChange)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, read_statement{ "0" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(3));
  SendStatement(session, read_statement{ "1" });
  const auto first = *LastRequestConnection();
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  mEngine.SetPrimariesConfirmed(mNow, mNow);
  Answer(first, Done(5));
  AdvanceClock(20);
  SendStatement(session, read_statement{ "2" });
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 4));
  ASSERT_TRUE(AnswerStatus("b", "replica", 1, 4));
  AdvanceClock(20);
  EXPECT_FALSE(LastRequestConnection());
  // The replicas have caught up.
  AdvanceClock(280);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 5));
  ASSERT_TRUE(AnswerStatus("b", "replica", 1, 4));
  AdvanceClock(20);
  EXPECT_TRUE(LastRequestConnection());
}

// A replica that has left may have been the only one with the last commits that
// the primary acknowledged.
TEST_F(SessionEngineTest, TakesNoProofFromReplicasAfterOneHasLeft)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(5));
  registered_server leaving = Server("c");
  leaving.mDraining = true;
  mEngine.PutServer(leaving, mNow);
  mEngine.RemoveServer("c", mNow);
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  AdvanceClock(20);
  SendStatement(session, read_statement{ "2" });
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 9));
  ASSERT_TRUE(AnswerStatus("b", "replica", 1, 9));
  AdvanceClock(20);
  EXPECT_FALSE(LastRequestConnection());
}

// The primary has told its position since the replica left, so what the others
// confirmed after that is in their logs, if what came before it is.
TEST_F(SessionEngineTest, ReadsFromReplicasThatCoverForOneThatHasLeft)
{
  for (const int newest : { 4, 5 }) {
    Configure();
    registered_server leaving = Server("c");
    leaving.mDraining = true;
    mEngine.PutServer(leaving, mNow);
    mEngine.RemoveServer("c", mNow);
    const session_id session = Open("main");
    SendStatement(session, read_statement{ "1" });
    AcceptConnections();
    Answer(*LastRequestConnection(), Done(5));
    mEngine.SetPrimary("s", { "p", 0, false }, mNow);
    AdvanceClock(20);
    SendStatement(session, read_statement{ "2" });
    AcceptConnections();
    AdvanceClock(300);
    ASSERT_TRUE(AnswerStatus("a", "replica", 1, newest));
    ASSERT_TRUE(AnswerStatus("b", "replica", 1, 3));
    AdvanceClock(20);
    EXPECT_EQ(LastRequestConnection().has_value(), newest == 5);
    mEngine.OnCallerClosed(session, mNow);
  }
}

// A process that has just started does not know which replicas left before.
TEST_F(SessionEngineTest, TakesNoProofFromReplicasBeforeThePrimaryHasReplied)
{
  Configure();
  const session_id session = Open("main");
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  AdvanceClock(300);
  ASSERT_TRUE(AnswerStatus("a", "replica", 1, 9));
  ASSERT_TRUE(AnswerStatus("b", "replica", 1, 9));
  AdvanceClock(20);
  EXPECT_FALSE(LastRequestConnection());
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
  SendStatement(Open("main"), read_statement{ "0" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(5));
  AdvanceClock(3'000);
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
  SendStatement(session, read_statement{ "0" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(3));
  AdvanceClock(3'000);
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

} // namespace
} // namespace snipewalk
