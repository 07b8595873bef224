// Implementation of the order of waiting statements.
#include "snipewalk/session/wait_order.h"

namespace snipewalk {

wait_rank
RankWaiting(const waiting_work& aWork, duration aExpected, time_point aNow)
{
  const time_point due = aWork.mReceived + aWork.mObjective;
  return { aNow + aExpected > due, aWork.mPriority, due };
}

} // namespace snipewalk
