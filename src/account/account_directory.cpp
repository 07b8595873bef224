// Implementation of the directory of client accounts.
#include "snipewalk/account/account_directory.h"

#include "snipewalk/base/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace snipewalk {

namespace {

struct entry_problem
{
  const char* mName;
  const char* mMessage;
};

void
Report(const std::string& aAccount,
       const entry_problem& aProblem,
       findings& aFindings)
{
  finding found;
  // Names that are not valid can exceed kMaxFieldBytes.
  found.mPath = absl::StrCat(
    "accounts[", aAccount.substr(0, account_directory::kMaxFieldBytes), "]");
  found.mName = aProblem.mName;
  found.mMessage = aProblem.mMessage;
  aFindings.Add(std::move(found));
}

bool
IsField(const std::string& aText)
{
  return IsName(aText, account_directory::kMaxFieldBytes) &&
         aText.find(' ') == std::string::npos;
}

bool
IsLimit(const rate_limit& aLimit)
{
  return std::isfinite(aLimit.mPerSecond) && std::isfinite(aLimit.mBurst) &&
         aLimit.mPerSecond >= 0 && aLimit.mBurst >= 0;
}

// Returns why an entry cannot be used; std::nullopt if it can.
std::optional<entry_problem>
FindProblem(const client_account& aAccount)
{
  if (!IsField(aAccount.mName)) {
    return entry_problem{ "bad_account_name", "not a name without blanks" };
  }
  if (aAccount.mKeys.empty()) {
    return entry_problem{ "account_without_key", "has no key" };
  }
  if (aAccount.mKeys.size() > account_directory::kMaxKeysPerAccount) {
    return entry_problem{ "too_many_keys", "has too many keys" };
  }
  if (!std::all_of(aAccount.mKeys.begin(), aAccount.mKeys.end(), IsField)) {
    return entry_problem{ "bad_key",
                          "has a key that is empty, too long or "
                          "contains a blank" };
  }
  if (aAccount.mPriority < 0 ||
      aAccount.mPriority > account_directory::kMaxPriority) {
    return entry_problem{ "unknown_priority", "has an unknown priority" };
  }
  if (aAccount.mLimit && !IsLimit(*aAccount.mLimit)) {
    return entry_problem{
      "bad_rate", "has a rate or burst that is negative or not finite"
    };
  }
  return std::nullopt;
}

} // namespace

account_directory
account_directory::Build(std::vector<client_account> aAccounts,
                         findings& aFindings)
{
  account_directory directory;
  for (auto& account : aAccounts) {
    directory.Add(std::move(account), aFindings);
  }
  directory.IndexKeys(aFindings);
  return directory;
}

void
account_directory::Add(client_account aAccount, findings& aFindings)
{
  if (const auto problem = FindProblem(aAccount)) {
    Report(aAccount.mName, *problem, aFindings);
    return;
  }
  if (mAccounts.contains(aAccount.mName)) {
    Report(
      aAccount.mName, { "duplicate_account", "is defined twice" }, aFindings);
    return;
  }
  if (mAccounts.size() >= kMaxAccounts) {
    Report(aAccount.mName,
           { "too_many_accounts", "exceeds the number of accounts" },
           aFindings);
    return;
  }
  mTotalRate += aAccount.mLimit ? aAccount.mLimit->mPerSecond : 0;
  const std::string name = aAccount.mName;
  mAccounts.emplace(name, std::move(aAccount));
}

void
account_directory::IndexKeys(findings& aFindings)
{
  std::set<std::string, std::less<>> shared;
  for (const auto& [name, account] : mAccounts) {
    for (const auto& key : account.mKeys) {
      const auto [entry, added] = mNamesByKey.emplace(key, name);
      if (!added && entry->second != name) {
        shared.insert(key);
        Report(name,
               { "shared_key",
                 "has a key of another account; it identifies "
                 "neither" },
               aFindings);
      }
    }
  }
  for (const auto& key : shared) {
    mNamesByKey.erase(key);
  }
}

const client_account*
account_directory::FindByKey(std::string_view aKey) const
{
  const auto name = mNamesByKey.find(aKey);
  return name == mNamesByKey.end() ? nullptr : Find(name->second);
}

const client_account*
account_directory::Find(std::string_view aName) const
{
  const auto found = mAccounts.find(aName);
  return found == mAccounts.end() ? nullptr : &found->second;
}

double
account_directory::RateShare(const client_account& aAccount) const
{
  return mTotalRate > 0 && aAccount.mLimit
           ? aAccount.mLimit->mPerSecond / mTotalRate
           : 0;
}

} // namespace snipewalk
