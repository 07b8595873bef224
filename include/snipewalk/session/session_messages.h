// Typed messages of the session front end: requests from callers, commands to
// backend servers, and the replies to both. A session_protocol translates them
// to and from bytes.
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

// Transaction state of a session.
enum class session_state
{
  Idle,
  InTransaction,
  // A statement of the transaction failed. Only statements that end the
  // transaction are accepted.
  Failed
};

// Protocol-independent result codes; the session_protocol maps them to and from
// the codes of its protocol.
enum class result_code
{
  // Codes of requests that had no lasting effect.
  Busy,
  Aborted,
  Behind,
  NotPrimary,
  WrongServer,
  TooManyConnections,
  UnknownStatement,
  // Codes of requests that were executed without success.
  Failed,
  TimedOut,
  // It is unknown whether the request took effect.
  InDoubt,
  // Codes of requests that were refused because of their content.
  Malformed,
  UnknownDatabase,
  // The caller's key identifies no client account.
  Unauthorized,
  // A code that this program does not know; it says nothing about the effect of
  // the request.
  Other
};

inline constexpr name_table<result_code, 14> kResultCodeNames{ {
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
  { result_code::Unauthorized, "unauthorized" },
  { result_code::Other, "other" },
} };

// Returns whether a backend server states with this code that it executed
// nothing.
constexpr bool
IsNotExecuted(result_code aCode)
{
  return aCode == result_code::Busy || aCode == result_code::Behind ||
         aCode == result_code::NotPrimary ||
         aCode == result_code::UnknownStatement ||
         aCode == result_code::WrongServer ||
         aCode == result_code::TooManyConnections;
}

// Statements of a session.

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
  // Unparsed arguments (item and data) as received.
  std::string mArguments;
};
struct deallocate_statement
{
  std::string mName;
};
// Statement text that matches no other statement type.
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
                                       deallocate_statement,
                                       unknown_statement>;

// Messages from a caller to an instance.

struct open_session
{
  std::string mDatabase;
  // Identifies the caller's client account; never logged or sent to a server.
  std::string mKey = {};
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

// Reply to a caller's message or to a command to a backend server.
struct statement_reply
{
  // Result code of a failed statement; std::nullopt on success.
  std::optional<result_code> mError;
  // Error code in the words of the protocol, as received from a backend server;
  // empty for local replies.
  std::string mErrorCode;
  std::string mErrorText;
  std::vector<std::string> mRows;
  // The backend server's proof that it executed the statement; empty for
  // replies that the instance creates itself.
  std::string mSignature;
  session_state mState = session_state::Idle;
  std::optional<log_position> mPosition;
};

// Commands from an instance to a backend server. Commands that the instance
// issues on its own behalf carry no request id.

struct reset_command
{};
struct status_command
{};
// Makes a replica stop receiving while its term is below `mTerm`.
struct pause_command
{
  std::uint64_t mTerm = 0;
};
struct resume_command
{};
// Demotes a primary whose term is lower than `mTerm` to a replica.
struct step_down_command
{
  std::uint64_t mTerm = 0;
};

struct statement_command
{
  // Id of the caller's request; empty for statements that the instance issues
  // on its own behalf.
  std::string mRequestId;
  // Log position that the server must have reached; otherwise it refuses the
  // statement. Used for reads and begins only.
  std::optional<log_position> mMinPosition;
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

// Status that a backend server reports about itself.
struct server_status
{
  server_role mRole = server_role::Replica;
  std::uint64_t mTerm = 0;
  // Position of the last entry in the server's log. Reads may still see an
  // earlier state because received entries are applied later.
  log_position mReceived;
  milliseconds mLag{ 0 };
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_MESSAGES_H_
