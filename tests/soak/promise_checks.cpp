// Implementation of the guarantee checks.
#include "soak/promise_checks.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <optional>

namespace snipewalk::soak {

namespace {

// Limit of stored violations; the first ones are the most useful for finding
// the cause.
constexpr std::size_t kMaxViolations = 20;
// Value that a server returns for an item that was never written.
constexpr const char* kAbsentValue = "none";

// Returns the number in a value of the key; zero for an absent item,
// std::nullopt for a value of another key.
std::optional<std::uint64_t>
NumberOf(const std::string& aKey, absl::string_view aValue)
{
  if (aValue == kAbsentValue || aValue.empty()) {
    return 0;
  }
  std::uint64_t number = 0;
  const bool matchesKey =
    absl::ConsumePrefix(&aValue, absl::StrCat(aKey, "=")) &&
    absl::SimpleAtoi(aValue, &number);
  return matchesKey ? std::optional(number) : std::nullopt;
}

} // namespace

std::string
ValueOf(const std::string& aKey, std::uint64_t aNumber)
{
  return absl::StrCat(aKey, "=", aNumber);
}

void
promise_checks::BeginWrite(const std::string& aKey, std::uint64_t aNumber)
{
  const std::lock_guard lock(mMutex);
  mKeys[aKey].mWrites[aNumber] = write_outcome::Unknown;
}

void
promise_checks::EndWrite(const std::string& aKey,
                         std::uint64_t aNumber,
                         write_outcome aOutcome,
                         time_point aNow)
{
  const std::lock_guard lock(mMutex);
  key_history& history = mKeys[aKey];
  history.mWrites[aNumber] = aOutcome;
  if (aOutcome == write_outcome::Acknowledged) {
    history.mAcknowledged.emplace_back(aNow, aNumber);
  }
}

std::uint64_t
promise_checks::Acknowledged(const std::string& aKey, time_point aBy) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mKeys.find(aKey);
  if (found == mKeys.end()) {
    return 0;
  }
  const auto& acknowledged = found->second.mAcknowledged;
  const auto after = std::partition_point(
    acknowledged.begin(), acknowledged.end(), [&](const auto& aEntry) {
      return aEntry.first <= aBy;
    });
  return after == acknowledged.begin() ? 0 : std::prev(after)->second;
}

void
promise_checks::CheckRead(const std::string& aKey,
                          std::uint64_t aFloor,
                          const std::string& aValue,
                          const std::string& aSource)
{
  const std::lock_guard lock(mMutex);
  ++mReads;
  const auto number = NumberOf(aKey, aValue);
  if (!number) {
    RecordViolation(absl::StrCat(aSource, ": ", aKey, " read as ", aValue));
  } else if (*number < aFloor) {
    RecordViolation(absl::StrCat(aSource,
                                 ": ",
                                 aKey,
                                 " stale, ",
                                 *number,
                                 " where ",
                                 aFloor,
                                 " or later was expected"));
  } else {
    CheckStoredValue(aKey, mKeys[aKey], aValue);
  }
}

void
promise_checks::CheckStoredValue(const std::string& aKey,
                                 const key_history& aHistory,
                                 const std::string& aValue)
{
  const std::uint64_t number = NumberOf(aKey, aValue).value_or(0);
  if (number == 0) {
    return;
  }
  const auto write = aHistory.mWrites.find(number);
  if (write == aHistory.mWrites.end()) {
    RecordViolation(absl::StrCat(aValue, " was never sent"));
  } else if (write->second == write_outcome::NotRun) {
    RecordViolation(
      absl::StrCat(aValue, " was kept although it was reported as not run"));
  }
}

void
promise_checks::CheckFinalState(
  const std::map<std::string, std::string>& aItems,
  const std::map<std::string, int>& aCommits)
{
  const std::lock_guard lock(mMutex);
  for (const auto& [key, history] : mKeys) {
    const auto item = aItems.find(key);
    const std::string value =
      item == aItems.end() ? kAbsentValue : item->second;
    const auto number = NumberOf(key, value);
    const std::uint64_t acknowledgedNumber =
      history.mAcknowledged.empty() ? 0 : history.mAcknowledged.back().second;
    if (!number || *number < acknowledgedNumber) {
      RecordViolation(absl::StrCat("lost: ",
                                   key,
                                   " holds ",
                                   value,
                                   " where ",
                                   acknowledgedNumber,
                                   " was acknowledged"));
    }
    for (const auto& [sent, outcome] : history.mWrites) {
      const auto commits = aCommits.find(ValueOf(key, sent));
      if (commits == aCommits.end()) {
        continue;
      }
      if (commits->second > 1) {
        RecordViolation(
          absl::StrCat(ValueOf(key, sent), " was committed twice"));
      }
      CheckStoredValue(key, history, ValueOf(key, sent));
    }
  }
}

void
promise_checks::CheckLog(const std::set<std::string>& aValues)
{
  const std::lock_guard lock(mMutex);
  for (const auto& [key, history] : mKeys) {
    for (const auto& [when, number] : history.mAcknowledged) {
      if (!aValues.contains(ValueOf(key, number))) {
        RecordViolation(absl::StrCat(
          "lost: ", ValueOf(key, number), " is not in the primary's log"));
      }
    }
  }
}

void
promise_checks::BeginStatement(const std::string& aRequestId,
                               const std::string& aText,
                               const standins::session_setup& aSetup)
{
  mSent.Add(aRequestId, aText, aSetup);
}

void
promise_checks::CheckExecuted(
  const std::vector<standins::line_server_group::executed_statement>& aExecuted)
{
  for (const auto& fault : mSent.Compare(aExecuted)) {
    AddViolation(fault);
  }
}

void
promise_checks::AddViolation(const std::string& aWhat)
{
  const std::lock_guard lock(mMutex);
  RecordViolation(aWhat);
}

void
promise_checks::RecordViolation(const std::string& aWhat)
{
  if (mViolations.size() < kMaxViolations) {
    mViolations.push_back(aWhat);
  }
}

std::vector<std::string>
promise_checks::Violations() const
{
  const std::lock_guard lock(mMutex);
  return mViolations;
}

std::size_t
promise_checks::Count(write_outcome aOutcome) const
{
  const std::lock_guard lock(mMutex);
  std::size_t count = 0;
  for (const auto& [key, history] : mKeys) {
    for (const auto& [number, outcome] : history.mWrites) {
      count += outcome == aOutcome ? 1 : 0;
    }
  }
  return count;
}

std::size_t
promise_checks::Reads() const
{
  const std::lock_guard lock(mMutex);
  return mReads;
}

} // namespace snipewalk::soak
