// How long recent statements took: their mean, for the expected wait, and a
// high quantile, for the time that a statement may need.
#ifndef SNIPEWALK_REQUEST_SERVICE_TIME_H_
#define SNIPEWALK_REQUEST_SERVICE_TIME_H_

#include "snipewalk/base/time.h"

#include <array>
#include <cstddef>

namespace snipewalk {

// Statements in the window. Small, so that the mean follows a server that
// becomes slower within a few rounds of a holder's connections.
inline constexpr std::size_t kServiceTimeWindow = 32;
// Assumed before the first statement.
inline constexpr milliseconds kServiceTimeAssumed{ 1 };

class service_time
{
public:
  void Add(duration aTime);

  // A statement that was given up after `aTime`: it would have taken longer.
  // Counts only beyond High(), below it says nothing.
  void AddCut(duration aTime);

  void Clear() { mCount = 0; }

  duration Mean() const;

  // The second longest of the window: the longest is often an outlier, and two
  // slow statements suffice to show that the server became slower.
  duration High() const;

private:
  std::array<duration, kServiceTimeWindow> mTimes{};
  // Added so far; the newest kServiceTimeWindow of them are kept.
  std::size_t mCount = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_SERVICE_TIME_H_
