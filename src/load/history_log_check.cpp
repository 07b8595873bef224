// Checks the log that a service ends with against the fates of its writes.
#include "load/history_fates.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace snipewalk {

namespace {

class log_check
{
public:
  log_check(const std::string& aService,
            const service_fates& aFates,
            std::vector<history_finding>& aFindings)
    : mService(aService)
    , mFates(aFates)
    , mFindings(aFindings)
  {
  }

  void Add(const final_log_entry& aEntry)
  {
    if (!aEntry.mIdempotencyKey.empty() &&
        !mKeys.insert(aEntry.mIdempotencyKey).second) {
      Report(violation::DoubledWrite,
             {},
             "idempotency key occurs twice in the log: " +
               aEntry.mIdempotencyKey);
    }
    // Tokens that the entry adds.
    std::set<std::string> added;
    for (const auto& [key, value] : aEntry.mEffects) {
      AddEffect(key, value, added);
    }
    CheckAdded(added);
  }

  // Call after all entries.
  void Finish()
  {
    for (const auto& [token, write] : mFates.mWrites) {
      const bool isPresent = mPresent.count(token) > 0;
      if (write.mFate == write_fate::Acknowledged && !isPresent) {
        Report(violation::LostWrite,
               write.mKey,
               "acknowledged write is not in the log: " + token);
      }
      if (write.mFate == write_fate::NotRun && isPresent) {
        Report(violation::UntrueNotRun,
               write.mKey,
               "write reported as not run is in the log: " + token);
      }
      if (write.mFate == write_fate::RolledBack && isPresent) {
        Report(violation::MixedTransaction,
               write.mKey,
               "write of an uncommitted transaction is in the log: " + token);
      }
    }
  }

private:
  void AddEffect(const std::string& aKey,
                 const std::string& aValue,
                 std::set<std::string>& aAdded)
  {
    std::string& last = mValues[aKey];
    if (aValue.compare(0, last.size(), last) != 0) {
      if (mFates.mTokensByKey.count(aKey) > 0) {
        Report(violation::LostWrite, aKey, "a value lost earlier writes");
      }
      last.clear();
    }
    for (const std::string& token : SplitTokens(aValue.substr(last.size()))) {
      if (!mPresent.insert(token).second && IsOfRun(aKey, token)) {
        Report(violation::DoubledWrite,
               aKey,
               "write occurs twice in the log: " + token);
      }
      if (KeyOfToken(token) != aKey && IsOfRun(aKey, token)) {
        Report(violation::CrossedAnswer,
               aKey,
               "value holds a write to another key: " + token);
      }
      aAdded.insert(token);
    }
    last = aValue;
  }

  // The log also holds what others wrote before the run.
  bool IsOfRun(const std::string& aKey, const std::string& aToken) const
  {
    return mFates.mTokensByKey.count(aKey) > 0 ||
           mFates.mWrites.count(aToken) > 0;
  }

  // One entry holds one write or all writes of one transaction.
  void CheckAdded(const std::set<std::string>& aAdded)
  {
    std::set<transaction_name> owners;
    bool hasSingle = false;
    for (const std::string& token : aAdded) {
      const auto write = mFates.mWrites.find(token);
      if (write == mFates.mWrites.end()) {
        continue;
      }
      if (write->second.mTransaction == 0) {
        hasSingle = true;
      } else {
        owners.emplace(write->second.mSession, write->second.mTransaction);
      }
    }
    const bool isMixed = owners.size() + (hasSingle ? 1 : 0) > 1;
    if (isMixed || (hasSingle && aAdded.size() > 1)) {
      Report(violation::MixedTransaction,
             {},
             "one log entry holds several requests: " + *aAdded.begin());
    }
    for (const transaction_name& owner : owners) {
      CheckWhole(owner, aAdded);
    }
  }

  void CheckWhole(const transaction_name& aOwner,
                  const std::set<std::string>& aAdded)
  {
    const auto owner = mFates.mTransactions.find(aOwner);
    if (owner == mFates.mTransactions.end()) {
      return;
    }
    for (const auto& [key, tokens] : owner->second.mTokens) {
      for (const std::string& token : tokens) {
        if (aAdded.count(token) == 0) {
          Report(violation::MixedTransaction,
                 key,
                 "log entry lacks a write of its transaction: " + token);
        }
      }
    }
  }

  void Report(violation aViolation, const std::string& aKey, std::string aText)
  {
    mFindings.push_back(
      { aViolation, mService, aKey, {}, 0, std::move(aText) });
  }

  const std::string& mService;
  const service_fates& mFates;
  std::vector<history_finding>& mFindings;
  std::set<std::string> mKeys;
  std::set<std::string> mPresent;
  std::map<std::string, std::string> mValues;
};

} // namespace

void
CheckFinalLog(const std::string& aService,
              const service_fates& aFates,
              const std::vector<final_log_entry>& aLog,
              std::vector<history_finding>& aFindings)
{
  log_check check(aService, aFates, aFindings);
  for (const final_log_entry& entry : aLog) {
    check.Add(entry);
  }
  check.Finish();
}

} // namespace snipewalk
