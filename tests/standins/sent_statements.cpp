// Implementation of the comparison of sent and executed statements.
#include "standins/sent_statements.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace snipewalk::standins {

namespace {

constexpr const char* kExecute = "EXECUTE ";

std::string
Quoted(const std::string& aText)
{
  return absl::StrCat("\"", absl::CHexEscape(aText), "\"");
}

// Text of an execution without the name, which an instance may replace.
std::string
WithoutName(const std::string& aText)
{
  const std::size_t name = std::string(kExecute).size();
  const std::size_t end = aText.find(' ', name);
  return end == std::string::npos ? std::string() : aText.substr(end);
}

std::string
NameIn(const std::string& aText)
{
  const std::size_t name = std::string(kExecute).size();
  return aText.substr(name, aText.find(' ', name) - name);
}

bool
IsSameText(const std::string& aSent, const std::string& aExecuted)
{
  if (!absl::StartsWith(aSent, kExecute)) {
    return aSent == aExecuted;
  }
  return absl::StartsWith(aExecuted, kExecute) &&
         WithoutName(aSent) == WithoutName(aExecuted);
}

} // namespace

void
sent_statements::Add(const std::string& aRequestId,
                     const std::string& aText,
                     const session_setup& aSetup)
{
  sent added{ aText, {}, aSetup.mValues };
  if (absl::StartsWith(aText, kExecute)) {
    const auto prepared = aSetup.mPrepared.find(NameIn(aText));
    if (prepared != aSetup.mPrepared.end()) {
      added.mShape = prepared->second;
    }
  }
  const std::lock_guard lock(mMutex);
  mSent[aRequestId] = std::move(added);
}

std::string
sent_statements::Compare(
  const line_server_group::executed_statement& aExecuted) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mSent.find(aExecuted.mRequestId);
  if (found == mSent.end()) {
    return absl::StrCat("ran ",
                        Quoted(aExecuted.mText),
                        " with an id that nobody sent: ",
                        Quoted(aExecuted.mRequestId));
  }
  const sent& expected = found->second;
  if (!IsSameText(expected.mText, aExecuted.mText)) {
    return absl::StrCat(
      "sent ", Quoted(expected.mText), ", ran ", Quoted(aExecuted.mText));
  }
  if (expected.mShape != aExecuted.mShape) {
    return absl::StrCat(
      "prepared ", Quoted(expected.mShape), ", ran ", Quoted(aExecuted.mShape));
  }
  if (expected.mValues != aExecuted.mValues) {
    return absl::StrCat("ran ", Quoted(aExecuted.mText), " with other values");
  }
  return {};
}

std::vector<std::string>
sent_statements::Compare(
  const std::vector<line_server_group::executed_statement>& aExecuted) const
{
  std::vector<std::string> faults;
  for (const auto& executed : aExecuted) {
    std::string fault = Compare(executed);
    if (!fault.empty()) {
      faults.push_back(std::move(fault));
    }
  }
  return faults;
}

} // namespace snipewalk::standins
