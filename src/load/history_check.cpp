// Checks the reads of a history against the fates of its writes.
#include "snipewalk/load/history_check.h"

#include "load/history_fates.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace snipewalk {

namespace {

constexpr std::int64_t kMicrosPerMilli = 1'000;

// A read and the tokens of its value.
struct seen_read
{
  const history_record* mRecord = nullptr;
  std::vector<std::string> mTokens;
  std::unordered_set<std::string> mSet;
};

class read_check
{
public:
  read_check(const service_fates& aFates,
             std::vector<history_finding>& aFindings)
    : mFates(aFates)
    , mFindings(aFindings)
  {
  }

  // Reads in the order of their start.
  void Add(const history_record& aRecord)
  {
    if (!IsValid(aRecord)) {
      return;
    }
    seen_read read{ &aRecord, SplitTokens(aRecord.mValue), {} };
    read.mSet.insert(read.mTokens.begin(), read.mTokens.end());
    CheckContent(read);
    if (aRecord.mKind != history_kind::Read) {
      return;
    }
    if (aRecord.mMaxAgeMs) {
      CheckAge(read);
    } else {
      CheckSession(read);
    }
    if (aRecord.mTransaction != 0) {
      mTransactionReads[{ aRecord.mSession, aRecord.mTransaction }].push_back(
        read);
    }
    mLastByKey[aRecord.mKey] = std::move(read);
  }

  void Finish()
  {
    for (const auto& [name, reads] : mTransactionReads) {
      CheckWhole(reads);
    }
    for (const auto& [key, read] : mLastByKey) {
      CheckLost(read);
    }
  }

private:
  // Reads in a transaction hold only if it was committed.
  bool IsValid(const history_record& aRecord) const
  {
    if (aRecord.mOutcome != statement_outcome::Done ||
        aRecord.mTransaction == 0) {
      return aRecord.mOutcome == statement_outcome::Done;
    }
    const auto owner =
      mFates.mTransactions.find({ aRecord.mSession, aRecord.mTransaction });
    return owner != mFates.mTransactions.end() &&
           owner->second.mFate == write_fate::Acknowledged;
  }

  void CheckContent(const seen_read& aRead)
  {
    const history_record& record = *aRead.mRecord;
    if (!record.mIdMatched) {
      Report(aRead, violation::CrossedAnswer, "answer has another request id");
    }
    if (aRead.mSet.size() < aRead.mTokens.size()) {
      Report(aRead, violation::DoubledWrite, "a write occurs twice in a value");
    }
    for (const std::string& token : aRead.mTokens) {
      const auto write = mFates.mWrites.find(token);
      if (KeyOfToken(token) != record.mKey || write == mFates.mWrites.end()) {
        Report(aRead,
               violation::CrossedAnswer,
               "value holds what was not written to its key: " + token);
        continue;
      }
      const traced_write& seen = write->second;
      if (seen.mFate == write_fate::NotRun) {
        Report(aRead,
               violation::UntrueNotRun,
               "value holds a write reported as not run: " + token);
      }
      const bool isOwn = seen.mTransaction == record.mTransaction &&
                         seen.mSession == record.mSession;
      if (seen.mFate == write_fate::RolledBack && !isOwn) {
        Report(aRead,
               violation::MixedTransaction,
               "value holds a write of an uncommitted transaction: " + token);
      }
    }
    // A write's answer must show the write itself.
    const bool isWrite = record.mKind == history_kind::Write;
    if (isWrite && aRead.mSet.count(record.mToken) == 0) {
      Report(aRead, violation::CrossedAnswer, "answer lacks its own write");
    }
  }

  // Reports acknowledged writes to the key that the read misses.
  template<typename Predicate>
  void CheckMissing(const seen_read& aRead,
                    violation aViolation,
                    const std::string& aText,
                    Predicate aMustBeSeen)
  {
    const auto tokens = mFates.mTokensByKey.find(aRead.mRecord->mKey);
    if (tokens == mFates.mTokensByKey.end()) {
      return;
    }
    for (const std::string& token : tokens->second) {
      const traced_write& write = mFates.mWrites.at(token);
      if (write.mFate == write_fate::Acknowledged && aMustBeSeen(write) &&
          aRead.mSet.count(token) == 0) {
        Report(aRead, aViolation, aText + token);
      }
    }
  }

  void CheckSession(const seen_read& aRead)
  {
    const history_record& record = *aRead.mRecord;
    CheckMissing(aRead,
                 violation::ReadYourWrites,
                 "read misses a write of its session: ",
                 [&](const traced_write& aWrite) {
                   return aWrite.mSession == record.mSession &&
                          aWrite.mAcknowledgedAt <= record.mStart;
                 });
    seen_read& last = mLastOfSession[{ record.mSession, record.mKey }];
    if (last.mRecord != nullptr && last.mRecord->mEnd <= record.mStart) {
      for (const std::string& token : last.mTokens) {
        if (aRead.mSet.count(token) == 0) {
          Report(aRead,
                 violation::MonotonicReads,
                 "read misses what an earlier read returned: " + token);
        }
      }
    }
    last = aRead;
  }

