// Tests of client accounts in the engine: keys, connections that belong to one
// account, revoked sessions, and rate limits.
#include "session/engine_fixture.h"

namespace snipewalk {
namespace {

class EngineAccountsTest : public SessionEngineTest
{
protected:
  EngineAccountsTest()
  {
    Configure();
    SetAccounts({ Account("ann", { "k-ann" }), Account("anna", { "k-anna" }) });
  }

  static client_account Account(const std::string& aName,
                                std::vector<std::string> aKeys)
  {
    return { aName, std::move(aKeys), 0, std::nullopt };
  }

  void SetAccounts(std::vector<client_account> aAccounts)
  {
    auto state = std::make_shared<desired_state>(*DesiredState());
    state->mVersion = ++mVersion;
    findings found;
    state->mAccounts = std::make_shared<account_directory>(
      account_directory::Build(std::move(aAccounts), found));
    ASSERT_TRUE(found.empty()) << found.ToString();
    mEngine.SetDesiredState(state, mNow);
  }

  // Lets an account "ann" run `aPerSecond` operations.
  void LimitAnn(double aPerSecond)
  {
    client_account ann = Account("ann", { "k-ann" });
    ann.mLimit = rate_limit{ aPerSecond, aPerSecond };
    SetAccounts({ ann, Account("anna", { "k-anna" }) });
  }

  // Answers the request for tokens that is due, with this number for "ann".
  void GrantToAnn(std::uint32_t aTokens, bool aLimited)
  {
    const auto request = mEngine.AllowanceRequestIfDue(mNow);
    ASSERT_TRUE(request);
    mEngine.OnAllowanceGrant(
      { request->mSequenceNumber, { { "ann", aTokens, aLimited } } }, mNow);
  }

  const std::string& AccountOf(server_connection_id aConnection) const
  {
    return mLinks.mServers.at(aConnection).mAccount;
  }

  // Runs a read and returns the connection that executed it.
  server_connection_id RunRead(session_id aSession)
  {
    SendStatement(aSession, read_statement{ "1" });
    AcceptConnections();
    const server_connection_id used = *LastRequestConnection();
    Answer(used, Done(5));
    return used;
  }

