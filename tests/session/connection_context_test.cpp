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

// A session must not see a value set by another session.
TEST(ConnectionContextTest, ResetsValuesThatTheSessionHasNotSet)
{
  connection_context connection;
  connection.mValues["lang"] = "mn";
  connection.mPrepared.insert("r_q1");
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
    connection.mPrepared.insert("r_q" + std::to_string(i));
  }
  EXPECT_TRUE(Plan({}, kRead, connection, true).empty());
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
  const auto first = TranslateStatement(one, execute);
  const auto second = TranslateStatement(other, execute);
  ASSERT_TRUE(first && second);
  EXPECT_NE(std::get<execute_statement>(*first).mName,
            std::get<execute_statement>(*second).mName);
}

TEST(ConnectionContextTest, KeepsReadAndWriteOfOneShapeApart)
{
  EXPECT_NE(SharedStatementName({ "a", access_kind::Read, "q" }),
            SharedStatementName({ "a", access_kind::Write, "q" }));
}

TEST(ConnectionContextTest, RefusesUnknownNames)
{
  EXPECT_FALSE(TranslateStatement({}, execute_statement{ "s", "7" }));
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
