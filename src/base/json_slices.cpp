// A scanner that only distinguishes strings, brackets and separators. It uses a
// counter instead of recursion, so that nesting costs no stack.
#include "snipewalk/base/json_slices.h"

#include <absl/strings/ascii.h>

#include <cstddef>

namespace snipewalk {

namespace {

class slice_scanner
{
public:
  explicit slice_scanner(std::string_view aText)
    : mText(aText)
  {
  }

  // Consumes `aChar` after white space; returns false if something else
  // follows.
  bool Take(char aChar)
  {
    SkipSpace();
    if (mAt == mText.size() || mText[mAt] != aChar) {
      return false;
    }
    ++mAt;
    return true;
  }

  // Consumes a string and returns what is between its quotes.
  absl::StatusOr<std::string_view> TakeString()
  {
    SkipSpace();
    const std::size_t start = mAt;
    if (!SkipString()) {
      return Malformed();
    }
    return mText.substr(start + 1, mAt - start - 2);
  }

  // Consumes everything up to the separator or bracket that ends the value.
  absl::StatusOr<std::string_view> TakeValue()
  {
    SkipSpace();
    const std::size_t start = mAt;
    std::size_t depth = 0;
    while (mAt < mText.size()) {
      const char next = mText[mAt];
      if (next == '"') {
        if (!SkipString()) {
          return Malformed();
        }
        continue;
      }
      const bool closes = next == ']' || next == '}';
      if (depth == 0 && (closes || next == ',')) {
        break;
      }
      depth += next == '[' || next == '{' ? 1 : 0;
      depth -= closes ? 1 : 0;
      ++mAt;
    }
    std::size_t end = mAt;
    while (end > start && absl::ascii_isspace(mText[end - 1])) {
      --end;
    }
    if (end == start || mAt == mText.size()) {
      return Malformed();
    }
    return mText.substr(start, end - start);
  }

  bool IsAtEnd()
  {
    SkipSpace();
    return mAt == mText.size();
  }

  absl::Status Malformed() const
  {
    return absl::InvalidArgumentError("unexpected structure of a JSON text");
  }

private:
  void SkipSpace()
  {
    while (mAt < mText.size() && absl::ascii_isspace(mText[mAt])) {
      ++mAt;
    }
  }

  bool SkipString()
  {
    if (mAt == mText.size() || mText[mAt] != '"') {
      return false;
    }
    ++mAt;
    while (mAt < mText.size() && mText[mAt] != '"') {
      mAt += mText[mAt] == '\\' ? 2 : 1;
    }
    if (mAt >= mText.size()) {
      mAt = mText.size();
      return false;
    }
    ++mAt;
    return true;
  }

  std::string_view mText;
  std::size_t mAt = 0;
};

// Splits a text between two brackets. `aTakeMember` consumes one member.
template<typename TakeMember>
absl::Status
Split(slice_scanner& aScanner, char aOpen, char aClose, TakeMember aTakeMember)
{
  if (!aScanner.Take(aOpen)) {
    return aScanner.Malformed();
  }
  bool more = !aScanner.Take(aClose);
  while (more) {
    if (absl::Status taken = aTakeMember(); !taken.ok()) {
      return taken;
    }
    more = aScanner.Take(',');
    if (!more && !aScanner.Take(aClose)) {
      return aScanner.Malformed();
    }
  }
  return aScanner.IsAtEnd() ? absl::OkStatus() : aScanner.Malformed();
}

} // namespace

absl::StatusOr<json_member_slices>
SplitJsonObject(std::string_view aText)
{
  slice_scanner scanner(aText);
  json_member_slices members;
  absl::Status split = Split(scanner, '{', '}', [&]() -> absl::Status {
    const auto name = scanner.TakeString();
    if (!name.ok() || !scanner.Take(':')) {
      return scanner.Malformed();
    }
    const auto value = scanner.TakeValue();
    if (!value.ok()) {
      return value.status();
    }
    members[*name] = *value;
    return absl::OkStatus();
  });
  if (!split.ok()) {
    return split;
  }
  return members;
}

absl::StatusOr<std::vector<std::string_view>>
SplitJsonArray(std::string_view aText)
{
  slice_scanner scanner(aText);
  std::vector<std::string_view> values;
  absl::Status split = Split(scanner, '[', ']', [&]() -> absl::Status {
    const auto value = scanner.TakeValue();
    if (!value.ok()) {
      return value.status();
    }
    values.push_back(*value);
    return absl::OkStatus();
  });
  if (!split.ok()) {
    return split;
  }
  return values;
}

} // namespace snipewalk
