// Forecasts how long statements of one service wait for a connection, and finds
// those that will not be placed before their time limit.
// Load pattern: for seconds more statements arrive than the servers execute, as
// when all reads move to the primary because the replicas lag. Those that can
// be on time are placed first, so that the others wait until their time limit
// in vain. Refused at once, their callers can ask another instance.
#ifndef SNIPEWALK_SESSION_WAIT_FORECAST_H_
#define SNIPEWALK_SESSION_WAIT_FORECAST_H_

#include "snipewalk/base/time.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace snipewalk {

// Statements that are placed before or after those of other groups.
struct wait_group
{
  // Cannot be on time any more.
  bool mLate = false;
  // Zero is the most urgent.
  int mPriority = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads the defaulted operator.
  auto operator<=>(const wait_group&) const = default;
};

// A statement that waits for a connection.
struct waiting_statement
{
  wait_group mGroup;
  // Time left until it becomes late; at most zero if it is.
  duration mUntilLate{ 0 };
  // Time left of its limit.
  duration mUntilDeadline{ 0 };
};

class wait_forecast
{
public:
  // The number of statements that wait; called whenever it has changed.
  void OnBacklog(std::size_t aWaiting, time_point aNow);
  // A statement from the queue was executed; its group as of its placement.
  void OnServed(const wait_group& aGroup, time_point aNow);

  // Indices, in rising order, of the statements that will not be placed in
  // time; `aWaiting` is in the order of placement. Empty while the rate of the
  // servers is not known: when nothing was executed lately, as during a change
  // of primary, the queue is blocked and not too long.
  std::vector<std::size_t> FindUnservable(
    std::span<const waiting_statement> aWaiting,
    time_point aNow) const;

  // Expected time until all statements that wait now are placed; nothing while
  // the rate is not known.
  std::optional<duration> TimeToClear(time_point aNow) const;

private:
  struct served_statement
  {
    time_point mAt;
    wait_group mGroup;
  };

  // Begin of the time over which rates are counted; nothing while they are not
  // known.
  std::optional<time_point> CountedFrom(time_point aNow) const;
  // Statements executed a second while others waited: of one group, or all.
  double RateOf(const std::optional<wait_group>& aGroup,
                time_point aFrom,
                time_point aNow) const;

  std::size_t mWaiting = 0;
  // Since when statements have waited without interruption; the rate of an
  // empty queue is that of the arrivals.
  std::optional<time_point> mBacklogSince;
  // In order of time, none older than the window.
  std::deque<served_statement> mServed;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_WAIT_FORECAST_H_
