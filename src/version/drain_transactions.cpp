// The wait of a planned change for open transactions. The planning of changes
// is in drain.cpp.
#include "snipewalk/version/drain.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace snipewalk {

void
drain::OnHolders(std::vector<std::string> aHolders)
{
  mHolders = std::move(aHolders);
}

void
drain::OnTransactions(const std::string& aHolder,
                      const transactions_report& aReport)
{
  const auto query = mQueries.find(aReport.mQuery);
  if (query == mQueries.end() || !mTerm || aReport.mTerm != mTerm->mTerm ||
      aReport.mServer != mTerm->mPrimary) {
    return;
  }
  holder_count& known = mCounts[aHolder];
  if (query->second >= known.mAskedAt) {
    known = { query->second, aReport.mDocumentVersion, aReport.mTransactions };
  }
}

bool
drain::PrimaryStays() const
{
  return Contains(StayingServers(mDocument), mTerm->mPrimary);
}

milliseconds
drain::TransactionWaitLimit() const
{
  return mDocument.mTransactionIdleLimit + kTransactionWaitMargin;
}

std::optional<duration>
drain::TimeToLatestStart(time_point aNow, wall_time aWallNow) const
{
  std::optional<wall_time> first;
  for (const auto& server : mDocument.mServers) {
    const bool needed =
      server.mName == mTerm->mPrimary || Contains(mTerm->mVoters, server.mName);
    if (server.mLeaveBy && needed && (!first || *server.mLeaveBy < *first)) {
      first = server.mLeaveBy;
    }
  }
  if (!first) {
    return std::nullopt;
  }
  return *first - aWallNow - Remaining(aNow).value_or(milliseconds(0)) -
         kEstimatedChangeTime;
}

void
drain::Advance(time_point aNow, wall_time aWallNow, milliseconds aDelay)
{
  if (!IsNeeded()) {
    mTransactionWait.reset();
    return;
  }
  if (!mTransactionWait) {
    if (aNow - mTermSince < kMinChangeInterval + aDelay ||
        !PossibleChange(aNow)) {
      return;
    }
    mTransactionWait = transaction_wait{ aNow, aNow };
  }
  mTransactionWait->mUntil = mTransactionWait->mSince + TransactionWaitLimit();
  if (const auto left = TimeToLatestStart(aNow, aWallNow)) {
    mTransactionWait->mUntil =
      std::min(mTransactionWait->mUntil,
               aNow + std::chrono::duration_cast<duration>(*left));
  }
}

bool
drain::HoldsNewTransactions(time_point aNow) const
{
  return !PrimaryStays() ||
         (aNow - mTransactionWait->mSince) % kVoterChangeHoldInterval <
           kVoterChangeHoldTime;
}

std::optional<transactions_query>
drain::NextQuery(time_point aNow)
{
  std::erase_if(mQueries, [&](const auto& aQuery) {
    return aNow - aQuery.second > kMaxTransactionCountAge;
  });
  const bool asked = !mQueries.empty() && aNow - mQueries.rbegin()->second <
                                            kTransactionQueryInterval;
  if (asked || !mTransactionWait || aNow >= mTransactionWait->mUntil ||
      !HoldsNewTransactions(aNow) || !PossibleChange(aNow)) {
    return std::nullopt;
  }
  mQueries.emplace(++mLastQuery, aNow);
  return transactions_query{
    mDocument.mService, mTerm->mPrimary, mTerm->mTerm, mLastQuery
  };
}

const drain::holder_count*
drain::RecentCountOf(const std::string& aHolder, time_point aNow) const
{
  const auto found = mCounts.find(aHolder);
  const bool counts =
    found != mCounts.end() &&
    aNow - found->second.mAskedAt <= kMaxTransactionCountAge &&
    found->second.mDocumentVersion >= mDocumentVersion;
  return counts ? &found->second : nullptr;
}

bool
drain::HasNoTransactions(time_point aNow) const
{
  return std::all_of(
    mHolders.begin(), mHolders.end(), [&](const auto& aHolder) {
      const holder_count* count = RecentCountOf(aHolder, aNow);
      return count != nullptr && count->mTransactions == 0;
    });
}

std::string
drain::TransactionWaitObstacle(time_point aNow) const
{
  std::vector<std::string> parts;
  for (const auto& holder : mHolders) {
    const holder_count* count = RecentCountOf(holder, aNow);
    if (count == nullptr) {
      parts.push_back(absl::StrCat(holder, " does not report"));
    } else if (count->mTransactions > 0) {
      parts.push_back(absl::StrCat(holder, " has ", count->mTransactions));
    }
  }
  return absl::StrCat("waits at most ",
                      TransactionWaitLimit().count(),
                      " ms for open transactions on ",
                      mTerm->mPrimary,
                      ": ",
                      absl::StrJoin(parts, ", "));
}

} // namespace snipewalk
