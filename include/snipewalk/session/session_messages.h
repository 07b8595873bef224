// Typed messages of the session front end: what callers ask, what backend
// servers are told and answer, and what callers are answered. A session
// protocol translates them from and to bytes.
#ifndef SNIPEWALK_SESSION_SESSION_MESSAGES_H_
#define SNIPEWALK_SESSION_SESSION_MESSAGES_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/base/time.h"
#include "snipewalk/session/log_position.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipewalk {

enum class access_kind
{
  Read,
  Write
};

inline constexpr name_table<access_kind, 2> kAccessKindNames{ {
  { access_kind::Read, "read" },
  { access_kind::Write, "write" },
} };

// Where a session stands in its transaction.
enum class session_state
{
  Idle,
  InTransaction,
  // A statement failed; only the end of the transaction is accepted.
  Failed
};

// Result codes. The adapter maps them to the words of a protocol.
enum class result_code
{
  // Nothing of the request is kept.
  Busy,
  Aborted,
  Behind,
  NotPrimary,
  WrongServer,
  TooManyConnections,
  UnknownStatement,
  // Executed, without success.
  Failed,
  TimedOut,
  // The effect is unknown.
  InDoubt,
  // Refused for its content.
  Malformed,
  UnknownDatabase,
  // A code that this program does not know; promises nothing.
  Other
};

inline constexpr name_table<result_code, 13> kResultCodeNames{ {
  { result_code::Busy, "busy" },
  { result_code::Aborted, "aborted" },
  { result_code::Behind, "behind" },
  { result_code::NotPrimary, "not_primary" },
  { result_code::WrongServer, "wrong_server" },
  { result_code::TooManyConnections, "too_many_connections" },
  { result_code::UnknownStatement, "unknown_statement" },
  { result_code::Failed, "failed" },
  { result_code::TimedOut, "timed_out" },
  { result_code::InDoubt, "in_doubt" },
  { result_code::Malformed, "malformed" },
  { result_code::UnknownDatabase, "unknown_database" },
  { result_code::Other, "other" },
} };

// True for codes by which a backend server states that nothing was executed.
constexpr bool
IsNotExecuted(result_code aCode)
{
  return aCode == result_code::Busy || aCode == result_code::Behind ||
         aCode == result_code::NotPrimary ||
         aCode == result_code::UnknownStatement ||
         aCode == result_code::WrongServer ||
         aCode == result_code::TooManyConnections;
}

// Statements.

struct begin_statement
{
  bool mReadOnly = false;
};
struct commit_statement
{};
struct rollback_statement
{};
struct read_statement
{
  std::string mItem;
};
struct write_statement
{
  std::string mItem;
  std::string mData;
};
struct set_statement
{
  std::string mName;
  std::string mValue;
};
struct prepare_statement
{
  std::string mName;
  access_kind mAccess = access_kind::Read;
  std::string mShape;
};
struct execute_statement
{
  std::string mName;
  // Item and data as received.
  std::string mArguments;
};
struct forget_statement
{
  std::string mName;
};
// Text that is none of the others.
struct unknown_statement
{
  std::string mText;
};

using session_statement = std::variant<begin_statement,
                                       commit_statement,
                                       rollback_statement,
                                       read_statement,
                                       write_statement,
                                       set_statement,
                                       prepare_statement,
                                       execute_statement,
                                       forget_statement,
                                       unknown_statement>;

// Caller to instance.

struct open_session
{
  std::string mDatabase;
};
struct statement_message
{
  std::string mRequestId;
  session_statement mStatement;
};
struct end_session
{};

using caller_message =
  std::variant<open_session, statement_message, end_session>;

// Answer to one message of a caller or to one command to a backend server.
struct statement_reply
{
  // Set when the statement failed.
  std::optional<result_code> mError;
  // The code as received, if it came from a backend server.
  std::string mErrorCode;
  std::string mErrorText;
  std::vector<std::string> mRows;
  // Proof of execution by a backend server; empty for local answers.
  std::string mSignature;
  session_state mState = session_state::Idle;
  std::optional<log_position> mPosition;
};

// Instance to backend server. Commands that the instance issues itself carry
// no request id.

struct reset_command
{};
struct status_command
{};
// Stops a replica from receiving while its term is below `mTerm`.
struct pause_command
{
  std::uint64_t mTerm = 0;
};
struct resume_command
{};
// Makes a primary of a lower term a replica.
struct step_down_command
{
  std::uint64_t mTerm = 0;
};

struct statement_command
{
  // Empty for statements of the instance.
  std::string mRequestId;
  // The server refuses the statement unless its log has this position. For
  // reads and begins only.
  std::optional<log_position> mAfter;
  session_statement mStatement;
};

using server_command = std::variant<statement_command,
                                    reset_command,
                                    status_command,
                                    pause_command,
                                    resume_command,
                                    step_down_command>;

enum class server_role
{
  Primary,
  Replica
};

inline constexpr name_table<server_role, 2> kServerRoleNames{ {
  { server_role::Primary, "primary" },
  { server_role::Replica, "replica" },
} };

// What a backend server reports of itself.
struct server_status
{
  server_role mRole = server_role::Replica;
  std::uint64_t mTerm = 0;
  // Last entry that its log holds; reads may still see an earlier one.
  log_position mReceived;
  milliseconds mLag{ 0 };
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_MESSAGES_H_
