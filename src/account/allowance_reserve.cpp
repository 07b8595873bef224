// Implementation of the tokens that an instance holds.
#include "snipewalk/account/allowance_reserve.h"

#include <algorithm>
#include <cmath>

namespace snipewalk {

namespace {

// Demand that the reserve covers. Operations go on for about this long after
// the issuing instance was lost.
constexpr milliseconds kReserveTime{ 2'000 };
// One token is kept of an account that has been used in this time. Tokens that
// are given up lapse, which costs a small account much of its limit.
constexpr milliseconds kUnusedAfter{ 10'000 };
// Tokens are requested when fewer than this part of the reserve is left, or
// when they are about to expire.
constexpr double kLowPart = 0.8;
constexpr milliseconds kRenewalTime{ 1'500 };
// Minimum times between two requests, by what they are needed for. Tokens of an
// exhausted limit arrive at its rate, however often they are requested.
constexpr milliseconds kRefillInterval{ 400 };
constexpr milliseconds kSlowInterval{ 100 };
constexpr milliseconds kUrgentInterval{ 30 };
// How long an answer that could not satisfy the request says that the limit is
// exhausted.
constexpr milliseconds kLimitedTime{ 300 };

// Returns by how much a limit was lowered: 1 if it was not.
double
PartOf(const rate_limit& aNew, const rate_limit& aOld)
{
  const auto part = [](double aOne, double aOther) {
    return aOne < aOther ? aOne / aOther : 1.0;
  };
  return std::min(part(aNew.mPerSecond, aOld.mPerSecond),
                  part(aNew.mBurst, aOld.mBurst));
}

} // namespace

void
allowance_reserve::SetLimits(const account_directory& aAccounts)
{
  std::map<std::string, account_tokens> accounts;
  for (const auto& [name, account] : aAccounts.All()) {
    if (!account.mLimit) {
      continue;
    }
    account_tokens& tokens = accounts[name];
    if (const auto known = mAccounts.find(name); known != mAccounts.end()) {
      tokens = known->second;
      const double part = PartOf(*account.mLimit, tokens.mLimit);
      if (part < 1) {
        tokens.mTokens = static_cast<std::uint32_t>(tokens.mTokens * part);
        // An answer that was issued under the former limit would undo this.
        tokens.mUnanswered = false;
      }
    }
    tokens.mLimit = *account.mLimit;
  }
  mAccounts = std::move(accounts);
}

void
allowance_reserve::Decay(account_tokens& aTokens, time_point aNow)
{
  if (aTokens.mDecayedAt != time_point::min()) {
    const double elapsed =
      std::chrono::duration<double>(aNow - aTokens.mDecayedAt).count();
    aTokens.mRecentArrivals *=
      std::exp(-elapsed / std::chrono::duration<double>(kReserveTime).count());
  }
  aTokens.mDecayedAt = aNow;
}

void
allowance_reserve::DropExpired(account_tokens& aTokens, time_point aNow)
{
  if (aNow >= aTokens.mExpiresAt) {
    aTokens.mTokens = 0;
  }
}

std::uint32_t
allowance_reserve::WantedOf(const account_tokens& aTokens, time_point aNow)
{
  if (aTokens.mLastArrival == time_point::min() ||
      aNow >= aTokens.mLastArrival + kUnusedAfter) {
    return 0;
  }
  // The decayed number of arrivals is the usual number in kReserveTime.
  return static_cast<std::uint32_t>(
    std::max(1.0, std::round(aTokens.mRecentArrivals)));
}

void
allowance_reserve::OnArrival(const std::string& aAccount, time_point aNow)
{
  const auto found = mAccounts.find(aAccount);
  if (found != mAccounts.end()) {
    Decay(found->second, aNow);
    ++found->second.mRecentArrivals;
    found->second.mLastArrival = aNow;
  }
}

bool
allowance_reserve::HasToken(const std::string& aAccount, time_point aNow) const
{
  const auto found = mAccounts.find(aAccount);
  return found == mAccounts.end() ||
         (found->second.mTokens > 0 && aNow < found->second.mExpiresAt);
}

bool
allowance_reserve::Take(const std::string& aAccount, time_point aNow)
{
  const auto found = mAccounts.find(aAccount);
  if (found == mAccounts.end()) {
    return true;
  }
  account_tokens& tokens = found->second;
  DropExpired(tokens, aNow);
  if (tokens.mTokens == 0) {
    return false;
  }
  --tokens.mTokens;
  ++tokens.mTakenSinceRequest;
  return true;
}

bool
allowance_reserve::Await(const std::string& aAccount,
                         std::size_t aAhead,
                         time_point aNow)
{
  account_tokens& tokens = mAccounts.at(aAccount);
  // The next answer is expected to add as many tokens as the latest one.
  if (aNow < tokens.mLimitedUntil && aAhead >= tokens.mLastIssued) {
    return false;
  }
  tokens.mAwaited = true;
  mUrgent = mUrgent || !tokens.mUnanswered;
  return true;
}

allowance_reserve::need
allowance_reserve::NeedOf(const account_tokens& aTokens, time_point aNow)
{
  const std::uint32_t wanted = WantedOf(aTokens, aNow);
  if (wanted == 0) {
    return need::None;
  }
  if (aTokens.mAwaited) {
    return aNow < aTokens.mLimitedUntil || aTokens.mUnanswered ? need::Slow
                                                               : need::Urgent;
  }
  const bool low = aTokens.mTokens < kLowPart * wanted;
  const bool expiring = aNow + kRenewalTime >= aTokens.mExpiresAt;
  return low || expiring ? need::Refill : need::None;
}

std::optional<allowance_request>
allowance_reserve::RequestIfDue(time_point aNow)
{
  need most = need::None;
  for (auto& [name, tokens] : mAccounts) {
    Decay(tokens, aNow);
    DropExpired(tokens, aNow);
    most = std::max(most, NeedOf(tokens, aNow));
  }
  if (most == need::None) {
    return std::nullopt;
  }
  const milliseconds interval = most == need::Urgent ? kUrgentInterval
                                : most == need::Slow ? kSlowInterval
                                                     : kRefillInterval;
  if (mRequestedAt != time_point::min() && aNow < mRequestedAt + interval) {
    return std::nullopt;
  }
  return NewRequest(aNow);
}

allowance_request
allowance_reserve::NewRequest(time_point aNow)
{
  mRequestedAt = aNow;
  mUrgent = false;
  allowance_request request{ ++mSequenceNumber, {} };
  for (auto& [name, tokens] : mAccounts) {
    const std::uint32_t wanted = WantedOf(tokens, aNow);
    tokens.mTakenSinceRequest = 0;
    tokens.mUnanswered = wanted > 0;
    if (wanted > 0) {
      request.mWants.push_back({ name, tokens.mTokens, wanted });
    }
  }
  return request;
}

void
allowance_reserve::OnGrant(const allowance_grant& aGrant, time_point aNow)
{
  if (aGrant.mSequenceNumber != mSequenceNumber ||
      aNow >= mRequestedAt + kTokenLifetime) {
    return;
  }
  for (const auto& share : aGrant.mShares) {
    const auto found = mAccounts.find(share.mAccount);
    if (found == mAccounts.end() || !found->second.mUnanswered) {
      continue;
    }
    account_tokens& tokens = found->second;
    DropExpired(tokens, aNow);
    const std::uint32_t before = tokens.mTokens;
    const std::uint32_t taken = tokens.mTakenSinceRequest;
    tokens.mTokens = share.mTokens > taken ? share.mTokens - taken : 0;
    tokens.mLastIssued = tokens.mTokens > before ? tokens.mTokens - before : 0;
    tokens.mExpiresAt = mRequestedAt + kTokenLifetime;
    tokens.mLimitedUntil =
      share.mLimited ? aNow + kLimitedTime : time_point::min();
    tokens.mAwaited = false;
    tokens.mUnanswered = false;
  }
}

void
allowance_reserve::DropTokens()
{
  for (auto& [name, tokens] : mAccounts) {
    tokens.mTokens = 0;
    tokens.mExpiresAt = time_point::min();
    // An answer to a request from before the suspension may contain expired
    // tokens.
    tokens.mUnanswered = false;
  }
}

} // namespace snipewalk
