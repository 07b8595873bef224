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
drain::TimeToDeadline(time_point aNow, wall_time aWallNow) const
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
         kChangeTime;
}

void
drain::Advance(time_point aNow, wall_time aWallNow, milliseconds aDelay)
{
  if (!IsNeeded()) {
    mWait.reset();
    return;
  }
  if (!mWait) {
    if (aNow - mTermSince < kChangeGap + aDelay || !PossibleChange(aNow)) {
      return;
    }
    mWait = transaction_wait{ aNow, aNow };
  }
  mWait->mUntil = mWait->mSince + TransactionWaitLimit();
  if (const auto left = TimeToDeadline(aNow, aWallNow)) {
    mWait->mUntil = std::min(
      mWait->mUntil, aNow + std::chrono::duration_cast<duration>(*left));
  }
}

bool
drain::HoldsBegins(time_point aNow) const
{
  return !PrimaryStays() ||
         (aNow - mWait->mSince) % kVoterHoldInterval < kVoterHold;
}

std::optional<transactions_query>
drain::NextQuery(time_point aNow)
{
  std::erase_if(mQueries, [&](const auto& aQuery) {
    return aNow - aQuery.second > kTransactionsAge;
  });
  const bool asked = !mQueries.empty() &&
                     aNow - mQueries.rbegin()->second < kTransactionsInterval;
  if (asked || !mWait || aNow >= mWait->mUntil || !HoldsBegins(aNow) ||
      !PossibleChange(aNow)) {
    return std::nullopt;
  }
  mQueries.emplace(++mLastQuery, aNow);
  return transactions_query{
    mDocument.mService, mTerm->mPrimary, mTerm->mTerm, mLastQuery
  };
}

const drain::holder_count*
drain::CountOf(const std::string& aHolder, time_point aNow) const
{
  const auto found = mCounts.find(aHolder);
  const bool counts = found != mCounts.end() &&
                      aNow - found->second.mAskedAt <= kTransactionsAge &&
                      found->second.mDocumentVersion >= mDocumentVersion;
  return counts ? &found->second : nullptr;
}

bool
drain::HasNoTransactions(time_point aNow) const
{
  return std::all_of(
    mHolders.begin(), mHolders.end(), [&](const auto& aHolder) {
      const holder_count* count = CountOf(aHolder, aNow);
      return count != nullptr && count->mTransactions == 0;
    });
}

std::string
drain::WaitObstacle(time_point aNow) const
{
  std::vector<std::string> parts;
  for (const auto& holder : mHolders) {
    const holder_count* count = CountOf(holder, aNow);
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
