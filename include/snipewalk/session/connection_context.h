// Session values and prepared statements: the values and statements that a
// session has set up, those present on a connection to a backend server, and
// the commands that prepare the connection for a statement of the session.
#ifndef SNIPEWALK_SESSION_CONNECTION_CONTEXT_H_
#define SNIPEWALK_SESSION_CONNECTION_CONTEXT_H_

#include "snipewalk/session/session_messages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipewalk {

// Session values and prepared statements that a caller has set up.
struct session_context
{
  std::map<std::string, std::string> mValues;
  // Prepared statements by the name that the caller gave them.
  std::map<std::string, prepare_statement> mPrepared;
};

// Session values and prepared statements present on a connection once all
// commands sent on it have succeeded.
struct connection_context
{
  std::map<std::string, std::string> mValues;
  // Shared names, see SharedStatementName().
  std::set<std::string> mPrepared;
};

// Returns the name of a prepared statement on server connections. It depends on
// access kind and shape only, so that callers with the same statement share it
// and names chosen by different callers never collide.
std::string
SharedStatementName(const prepare_statement& aPrepare);

// Returns the statement with the caller's prepared name replaced by the shared
// one, or std::nullopt if the session has not prepared that name.
std::optional<session_statement>
TranslateStatement(const session_context& aSession,
                   const session_statement& aStatement);

// Appends the commands that apply the session's values to the connection and
// prepare the statement there, and records them in `aConnection`. Outside a
// transaction a reset precedes them if the connection holds values that the
// session has not set or too many prepared statements.
void
PlanSetup(const session_context& aSession,
          const session_statement& aStatement,
          bool aInTransaction,
          connection_context& aConnection,
          std::vector<server_command>& aCommands);

// Returns whether the statement writes data. For executions the access kind of
// the prepared statement decides.
bool
IsWrite(const session_context& aSession, const session_statement& aStatement);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_CONNECTION_CONTEXT_H_
