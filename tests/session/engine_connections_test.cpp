// Tests of the connections to servers: how many an instance opens, keeps and
// yields.
#include "session/engine_fixture.h"

namespace snipewalk {
namespace {

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
