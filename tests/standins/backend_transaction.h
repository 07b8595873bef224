// Statement texts of the stand-in backend server and the transactions that
// buffer their effects until commit.
#ifndef SNIPEWALK_STANDINS_BACKEND_TRANSACTION_H_
#define SNIPEWALK_STANDINS_BACKEND_TRANSACTION_H_

#include "snipewalk/base/name_table.h"
#include "standins/backend_log.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipewalk::standins {

enum class command_verb
{
  Get,
  Set,
  Add,
  Append
};

inline constexpr name_table<command_verb, 4> kCommandVerbNames{ {
  { command_verb::Get, "get" },
  { command_verb::Set, "set" },
  { command_verb::Add, "add" },
  { command_verb::Append, "append" },
} };

struct command
{
  command_verb mVerb = command_verb::Get;
  std::string mKey;
  // Rest of the text after the key and one space; empty for `get`.
  std::string mArgument;
};

// Parses `get <key>`, `set <key> <value>`, `add <key> <number>` or
// `append <key> <text>`; nothing when the text is none of them.
std::optional<command>
ParseCommand(std::string_view aText);

// New value of a key, or nothing when a number was needed and missing.
std::optional<std::string>
NewValue(const command& aCommand, const std::string& aOldValue);

// Buffers writes of one connection. Reads see the buffer first, then the
// committed state.
class transaction
{
public:
  explicit transaction(std::uint64_t aBeganAt = 0)
    : mBeganAt(aBeganAt)
  {
  }

  std::string Read(const standin_log& aLog, const std::string& aKey);
  // Returns the result for the caller, or nothing when the command is not
  // valid for the old value.
  std::optional<std::string> Write(const standin_log& aLog,
                                   const command& aCommand);
  // Whether a key that was read or written changed since the begin.
  bool HasConflict(const standin_log& aLog) const;
  std::vector<std::pair<std::string, std::string>> Effects() const;

  // The term ended under the transaction: it can only be rolled back.
  void Abort() { mAborted = true; }
  bool IsAborted() const { return mAborted; }

private:
  // Index that was applied when the transaction began.
  std::uint64_t mBeganAt;
  std::map<std::string, std::string> mBuffer;
  std::set<std::string> mTouched;
  bool mAborted = false;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_BACKEND_TRANSACTION_H_
