// Order in which statements that wait for a connection are placed.
// Load pattern: more statements arrive for a while than the servers can
// execute, as when all reads move to the primary because the replicas lag. In
// order of arrival every statement would be late soon. Those that can still be
// on time go first; late ones use what is left.
#ifndef SNIPEWALK_SESSION_WAIT_ORDER_H_
#define SNIPEWALK_SESSION_WAIT_ORDER_H_

#include "snipewalk/base/time.h"

#include <compare>

namespace snipewalk {

struct waiting_work
{
  // Zero is the most urgent.
  int mPriority = 0;
  time_point mReceived;
  // Response time goal.
  duration mObjective{ 0 };
};

// Smaller ranks go first.
struct wait_rank
{
  // Cannot be on time any more.
  bool mLate = false;
  int mPriority = 0;
  // When it stops being on time.
  time_point mDue;

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads the defaulted operator.
  auto operator<=>(const wait_rank&) const = default;
};

// `aExpected` is the usual time from placing a statement to its answer.
wait_rank
RankWaiting(const waiting_work& aWork, duration aExpected, time_point aNow);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_WAIT_ORDER_H_
