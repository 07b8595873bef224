// Tests of the setup of shared connections: session values and prepared
// statements are in force on a connection before a statement of the session is
// sent there, and no transaction of the last user is open.
#include "session/engine_fixture.h"

namespace snipewalk {
namespace {

class SessionSetupTest : public SessionEngineTest
{
protected:
  // Opens a session that has set the value "tenant" to `aTenant`.
  session_id OpenAs(const std::string& aDatabase, const std::string& aTenant)
  {
    const session_id session = Open(aDatabase);
    SetTenant(session, aTenant);
    return session;
  }

  void SetTenant(session_id aSession, const std::string& aTenant)
  {
    SendStatement(aSession, set_statement{ "tenant", aTenant });
    EXPECT_FALSE(LastReply(aSession).mError);
  }

  // Executes a read of tenant "one" on the only connection to the primary and
  // returns the connection, which then holds the value of that tenant.
  server_connection_id UseConnectionAsTenantOne()
  {
    SendStatement(OpenAs("main", "one"), read_statement{ "1" });
    AcceptConnections();
    const auto connection = Connections("p").at(0);
    Answer(connection, Done(5));
    EXPECT_EQ(LastRequestConnection(), connection);
    Answer(connection, Done(5));
    return connection;
  }

  // Returns the latest command on the connection as a statement, or null if
  // there is none or it is another command.
  const statement_command* LastStatement(server_connection_id aConnection) const
  {
    const auto& commands = mLinks.mServers.at(aConnection).mCommands;
    return commands.empty() ? nullptr
                            : std::get_if<statement_command>(&commands.back());
  }

  bool WasSent() const { return LastRequestConnection().has_value(); }

