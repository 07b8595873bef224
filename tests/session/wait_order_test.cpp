// Tests of the order of waiting statements, including a simulation of an
// overload.
#include "snipewalk/session/wait_order.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

namespace snipewalk {
namespace {

time_point
At(int aMs)
{
  return time_point() + milliseconds(100'000 + aMs);
}

constexpr milliseconds kExpected{ 20 };

ranked_statement
Statement(int aReceivedMs, int aObjectiveMs, int aPriority = 1)
{
  return { aPriority, At(aReceivedMs), milliseconds(aObjectiveMs) };
}

TEST(WaitOrderTest, PutsWorkThatCanBeOnTimeFirst)
{
  const auto late = ComputeWaitRank(Statement(0, 100, 0), kExpected, At(90));
  const auto onTime = ComputeWaitRank(Statement(50, 100, 2), kExpected, At(90));
  EXPECT_LT(onTime, late);
}

TEST(WaitOrderTest, PutsUrgentRoutesBeforeEarlierDeadlines)
{
  const auto urgent = ComputeWaitRank(Statement(50, 500, 1), kExpected, At(60));
  const auto earlier = ComputeWaitRank(Statement(0, 150, 2), kExpected, At(60));
  EXPECT_LT(urgent, earlier);
}

TEST(WaitOrderTest, OrdersEqualRoutesByTheirDeadlines)
{
  const auto first = ComputeWaitRank(Statement(0, 150), kExpected, At(10));
  const auto second = ComputeWaitRank(Statement(5, 150), kExpected, At(10));
  EXPECT_LT(first, second);
}

// Returns the number of statements that meet their latency objective in a
// simulation of ten seconds, in which three slots of 20 ms receive 120 % of the
// statements that they can execute. Each statement waits at most 800 ms.
int
ServedOnTime(const std::function<bool(const ranked_statement&,
                                      const ranked_statement&,
                                      time_point)>& aBefore,
             int& aArrived)
{
  std::mt19937_64 random(7);
  std::vector<ranked_statement> waiting;
  std::vector<int> slots{ 0, 0, 0 };
  int onTime = 0;
  aArrived = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    if (random() % 1'000 < 180) {
      waiting.push_back(Statement(ms, 250));
      ++aArrived;
    }
    std::erase_if(waiting, [&](const ranked_statement& aStatement) {
      return At(ms) >= aStatement.mReceived + milliseconds(800);
    });
    for (int& busyUntil : slots) {
      if (busyUntil > ms || waiting.empty()) {
        continue;
      }
      const auto next = std::min_element(
        waiting.begin(),
        waiting.end(),
        [&](const ranked_statement& aOne, const ranked_statement& aOther) {
          return aBefore(aOne, aOther, At(ms));
        });
      busyUntil = ms + 20;
      onTime += At(busyUntil) <= next->mReceived + next->mObjective ? 1 : 0;
      waiting.erase(next);
    }
  }
  return onTime;
}

// More than 70 % of the statements must meet their latency objective when
// placed by rank. In order of arrival almost none does after the first second.
TEST(WaitOrderTest, KeepsMostWorkOnTimeUnderOverload)
{
  int arrived = 0;
  const int byRank = ServedOnTime(
    [](const auto& aOne, const auto& aOther, time_point aNow) {
      return ComputeWaitRank(aOne, kExpected, aNow) <
             ComputeWaitRank(aOther, kExpected, aNow);
    },
    arrived);
  const int byArrival = ServedOnTime(
    [](const auto& aOne, const auto& aOther, time_point) {
      return aOne.mReceived < aOther.mReceived;
    },
    arrived);
  EXPECT_GT(byRank * 10, arrived * 7);
  EXPECT_LT(byArrival * 2, byRank);
}

} // namespace
} // namespace snipewalk
