// Forecasts how long the statements of one service wait for a connection, and
// finds those that will not be placed before their deadlines.
// Statements may arrive faster than the servers execute them for several
// seconds, for instance when all reads move to the primary because the replicas
// lag. Statements that can still meet their latency objective are placed first,
// so the others would wait until their deadline in vain. Refusing these early
// lets their callers try another instance.
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

// Group of statements that have the same precedence in the order of placement.
struct wait_group
{
  // Whether the statement can no longer meet its latency objective.
  bool mLate = false;
  // Priority of the route; zero is the most urgent.
  int mPriority = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads the defaulted operator.
  auto operator<=>(const wait_group&) const = default;
};

// A statement that waits for a connection.
struct waiting_statement
{
  wait_group mGroup;
  // Time until the statement can no longer meet its latency objective; zero or
  // negative if it already cannot.
  duration mUntilLate{ 0 };
  // Time until the deadline of the statement.
  duration mUntilDeadline{ 0 };
};

class wait_forecast
{
public:
  // Sets the number of waiting statements. Must be called whenever it has
  // changed.
  void SetBacklog(std::size_t aWaiting, time_point aNow);
  // Records that a statement from the queue was executed. `aGroup` is its group
  // at the time it was placed.
  void OnExecuted(const wait_group& aGroup, time_point aNow);

  // Returns the indices, in ascending order, of the statements that will not be
  // placed before their deadlines. `aWaiting` must be in the order of
  // placement. The result is empty while the execution rate is unknown: if no
  // statement was executed recently, as during a change of primary, the queue
  // is blocked rather than too long.
  std::vector<std::size_t> FindUnservable(
    std::span<const waiting_statement> aWaiting,
    time_point aNow) const;

  // Returns the expected time until all statements that now wait are placed, or
  // std::nullopt while the execution rate is unknown.
  std::optional<duration> TimeToClear(time_point aNow) const;

private:
  struct executed_statement
  {
    time_point mAt;
    wait_group mGroup;
  };

  // Returns the start of the time span over which rates are measured, or
  // std::nullopt if they are unknown.
  std::optional<time_point> RateWindowStart(time_point aNow) const;
  // Returns the statements of one group, or of all groups, that were executed
  // per second while others waited.
  double RateOf(const std::optional<wait_group>& aGroup,
                time_point aFrom,
                time_point aNow) const;

  std::size_t mWaiting = 0;
  // Time since which the queue has not been empty. While the queue is empty,
  // the execution rate only reflects the arrival rate and is not measured.
  std::optional<time_point> mBacklogSince;
  // Executed statements in order of time, none older than the rate window.
  std::deque<executed_statement> mExecuted;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_WAIT_FORECAST_H_