  std::uint64_t mVersion = 1;
};

TEST_F(EngineAccountsTest, RefusesAnUnknownKey)
{
  const session_id session = Open("main", "k-an");
  EXPECT_EQ(mLinks.mRefused.at(session), result_code::Unauthorized);
  const session_id without = Open("main");
  EXPECT_EQ(mLinks.mRefused.at(without), result_code::Unauthorized);
}

// Guards against a statement that runs in the name of another account.
TEST_F(EngineAccountsTest, UsesConnectionsOfTheOwnAccountOnly)
{
  const session_id ann = Open("main", "k-ann");
  const session_id anna = Open("main", "k-anna");
  const server_connection_id first = RunRead(ann);
  const server_connection_id second = RunRead(anna);
  EXPECT_NE(first, second);
  EXPECT_EQ(AccountOf(first), "ann");
  EXPECT_EQ(AccountOf(second), "anna");
  EXPECT_EQ(RunRead(ann), first);
}

// Guards against keys in the opening messages of server connections.
TEST_F(EngineAccountsTest, NeverNamesAKeyToAServer)
{
  RunRead(Open("main", "k-ann"));
  for (const auto& [id, server] : mLinks.mServers) {
    EXPECT_EQ(server.mAccount.find("k-"), std::string::npos);
  }
}

// Guards against an account that gets no connection while another one holds all
// of the instance's share.
TEST_F(EngineAccountsTest, ClosesAnIdleConnectionOfAnotherAccount)
{
  mEngine.SetInstanceCount(21, mNow);
  const server_connection_id first = RunRead(Open("main", "k-ann"));
  ASSERT_EQ(Connections("p").size(), 1U);
  SendStatement(Open("main", "k-anna"), read_statement{ "1" });
  EXPECT_FALSE(mLinks.mServers.at(first).mClosed)
    << "kept for the next statement of its account";
  AdvanceClock(20);
  EXPECT_TRUE(mLinks.mServers.at(first).mClosed);
  AcceptConnections();
  EXPECT_EQ(AccountOf(*LastRequestConnection()), "anna");
}

// Guards against an opening for each statement of accounts that are used now
// and then.
TEST_F(EngineAccountsTest, KeepsIdleConnectionsOfAccounts)
{
  RunRead(Open("main", "k-ann"));
  RunRead(Open("main", "k-anna"));
  AdvanceClock(3'000);
  Confirm();
  EXPECT_EQ(Connections("p").size(), 2U);
}

TEST_F(EngineAccountsTest, ClosesIdleSessionsOfARemovedKey)
{
  const session_id ann = Open("main", "k-ann");
  const session_id anna = Open("main", "k-anna");
  SetAccounts({ Account("anna", { "k-anna" }) });
  EXPECT_TRUE(mLinks.mClosed.contains(ann));
  EXPECT_FALSE(mLinks.mClosed.contains(anna));
}

// Guards against a waiting statement that runs after its key was removed.
TEST_F(EngineAccountsTest, RefusesWaitingStatementsOfARemovedKey)
{
  const session_id ann = Open("main", "k-ann");
  SendStatement(ann, read_statement{ "1" });
  ASSERT_FALSE(LastRequestConnection());
  SetAccounts({ Account("anna", { "k-anna" }) });
  EXPECT_EQ(LastReply(ann).mError, result_code::Unauthorized);
  EXPECT_TRUE(mLinks.mClosed.contains(ann));
  AcceptConnections();
  EXPECT_FALSE(LastRequestConnection());
}

// Guards against a transaction that commits after its key was removed.
TEST_F(EngineAccountsTest, RollsBackTransactionsOfARemovedKey)
{
  const session_id ann = Open("main", "k-ann");
  SendStatement(ann, begin_statement{});
  SendStatement(ann, write_statement{ "1", "x" });
  AcceptConnections();
  const server_connection_id used = Connections("p").front();
  Answer(used, Done(4, session_state::InTransaction));
  Answer(used, Done(4, session_state::InTransaction));
  SetAccounts({ Account("anna", { "k-anna" }) });
  SendStatement(ann, commit_statement{});
  EXPECT_EQ(LastReply(ann).mError, result_code::Unauthorized);
  EXPECT_TRUE(mLinks.mClosed.contains(ann));
  const auto& last =
    std::get<statement_command>(mLinks.mServers.at(used).mCommands.back());
  EXPECT_TRUE(std::holds_alternative<rollback_statement>(last.mStatement));
}

// Guards against a key that goes on acting for its former account.
TEST_F(EngineAccountsTest, FollowsAKeyToAnotherAccount)
{
  const session_id session = Open("main", "k-ann");
  RunRead(session);
  SetAccounts(
    { Account("ann", { "k-new" }), Account("anna", { "k-anna", "k-ann" }) });
  EXPECT_EQ(AccountOf(RunRead(session)), "anna");
}

TEST_F(EngineAccountsTest, NeedsNoKeyOnAPublicRoute)
{
  auto state = std::make_shared<desired_state>(*DesiredState());
  findings found;
  state->mAccounts = std::make_shared<account_directory>(
    account_directory::Build({ Account("ann", { "k-ann" }) }, found));
  state->mRoutes["main"].mPublic = true;
  mEngine.SetDesiredState(state, mNow);
  EXPECT_EQ(AccountOf(RunRead(Open("main"))), "");
}

TEST_F(EngineAccountsTest, WaitsForATokenOfALimitedAccount)
{
  LimitAnn(10);
  const session_id ann = Open("main", "k-ann");
  SendStatement(ann, read_statement{ "1" });
  EXPECT_TRUE(Connections("p").empty());
  GrantToAnn(1, false);
  AcceptConnections();
  EXPECT_TRUE(LastRequestConnection());
}

// Guards against operations beyond the limit that wait in vain.
TEST_F(EngineAccountsTest, RefusesAnOperationBeyondTheLimitAtOnce)
{
  LimitAnn(10);
  const session_id first = Open("main", "k-ann");
  SendStatement(first, read_statement{ "1" });
  GrantToAnn(1, true);
  AcceptConnections();
  Answer(*LastRequestConnection(), Done(5));
  const session_id second = Open("main", "k-ann");
  SendStatement(second, read_statement{ "1" });
  const session_id third = Open("main", "k-ann");
  SendStatement(third, read_statement{ "1" });
  EXPECT_EQ(LastReply(third).mError, result_code::Busy);
}

// Guards against callers that wait until their deadline while nobody issues
// tokens.
TEST_F(EngineAccountsTest, RefusesAnOperationWithoutATokenSoon)
{
  LimitAnn(10);
  const session_id ann = Open("main", "k-ann");
  SendStatement(ann, read_statement{ "1" });
  AdvanceClock(200);
  EXPECT_EQ(LastReply(ann).mError, result_code::Busy);
}

TEST_F(EngineAccountsTest, CountsATransactionOnce)
{
  LimitAnn(10);
  const session_id ann = Open("main", "k-ann");
  SendStatement(ann, begin_statement{});
  SendStatement(ann, read_statement{ "1" });
  GrantToAnn(1, false);
  AcceptConnections();
  const server_connection_id used = Connections("p").front();
  Answer(used, Done(4, session_state::InTransaction));
  Answer(used, Done(4, session_state::InTransaction));
  SendStatement(ann, read_statement{ "2" });
  EXPECT_EQ(ConnectionOf("q" + std::to_string(mRequests)), used);
}

} // namespace
} // namespace snipewalk
