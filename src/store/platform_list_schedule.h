// When to ask the store for the platform's list of instances. The list is long
// and each call counts, so that it is asked rarely unless a slot waits for it.
#ifndef SNIPEWALK_STORE_PLATFORM_LIST_SCHEDULE_H_
#define SNIPEWALK_STORE_PLATFORM_LIST_SCHEDULE_H_

#include "snipewalk/base/time.h"

namespace snipewalk {

// Gap after the first answer while a slot waits, doubled up to the second
// value.
inline constexpr milliseconds kListGapWaitingMin{ 1'000 };
inline constexpr milliseconds kListGapWaitingMax{ 5'000 };

class platform_list_schedule
{
public:
  time_point Due() const { return mDue; }

  // Asks no later than `aWhen`.
  void AskBy(time_point aWhen);

  // The list was asked; without further events the next time is `aNext`.
  void OnAsked(time_point aNext) { mDue = aNext; }
  // The answer came, or the store failed.
  void OnDone(bool aFailed, time_point aNow);

  // Whether a slot waits for the list. The first wait asks after `aJitter`,
  // which spreads the claimants of one failure.
  void OnWaiting(bool aWaits, milliseconds aJitter, time_point aNow);

private:
  time_point mDue;
  bool mWaits = false;
  milliseconds mGap = kListGapWaitingMin;
};

} // namespace snipewalk

#endif // SNIPEWALK_STORE_PLATFORM_LIST_SCHEDULE_H_
