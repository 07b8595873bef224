// Implementation of the search for a log.
#include "snipewalk/session/lost_log_search.h"

namespace snipewalk {

void
lost_log_search::OnMissing(time_point aNow)
{
  if (IsInterrupted(aNow)) {
    mBeganAt = aNow;
  }
  mMissedAt = aNow;
}

bool
lost_log_search::IsLost(time_point aNow) const
{
  return !IsInterrupted(aNow) && aNow >= *mBeganAt + kTimeout;
}

bool
lost_log_search::IsInterrupted(time_point aNow) const
{
  return !mBeganAt || aNow > mMissedAt + kLongestBreak;
}

} // namespace snipewalk
