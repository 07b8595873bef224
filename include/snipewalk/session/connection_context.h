// Session values and prepared statements: what a session has set, what a
// connection to a backend server holds, and the commands that make the latter
// serve the former.
#ifndef SNIPEWALK_SESSION_CONNECTION_CONTEXT_H_
#define SNIPEWALK_SESSION_CONNECTION_CONTEXT_H_

#include "snipewalk/session/session_messages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipewalk {

// What a caller set up in its session.
struct session_context
{
  std::map<std::string, std::string> mValues;
  // By the caller's name of the statement.
  std::map<std::string, prepare_statement> mPrepared;
};

// What a connection holds after all commands sent on it.
struct connection_context
{
  std::map<std::string, std::string> mValues;
  // Names on the connection.
  std::set<std::string> mPrepared;
};

// Name of a prepared statement on connections. It depends on access and shape
// only, so that callers with the same statement share it and names of different
// callers never collide.
std::string
SharedStatementName(const prepare_statement& aPrepare);

// The statement with prepared names replaced by the shared ones; nothing when
// the session has no such name.
std::optional<session_statement>
TranslateStatement(const session_context& aSession,
                   const session_statement& aStatement);

// Appends the commands that bring the connection to the session's values and
// prepare the statement, and records them in `aConnection`. Outside a
// transaction a reset precedes them when the connection holds values that the
// session has not set.
void
PlanSetup(const session_context& aSession,
          const session_statement& aStatement,
          bool aInTransaction,
          connection_context& aConnection,
          std::vector<server_command>& aCommands);

// Whether the statement changes data. Prepared statements are looked up.
bool
IsWrite(const session_context& aSession, const session_statement& aStatement);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_CONNECTION_CONTEXT_H_