  std::string Tenant(server_connection_id aConnection) const
  {
    std::string tenant;
    for (const auto& command : mLinks.mServers.at(aConnection).mCommands) {
      const auto* statement = std::get_if<statement_command>(&command);
      const auto* set = statement == nullptr
                          ? nullptr
                          : std::get_if<set_statement>(&statement->mStatement);
      tenant = set == nullptr ? tenant : set->mValue;
    }
    return tenant;
  }
};

// Guards against statements that run with the session values of another client
// because the SET before them failed.
TEST_F(SessionSetupTest, SendsAReadOnlyAfterItsValuesWereSet)
{
  Configure();
  const auto connection = UseConnectionAsTenantOne();
  const session_id session = OpenAs("main", "two");
  SendStatement(session, read_statement{ "2" });
  EXPECT_EQ(Tenant(connection), "two");
  EXPECT_FALSE(WasSent());
  Answer(connection, Done(5));
  EXPECT_EQ(LastRequestConnection(), connection);
  Answer(connection, Done(6));
  EXPECT_EQ(LastReply(session).mSignature, "signed");
}

// Guards against writes that are executed with the session values of another
// client. The values of the connection are unknown, so that it is closed.
TEST_F(SessionSetupTest, PlacesAWriteAgainWhenASetFailed)
{
  Configure();
  const auto connection = UseConnectionAsTenantOne();
  const session_id session = OpenAs("own", "two");
  SendStatement(session, write_statement{ "2", "x" });
  Answer(connection, Error(result_code::Failed));
  EXPECT_FALSE(WasSent());
  EXPECT_TRUE(mLinks.mServers.at(connection).mClosed);
  AdvanceClock(40);
  AcceptConnections();
  const auto other = Connections("p").at(0);
  EXPECT_FALSE(WasSent());
  Answer(other, Done(5));
  EXPECT_EQ(LastRequestConnection(), other);
  Answer(other, Done(6));
  EXPECT_FALSE(LastReply(session).mError);
}

// Guards against statements that see the values of another client because the
// DISCARD before them failed.
TEST_F(SessionSetupTest, SendsNoReadAfterAFailedReset)
{
  Configure();
  const auto connection = UseConnectionAsTenantOne();
  SendStatement(Open("main"), read_statement{ "2" });
  ASSERT_TRUE(std::holds_alternative<reset_command>(
    mLinks.mServers.at(connection).mCommands.back()));
  Answer(connection, Error(result_code::Failed));
  EXPECT_FALSE(WasSent());
  EXPECT_TRUE(mLinks.mServers.at(connection).mClosed);
}

// The first of several setup commands failed, the later ones succeed. Guards
// against taking the last reply for that of the whole setup.
TEST_F(SessionSetupTest, RemembersAFailureOfAnEarlierSetupCommand)
{
  Configure();
  const auto connection = UseConnectionAsTenantOne();
  const session_id session = Open("main");
  SendStatement(session, set_statement{ "lang", "mn" });
  SendStatement(session, read_statement{ "2" });
  Answer(connection, Error(result_code::Failed));
  Answer(connection, Done(5));
  EXPECT_FALSE(WasSent());
  EXPECT_TRUE(mLinks.mServers.at(connection).mClosed);
}

// Guards against whole transactions that run with the values of another client:
// their begin is sent together with the setup.
TEST_F(SessionSetupTest, RunsNoTransactionBehindAFailedSet)
{
  Configure();
  const auto connection = UseConnectionAsTenantOne();
  const session_id session = OpenAs("main", "two");
  SendStatement(session, begin_statement{});
  SendStatement(session, write_statement{ "2", "x" });
  Answer(connection, Error(result_code::Failed));
  Answer(connection, Done(5, session_state::InTransaction));
  EXPECT_FALSE(WasSent());
  EXPECT_TRUE(mLinks.mServers.at(connection).mClosed);
  // The transaction starts on another connection, without the caller's notice.
  AdvanceClock(40);
  AcceptConnections();
  const auto other = Connections("p").at(0);
  Answer(other, Done(5));
  Answer(other, Done(5, session_state::InTransaction));
  EXPECT_EQ(LastRequestConnection(), other);
}

// A value that is set inside a transaction reaches the server with the next
// statement. Guards against executing that statement, or the commit, with the
// old value.
TEST_F(SessionSetupTest, AbortsATransactionWhoseSetFailed)
{
  Configure();
  const session_id session = OpenAs("main", "two");
  SendStatement(session, begin_statement{});
  SendStatement(session, write_statement{ "2", "x" });
  AcceptConnections();
  const auto connection = Connections("p").at(0);
  Answer(connection, Done(5));
  Answer(connection, Done(5, session_state::InTransaction));
  Answer(connection, Done(5, session_state::InTransaction));
  SetTenant(session, "three");
  SendStatement(session, commit_statement{});
  EXPECT_FALSE(WasSent());
  Answer(connection, Error(result_code::Failed, session_state::InTransaction));
  EXPECT_FALSE(WasSent());
  EXPECT_EQ(LastReply(session).mError, result_code::Aborted);
  // The server rolls the transaction back when its connection is closed.
  EXPECT_TRUE(mLinks.mServers.at(connection).mClosed);
}

TEST_F(SessionSetupTest, ContinuesATransactionAfterASet)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, begin_statement{});
  SendStatement(session, read_statement{ "2" });
  AcceptConnections();
  const auto connection = Connections("p").at(0);
  Answer(connection, Done(5, session_state::InTransaction));
  Answer(connection, Done(5, session_state::InTransaction));
  SetTenant(session, "three");
  SendStatement(session, read_statement{ "3" });
  EXPECT_FALSE(WasSent());
  Answer(connection, Done(5, session_state::InTransaction));
  EXPECT_EQ(LastRequestConnection(), connection);
  Answer(connection, Done(5, session_state::InTransaction));
  EXPECT_EQ(LastReply(session).mSignature, "signed");
}

// Guards against executing a prepared statement that the server does not have.
TEST_F(SessionSetupTest, SendsNoExecutionAfterAFailedPrepare)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, prepare_statement{ "s", access_kind::Read, "q1" });
  SendStatement(session, execute_statement{ "s", "7" });
  AcceptConnections();
  const auto connection = Connections("p").at(0);
  ASSERT_TRUE(LastStatement(connection));
  EXPECT_FALSE(WasSent());
  Answer(connection, Error(result_code::Failed));
  EXPECT_FALSE(WasSent());
  EXPECT_TRUE(mLinks.mServers.at(connection).mClosed);
}

// A write that was never sent cannot have run. Guards against reporting its
// outcome as unknown, after which the caller does not repeat it.
TEST_F(SessionSetupTest, ReportsNoDoubtForAWriteWhoseSetWasNotAnswered)
{
  Configure();
  const auto connection = UseConnectionAsTenantOne();
  const session_id session = OpenAs("own", "two");
  SendStatement(session, write_statement{ "2", "x" });
  ASSERT_FALSE(WasSent());
  AdvanceClock(820);
  EXPECT_TRUE(mLinks.mServers.at(connection).mClosed);
  EXPECT_EQ(LastReply(session).mError, result_code::Busy);
}

