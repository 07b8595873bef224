// Implementation of the schedule of store calls.
#include "snipewalk/store/store_schedule.h"

#include <algorithm>

namespace snipewalk {

namespace {

struct class_rule
{
  // Factor of the rate at a refusal.
  double mDecrease;
  // Regained each second, as a part of the limit.
  double mIncrease;
  // A refused class pauses for a random time below this one.
  milliseconds mPause;
  // Below the call timeout of 2 s less the second that kMinRate may take.
  milliseconds mOverdueAfter;
};

// By store_priority. A watch is long and the store counts it once, so slowing
// it down would only delay the news of changes.
constexpr std::array<class_rule, kStorePriorityNames.size()> kRules{ {
  { 1.0, 1.0, milliseconds(0), milliseconds(0) },
  { 0.8, 0.2, milliseconds(50), milliseconds(200) },
  { 0.65, 0.15, milliseconds(150), milliseconds(300) },
  { 0.5, 0.1, milliseconds(400), milliseconds(500) },
  { 0.4, 0.08, milliseconds(600), milliseconds(700) },
  { 0.3, 0.05, milliseconds(800), milliseconds(900) },
} };

constexpr std::size_t kWatch = static_cast<std::size_t>(store_priority::Watch);

// A tenth of a second of calls may come at once, at least one.
double
Burst(double aRate)
{
  return std::max(1.0, aRate / 10);
}

} // namespace

store_schedule::store_schedule(int aCallsPerSecond,
                               std::uint64_t aSeed,
                               time_point aNow)
  : mLimit(aCallsPerSecond)
  , mRandom(static_cast<std::minstd_rand::result_type>(aSeed))
  , mTokens(Burst(mLimit))
  , mRefilledAt(aNow)
{
  for (auto& entry : mClasses) {
    entry.mRate = mLimit;
    entry.mTokens = Burst(mLimit);
  }
}

void
store_schedule::Add(call_id aCall,
                    store_priority aPriority,
                    bool aFirst,
                    time_point aSendBy,
                    time_point aNow)
{
  auto& calls = mClasses[static_cast<std::size_t>(aPriority)].mCalls;
  calls.insert(aFirst ? calls.begin() : calls.end(),
               waiting_call{ aCall, aNow, aSendBy });
  ++mSize;
}

void
store_schedule::Remove(call_id aCall)
{
  for (auto& entry : mClasses) {
    mSize -= std::erase_if(entry.mCalls, [aCall](const waiting_call& aWaiting) {
      return aWaiting.mCall == aCall;
    });
  }
}

std::optional<store_schedule::call_id>
store_schedule::TakeExpired(time_point aNow)
{
  for (auto& entry : mClasses) {
    if (!entry.mCalls.empty() && aNow >= entry.mCalls.front().mSendBy) {
      const call_id expired = entry.mCalls.front().mCall;
      entry.mCalls.pop_front();
      --mSize;
      return expired;
    }
  }
  return std::nullopt;
}

std::optional<store_schedule::call_id>
store_schedule::TakeNext(time_point aNow)
{
  Refill(aNow);
  if (mSize == 0 || mTokens < 1) {
    return std::nullopt;
  }
  if (mSinceOverdue >= kOverdueEvery - 1) {
    if (const auto overdue = Overdue(aNow)) {
      mSinceOverdue = 0;
      return Take(*overdue);
    }
  }
  if (const auto regular = Regular(aNow)) {
    ++mSinceOverdue;
    return Take(*regular);
  }
  // A higher class that is held by its own rate does not use this call.
  const auto overdue = Overdue(aNow);
  return overdue ? std::optional(Take(*overdue)) : std::nullopt;
}

void
store_schedule::Refill(time_point aNow)
{
  const double elapsed =
    std::max(0.0, std::chrono::duration<double>(aNow - mRefilledAt).count());
  mRefilledAt = std::max(mRefilledAt, aNow);
  mTokens = std::min(Burst(mLimit), mTokens + elapsed * mLimit);
  double above = mLimit;
  for (std::size_t i = 0; i < mClasses.size(); ++i) {
    auto& entry = mClasses[i];
    entry.mTokens =
      std::min(Burst(entry.mRate), entry.mTokens + elapsed * entry.mRate);
    entry.mRate =
      std::min(above, entry.mRate + elapsed * kRules[i].mIncrease * mLimit);
    above = entry.mRate;
  }
}

std::optional<std::size_t>
store_schedule::Overdue(time_point aNow) const
{
  std::optional<std::size_t> oldest;
  // A watch is sent before others anyway.
  for (std::size_t i = kWatch + 1; i < mClasses.size(); ++i) {
    const auto& entry = mClasses[i];
    if (entry.mCalls.empty() || entry.mTokens < 1 ||
        aNow - entry.mCalls.front().mSince < kRules[i].mOverdueAfter) {
      continue;
    }
    if (!oldest ||
        entry.mCalls.front().mSince < mClasses[*oldest].mCalls.front().mSince) {
      oldest = i;
    }
  }
  return oldest;
}

std::optional<std::size_t>
store_schedule::Regular(time_point aNow) const
{
  const std::size_t watches = mClasses[kWatch].mCalls.size();
  const bool skipWatches = mLastWasWatch && watches < mSize;
  for (std::size_t i = 0; i < mClasses.size(); ++i) {
    const auto& entry = mClasses[i];
    if (entry.mCalls.empty() || (i == kWatch && skipWatches)) {
      continue;
    }
    // No lower class passes while this one is held.
    return entry.mTokens >= 1 && aNow >= entry.mPausedUntil ? std::optional(i)
                                                            : std::nullopt;
  }
  return std::nullopt;
}

store_schedule::call_id
store_schedule::Take(std::size_t aClass)
{
  auto& entry = mClasses[aClass];
  const call_id next = entry.mCalls.front().mCall;
  entry.mCalls.pop_front();
  entry.mTokens -= 1;
  mTokens -= 1;
  --mSize;
  mLastWasWatch = aClass == kWatch;
  return next;
}

void
store_schedule::OnRateLimited(store_priority aPriority, time_point aNow)
{
  Refill(aNow);
  const std::size_t refused = static_cast<std::size_t>(aPriority);
  ++mClasses[refused].mRateLimited;
  time_point until = aNow;
  for (std::size_t i = refused; i < mClasses.size(); ++i) {
    auto& entry = mClasses[i];
    entry.mRate = std::max(kMinRate, entry.mRate * kRules[i].mDecrease);
    std::uniform_int_distribution<std::int64_t> pause(0,
                                                      kRules[i].mPause.count());
    until = std::max(until, aNow + milliseconds(pause(mRandom)));
    entry.mPausedUntil = std::max(entry.mPausedUntil, until);
  }
}

std::size_t
store_schedule::Waiting(store_priority aPriority) const
{
  return mClasses[static_cast<std::size_t>(aPriority)].mCalls.size();
}

std::uint64_t
store_schedule::RateLimited(store_priority aPriority) const
{
  return mClasses[static_cast<std::size_t>(aPriority)].mRateLimited;
}

double
store_schedule::Rate(store_priority aPriority) const
{
  return mClasses[static_cast<std::size_t>(aPriority)].mRate;
}

milliseconds
store_schedule::OverdueAfter(store_priority aPriority)
{
  return kRules[static_cast<std::size_t>(aPriority)].mOverdueAfter;
}

} // namespace snipewalk
