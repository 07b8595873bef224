// Model of instances that exchange tokens of one account's rate limit over a
// network that delays, loses and reorders messages.
#ifndef SNIPEWALK_TESTS_ACCOUNT_ALLOWANCE_MODEL_H_
#define SNIPEWALK_TESTS_ACCOUNT_ALLOWANCE_MODEL_H_

#include "snipewalk/account/allowance_allocator.h"
#include "snipewalk/account/allowance_reserve.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace snipewalk {

class allowance_model
{
public:
  static constexpr const char* kAccount = "ann";

  allowance_model(std::size_t aInstances,
                  const rate_limit& aLimit,
                  std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    mRules.mOverage = 0.1;
    mRules.mSlack = 20;
    for (std::size_t i = 0; i < aInstances; ++i) {
      mInstances.push_back({ std::make_unique<allowance_reserve>(), i + 1 });
    }
    mAllocator = std::make_unique<allowance_allocator>(mRules);
    SetLimit(aLimit);
    mAllocator->Begin(kAccount, mNow - seconds(60), false);
  }

  void SetLimit(const rate_limit& aLimit)
  {
    mLimit = aLimit;
    findings found;
    const auto accounts =
      account_directory::Build({ { kAccount, { "key" }, 0, aLimit } }, found);
    for (auto& known : mInstances) {
      known.mReserve->SetLimits(accounts);
    }
    mAllocator->SetLimits(accounts, mNow);
  }

  // An operation arrives at an instance and runs if it gets a token. Returns
  // whether it has run.
  bool Arrive(std::size_t aInstance)
  {
    allowance_reserve& reserve = *mInstances[aInstance].mReserve;
    reserve.OnArrival(kAccount, mNow);
    if (reserve.Take(kAccount, mNow)) {
      mRuns.push_back(mNow);
      return true;
    }
    if (reserve.Await(kAccount, mInstances[aInstance].mWaiting.size(), mNow)) {
      mInstances[aInstance].mWaiting.push_back(mNow);
    } else {
      ++mRefused;
    }
    return false;
  }

  // Advances the time by a millisecond: delivers messages, runs operations that
  // have waited for tokens, and sends requests.
  void Step()
  {
    mNow += milliseconds(1);
    while (!mMessages.empty() && mMessages.begin()->first <= mNow) {
      const auto deliver = std::move(mMessages.begin()->second);
      mMessages.erase(mMessages.begin());
      deliver();
    }
    for (std::size_t i = 0; i < mInstances.size(); ++i) {
      RunWaiting(mInstances[i]);
      if (!mInstances[i].mSuspended) {
        SendRequest(i);
      }
    }
  }

  // Replaces the process of an instance.
  void Restart(std::size_t aInstance)
  {
    instance& restarted = mInstances[aInstance];
    mRefused += restarted.mWaiting.size();
    restarted = { std::make_unique<allowance_reserve>(), ++mLastStart };
    SetLimit(mLimit);
  }
  void SetCutOff(std::size_t aInstance, bool aCutOff)
  {
    mInstances[aInstance].mCutOff = aCutOff;
  }
  // A suspended instance sends nothing; its clock does not count the time.
  void Suspend(std::size_t aInstance)
  {
    mInstances[aInstance].mSuspended = true;
  }
  void Resume(std::size_t aInstance)
  {
    mInstances[aInstance].mSuspended = false;
    mInstances[aInstance].mReserve->DropTokens();
  }
  // Another owner, which knows nothing, goes on issuing.
  void ReplaceOwner()
  {
    mAllocator = std::make_unique<allowance_allocator>(mRules);
    SetLimit(mLimit);
    mAllocator->Begin(kAccount, mNow, false);
    ++mOwner;
  }

  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aProbability;
  }
  std::size_t AnyInstance()
  {
    return std::uniform_int_distribution<std::size_t>(0, mInstances.size() - 1)(
      mRandom);
  }

  // Largest number of operations that ran within any window of the rules.
  std::size_t LargestWindow() const
  {
    std::size_t largest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < mRuns.size(); ++last) {
      while (mRuns[last] - mRuns[first] >= mRules.mWindow) {
        ++first;
      }
      largest = std::max(largest, last - first + 1);
    }
    return largest;
  }
  // Number of operations that the rule allows in a window.
  double AllowedInWindow() const
  {
    const double window = std::chrono::duration<double>(mRules.mWindow).count();
    return (mLimit.mPerSecond * window + mLimit.mBurst) *
             (1 + mRules.mOverage) +
           mRules.mSlack;
  }

  std::size_t RunCount() const { return mRuns.size(); }
  std::size_t RefusedCount() const { return mRefused; }

  // Probability that a message is lost, and its longest delay.
  double mLoss = 0;
  int mMaxDelayMs = 4;
  time_point mNow{ seconds(1'000) };

private:
  // Time limit of an operation that waits for a token, as in the engine.
  static constexpr milliseconds kTokenTimeout{ 150 };

  struct instance
  {
    std::unique_ptr<allowance_reserve> mReserve;
    std::uint64_t mStarted = 0;
    bool mCutOff = false;
    bool mSuspended = false;
    std::deque<time_point> mWaiting = {};
  };

  void RunWaiting(instance& aInstance)
  {
    auto& waiting = aInstance.mWaiting;
    while (!waiting.empty() && !aInstance.mSuspended) {
      if (aInstance.mReserve->Take(kAccount, mNow)) {
        mRuns.push_back(mNow);
      } else if (mNow >= waiting.front() + kTokenTimeout) {
        ++mRefused;
      } else {
        aInstance.mReserve->Await(kAccount, 0, mNow);
        return;
      }
      waiting.pop_front();
    }
  }

  void Send(std::function<void()> aDeliver)
  {
    if (!Chance(mLoss)) {
      const int delay =
        std::uniform_int_distribution<int>(1, mMaxDelayMs)(mRandom);
      mMessages.emplace(mNow + milliseconds(delay), std::move(aDeliver));
    }
  }

  void SendRequest(std::size_t aInstance)
  {
    const auto request = mInstances[aInstance].mReserve->RequestIfDue(mNow);
    if (!request || mInstances[aInstance].mCutOff) {
      return;
    }
    const std::uint64_t started = mInstances[aInstance].mStarted;
    Send([this, aInstance, started, owner = mOwner, request = *request] {
      // A replaced owner has stopped issuing.
      if (owner != mOwner) {
        return;
      }
      const auto grant = mAllocator->OnRequest(
        std::to_string(aInstance), started, request, mNow);
      Send([this, aInstance, started, grant] {
        instance& receiver = mInstances[aInstance];
        if (receiver.mStarted == started && !receiver.mCutOff &&
            !receiver.mSuspended) {
          receiver.mReserve->OnGrant(grant, mNow);
        }
      });
    });
  }

  allowance_rules mRules;
  rate_limit mLimit;
  std::mt19937_64 mRandom;
  std::vector<instance> mInstances;
  std::unique_ptr<allowance_allocator> mAllocator;
  std::uint64_t mOwner = 0;
  std::uint64_t mLastStart = 1'000;
  std::multimap<time_point, std::function<void()>> mMessages;
  std::vector<time_point> mRuns;
  std::size_t mRefused = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_TESTS_ACCOUNT_ALLOWANCE_MODEL_H_
