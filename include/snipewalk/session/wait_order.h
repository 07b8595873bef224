// Order in which statements that wait for a connection are placed.
// Statements may temporarily arrive faster than the servers execute them, for
// instance when all reads move to the primary because the replicas lag. In
// order of arrival, soon every statement would miss its latency objective.
// Therefore statements that can still meet it are placed first, and late ones
// use the remaining capacity.
#ifndef SNIPEWALK_SESSION_WAIT_ORDER_H_
#define SNIPEWALK_SESSION_WAIT_ORDER_H_

#include "snipewalk/base/time.h"

#include <compare>

namespace snipewalk {

struct ranked_statement
{
  // Priority of the route; zero is the most urgent.
  int mPriority = 0;
  time_point mReceived;
  // Latency objective.
  duration mObjective{ 0 };
  // Turn of the statement's client account; zero without client accounts.
  double mTurn = 0;
};

// Statements with smaller ranks are placed first.
struct wait_rank
{
  // Whether the statement can no longer meet its latency objective.
  bool mLate = false;
  int mPriority = 0;
  double mTurn = 0;
  // Time by which the reply must arrive to meet the latency objective.
  time_point mDue;

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads the defaulted operator.
  auto operator<=>(const wait_rank&) const = default;
};

// Returns the rank of a waiting statement. `aExpected` is the usual time from
// placing a statement to its answer.
wait_rank
ComputeWaitRank(const ranked_statement& aStatement,
                duration aExpected,
                time_point aNow);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_WAIT_ORDER_H_
