// Implementation of session contexts and connection contexts.
#include "snipewalk/session/connection_context.h"

#include <absl/strings/str_cat.h>

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

prepared_shape
ShapeOf(const prepare_statement& aPrepare)
{
  return { aPrepare.mAccess, aPrepare.mShape };
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

bool
ExecutesUnknownName(const session_context& aSession,
                    const session_statement& aStatement)
{
  return std::holds_alternative<execute_statement>(aStatement) &&
         FindPrepared(aSession, aStatement) == nullptr;
}

session_statement
TranslateStatement(const session_context& aSession,
                   const connection_context& aConnection,
                   const session_statement& aStatement)
{
  const prepare_statement* prepared = FindPrepared(aSession, aStatement);
  if (prepared == nullptr) {
    return aStatement;
  }
  return execute_statement{
    aConnection.mPrepared.at(ShapeOf(*prepared)),
    std::get<execute_statement>(aStatement).mArguments
  };
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
    aConnection.mValues.clear();
    aConnection.mPrepared.clear();
  }
  for (const auto& [name, value] : aSession.mValues) {
    const auto current = aConnection.mValues.find(name);
    if (current == aConnection.mValues.end() || current->second != value) {
      aConnection.mValues[name] = value;
      aCommands.emplace_back(
        statement_command{ "", {}, set_statement{ name, value } });
    }
  }
  const prepare_statement* prepared = FindPrepared(aSession, aStatement);
  if (prepared == nullptr) {
    return;
  }
  const auto [entry, added] =
    aConnection.mPrepared.try_emplace(ShapeOf(*prepared));
  if (added) {
    entry->second = absl::StrCat("s", ++aConnection.mNamesGiven);
    aCommands.emplace_back(statement_command{
      "",
      {},
      prepare_statement{
        entry->second, prepared->mAccess, prepared->mShape } });
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