  void CheckAge(const seen_read& aRead)
  {
    const history_record& record = *aRead.mRecord;
    const std::int64_t stated = *record.mMaxAgeMs;
    const std::int64_t reported = record.mDataAgeMs.value_or(stated);
    if (reported > stated) {
      Report(aRead, violation::AgeExceeded, "reported age is above the stated");
    }
    // What was acknowledged before the oldest permitted time must be visible.
    const std::int64_t oldest =
      record.mStart - std::min(stated, reported) * kMicrosPerMilli;
    CheckMissing(aRead,
                 violation::AgeExceeded,
                 "read misses a write older than the permitted age: ",
                 [&](const traced_write& aWrite) {
                   return aWrite.mAcknowledgedAt < oldest;
                 });
  }

  // Two keys read in one transaction show the same transactions.
  void CheckWhole(const std::vector<seen_read>& aReads)
  {
    std::map<std::string, const seen_read*> byKey;
    for (const seen_read& read : aReads) {
      byKey.emplace(read.mRecord->mKey, &read);
    }
    for (const auto& [key, read] : byKey) {
      for (const std::string& token : read->mTokens) {
        const auto write = mFates.mWrites.find(token);
        if (write != mFates.mWrites.end() && write->second.mTransaction != 0) {
          CheckVisible(write->second, byKey);
        }
      }
    }
  }

  void CheckVisible(const traced_write& aWrite,
                    const std::map<std::string, const seen_read*>& aByKey)
  {
    const auto owner =
      mFates.mTransactions.find({ aWrite.mSession, aWrite.mTransaction });
    if (owner == mFates.mTransactions.end()) {
      return;
    }
    for (const auto& [key, tokens] : owner->second.mTokens) {
      const auto other = aByKey.find(key);
      if (other == aByKey.end()) {
        continue;
      }
      for (const std::string& token : tokens) {
        if (other->second->mSet.count(token) == 0) {
          Report(*other->second,
                 violation::MixedTransaction,
                 "transaction is visible in part, without " + token);
        }
      }
    }
  }

  // The last read of a key by anybody, if it had to see the write.
  void CheckLost(const seen_read& aRead)
  {
    CheckMissing(aRead,
                 violation::LostWrite,
                 "the last read of the key misses an acknowledged write: ",
                 [&](const traced_write& aWrite) {
                   const auto& record = *aRead.mRecord;
                   return !record.mMaxAgeMs &&
                          aWrite.mSession == record.mSession &&
                          aWrite.mAcknowledgedAt <= record.mStart;
                 });
  }

  void Report(const seen_read& aRead, violation aViolation, std::string aText)
  {
    const history_record& record = *aRead.mRecord;
    mFindings.push_back({ aViolation,
                          record.mService,
                          record.mKey,
                          record.mSession,
                          record.mStart,
                          std::move(aText) });
  }

  const service_fates& mFates;
  std::vector<history_finding>& mFindings;
  std::map<std::pair<std::string, std::string>, seen_read> mLastOfSession;
  std::map<std::string, seen_read> mLastByKey;
  std::map<transaction_name, std::vector<seen_read>> mTransactionReads;
};

void
CountWrites(const service_fates& aFates, history_report& aReport)
{
  aReport.mTransactions += aFates.mTransactions.size();
  for (const auto& [token, write] : aFates.mWrites) {
    aReport.mAcknowledgedWrites += write.mFate == write_fate::Acknowledged;
    aReport.mUnresolvedWrites += write.mFate == write_fate::Unknown;
  }
}

} // namespace

std::map<violation, std::size_t>
history_report::CountsByViolation() const
{
  std::map<violation, std::size_t> counts;
  for (const history_finding& finding : mFindings) {
    ++counts[finding.mViolation];
  }
  return counts;
}

history_report
CheckHistory(const std::vector<history_record>& aHistory,
             const final_logs& aLogs)
{
  history_report report;
  report.mRequests = aHistory.size();
  const auto fates = TraceWrites(aHistory, report.mFindings);
  std::map<std::string, std::vector<const history_record*>> byService;
  for (const history_record& record : aHistory) {
    report.mReads += record.mKind == history_kind::Read ? 1 : 0;
    if (record.mKind == history_kind::Read ||
        record.mKind == history_kind::Write) {
      byService[record.mService].push_back(&record);
    }
  }
  for (auto& [service, records] : byService) {
    std::stable_sort(records.begin(),
                     records.end(),
                     [](const auto* aLeft, const auto* aRight) {
                       return aLeft->mStart < aRight->mStart;
                     });
    read_check check(fates.at(service), report.mFindings);
    for (const history_record* record : records) {
      check.Add(*record);
    }
    check.Finish();
  }
  for (const auto& [service, traced] : fates) {
    CountWrites(traced, report);
    const auto log = aLogs.find(service);
    if (log != aLogs.end()) {
      report.mLogEntries += log->second.size();
      CheckFinalLog(service, traced, log->second, report.mFindings);
    }
  }
  return report;
}

} // namespace snipewalk
