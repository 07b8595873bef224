// Tests of the samples of log positions that the engine takes from the replies
// of primaries.
#include "session/engine_fixture.h"

namespace snipewalk {
namespace {

// Guards against stale reads after a change of primary: a reply to a command
// that a server got while it was a replica shows only how far it lagged then.
TEST_F(SessionEngineTest, TakesNoSampleFromBeforeAServerBecameThePrimary)
{
  Configure();
  const session_id writer = Open("own");
  SendStatement(writer, write_statement{ "1", "x" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(40));
  AdvanceClock(300);
  SendStatement(writer, write_statement{ "1", "y" });
  Answer(*LastRequestConnection(), Done(60));
  AdvanceClock(200);
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  const session_id reader = Open("old");
  SendStatement(reader, read_statement{ "1" });
  AcceptConnections();
  ASSERT_TRUE(LastRequestConnection());
  const server_connection_id connection = *LastRequestConnection();
  const std::string replica = ServerOf(connection);
  ASSERT_NE(replica, "p");
  AdvanceClock(20);
  mEngine.SetPrimary("s", { replica, 2, true }, mNow);
  Answer(connection, Done(45));
  // The new primary is replaced in its turn. The commit at 1.60 was
  // acknowledged longer ago than the route allows, and no sample of a primary
  // is more recent.
  mEngine.SetPrimary("s", { replica, 2, false }, mNow);
  AdvanceClock(1'400);
  SendStatement(reader, read_statement{ "1" });
  AcceptConnections();
  EXPECT_FALSE(LastRequestConnection());
}

// The replies of a server that has become the primary count.
TEST_F(SessionEngineTest, TakesSamplesOfAServerOnceItIsThePrimary)
{
  Configure();
  mEngine.SetPrimary("s", { "a", 2, true }, mNow);
  const session_id writer = Open("own");
  SendStatement(writer, write_statement{ "1", "x" });
  AcceptConnections();
  ASSERT_EQ(ServerOf(*LastRequestConnection()), "a");
  Answer(*LastRequestConnection(), Done(40));
  mEngine.SetPrimary("s", { "a", 2, false }, mNow);
  const session_id reader = Open("old");
  SendStatement(reader, read_statement{ "1" });
  AcceptConnections();
  ASSERT_TRUE(LastRequestConnection());
  const auto& command = std::get<statement_command>(
    mLinks.mServers.at(*LastRequestConnection()).mCommands.back());
  EXPECT_EQ(command.mMinPosition, (log_position{ 1, 40 }));
}

// Guards against reads of older data than a route allows: the steady clock does
// not count a suspension, so samples from before it look more recent than they
// are.
TEST_F(SessionEngineTest, ForgetsSamplesFromBeforeASuspension)
{
  Configure();
  const session_id writer = Open("own");
  SendStatement(writer, write_statement{ "1", "x" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(40));
  // Answered after the suspension, but sent before.
  SendStatement(writer, write_statement{ "1", "y" });
  const server_connection_id sent = *LastRequestConnection();
  AdvanceClock(20);
  mEngine.OnSuspended(mNow);
  Answer(sent, Done(60));
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  const session_id reader = Open("old");
  SendStatement(reader, read_statement{ "1" });
  AcceptConnections();
  EXPECT_FALSE(LastRequestConnection());
}

// Guards against stale reads: a primary can start again under its id without
// its log, and is reached before its new entry is read. It refuses a read that
// requires what it has told.
TEST_F(SessionEngineTest, RequiresOfThePrimaryWhatItHasTold)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  ASSERT_TRUE(LastRequestConnection());
  EXPECT_FALSE(LastMinPosition());
  Answer(*LastRequestConnection(), Done(40));
  SendStatement(session, read_statement{ "1" });
  ASSERT_EQ(ServerOf(*LastRequestConnection()), "p");
  EXPECT_EQ(LastMinPosition(), (log_position{ 1, 40 }));
}

// As above for a change of primary that was reverted in between.
TEST_F(SessionEngineTest, RequiresWhatThePrimaryHasToldAfterARevertedChange)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(40));
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  mEngine.SetPrimary("s", { "p", 0, true }, mNow);
  LeaveOnlyThePrimary();
  SendStatement(session, read_statement{ "1" });
  ASSERT_EQ(ServerOf(*LastRequestConnection()), "p");
  EXPECT_EQ(LastMinPosition(), (log_position{ 1, 40 }));
}

// Guards against refused reads: what a server told in an earlier term may have
// been rolled back.
TEST_F(SessionEngineTest, RequiresNothingThatThePrimaryToldInAnEarlierTerm)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(40));
  mEngine.SetPrimary("s", { "p", 3, true }, mNow);
  LeaveOnlyThePrimary();
  SendStatement(session, read_statement{ "1" });
  ASSERT_EQ(ServerOf(*LastRequestConnection()), "p");
  EXPECT_FALSE(LastMinPosition());
}

// A primary without its log is not asked for every read until it is replaced.
TEST_F(SessionEngineTest, AsksAPrimaryThatLacksItsLogLessOften)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(40));
  LeaveOnlyThePrimary();
  SendStatement(session, read_statement{ "2" });
  int sent = 0;
  for (int ms = 0; ms < 600; ms += 20) {
    if (const auto connection = NextConnectionOf("q2")) {
      ++sent;
      Answer(*connection, Error(result_code::Behind));
    }
    AdvanceClock(20);
  }
  EXPECT_GE(sent, 1);
  EXPECT_LE(sent, 6);
  EXPECT_EQ(mLinks.mReplies[session].size(), 1U);
}

// Guards against stale reads at replicas: the position of a primary that has
// started again without its log covers no commit.
TEST_F(SessionEngineTest, TakesNoSampleOfAPrimaryThatHasLostItsLog)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, read_statement{ "1" });
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(40));
  for (const auto connection : Connections("p")) {
    mEngine.OnServerClosed(connection, mNow);
    mLinks.mServers.at(connection).mClosed = true;
  }
  AdvanceClock(200);
  SendStatement(session, read_statement{ "1" });
  ASSERT_EQ(Connections("p").size(), 1U);
  statement_reply opened;
  opened.mPosition = log_position{};
  Answer(Connections("p").front(), opened);
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  const session_id reader = Open("old");
  SendStatement(reader, read_statement{ "1" });
  AcceptConnections();
  ASSERT_TRUE(LastRequestConnection());
  EXPECT_NE(ServerOf(*LastRequestConnection()), "p");
  EXPECT_EQ(LastMinPosition(), (log_position{ 1, 40 }));
}

} // namespace
} // namespace snipewalk
