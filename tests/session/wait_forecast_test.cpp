// Tests of the wait forecast, including a simulation of an overload.
#include "snipewalk/session/wait_forecast.h"

#include "snipewalk/session/wait_order.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>
#include <vector>

namespace snipewalk {
namespace {

constexpr milliseconds kTimeLimit{ 800 };
constexpr milliseconds kExecution{ 20 };
constexpr int kShortestObjectiveMs = 150;

time_point
At(int aMs)
{
  return time_point() + milliseconds(100'000 + aMs);
}

waiting_statement
OnTime(int aUntilLateMs, int aUntilDeadlineMs)
{
  return { {}, milliseconds(aUntilLateMs), milliseconds(aUntilDeadlineMs) };
}

waiting_statement
Late(int aUntilDeadlineMs)
{
  return { { true, 0 }, milliseconds(0), milliseconds(aUntilDeadlineMs) };
}

class WaitForecastTest : public testing::Test
{
protected:
  // Executes one statement every 10 ms for `aMs` while others wait.
  void ExecuteStatements(int aMs, bool aLate = false)
  {
    mForecast.SetBacklog(1, At(0));
    for (int ms = 10; ms <= aMs; ms += 10) {
      mForecast.OnExecuted({ aLate, 0 }, At(ms));
    }
  }

  wait_forecast mForecast;
};

// Guards against refusals before the execution rate is known.
TEST_F(WaitForecastTest, KeepsAllStatementsAtTheBeginOfABacklog)
{
  ExecuteStatements(100);
  const std::vector<waiting_statement> waiting(50, OnTime(10, 20));
  EXPECT_TRUE(mForecast.FindUnservable(waiting, At(100)).empty());
}

TEST_F(WaitForecastTest, FindsStatementsBehindTooManyOthers)
{
  ExecuteStatements(500);
  const std::vector<waiting_statement> waiting(50, Late(250));
  ExecuteStatements(500, true);
  const auto unservable = mForecast.FindUnservable(waiting, At(500));
  EXPECT_GT(unservable.size(), 10U);
  EXPECT_LT(unservable.size(), 40U);
  EXPECT_EQ(unservable.back(), waiting.size() - 1);
}

// Guards against late statements waiting until their deadline although none of
// them is placed.
TEST_F(WaitForecastTest, FindsLateStatementsThatOthersKeepOut)
{
  ExecuteStatements(1'000);
  const std::vector<waiting_statement> waiting(20, Late(500));
  EXPECT_GE(mForecast.FindUnservable(waiting, At(1'000)).size(), 19U);
}

// Guards against refusals during a change of primary, after which the whole
// queue is executed quickly.
TEST_F(WaitForecastTest, KeepsAllStatementsWhileTheQueueIsBlocked)
{
  ExecuteStatements(500);
  const std::vector<waiting_statement> waiting(500, Late(250));
  EXPECT_TRUE(mForecast.FindUnservable(waiting, At(900)).empty());
}

// Guards against using a rate that was limited by arrivals at an empty queue.
TEST_F(WaitForecastTest, ForgetsTheRateOfAnEmptyQueue)
{
  ExecuteStatements(500);
  mForecast.SetBacklog(0, At(500));
  mForecast.SetBacklog(1, At(510));
  const std::vector<waiting_statement> waiting(500, Late(250));
  EXPECT_TRUE(mForecast.FindUnservable(waiting, At(600)).empty());
}

TEST_F(WaitForecastTest, PredictsTheTimeToClearTheBacklog)
{
  EXPECT_FALSE(mForecast.TimeToClear(At(0)));
  ExecuteStatements(1'000);
  mForecast.SetBacklog(100, At(1'000));
  const auto time = mForecast.TimeToClear(At(1'000));
  ASSERT_TRUE(time);
  EXPECT_GT(*time, milliseconds(900));
  EXPECT_LT(*time, milliseconds(1'100));
}

struct simulated_statement
{
  ranked_statement mStatement;
  int mArrived = 0;
};

struct simulation_result
{
  int mArrived = 0;
  int mOnTime = 0;
  int mServed = 0;
  // Statements that were not executed and waited until their deadline.
  int mExpired = 0;
  int mRefused = 0;
  // Total waiting time of the refused statements in ms.
  int mRefusedWaitMs = 0;
};

// Simulates ten seconds in which three slots of 20 ms receive 210 statements
// per second from three routes, 40 % more than they can execute.
simulation_result
Simulate(bool aRefuse)
{
  std::mt19937_64 random(7);
  const std::array<int, 3> objectives{ kShortestObjectiveMs, 250, 500 };
  std::vector<simulated_statement> waiting;
  std::vector<int> slots{ 0, 0, 0 };
  wait_forecast forecast;
  simulation_result result;
  for (int ms = 0; ms < 10'000; ++ms) {
    if (random() % 1'000 < 210) {
      const std::size_t route = random() % objectives.size();
      waiting.push_back(
        { { static_cast<int>(route), At(ms), milliseconds(objectives[route]) },
          ms });
      ++result.mArrived;
    }
    const auto rank = [&](const simulated_statement& aStatement) {
      return ComputeWaitRank(aStatement.mStatement, kExecution, At(ms));
    };
    std::sort(waiting.begin(),
              waiting.end(),
              [&](const auto& aOne, const auto& aOther) {
                return rank(aOne) < rank(aOther);
              });
    for (int& busyUntil : slots) {
      if (busyUntil > ms || waiting.empty()) {
        continue;
      }
      const simulated_statement next = waiting.front();
      waiting.erase(waiting.begin());
      busyUntil = ms + static_cast<int>(kExecution.count());
      const bool onTime =
        At(busyUntil) <= next.mStatement.mReceived + next.mStatement.mObjective;
      ++result.mServed;
      result.mOnTime += onTime ? 1 : 0;
      forecast.OnExecuted({ !onTime, next.mStatement.mPriority }, At(ms));
    }
    forecast.SetBacklog(waiting.size(), At(ms));
    result.mExpired += static_cast<int>(
      std::erase_if(waiting, [&](const simulated_statement& aStatement) {
        return At(ms) >= aStatement.mStatement.mReceived + kTimeLimit;
      }));
    if (!aRefuse || ms % 20 != 0) {
      continue;
    }
    std::vector<waiting_statement> facts;
    for (const auto& statement : waiting) {
      const time_point due = statement.mStatement.mReceived +
                             statement.mStatement.mObjective - kExecution;
      facts.push_back(
        { { rank(statement).mLate, statement.mStatement.mPriority },
          due - At(ms),
          statement.mStatement.mReceived + kTimeLimit - At(ms) });
    }
    const auto unservable = forecast.FindUnservable(facts, At(ms));
    for (auto index = unservable.rbegin(); index != unservable.rend();
         ++index) {
      ++result.mRefused;
      result.mRefusedWaitMs += ms - waiting[*index].mArrived;
      waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(*index));
    }
  }
  return result;
}

// Guards against callers waiting until their deadline in vain, and against
// refusing statements that would have been executed.
TEST(WaitForecastSimulationTest, RefusesEarlyWhatCannotBeServed)
{
  const simulation_result without = Simulate(false);
  const simulation_result with = Simulate(true);
  EXPECT_GE(with.mOnTime, without.mOnTime);
  // Nearly as many statements are executed as without refusals.
  EXPECT_GE(with.mServed * 100, without.mServed * 98);
  EXPECT_LT(with.mExpired * 20, without.mExpired);
  // The average wait before a refusal is less than half of the shortest latency
  // objective.
  EXPECT_LT(with.mRefusedWaitMs, with.mRefused * kShortestObjectiveMs / 2);
}

} // namespace
} // namespace snipewalk
