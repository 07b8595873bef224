// Implementation of session contexts and connection contexts.
#include "snipewalk/session/connection_context.h"

#include <algorithm>

namespace snipewalk {

namespace {

// Maximum number of statements prepared on one connection. When it is reached,
// the connection is reset before the next statement outside a transaction.
constexpr std::size_t kMaxPreparedStatements = 256;

// Returns the prepared statement that `aStatement` executes, or null.
const prepare_statement*
FindPrepared(const session_context& aSession,
             const session_statement& aStatement)
{
  const auto* execute = std::get_if<execute_statement>(&aStatement);
  if (execute == nullptr) {
    return nullptr;
  }
  const auto found = aSession.mPrepared.find(execute->mName);
  return found == aSession.mPrepared.end() ? nullptr : &found->second;
}

bool
HasExtraValues(const session_context& aSession,
               const connection_context& aConnection)
{
  return std::any_of(aConnection.mValues.begin(),
                     aConnection.mValues.end(),
                     [&](const auto& aValue) {
                       return !aSession.mValues.contains(aValue.first);
                     });
}

} // namespace

std::string
SharedStatementName(const prepare_statement& aPrepare)
{
  return (aPrepare.mAccess == access_kind::Read ? "r_" : "w_") +
         aPrepare.mShape;
}

std::optional<session_statement>
TranslateStatement(const session_context& aSession,
                   const session_statement& aStatement)
{
  const auto* execute = std::get_if<execute_statement>(&aStatement);
  if (execute == nullptr) {
    return aStatement;
  }
  const prepare_statement* prepared = FindPrepared(aSession, aStatement);
  if (prepared == nullptr) {
    return std::nullopt;
  }
  return execute_statement{ SharedStatementName(*prepared),
                            execute->mArguments };
}

void
PlanSetup(const session_context& aSession,
          const session_statement& aStatement,
          bool aInTransaction,
          connection_context& aConnection,
          std::vector<server_command>& aCommands)
{
  const bool reset = HasExtraValues(aSession, aConnection) ||
                     aConnection.mPrepared.size() >= kMaxPreparedStatements;
  if (reset && !aInTransaction) {
    aCommands.emplace_back(reset_command{});
    aConnection = {};
  }
  for (const auto& [name, value] : aSession.mValues) {
    auto& current = aConnection.mValues[name];
    if (current != value) {
      current = value;
      aCommands.emplace_back(
        statement_command{ "", {}, set_statement{ name, value } });
    }
  }
  const prepare_statement* prepared = FindPrepared(aSession, aStatement);
  if (prepared != nullptr) {
    prepare_statement shared = *prepared;
    shared.mName = SharedStatementName(*prepared);
    if (aConnection.mPrepared.insert(shared.mName).second) {
      aCommands.emplace_back(statement_command{ "", {}, std::move(shared) });
    }
  }
}

bool
IsWrite(const session_context& aSession, const session_statement& aStatement)
{
  if (std::holds_alternative<write_statement>(aStatement)) {
    return true;
  }
  const prepare_statement* prepared = FindPrepared(aSession, aStatement);
  return prepared != nullptr && prepared->mAccess == access_kind::Write;
}

} // namespace snipewalk
