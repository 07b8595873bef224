// Derives the fate of each write from all answers that concern it.
#include "load/history_fates.h"

#include <algorithm>

namespace snipewalk {

namespace {

// Answers to all requests with one idempotency key, or to one statement.
struct claims
{
  bool mDone = false;
  bool mAllNotRun = true;
  // The last answer came from a query of the outcome.
  bool mQueriedNotRun = false;
  std::int64_t mDoneAt = std::numeric_limits<std::int64_t>::max();

  void Add(const history_record& aRecord)
  {
    const bool isDone = aRecord.mOutcome == statement_outcome::Done;
    const bool isNotRun = aRecord.mOutcome == statement_outcome::NotRun;
    mDone |= isDone;
    mDoneAt = isDone ? std::min(mDoneAt, aRecord.mEnd) : mDoneAt;
    // A query that says "not run" settles earlier unknown answers.
    const bool isQuery = aRecord.mKind == history_kind::Outcome;
    mAllNotRun = (mAllNotRun || isQuery) && isNotRun;
    mQueriedNotRun = isQuery && isNotRun;
  }

  write_fate Fate() const
  {
    if (mDone) {
      return write_fate::Acknowledged;
    }
    return mAllNotRun ? write_fate::NotRun : write_fate::Unknown;
  }
};

using claim_key = std::pair<std::string, std::string>;

class tracer
{
public:
  explicit tracer(std::vector<history_finding>& aFindings)
    : mFindings(aFindings)
  {
  }

  void Add(const history_record& aRecord)
  {
    service_fates& fates = mFates[aRecord.mService];
    const transaction_name name{ aRecord.mSession, aRecord.mTransaction };
    if (aRecord.mTransaction != 0) {
      fates.mTransactions[name];
    }
    const bool endsTransaction =
      aRecord.mKind == history_kind::Commit ||
      (aRecord.mKind == history_kind::Outcome && aRecord.mTransaction != 0);
    if (endsTransaction) {
      AddClaim(mCommits[{ aRecord.mService, name }], aRecord);
      return;
    }
    if (aRecord.mToken.empty()) {
      return;
    }
    if (aRecord.mKind == history_kind::Write) {
      AddWrite(fates, aRecord, name);
    }
    if (aRecord.mTransaction == 0) {
      AddClaim(mClaims[{ aRecord.mService, aRecord.mToken }], aRecord);
    }
  }

  std::map<std::string, service_fates> Finish()
  {
    for (const auto& [key, claimed] : mCommits) {
      auto& traced = mFates[key.first].mTransactions[key.second];
      traced.mFate = claimed.Fate() == write_fate::NotRun
                       ? write_fate::RolledBack
                       : claimed.Fate();
      traced.mAcknowledgedAt = claimed.mDoneAt;
    }
    for (auto& [service, fates] : mFates) {
      for (auto& [token, write] : fates.mWrites) {
        if (write.mTransaction != 0) {
          const auto& owner =
            fates.mTransactions[{ write.mSession, write.mTransaction }];
          write.mFate = owner.mFate;
          write.mAcknowledgedAt = owner.mAcknowledgedAt;
        } else {
          const claims& claimed = mClaims[{ service, token }];
          write.mFate = claimed.Fate();
          write.mAcknowledgedAt = claimed.mDoneAt;
        }
      }
    }
    return std::move(mFates);
  }

private:
  void AddClaim(claims& aClaims, const history_record& aRecord)
  {
    const bool wasDone = aClaims.mDone;
    aClaims.Add(aRecord);
    // Only a query speaks about earlier requests with the key.
    if (wasDone && aClaims.mQueriedNotRun) {
      mFindings.push_back({ violation::UntrueNotRun,
                            aRecord.mService,
                            aRecord.mKey,
                            aRecord.mSession,
                            aRecord.mStart,
                            "the outcome of an acknowledged request is "
                            "reported as not run: " +
                              aRecord.mIdempotencyKey });
    }
  }

  static void AddWrite(service_fates& aFates,
                       const history_record& aRecord,
                       const transaction_name& aTransaction)
  {
    traced_write write;
    write.mKey = aRecord.mKey;
    write.mSession = aRecord.mSession;
    write.mTransaction = aRecord.mTransaction;
    if (aFates.mWrites.emplace(aRecord.mToken, write).second) {
      aFates.mTokensByKey[aRecord.mKey].push_back(aRecord.mToken);
    }
    const bool took = aRecord.mOutcome != statement_outcome::NotRun;
    if (aRecord.mTransaction != 0 && took) {
      aFates.mTransactions[aTransaction].mTokens[aRecord.mKey].insert(
        aRecord.mToken);
    }
  }

  std::vector<history_finding>& mFindings;
  std::map<std::string, service_fates> mFates;
  std::map<claim_key, claims> mClaims;
  std::map<std::pair<std::string, transaction_name>, claims> mCommits;
};

} // namespace

std::map<std::string, service_fates>
TraceWrites(const std::vector<history_record>& aHistory,
            std::vector<history_finding>& aFindings)
{
  std::vector<const history_record*> ordered;
  ordered.reserve(aHistory.size());
  for (const history_record& record : aHistory) {
    ordered.push_back(&record);
  }
  std::stable_sort(
    ordered.begin(), ordered.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->mStart < aRight->mStart;
    });
  tracer traced(aFindings);
  for (const history_record* record : ordered) {
    traced.Add(*record);
  }
  return traced.Finish();
}

} // namespace snipewalk
