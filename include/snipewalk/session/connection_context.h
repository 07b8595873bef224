// Session values and prepared statements: the values and statements that a
// session has set up, those present on a connection to a backend server, and
// the commands that prepare the connection for a statement of the session.
#ifndef SNIPEWALK_SESSION_CONNECTION_CONTEXT_H_
#define SNIPEWALK_SESSION_CONNECTION_CONTEXT_H_

#include "snipewalk/session/session_messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace snipewalk {

// Session values and prepared statements that a caller has set up.
struct session_context
{
  std::map<std::string, std::string> mValues;
  // Prepared statements by the name that the caller gave them.
  std::map<std::string, prepare_statement> mPrepared;
};

// What a prepared statement executes.
struct prepared_shape
{
  access_kind mAccess = access_kind::Read;
  std::string mShape;

  bool operator<(const prepared_shape& aOther) const
  {
    return std::tie(mAccess, mShape) < std::tie(aOther.mAccess, aOther.mShape);
  }
};

// Session values and prepared statements present on a connection once all
// commands sent on it have succeeded.
struct connection_context
{
  std::map<std::string, std::string> mValues;
  // Names of the prepared statements on the connection. Callers that prepare
  // the same statement share it. A name contains no text of a caller, which
  // could contain blanks and so end the name early.
  std::map<prepared_shape, std::string> mPrepared;
  // Number of names given on the connection. A name is never given twice: the
  // server may still have a statement that is no longer in mPrepared.
  std::uint64_t mNamesGiven = 0;
};

// Returns whether the statement executes a name that the session has not
// prepared.
bool
ExecutesUnknownName(const session_context& aSession,
                    const session_statement& aStatement);

// Returns the statement as it is sent on a connection that PlanSetup() has set
// up for it: with the connection's name of a prepared statement.
session_statement
TranslateStatement(const session_context& aSession,
                   const connection_context& aConnection,
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
