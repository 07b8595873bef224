// Implementation of the window of service times.
#include "request/service_time.h"

#include <algorithm>

namespace snipewalk {

void
service_time::Add(duration aTime)
{
  mTimes[mCount++ % mTimes.size()] = aTime;
}

void
service_time::AddCut(duration aTime)
{
  if (aTime > High()) {
    Add(aTime);
  }
}

duration
service_time::Mean() const
{
  const std::size_t kept = std::min(mCount, mTimes.size());
  if (kept == 0) {
    return kServiceTimeAssumed;
  }
  duration sum{ 0 };
  for (std::size_t i = 0; i < kept; ++i) {
    sum += mTimes[i];
  }
  return sum / static_cast<std::int64_t>(kept);
}

duration
service_time::High() const
{
  const std::size_t kept = std::min(mCount, mTimes.size());
  if (kept == 0) {
    return kServiceTimeAssumed;
  }
  duration longest{ 0 };
  duration second{ 0 };
  for (std::size_t i = 0; i < kept; ++i) {
    second = std::max(second, std::min(longest, mTimes[i]));
    longest = std::max(longest, mTimes[i]);
  }
  return kept == 1 ? longest : second;
}

} // namespace snipewalk
