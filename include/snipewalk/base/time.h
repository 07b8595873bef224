// Time types. Deciding code never reads a clock: callers pass the present time
// as `aNow`.
#ifndef SNIPEWALK_BASE_TIME_H_
#define SNIPEWALK_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace snipewalk {

// Monotonic time of one process; used for timeouts and ages.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

// Calendar time; used only for deadlines of documents, logs and audit entries.
using wall_time = std::chrono::system_clock::time_point;

using std::chrono::milliseconds;
using std::chrono::seconds;

// Whole milliseconds of a duration, rounded towards zero.
constexpr std::int64_t
ToMilliseconds(duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

} // namespace snipewalk

#endif // SNIPEWALK_BASE_TIME_H_