TEST_F(SessionSetupTest, PlacesAWriteAgainWhenItsConnectionIsLostDuringSetup)
{
  Configure();
  const auto connection = UseConnectionAsTenantOne();
  const session_id session = OpenAs("own", "two");
  SendStatement(session, write_statement{ "2", "x" });
  mEngine.OnServerClosed(connection, mNow);
  EXPECT_EQ(mLinks.mReplies.at(session).size(), 1U);
  AdvanceClock(40);
  AcceptConnections();
  const auto other = Connections("p").back();
  Answer(other, Done(5));
  EXPECT_EQ(LastRequestConnection(), other);
}

// The primary is replaced during the setup. Guards against a read that is sent
// by the state of the time when its connection was chosen.
TEST_F(SessionSetupTest, ChoosesAgainWhenTheServerIsNoLongerAllowed)
{
  Configure();
  const auto connection = UseConnectionAsTenantOne();
  const session_id session = OpenAs("own", "two");
  SendStatement(session, write_statement{ "2", "x" });
  mEngine.SetPrimary("s", { "a", 0, true }, mNow);
  Answer(connection, Done(5));
  EXPECT_FALSE(mLinks.mServers.at(connection).mClosed);
  EXPECT_FALSE(ConnectionOf("q" + std::to_string(mRequests)));
  AcceptConnections();
  const auto other = Connections("a").at(0);
  Answer(other, Done(5));
  EXPECT_EQ(LastRequestConnection(), other);
}

// A replica may fall behind the allowed staleness while the setup is under way.
// Guards against a read that requires only the position of an earlier time.
TEST_F(SessionSetupTest, RequiresThePositionOfTheTimeAfterTheSetup)
{
  Configure();
  const session_id writer = OpenAs("own", "one");
  SendStatement(writer, write_statement{ "1", "x" });
  AcceptConnections();
  Answer(Connections("p").at(0), Done(39));
  Answer(*LastRequestConnection(), Done(40));
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  AdvanceClock(1'400);
  SendStatement(OpenAs("old", "two"), read_statement{ "1" });
  AcceptConnections();
  EXPECT_FALSE(WasSent());
  AdvanceClock(200);
  int answered = 0;
  for (const std::string replica : { "a", "b" }) {
    for (const auto connection : Connections(replica)) {
      const auto* setup = LastStatement(connection);
      if (setup != nullptr &&
          std::holds_alternative<set_statement>(setup->mStatement)) {
        Answer(connection, Done(40));
        ++answered;
      }
    }
  }
  EXPECT_EQ(answered, 1);
  // No sample of the primary's position is younger than the allowed staleness.
  EXPECT_FALSE(WasSent());
}

// The caller leaves during the setup. Guards against a connection that stays
// assigned to a session that no longer exists.
TEST_F(SessionSetupTest, ReleasesTheConnectionOfACallerThatLeft)
{
  Configure();
  const auto connection = UseConnectionAsTenantOne();
  const session_id session = OpenAs("main", "two");
  SendStatement(session, read_statement{ "2" });
  mEngine.OnCallerClosed(session, mNow);
  Answer(connection, Done(5));
  EXPECT_FALSE(WasSent());
  SendStatement(OpenAs("main", "two"), read_statement{ "3" });
  EXPECT_EQ(LastRequestConnection(), connection);
}

// Closing a connection rolls its transaction back. Guards against sending
// rollbacks without end to a server that fails them, while the connection is
// lost to other sessions.
TEST_F(SessionSetupTest, ClosesAConnectionWhoseRollbackFailed)
{
  Configure();
  const session_id session = Open("main");
  SendStatement(session, begin_statement{});
  SendStatement(session, read_statement{ "2" });
  AcceptConnections();
  const auto connection = Connections("p").at(0);
  Answer(connection, Done(5, session_state::InTransaction));
  Answer(connection, Done(5, session_state::InTransaction));
  SendStatement(session, rollback_statement{});
  ASSERT_TRUE(LastStatement(connection));
  const std::size_t sent = mLinks.mServers.at(connection).mCommands.size();
  Answer(connection, Error(result_code::Failed, session_state::InTransaction));
  EXPECT_EQ(mLinks.mServers.at(connection).mCommands.size(), sent);
  EXPECT_TRUE(mLinks.mServers.at(connection).mClosed);
}

} // namespace
} // namespace snipewalk
