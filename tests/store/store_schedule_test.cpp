// Tests of the schedule of store calls in simulated time.
#include "snipewalk/store/store_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

namespace snipewalk {
namespace {

constexpr int kLimit = 20;
constexpr milliseconds kTimeout{ 2'000 };
const time_point kStart{ std::chrono::hours(1) };

class StoreScheduleTest : public testing::Test
{
protected:
  void Add(std::uint64_t aCall, store_priority aPriority, time_point aNow)
  {
    mSchedule.Add(aCall, aPriority, false, aNow + kTimeout, aNow);
  }

  // Calls sent until `aUntil`, looked at every 10 ms.
  std::vector<std::uint64_t> SendUntil(time_point aUntil)
  {
    std::vector<std::uint64_t> sent;
    for (; mNow < aUntil; mNow += milliseconds(10)) {
      while (const auto next = mSchedule.TakeNext(mNow)) {
        sent.push_back(*next);
      }
    }
    return sent;
  }

  store_schedule mSchedule{ kLimit, 7, kStart };
  time_point mNow = kStart;
};

// Guards against FIFO order, in which an audit entry delays a promotion.
TEST_F(StoreScheduleTest, SendsHigherClassesFirst)
{
  Add(1, store_priority::Background, kStart);
  Add(2, store_priority::List, kStart);
  Add(3, store_priority::Slots, kStart);
  Add(4, store_priority::Urgent, kStart);
  Add(5, store_priority::Terms, kStart);
  EXPECT_EQ(SendUntil(kStart + milliseconds(300)),
            (std::vector<std::uint64_t>{ 5, 4, 3, 2, 1 }));
}

// Guards against watches that use the whole limit when each is answered at
// once, as while many objects change.
TEST_F(StoreScheduleTest, AlternatesWatchesWithOtherCalls)
{
  for (std::uint64_t call = 1; call <= 4; ++call) {
    Add(call, store_priority::Watch, kStart);
    Add(call + 10, store_priority::Terms, kStart);
  }
  EXPECT_EQ(SendUntil(kStart + milliseconds(450)),
            (std::vector<std::uint64_t>{ 1, 11, 2, 12, 3, 13, 4, 14 }));
}

// Guards against lower classes that press on while the store refuses calls,
// and against a class that never recovers.
TEST_F(StoreScheduleTest, LowerClassesBackOffFurther)
{
  for (int i = 0; i < 3; ++i) {
    mSchedule.OnRateLimited(store_priority::Terms, mNow);
  }
  double above = kLimit;
  for (const auto& entry : kStorePriorityNames) {
    if (entry.mValue != store_priority::Watch) {
      EXPECT_LT(mSchedule.Rate(entry.mValue), above) << entry.mName;
    }
    above = mSchedule.Rate(entry.mValue);
  }
  EXPECT_EQ(mSchedule.RateLimited(store_priority::Terms), 3U);
  SendUntil(kStart + seconds(30));
  EXPECT_EQ(mSchedule.Rate(store_priority::Background), kLimit);
}

// Guards against refused audit entries that slow promotions down.
TEST_F(StoreScheduleTest, RefusalsDoNotAffectHigherClasses)
{
  mSchedule.OnRateLimited(store_priority::Slots, mNow);
  EXPECT_EQ(mSchedule.Rate(store_priority::Urgent), kLimit);
  Add(1, store_priority::Terms, kStart);
  EXPECT_EQ(mSchedule.TakeNext(kStart), 1U);
}

// Random calls and refusals. Guards against calls that are lost or answered
// twice, a lower class sent before a higher one, starvation of the first call
// of a class under a constant load of higher ones, and a total rate above the
// limit.
TEST(StoreSchedulePropertyTest, KeepsItsRules)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t aEnd) { return random() % aEnd; };
    store_schedule schedule(kLimit, seed, kStart);
    struct waiting
    {
      store_priority mPriority;
      time_point mSince;
    };
    std::map<std::uint64_t, waiting> calls;
    std::uint64_t added = 0;
    std::uint64_t answered = 0;
    std::uint64_t early = 0;
    std::vector<time_point> sent;
    std::map<store_priority, time_point> served;
    time_point now = kStart;
    const auto add = [&](store_priority aPriority) {
      calls[++added] = { aPriority, now };
      schedule.Add(added, aPriority, false, now + kTimeout, now);
    };
    for (int step = 0; step < 10'000; ++step) {
      now += milliseconds(below(1'000) == 0 ? below(3'000) : below(20));
      // More promotions than the limit allows: about 30 a second.
      if (below(100) < 30) {
        add(store_priority::Terms);
      }
      if (below(100) < 5) {
        add(kStorePriorityNames[below(kStorePriorityNames.size())].mValue);
      }
      while (const auto expired = schedule.TakeExpired(now)) {
        ASSERT_GE(now - calls.at(*expired).mSince, kTimeout);
        calls.erase(*expired);
        ++answered;
      }
      while (const auto next = schedule.TakeNext(now)) {
        const waiting taken = calls.at(*next);
        calls.erase(*next);
        ++answered;
        sent.push_back(now);
        served[taken.mPriority] = now;
        const bool higherWaits =
          std::any_of(calls.begin(), calls.end(), [&](const auto& aIt) {
            return aIt.second.mPriority < taken.mPriority &&
                   aIt.second.mPriority != store_priority::Watch;
          });
        if (higherWaits && taken.mPriority != store_priority::Watch) {
          ASSERT_GE(now - taken.mSince,
                    store_schedule::OverdueAfter(taken.mPriority));
          ++early;
        }
        if (below(10) == 0) {
          schedule.OnRateLimited(taken.mPriority, now);
        }
      }
      for (const auto& [call, entry] : calls) {
        // Each class with a call that has waited for long is being served.
        const time_point since =
          std::max(entry.mSince, served[entry.mPriority]);
        ASSERT_LT(now - since, seconds(4)) << "seed " << seed;
      }
      ASSERT_EQ(schedule.Size(), calls.size());
    }
    EXPECT_EQ(added, answered + calls.size());
    // Overdue calls are exceptions.
    EXPECT_LT(early, sent.size() / 2);
    for (std::size_t i = 0; i + 1 < sent.size(); i += 100) {
      const auto end =
        std::upper_bound(sent.begin(), sent.end(), sent[i] + seconds(1));
      // The limit and the burst of a tenth of a second.
      ASSERT_LE(end - sent.begin() - static_cast<std::ptrdiff_t>(i),
                kLimit + kLimit / 10 + 1);
    }
  }
}

} // namespace
} // namespace snipewalk
