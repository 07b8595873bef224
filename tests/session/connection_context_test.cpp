// Tests of session values and prepared statements on shared connections.
#include "snipewalk/session/connection_context.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

const session_statement kRead = read_statement{ "1a" };

std::vector<server_command>
Plan(const session_context& aSession,
     const session_statement& aStatement,
     connection_context& aConnection,
     bool aInTransaction = false)
{
  std::vector<server_command> commands;
  PlanSetup(aSession, aStatement, aInTransaction, aConnection, commands);
  return commands;
}

TEST(ConnectionContextTest, NeedsNothingForAPlainSession)
{
  connection_context connection;
  EXPECT_TRUE(Plan({}, kRead, connection).empty());
}

TEST(ConnectionContextTest, SetsValuesOnce)
{
  session_context session;
  session.mValues["lang"] = "mn";
  connection_context connection;
  EXPECT_EQ(Plan(session, kRead, connection).size(), 1U);
  EXPECT_TRUE(Plan(session, kRead, connection).empty());
  session.mValues["lang"] = "de";
  EXPECT_EQ(Plan(session, kRead, connection).size(), 1U);
}

// An empty value is not the same as none.
TEST(ConnectionContextTest, SetsAnEmptyValue)
{
  session_context session;
  session.mValues["lang"] = "";
  connection_context connection;
  EXPECT_EQ(Plan(session, kRead, connection).size(), 1U);
  EXPECT_TRUE(Plan(session, kRead, connection).empty());
}

// A session must not see a value set by another session.
TEST(ConnectionContextTest, ResetsValuesThatTheSessionHasNotSet)
{
  connection_context connection;
  connection.mValues["lang"] = "mn";
  connection.mPrepared[{ access_kind::Read, "q1" }] = "s1";
  const auto commands = Plan({}, kRead, connection);
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<reset_command>(commands[0]));
  EXPECT_TRUE(connection.mValues.empty());
  EXPECT_TRUE(connection.mPrepared.empty());
}

// A reset inside a transaction would clear session state that its statements
// rely on.
TEST(ConnectionContextTest, NeverResetsInsideATransaction)
{
  connection_context connection;
  for (int i = 0; i < 1'000; ++i) {
    const std::string number = std::to_string(i);
    connection.mPrepared[{ access_kind::Read, "q" + number }] = "s" + number;
  }
  EXPECT_TRUE(Plan({}, kRead, connection, true).empty());
}

// Returns the name by which the connection executes a statement that the
// session has prepared as "s", after it has been set up for it.
std::string
NameOnConnection(const prepare_statement& aPrepare,
                 connection_context& aConnection)
{
  session_context session;
  session.mPrepared["s"] = aPrepare;
  const session_statement execute = execute_statement{ "s", "7" };
  Plan(session, execute, aConnection);
  const auto sent = TranslateStatement(session, aConnection, execute);
  return std::get<execute_statement>(sent).mName;
}

// Two callers may use the same name for statements of different shapes.
TEST(ConnectionContextTest, KeepsEqualNamesOfDifferentCallersApart)
{
  session_context one;
  one.mPrepared["s"] = { "s", access_kind::Read, "q1" };
  session_context other;
  other.mPrepared["s"] = { "s", access_kind::Read, "q2" };
  const session_statement execute = execute_statement{ "s", "7" };
  connection_context connection;
  EXPECT_EQ(Plan(one, execute, connection).size(), 1U);
  EXPECT_EQ(Plan(other, execute, connection).size(), 1U);
  EXPECT_TRUE(Plan(one, execute, connection).empty());
  const auto first = TranslateStatement(one, connection, execute);
  const auto second = TranslateStatement(other, connection, execute);
  EXPECT_NE(std::get<execute_statement>(first).mName,
            std::get<execute_statement>(second).mName);
}

TEST(ConnectionContextTest, KeepsReadAndWriteOfOneShapeApart)
{
  connection_context connection;
  EXPECT_NE(NameOnConnection({ "a", access_kind::Read, "q" }, connection),
            NameOnConnection({ "a", access_kind::Write, "q" }, connection));
}

TEST(ConnectionContextTest, SharesAStatementBetweenCallers)
{
  connection_context connection;
  EXPECT_EQ(NameOnConnection({ "a", access_kind::Read, "q" }, connection),
            NameOnConnection({ "b", access_kind::Read, "q" }, connection));
}

// Guards against a shape that ends the name early and becomes an argument.
TEST(ConnectionContextTest, GivesNamesWithoutTextOfTheCaller)
{
  connection_context connection;
  for (const std::string shape : { "q1 READ my", "q1", "\r", "a\tb", "" }) {
    const std::string name =
      NameOnConnection({ "a", access_kind::Read, shape }, connection);
    EXPECT_EQ(name.find_first_not_of("s0123456789"), std::string::npos);
  }
}

// The server may still have the statements that the engine has forgotten.
TEST(ConnectionContextTest, GivesNoNameTwiceOnAConnection)
{
  connection_context connection;
  const std::string before =
    NameOnConnection({ "a", access_kind::Read, "q1" }, connection);
  connection.mPrepared.clear();
  EXPECT_NE(NameOnConnection({ "a", access_kind::Read, "q2" }, connection),
            before);
}

TEST(ConnectionContextTest, RecognizesUnknownNames)
{
  session_context session;
  session.mPrepared["s"] = { "s", access_kind::Read, "q1" };
  EXPECT_TRUE(ExecutesUnknownName(session, execute_statement{ "t", "7" }));
  EXPECT_FALSE(ExecutesUnknownName(session, execute_statement{ "s", "7" }));
  EXPECT_FALSE(ExecutesUnknownName(session, kRead));
}

TEST(ConnectionContextTest, RecognizesPreparedWrites)
{
  session_context session;
  session.mPrepared["w"] = { "w", access_kind::Write, "q" };
  EXPECT_TRUE(IsWrite(session, execute_statement{ "w", "7 x" }));
  EXPECT_TRUE(IsWrite(session, write_statement{ "7", "x" }));
  EXPECT_FALSE(IsWrite(session, kRead));
}

} // namespace
} // namespace snipewalk
