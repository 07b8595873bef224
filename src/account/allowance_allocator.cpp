// Implementation of the division of rate limits between instances.
#include "snipewalk/account/allowance_allocator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>

namespace snipewalk {

namespace {

// Part of the tolerance that counts as capacity.
constexpr double kToleranceInUse = 0.85;
// Part that a new owner may issue while instances may hold unreported tokens of
// a former owner. Three takeovers within kTokenLifetime fit into the rest of
// the tolerance.
constexpr double kToleranceAfterTakeover = 0.05;
// A requester whose last request is older does not take part in the division of
// scarce tokens.
constexpr milliseconds kRecentRequest{ 1'000 };
// Covers a process whose clock is slower than this one's.
constexpr milliseconds kExpiryMargin{ 100 };

double
Seconds(duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

allowance_allocator::allowance_allocator(const allowance_rules& aRules)
  : mRules(aRules)
{
}

void
allowance_allocator::Begin(const std::string& aAccount,
                           time_point aFrom,
                           bool aNoneHeld)
{
  const auto found = mBuckets.find(aAccount);
  if (found != mBuckets.end()) {
    found->second = NewBucket(found->second.mLimit, aFrom);
    if (aNoneHeld) {
      found->second.mOthersExpireAt = aFrom;
    }
  }
}

void
allowance_allocator::SetLimits(const account_directory& aAccounts,
                               time_point aNow)
{
  std::map<std::string, token_bucket> buckets;
  for (const auto& [name, account] : aAccounts.All()) {
    if (!account.mLimit) {
      continue;
    }
    const auto known = mBuckets.find(name);
    if (known == mBuckets.end()) {
      buckets[name] = NewBucket(*account.mLimit, aNow);
      continue;
    }
    Refill(known->second, aNow);
    known->second.mLimit = *account.mLimit;
    buckets[name] = std::move(known->second);
  }
  mBuckets = std::move(buckets);
}

allowance_allocator::token_bucket
allowance_allocator::NewBucket(const rate_limit& aLimit, time_point aNow)
{
  token_bucket fresh;
  fresh.mLimit = aLimit;
  fresh.mRefilledAt = aNow;
  fresh.mOthersExpireAt = aNow + kTokenLifetime + kExpiryMargin;
  return fresh;
}

double
allowance_allocator::ToleranceOf(const rate_limit& aLimit) const
{
  const double inWindow =
    aLimit.mPerSecond * Seconds(mRules.mWindow) + aLimit.mBurst;
  return mRules.mOverage * inWindow + mRules.mSlack;
}

double
allowance_allocator::CapacityOf(const token_bucket& aBucket,
                                time_point aNow) const
{
  const double tolerance = ToleranceOf(aBucket.mLimit);
  if (aNow < aBucket.mOthersExpireAt) {
    // Processes that have not reported yet may hold the rest of the capacity.
    return aBucket.mAdopted + kToleranceAfterTakeover * tolerance;
  }
  return aBucket.mLimit.mBurst + kToleranceInUse * tolerance;
}

double
allowance_allocator::InUseOf(const token_bucket& aBucket)
{
  double inUse = 0;
  for (const auto& [instance, held] : aBucket.mHoldings) {
    inUse += held.mTokens;
  }
  return inUse;
}

void
allowance_allocator::LimitTokens(token_bucket& aBucket, time_point aNow) const
{
  aBucket.mTokens =
    std::clamp(aBucket.mTokens,
               0.0,
               std::max(0.0, CapacityOf(aBucket, aNow) - InUseOf(aBucket)));
}

void
allowance_allocator::Accrue(token_bucket& aBucket, time_point aUntil) const
{
  if (aUntil <= aBucket.mRefilledAt) {
    return;
  }
  // Limited by what was in use in that time, as far as it is known. Tokens that
  // have been used or have expired since make room for later ones only.
  aBucket.mTokens +=
    aBucket.mLimit.mPerSecond * Seconds(aUntil - aBucket.mRefilledAt);
  LimitTokens(aBucket, aBucket.mRefilledAt);
  aBucket.mRefilledAt = aUntil;
}

void
allowance_allocator::Refill(token_bucket& aBucket, time_point aNow) const
{
  // The capacity grows at mOthersExpireAt.
  Accrue(aBucket, std::min(aBucket.mOthersExpireAt, aNow));
  Accrue(aBucket, aNow);
  std::erase_if(aBucket.mHoldings, [aNow](const auto& aEntry) {
    return aNow >= aEntry.second.mExpiresAt;
  });
}

std::uint32_t
allowance_allocator::ValidOf(token_bucket& aBucket,
                             const process& aProcess,
                             std::uint32_t aHeld,
                             time_point aNow) const
{
  const auto known = aBucket.mHoldings.find(aProcess.mInstance);
  if (known != aBucket.mHoldings.end()) {
    // The tokens of an earlier process of the instance are lost.
    return known->second.mStarted == aProcess.mStarted
             ? std::min(aHeld, known->second.mTokens)
             : 0;
  }
  if (aNow >= aBucket.mOthersExpireAt) {
    return 0;
  }
  // Tokens that another owner has issued.
  const double most = aBucket.mLimit.mBurst +
                      kToleranceInUse * ToleranceOf(aBucket.mLimit) -
                      aBucket.mAdopted;
  const auto adopted = static_cast<std::uint32_t>(
    std::clamp(most, 0.0, static_cast<double>(aHeld)));
  aBucket.mAdopted += adopted;
  return adopted;
}

std::uint32_t
allowance_allocator::PartOf(const token_bucket& aBucket,
                            std::uint32_t aMissing,
                            time_point aNow)
{
  double allMissing = 0;
  for (const auto& [instance, held] : aBucket.mHoldings) {
    if (aNow < held.mRequestedAt + kRecentRequest) {
      allMissing += held.mMissing;
    }
  }
  // At least one token: many processes that miss a few would otherwise get
  // none.
  const double part =
    std::max(1.0, std::floor(aBucket.mTokens * aMissing / allMissing));
  return static_cast<std::uint32_t>(std::min(
    { part, std::floor(aBucket.mTokens), static_cast<double>(aMissing) }));
}

allowance_share
allowance_allocator::Issue(token_bucket& aBucket,
                           const process& aProcess,
                           const allowance_want& aWant,
                           time_point aNow)
{
  Refill(aBucket, aNow);
  const std::uint32_t valid = ValidOf(aBucket, aProcess, aWant.mHeld, aNow);
  const std::uint32_t kept = std::min(valid, aWant.mWanted);
  const std::uint32_t missing = aWant.mWanted - kept;
  held_tokens& own = aBucket.mHoldings[aProcess.mInstance];
  own = { aProcess.mStarted,
          aProcess.mSequenceNumber,
          valid,
          missing,
          aNow,
          aNow + kTokenLifetime + kExpiryMargin };
  LimitTokens(aBucket, aNow);
  if (missing == 0) {
    return { aWant.mAccount, kept, false };
  }
  const std::uint32_t issued = PartOf(aBucket, missing, aNow);
  aBucket.mTokens -= issued;
  own.mMissing -= issued;
  // The process keeps all that it has if the answer is lost.
  own.mTokens = std::max(valid, kept + issued);
  return { aWant.mAccount, kept + issued, own.mMissing > 0 };
}

allowance_grant
allowance_allocator::OnRequest(const std::string& aInstance,
                               std::uint64_t aStarted,
                               const allowance_request& aRequest,
                               time_point aNow)
{
  allowance_grant grant{ aRequest.mSequenceNumber, {} };
  const process sender{ aInstance, aStarted, aRequest.mSequenceNumber };
  for (const auto& want : aRequest.mWants) {
    const auto found = mBuckets.find(want.mAccount);
    if (found != mBuckets.end() && !IsOutdated(found->second, sender)) {
      grant.mShares.push_back(Issue(found->second, sender, want, aNow));
    }
  }
  return grant;
}

bool
allowance_allocator::IsOutdated(const token_bucket& aBucket,
                                const process& aProcess)
{
  const auto known = aBucket.mHoldings.find(aProcess.mInstance);
  if (known == aBucket.mHoldings.end()) {
    return false;
  }
  const held_tokens& last = known->second;
  return std::tie(aProcess.mStarted, aProcess.mSequenceNumber) <=
         std::tie(last.mStarted, last.mSequenceNumber);
}

} // namespace snipewalk
