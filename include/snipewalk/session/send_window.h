// Limits the number of statements that an instance has in flight at one server.
// Many instances share a server that executes only a few statements at a time.
// If too many reads are sent to it, its queue overflows and it refuses even the
// statements of open transactions. Each instance therefore reduces its window
// when the server refuses statements or slows down, and increases it while
// answers are fast.
#ifndef SNIPEWALK_SESSION_SEND_WINDOW_H_
#define SNIPEWALK_SESSION_SEND_WINDOW_H_

#include "snipewalk/base/time.h"

namespace snipewalk {

class send_window
{
public:
  // Returns whether another statement may be sent while `aInFlight` statements
  // are in flight.
  bool Admits(int aInFlight) const;

  void OnAnswer(duration aTook);
  // Records that the server refused a statement for lack of capacity.
  void OnRefusal(time_point aNow);

  double Size() const { return mSize; }

private:
  // Number of statements that may be in flight, at least 1.
  double mSize = 4;
  // Time of the last decrease after a refusal. Refusals shortly afterwards are
  // attributed to the same overflow.
  time_point mLastDecrease = time_point::min();
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SEND_WINDOW_H_
