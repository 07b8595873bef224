// Implementation of the schedule of the platform's list.
#include "store/platform_list_schedule.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

void
platform_list_schedule::AskBy(time_point aWhen)
{
  mDue = std::min(mDue, aWhen);
}

void
platform_list_schedule::OnDone(bool aFailed, time_point aNow)
{
  if (aFailed) {
    mDue = aNow + kListGapWaitingMax;
  } else if (mWaits) {
    AskBy(aNow + mGap);
    mGap = std::min(2 * mGap, kListGapWaitingMax);
  }
}

void
platform_list_schedule::OnWaiting(bool aWaits,
                                  milliseconds aJitter,
                                  time_point aNow)
{
  if (aWaits && !std::exchange(mWaits, aWaits)) {
    mGap = kListGapWaitingMin;
    AskBy(aNow + aJitter);
  }
  mWaits = aWaits;
}

} // namespace snipewalk
