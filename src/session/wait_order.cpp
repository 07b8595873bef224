// Implementation of the order of waiting statements.
#include "snipewalk/session/wait_order.h"

namespace snipewalk {

wait_rank
ComputeWaitRank(const ranked_statement& aStatement,
                duration aExpected,
                time_point aNow)
{
  const time_point due = aStatement.mReceived + aStatement.mObjective;
  return {
    aNow + aExpected > due, aStatement.mPriority, aStatement.mTurn, due
  };
}

} // namespace snipewalk
