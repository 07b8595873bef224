// Implementation of a load run's caller.
#include "snipewalk/load/load_session.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// A value grows by one token with each write of its key.
constexpr int kWritesOfOneKey = 8;
constexpr std::size_t kPoolKeys = 512;
constexpr std::size_t kRecentKeys = 16;
constexpr int kDrumsLookUps = 8;
constexpr int kBurstWrites = 5;
// Refused and unknown requests are not repeated faster than this.
constexpr milliseconds kRepeatPause{ 20 };
constexpr milliseconds kLongestPause{ 1'000 };
// An outcome that is not recorded by then stays unknown.
constexpr int kQueriesOfOneKey = 10;

} // namespace

void
load_key_pool::Add(std::string aKey)
{
  mKeys.push_back(std::move(aKey));
  if (mKeys.size() > kPoolKeys) {
    mKeys.pop_front();
  }
}

std::string
load_key_pool::Pick(std::mt19937_64& aRandom) const
{
  return mKeys.empty() ? std::string() : mKeys[aRandom() % mKeys.size()];
}

load_session::load_session(std::string aName,
                           const load_profile& aProfile,
                           load_key_pool& aPool,
                           std::uint64_t aSeed)
  : mName(std::move(aName))
  , mProfile(aProfile)
  , mPool(aPool)
  , mRandom(aSeed)
{
}

std::optional<load_request>
load_session::Next()
{
  if (mRepeat) {
    mRepeat = false;
    return mPending;
  }
  if (mSteps.empty()) {
    PlanRound();
  }
  if (mSteps.empty()) {
    return std::nullopt;
  }
  const step next = mSteps.front();
  mSteps.pop_front();
  if (next.mKind == history_kind::Outcome) {
    mPending = std::move(mUnresolved.back());
    mUnresolved.pop_back();
    mPending->mKind = history_kind::Outcome;
  } else {
    mPending = RequestOf(next);
  }
  return mPending;
}

load_request
load_session::RequestOf(const step& aStep)
{
  load_request request;
  request.mKind = aStep.mKind;
  request.mKey = aStep.mKey;
  request.mSessionToken = mSessionToken;
  if (aStep.mHasAge) {
    request.mMaxAge = mProfile.mMaxAge;
  }
  if (aStep.mInTransaction) {
    if (aStep.mKind == history_kind::Begin) {
      ++mTransactionNumber;
      mTransaction.clear();
    }
    request.mTransaction = mTransaction;
    request.mTransactionNumber = mTransactionNumber;
  }
  if (aStep.mKind == history_kind::Read) {
    request.mBody = absl::StrCat("get ", aStep.mKey);
  }
  if (aStep.mKind == history_kind::Write) {
    request.mToken = MakeToken(aStep.mKey, mName, mNextToken);
    request.mBody = absl::StrCat("append ", aStep.mKey, " ", request.mToken);
  }
  if (aStep.mKind == history_kind::Write ||
      aStep.mKind == history_kind::Commit) {
    request.mIdempotencyKey =
      absl::StrCat(mProfile.mRun, "-", mName, "-", mNextToken++);
  }
  return request;
}

void
load_session::Answered(const load_answer& aAnswer, time_point aNow)
{
  if (!aAnswer.mSessionToken.empty()) {
    mSessionToken = aAnswer.mSessionToken;
  }
  if (!mPending) {
    return;
  }
  if (aAnswer.mOutcome != statement_outcome::Done) {
    mNotBefore =
      aNow + std::clamp(aAnswer.mRetryAfter, kRepeatPause, kLongestPause);
  }
  if (mPending->mKind == history_kind::Outcome) {
    AnsweredQuery(aAnswer);
  } else if (mPending->mTransactionNumber != 0) {
    AnsweredInTransaction(aAnswer);
  } else if (mPending->mKind == history_kind::Write) {
    AnsweredWrite(aAnswer, aNow);
  }
  if (!mRepeat) {
    mPending.reset();
    mRepeatUntil = {};
  }
}

void
load_session::AnsweredWrite(const load_answer& aAnswer, time_point aNow)
{
  const bool wasUnknown = mRepeatUntil != time_point{};
  if (aAnswer.mOutcome == statement_outcome::Done ||
      (aAnswer.mOutcome == statement_outcome::NotRun && !wasUnknown)) {
    return;
  }
  if (!wasUnknown) {
    mRepeatUntil = aNow + mProfile.mRepeatFor;
  }
  // Once an attempt's outcome is unknown, "not run" speaks only about the last
  // attempt, so the same key is used until the outcome is known.
  if (aNow < mRepeatUntil) {
    mRepeat = true;
    mPending->mSessionToken = mSessionToken;
    return;
  }
  mUnresolved.push_back(*mPending);
  // A later write could overtake the unresolved one.
  mKey.clear();
}

