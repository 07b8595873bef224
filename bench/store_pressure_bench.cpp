// A data centre fails: changes of primary, slot claims and audit entries of
// many instances against one store that refuses writes above its limit, in
// simulated time. Compares FIFO order with a fixed jitter to priority classes
// with a spread by the expected claims (docs/large-fleets.md, section 1).
#include "snipewalk/store/store_schedule.h"
#include "snipewalk/version/slot_assignment.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace snipewalk {
namespace {

constexpr int kStoreWritesPerSecond = 400;
constexpr int kCallsPerSecond = 20;
constexpr std::size_t kClaims = 1'170; // 300 instances of 3.9 slots
constexpr std::size_t kPromotions = 361;
constexpr int kWritesOfPromotion = 3;
constexpr milliseconds kRoundTrip{ 5 };
// Fencing, and promotion of the candidate, between two writes.
constexpr milliseconds kServerCalls{ 20 };
constexpr milliseconds kCallTimeout{ 2'000 };
constexpr milliseconds kStep{ 5 };
constexpr milliseconds kEnd{ 120'000 };
const time_point kStart{ std::chrono::hours(1) };

// A promotion, a claim or an audit entry: its writes follow each other, and
// refused ones are repeated with the backoff of failover, slot assignment and
// the audit trail.
struct job
{
  store_priority mPriority = store_priority::Terms;
  int mWritesLeft = 1;
  milliseconds mFirstBackoff{ 100 };
  milliseconds mLastBackoff{ 500 };
  milliseconds mBackoff{ 0 };
  std::optional<time_point> mDone = std::nullopt;
};

// Calls of one instance that wait for its rate.
class sender
{
public:
  sender(bool aSchedule, std::uint64_t aSeed)
    : mBySchedule(aSchedule)
    , mSchedule(kCallsPerSecond, aSeed, kStart)
  {
  }

  void Add(std::size_t aJob, store_priority aPriority, time_point aNow)
  {
    if (mBySchedule) {
      mSchedule.Add(aJob, aPriority, false, aNow + kCallTimeout, aNow);
    } else {
      mQueue.emplace_back(aJob, aNow + kCallTimeout);
    }
  }

  std::optional<std::size_t> TakeExpired(time_point aNow)
  {
    if (mBySchedule) {
      return mSchedule.TakeExpired(aNow);
    }
    return !mQueue.empty() && aNow >= mQueue.front().second ? Pop()
                                                            : std::nullopt;
  }

  std::optional<std::size_t> TakeNext(time_point aNow)
  {
    if (mBySchedule) {
      return mSchedule.TakeNext(aNow);
    }
    const double elapsed =
      std::chrono::duration<double>(aNow - std::exchange(mAt, aNow)).count();
    mTokens =
      std::min(kCallsPerSecond / 10.0, mTokens + elapsed * kCallsPerSecond);
    if (mQueue.empty() || mTokens < 1) {
      return std::nullopt;
    }
    mTokens -= 1;
    return Pop();
  }

  bool IsIdle() const { return mSchedule.Size() == 0 && mQueue.empty(); }

  void OnRefused(store_priority aPriority, time_point aNow)
  {
    if (mBySchedule) {
      mSchedule.OnRateLimited(aPriority, aNow);
    }
  }

private:
  std::optional<std::size_t> Pop()
  {
    const std::size_t next = mQueue.front().first;
    mQueue.pop_front();
    return next;
  }

  bool mBySchedule;
  store_schedule mSchedule;
  std::deque<std::pair<std::size_t, time_point>> mQueue;
  double mTokens = kCallsPerSecond / 10.0;
  time_point mAt = kStart;
};

class model
{
public:
  model(bool aAfter, std::size_t aInstances, std::uint64_t aSeed)
    : mAfter(aAfter)
    , mRandom(aSeed)
  {
    for (std::size_t i = 0; i < aInstances; ++i) {
      mSenders.emplace_back(aAfter, aSeed + i);
    }
    for (std::size_t i = 0; i < kPromotions; ++i) {
      // Probes notice the loss within 100 ms, and the evidence is queried.
      Add({ store_priority::Terms, kWritesOfPromotion },
          milliseconds(100) + Below(milliseconds(200)));
    }
    for (std::size_t i = 0; i < kClaims; ++i) {
      AddClaim();
    }
  }

  void Run()
  {
    for (mNow = kStart; mNow < kStart + kEnd; mNow += kStep) {
      mTokens =
        std::min(kStoreWritesPerSecond / 10.0,
                 mTokens + kStoreWritesPerSecond *
                             std::chrono::duration<double>(kStep).count());
      while (!mDue.empty() && mDue.begin()->first <= mNow) {
        const std::size_t next = mDue.begin()->second;
        mDue.erase(mDue.begin());
        mSenders[mOwners[next]].Add(next, mJobs[next].mPriority, mNow);
      }
      // No instance is always first at the store.
      const std::size_t first = mRandom() % mSenders.size();
      for (std::size_t i = 0; i < mSenders.size(); ++i) {
        Send(mSenders[(first + i) % mSenders.size()]);
      }
    }
  }

  // Milliseconds until the last job of the class was done; the end of the run
  // when one was not.
  double LastDone(store_priority aPriority) const
  {
    time_point last = kStart;
    for (const auto& each : mJobs) {
      if (each.mPriority == aPriority) {
        last = std::max(last, each.mDone.value_or(kStart + kEnd));
      }
    }
    return static_cast<double>(ToMilliseconds(last - kStart));
  }
  double Refused(store_priority aPriority) const
  {
    const auto found = mRefused.find(aPriority);
    return found == mRefused.end() ? 0 : found->second;
  }

private:
  milliseconds Below(duration aEnd)
  {
    return milliseconds(mRandom() %
                        static_cast<std::uint64_t>(1 + ToMilliseconds(aEnd)));
  }

  void Add(job aJob, milliseconds aDelay)
  {
    mOwners.push_back(mRandom() % mSenders.size());
    mDue.emplace(kStart + aDelay, mJobs.size());
    mJobs.push_back(aJob);
  }

  void AddClaim()
  {
    // One of 18 data centres: two other holders live for most services.
    const std::size_t others = mRandom() % 18 == 0 ? 1 : 2;
    const milliseconds jitter = slot_options{}.mClaimJitter;
    const claim_window window = mAfter ? ClaimWindow(kClaims, others, jitter)
                                       : claim_window{ {}, jitter };
    Add({ store_priority::Slots, 1, milliseconds(200), milliseconds(8'000) },
        milliseconds(ToMilliseconds(window.mStart)) + Below(window.mLength));
  }

  void Send(sender& aSender)
  {
    if (aSender.IsIdle()) {
      return;
    }
    while (const auto expired = aSender.TakeExpired(mNow)) {
      Retry(*expired);
    }
    while (const auto next = aSender.TakeNext(mNow)) {
      job& sent = mJobs[*next];
      if (mTokens < 1) {
        ++mRefused[sent.mPriority];
        aSender.OnRefused(sent.mPriority, mNow);
        Retry(*next);
        continue;
      }
      mTokens -= 1;
      Accept(*next);
    }
  }

  void Accept(std::size_t aJob)
  {
    job& done = mJobs[aJob];
    done.mBackoff = milliseconds(0);
    if (--done.mWritesLeft > 0) {
      mDue.emplace(mNow + kRoundTrip + kServerCalls, aJob);
      return;
    }
    done.mDone = mNow + kRoundTrip;
    if (done.mPriority == store_priority::Terms) {
      Add({ store_priority::Background,
            1,
            milliseconds(500),
            milliseconds(8'000) },
          kRoundTrip);
    }
  }

  void Retry(std::size_t aJob)
  {
    job& refused = mJobs[aJob];
    refused.mBackoff = std::clamp(
      2 * refused.mBackoff, refused.mFirstBackoff, refused.mLastBackoff);
    // Claims wait the least time and a random share, term writes a half to
    // whole.
    const milliseconds wait =
      refused.mPriority == store_priority::Terms
        ? refused.mBackoff / 2 + Below(refused.mBackoff / 2)
        : refused.mFirstBackoff + Below(refused.mBackoff);
    mDue.emplace(mNow + kRoundTrip + wait, aJob);
  }

  bool mAfter;
  std::mt19937_64 mRandom;
  time_point mNow = kStart;
  double mTokens = kStoreWritesPerSecond / 10.0;
  std::vector<sender> mSenders;
  std::vector<job> mJobs;
  // Instance of each job.
  std::vector<std::size_t> mOwners;
  std::multimap<time_point, std::size_t> mDue;
  std::map<store_priority, double> mRefused;
};

// Arguments: 0 FIFO and fixed jitter, 1 classes and spread; instances that
// share the work. Counters are the worst of ten seeds.
void
DataCentreFails(benchmark::State& state)
{
  for ([[maybe_unused]] auto iteration : state) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      model run(
        state.range(0) != 0, static_cast<std::size_t>(state.range(1)), seed);
      run.Run();
      const auto note = [&](const char* aName, double aValue) {
        auto& counter = state.counters[aName];
        counter = std::max<double>(counter, aValue);
      };
      note("last_promotion_ms", run.LastDone(store_priority::Terms));
      note("last_claim_ms", run.LastDone(store_priority::Slots));
      note("last_audit_ms", run.LastDone(store_priority::Background));
      note("refused_terms", run.Refused(store_priority::Terms));
      note("refused_claims", run.Refused(store_priority::Slots));
      note("refused_audit", run.Refused(store_priority::Background));
    }
  }
}
BENCHMARK(DataCentreFails)
  ->ArgsProduct({ { 0, 1 }, { 60, 4'700 } })
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace snipewalk

BENCHMARK_MAIN();
