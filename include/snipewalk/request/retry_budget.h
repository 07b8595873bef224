// Limits retries to a share of the requests, so that retries cannot multiply
// an overload, and spreads them by a jittered exponential delay.
#ifndef SNIPEWALK_REQUEST_RETRY_BUDGET_H_
#define SNIPEWALK_REQUEST_RETRY_BUDGET_H_

#include "snipewalk/base/time.h"

#include <cstdint>
#include <random>

namespace snipewalk {

class retry_budget
{
public:
  explicit retry_budget(std::uint64_t aSeed);

  // A request arrived: a tenth of a retry is added.
  void CountRequest();

  // Takes one retry; false when the budget is used up.
  bool TryRetry(time_point aNow);

  // Delay before the attempt after `aFailures` failed ones: 5 ms doubled each
  // time, at most 200 ms, of which a random half to all is used.
  milliseconds Delay(int aFailures);

private:
  double mTokens = 10;
  time_point mRefilledAt;
  std::minstd_rand mRandom;
};

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_RETRY_BUDGET_H_
