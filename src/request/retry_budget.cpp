// Implementation of the retry budget as a token bucket.
#include "snipewalk/request/retry_budget.h"

#include <algorithm>

namespace snipewalk {

namespace {

constexpr double kRetriesPerRequest = 0.1;
constexpr double kRetriesPerSecond = 10;
// A burst after a quiet time is limited to this many retries.
constexpr double kTokensMax = 100;
constexpr milliseconds kDelayMin{ 5 };
constexpr milliseconds kDelayMax{ 200 };

} // namespace

retry_budget::retry_budget(std::uint64_t aSeed)
  : mRandom(static_cast<std::minstd_rand::result_type>(aSeed))
{
}

void
retry_budget::CountRequest()
{
  mTokens = std::min(kTokensMax, mTokens + kRetriesPerRequest);
}

bool
retry_budget::TryRetry(time_point aNow)
{
  if (aNow > mRefilledAt) {
    const std::chrono::duration<double> passed = aNow - mRefilledAt;
    mRefilledAt = aNow;
    // The refill by time alone never exceeds one second's worth.
    const double refilled = mTokens + passed.count() * kRetriesPerSecond;
    mTokens = std::max(mTokens, std::min(refilled, kRetriesPerSecond));
  }
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

milliseconds
retry_budget::Delay(int aFailures)
{
  const auto most = std::min<milliseconds>(
    kDelayMax, kDelayMin * (1 << std::clamp(aFailures, 0, 6)));
  std::uniform_int_distribution<std::int64_t> jitter(
    std::max<std::int64_t>(1, most.count() / 2), most.count());
  return milliseconds(jitter(mRandom));
}

} // namespace snipewalk
