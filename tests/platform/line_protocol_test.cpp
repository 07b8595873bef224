// Tests of the platform's line protocol.
#include "platform/line_protocol.h"
#include "standins/odd_texts.h"

#include <gtest/gtest.h>

namespace snipewalk::platform {
namespace {

std::optional<caller_message>
ReadOne(std::string& aBuffer)
{
  const auto message = line_protocol().ReadCallerMessage(aBuffer);
  EXPECT_TRUE(message.ok()) << message.status();
  return message.ok() ? *message : std::nullopt;
}

std::optional<statement_reply>
ReadReply(std::string& aBuffer, bool aOpening = false)
{
  const auto reply = line_protocol().ReadReply(aBuffer, aOpening);
  EXPECT_TRUE(reply.ok()) << reply.status();
  return reply.ok() ? *reply : std::nullopt;
}

TEST(LineProtocolTest, ReadsAnOpening)
{
  std::string buffer = "STARTUP lepu270 u3f1\r\nQUERY";
  const auto message = ReadOne(buffer);
  ASSERT_TRUE(message);
  EXPECT_EQ(std::get<open_session>(*message).mDatabase, "lepu270");
  EXPECT_EQ(std::get<open_session>(*message).mKey, "u3f1");
  EXPECT_EQ(buffer, "QUERY");
  EXPECT_FALSE(ReadOne(buffer));
}

// Reads and writes are passed on with their text unchanged, blanks included.
TEST(LineProtocolTest, PassesStatementsOnUnchanged)
{
  for (const std::string text : { "READ 1a4",
                                  "WRITE 1a4 some  data with blanks ",
                                  "EXECUTE s1 1a4 xk  q",
                                  "EXECUTE s1 1a4",
                                  "COMMIT",
                                  "ROLLBACK",
                                  "BEGIN",
                                  "BEGIN READ",
                                  "SET name a value",
                                  "PARSE s1 WRITE q2c",
                                  "CLOSE s1",
                                  "NONSENSE 1 2" }) {
    std::string buffer = "QUERY 5c0e " + text + "\r\n";
    const std::string bytes = buffer;
    const auto message = ReadOne(buffer);
    ASSERT_TRUE(message);
    const auto& statement = std::get<statement_message>(*message);
    EXPECT_EQ(statement.mRequestId, "5c0e");
    EXPECT_EQ(line_protocol().WriteCommand(statement_command{
                statement.mRequestId, {}, statement.mStatement }),
              bytes);
  }
}

TEST(LineProtocolTest, RecognisesWhatItPassesOn)
{
  std::string buffer =
    "QUERY 1 NONSENSE\r\nQUERY 2 READ\r\nQUERY 3 BEGIN X\r\n";
  for (int i = 0; i < 3; ++i) {
    const auto message = ReadOne(buffer);
    ASSERT_TRUE(message);
    EXPECT_TRUE(std::holds_alternative<unknown_statement>(
      std::get<statement_message>(*message).mStatement));
  }
}

std::string
Compose(const statement_message& aMessage)
{
  return line_protocol().WriteCommand(
    statement_command{ aMessage.mRequestId, {}, aMessage.mStatement });
}

// Guards against statements that run with another text than was sent: a blank
// more or less, or the id of the instance's own statements.
TEST(LineProtocolTest, TakesNoStatementThatItWouldChange)
{
  for (const std::string text : { "COMMIT ",
                                  "ROLLBACK ",
                                  "BEGIN ",
                                  "BEGIN READ ",
                                  "READ",
                                  "READ ",
                                  "WRITE k",
                                  "WRITE  v",
                                  "EXECUTE s1",
                                  "EXECUTE  7",
                                  "SET n",
                                  "SET  v",
                                  "PARSE s1 R",
                                  "PARSE s1 READ",
                                  "PARSE  READ q",
                                  "CLOSE",
                                  "CLOSE " }) {
    std::string buffer = "QUERY 5c0e " + text + "\r\n";
    const auto message = ReadOne(buffer);
    ASSERT_TRUE(message);
    EXPECT_TRUE(std::holds_alternative<unknown_statement>(
      std::get<statement_message>(*message).mStatement))
      << text;
  }
  std::string withoutId = "QUERY  READ k\r\n";
  const auto message = ReadOne(withoutId);
  ASSERT_TRUE(message);
  EXPECT_TRUE(std::holds_alternative<unknown_statement>(
    std::get<statement_message>(*message).mStatement));
}

// The same for texts of which nobody has thought.
TEST(LineProtocolTest, ComposesWhatItHasRead)
{
  constexpr int kMessages = 100'000;
  const std::vector<std::string> verbs{ "READ",    "WRITE", "SET",   "PARSE",
                                        "EXECUTE", "CLOSE", "BEGIN", "COMMIT" };
  standins::odd_texts texts(46);
  int known = 0;
  for (int i = 0; i < kMessages; ++i) {
    std::string buffer = "QUERY " + texts.Word() + " " +
                         verbs[texts.Below(verbs.size())] + " " + texts.Text() +
                         "\r\n";
    const std::string sent = buffer;
    const auto message = ReadOne(buffer);
    ASSERT_TRUE(message);
    const auto& statement = std::get<statement_message>(*message);
    if (!std::holds_alternative<unknown_statement>(statement.mStatement)) {
      ++known;
      ASSERT_EQ(Compose(statement), sent);
    }
  }
  EXPECT_GT(known, kMessages / 4);
}

TEST(LineProtocolTest, WritesAPositionBeforeTheStatement)
{
  EXPECT_EQ(line_protocol().WriteCommand(statement_command{
              "5c0e", log_position{ 3, 1207 }, read_statement{ "1a4" } }),
            "QUERY 5c0e AFTERLSN 3.1207 READ 1a4\r\n");
}

TEST(LineProtocolTest, WritesItsOwnCommandsWithoutAnId)
{
  const line_protocol protocol;
  EXPECT_EQ(protocol.WriteCommand(status_command{}), "QUERY - STATUS\r\n");
  EXPECT_EQ(protocol.WriteCommand(pause_command{ 4 }), "QUERY - PAUSE 4\r\n");
  EXPECT_EQ(protocol.WriteCommand(step_down_command{ 4 }),
            "QUERY - STEPDOWN 4\r\n");
  EXPECT_EQ(protocol.WriteCommand(resume_command{}), "QUERY - RESUME\r\n");
  EXPECT_EQ(protocol.WriteCommand(reset_command{}), "QUERY - DISCARD\r\n");
}

TEST(LineProtocolTest, ReadsAWholeReplyOnly)
{
  const std::string whole =
    "DATAROW qh z\r\nCOMPLETE 7.1f3.c\r\nREADY T 3.1209\r\n";
  for (std::size_t size = 0; size < whole.size(); ++size) {
    std::string buffer = whole.substr(0, size);
    EXPECT_FALSE(ReadReply(buffer));
    EXPECT_EQ(buffer.size(), size);
  }
  std::string buffer = whole + "READY I -\r\n";
  const auto reply = ReadReply(buffer);
  ASSERT_TRUE(reply);
  EXPECT_FALSE(reply->mError);
  EXPECT_EQ(reply->mSignature, "7.1f3.c");
  EXPECT_EQ(reply->mState, session_state::InTransaction);
  EXPECT_EQ(reply->mPosition, (log_position{ 3, 1209 }));
  EXPECT_EQ(line_protocol().WriteReply(*reply), whole);
}

TEST(LineProtocolTest, ReadsErrors)
{
  std::string buffer = "ERROR READONLY i-7f3a\r\nREADY E 3.1209\r\n"
                       "ERROR NOVEL text\r\nREADY I -\r\n";
  const auto known = ReadReply(buffer);
  ASSERT_TRUE(known);
  EXPECT_EQ(known->mError, result_code::NotPrimary);
  EXPECT_EQ(known->mState, session_state::Failed);
  const auto unknown = ReadReply(buffer);
  ASSERT_TRUE(unknown);
  EXPECT_EQ(unknown->mError, result_code::Other);
  EXPECT_EQ(line_protocol().WriteReply(*unknown),
            "ERROR NOVEL text\r\nREADY I -\r\n");
}

// A refused opening is not followed by a state.
TEST(LineProtocolTest, EndsARefusedOpeningAtTheError)
{
  std::string buffer = "ERROR TOOMANYCON full\r\n";
  const auto reply = ReadReply(buffer, true);
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->mError, result_code::TooManyConnections);
}

TEST(LineProtocolTest, ReadsAStatusRow)
{
  const line_protocol protocol;
  statement_reply reply;
  reply.mRows = { "replica 3 3.1209 5 12 2 17" };
  const auto status = protocol.ParseStatus(reply);
  ASSERT_TRUE(status.ok());
  EXPECT_EQ(status->mRole, server_role::Replica);
  EXPECT_EQ(status->mTerm, 5U);
  EXPECT_EQ(status->mReceived, (log_position{ 3, 1209 }));
  EXPECT_EQ(status->mLag, milliseconds(12));
  for (const std::string bad : { "", "replica", "witness 3 3.1 0 0 0 0" }) {
    reply.mRows = { bad };
    EXPECT_FALSE(protocol.ParseStatus(reply).ok());
  }
}

// Guards against a statement that the position or the name before it makes
// longer than a server accepts, so that the connection is closed.
TEST(LineProtocolTest, TakesNoStatementThatIsTooLongToBeSentOn)
{
  const line_protocol protocol;
  const log_position last{ UINT64_MAX, UINT64_MAX };
  const std::string longestName = "s" + std::to_string(UINT64_MAX);
  for (std::size_t spare = 0; spare < 100; ++spare) {
    for (const std::string start :
         { "QUERY 1 READ ", "QUERY 1 EXECUTE a ", "QUERY 1 PARSE a READ " }) {
      std::string buffer =
        start +
        std::string(line_protocol::kMaxMessageBytes - start.size() - spare,
                    'x') +
        "\r\n";
      auto statement = std::get<statement_message>(*ReadOne(buffer)).mStatement;
      EXPECT_FALSE(spare == 99 &&
                   std::holds_alternative<unknown_statement>(statement));
      if (auto* execute = std::get_if<execute_statement>(&statement)) {
        execute->mName = longestName;
      } else if (auto* prepare = std::get_if<prepare_statement>(&statement)) {
        prepare->mName = longestName;
      }
      const bool taken = !std::holds_alternative<unknown_statement>(statement);
      const std::string sent =
        protocol.WriteCommand(statement_command{ "1", last, statement });
      EXPECT_FALSE(taken && sent.size() - 2 > line_protocol::kMaxMessageBytes);
    }
  }
}

// Guards against a longest message that is refused because its line end arrives
// in two parts.
TEST(LineProtocolTest, TakesTheLongestMessageWhoseLineEndArrivesInTwoParts)
{
  const std::string start = "QUERY 1 WRITE k ";
  std::string buffer =
    start + std::string(line_protocol::kMaxMessageBytes - start.size(), 'x') +
    "\r";
  EXPECT_FALSE(ReadOne(buffer));
  buffer += "\n";
  EXPECT_TRUE(ReadOne(buffer));
}

TEST(LineProtocolTest, LimitsTheSizeOfAMessage)
{
  std::string buffer(line_protocol::kMaxMessageBytes + 1, 'x');
  EXPECT_FALSE(line_protocol().ReadCallerMessage(buffer).ok());
  EXPECT_FALSE(line_protocol().ReadReply(buffer, false).ok());
}

} // namespace
} // namespace snipewalk::platform
