// Tests of the retry budget.
#include "snipewalk/request/retry_budget.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

const time_point kStart{ seconds(100) };

int
Drain(retry_budget& aBudget, time_point aNow)
{
  int taken = 0;
  while (aBudget.TryRetry(aNow)) {
    ++taken;
  }
  return taken;
}

// Guards against retries that multiply an overload.
TEST(RetryBudgetTest, AllowsATenthOfTheRequests)
{
  retry_budget budget(1);
  Drain(budget, kStart);
  for (int i = 0; i < 200; ++i) {
    budget.CountRequest();
  }
  EXPECT_NEAR(Drain(budget, kStart), 20, 1);
}

// Guards against a quiet service that can never retry.
TEST(RetryBudgetTest, AllowsTenRetriesASecondWithoutRequests)
{
  retry_budget budget(1);
  Drain(budget, kStart);
  EXPECT_EQ(Drain(budget, kStart + seconds(1)), 10);
  EXPECT_EQ(Drain(budget, kStart + seconds(100)), 10);
}

// Guards against retries in step with each other and against endless delays.
TEST(RetryBudgetTest, SpreadsDelaysWithinTheirBounds)
{
  retry_budget budget(1);
  for (int failures = 0; failures < 40; ++failures) {
    const auto delay = budget.Delay(failures);
    EXPECT_GE(delay, milliseconds(1));
    EXPECT_LE(delay, milliseconds(200));
  }
  EXPECT_GE(budget.Delay(10), milliseconds(100));
}

} // namespace
} // namespace snipewalk
