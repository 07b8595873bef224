// Implementation of the stand-in backend server's statements.
#include "standins/backend_transaction.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace snipewalk::standins {

namespace {

// Takes the text up to the next space off the front.
std::string_view
TakeWord(std::string_view& aText)
{
  const std::size_t space = aText.find(' ');
  const std::string_view word = aText.substr(0, space);
  aText.remove_prefix(space == std::string_view::npos ? aText.size()
                                                      : space + 1);
  return word;
}

std::string
ValueIn(const standin_log& aLog, const std::string& aKey)
{
  const stored_value* stored = aLog.Get(aKey);
  return stored == nullptr ? std::string() : stored->mValue;
}

} // namespace

std::optional<command>
ParseCommand(std::string_view aText)
{
  const auto verb = ValueOf(kCommandVerbNames, TakeWord(aText));
  const std::string_view key = TakeWord(aText);
  if (!verb || key.empty()) {
    return std::nullopt;
  }
  return command{ *verb, std::string(key), std::string(aText) };
}

std::optional<std::string>
NewValue(const command& aCommand, const std::string& aOldValue)
{
  switch (aCommand.mVerb) {
    case command_verb::Set:
      return aCommand.mArgument;
    case command_verb::Append:
      return aOldValue + aCommand.mArgument;
    case command_verb::Add: {
      std::int64_t old = 0;
      std::int64_t added = 0;
      if ((!aOldValue.empty() && !absl::SimpleAtoi(aOldValue, &old)) ||
          !absl::SimpleAtoi(aCommand.mArgument, &added)) {
        return std::nullopt;
      }
      // Wraps on overflow.
      return absl::StrCat(static_cast<std::int64_t>(
        static_cast<std::uint64_t>(old) + static_cast<std::uint64_t>(added)));
    }
    case command_verb::Get:
      break;
  }
  return std::nullopt;
}

std::string
transaction::Read(const standin_log& aLog, const std::string& aKey)
{
  mTouched.insert(aKey);
  const auto buffered = mBuffer.find(aKey);
  return buffered != mBuffer.end() ? buffered->second : ValueIn(aLog, aKey);
}

std::optional<std::string>
transaction::Write(const standin_log& aLog, const command& aCommand)
{
  auto value = NewValue(aCommand, Read(aLog, aCommand.mKey));
  if (value) {
    mBuffer[aCommand.mKey] = *value;
  }
  return value;
}

bool
transaction::HasConflict(const standin_log& aLog) const
{
  for (const std::string& key : mTouched) {
    const stored_value* stored = aLog.Get(key);
    if (stored != nullptr && stored->mIndex > mBeganAt) {
      return true;
    }
  }
  return false;
}

std::vector<std::pair<std::string, std::string>>
transaction::Effects() const
{
  return { mBuffer.begin(), mBuffer.end() };
}

} // namespace snipewalk::standins