void
load_session::AnsweredQuery(const load_answer& aAnswer)
{
  if (aAnswer.mOutcome != statement_outcome::Done &&
      ++mPending->mQueries < kQueriesOfOneKey) {
    mUnresolved.push_back(*mPending);
  }
}

void
load_session::AnsweredInTransaction(const load_answer& aAnswer)
{
  if (aAnswer.mOutcome == statement_outcome::Done) {
    if (!aAnswer.mTransaction.empty()) {
      mTransaction = aAnswer.mTransaction;
    }
    return;
  }
  switch (mPending->mKind) {
    case history_kind::Begin:
      AbandonTransaction(false);
      break;
    case history_kind::Commit:
      if (aAnswer.mOutcome == statement_outcome::Unknown) {
        mUnresolved.push_back(*mPending);
      }
      AbandonTransaction(false);
      break;
    case history_kind::Rollback:
      break;
    default:
      AbandonTransaction(aAnswer.mReason != "transaction_lost");
      break;
  }
}

void
load_session::AbandonTransaction(bool aRollBack)
{
  while (!mSteps.empty() && mSteps.front().mInTransaction) {
    mSteps.pop_front();
  }
  if (aRollBack) {
    mSteps.push_front({ history_kind::Rollback, "", false, true });
  }
}

void
load_session::Finish()
{
  mFinishing = true;
  // The round under way is cut short, except for an open transaction.
  while (!mSteps.empty() && !mSteps.back().mInTransaction) {
    mSteps.pop_back();
  }
}

void
load_session::PlanRound()
{
  if (mFinishing) {
    PlanEnd();
    return;
  }
  if (static_cast<int>(mRandom() % 100) < mProfile.mTransactionPercent) {
    PlanTransaction();
    return;
  }
  switch (mProfile.mPattern) {
    case load_pattern::Drums:
      PlanDrums();
      break;
    case load_pattern::MonthEnd:
      PlanMonthEnd();
      break;
    case load_pattern::Constant:
      PlanConstant();
      break;
  }
}

std::string
load_session::KeyToWrite()
{
  if (mKey.empty() || mWritesOfKey >= kWritesOfOneKey) {
    mKey = absl::StrCat(mProfile.mRun, "-", mName, "-", mNextKey++);
    mWritesOfKey = 0;
    mPool.Add(mKey);
    mRecentKeys.push_back(mKey);
    if (mRecentKeys.size() > kRecentKeys) {
      mRecentKeys.pop_front();
    }
  }
  ++mWritesOfKey;
  return mKey;
}

void
load_session::PlanDrums()
{
  const std::string key = KeyToWrite();
  mSteps.push_back({ history_kind::Write, key, false, false });
  mSteps.push_back({ history_kind::Read, key, false, false });
  for (int i = 0; i < kDrumsLookUps; ++i) {
    mSteps.push_back({ history_kind::Read, mPool.Pick(mRandom), true, false });
  }
}

void
load_session::PlanMonthEnd()
{
  for (int i = 0; i < kBurstWrites; ++i) {
    const std::string key = KeyToWrite();
    mSteps.push_back({ history_kind::Write, key, false, false });
    mSteps.push_back({ history_kind::Read, key, false, false });
  }
}

void
load_session::PlanConstant()
{
  const bool isWrite =
    mRecentKeys.empty() ||
    static_cast<int>(mRandom() % 100) < mProfile.mWritePercent;
  if (isWrite) {
    mSteps.push_back({ history_kind::Write, KeyToWrite(), false, false });
    return;
  }
  mSteps.push_back({ history_kind::Read,
                     mRecentKeys[mRandom() % mRecentKeys.size()],
                     false,
                     false });
}

// Writes two keys in one transaction, then reads both in another one.
void
load_session::PlanTransaction()
{
  const std::string base =
    absl::StrCat(mProfile.mRun, "-", mName, "-t", mNextKey++);
  for (const history_kind kind : { history_kind::Write, history_kind::Read }) {
    mSteps.push_back({ history_kind::Begin, "", false, true });
    for (const char* suffix : { "a", "b" }) {
      mSteps.push_back({ kind, base + suffix, false, true });
    }
    mSteps.push_back({ history_kind::Commit, "", false, true });
  }
}

void
load_session::PlanEnd()
{
  for (std::size_t i = 0; i < mUnresolved.size(); ++i) {
    mSteps.push_back({ history_kind::Outcome, "", false, false });
  }
  if (mPlannedEnd) {
    return;
  }
  mPlannedEnd = true;
  for (const std::string& key : mRecentKeys) {
    mSteps.push_back({ history_kind::Read, key, false, false });
  }
}

} // namespace snipewalk
