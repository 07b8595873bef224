// How many statements an instance has under way at one server.
// Load pattern: many instances share a server that executes a few statements at
// a time; when reads crowd one server, its queue overflows and refuses even the
// statements of open transactions. Each instance narrows its window when the
// server refuses or slows down, and widens it while answers are quick.
#ifndef SNIPEWALK_SESSION_SEND_WINDOW_H_
#define SNIPEWALK_SESSION_SEND_WINDOW_H_

#include "snipewalk/base/time.h"

namespace snipewalk {

class send_window
{
public:
  // Whether another statement may be placed beside `aUnderWay` others.
  bool Admits(int aUnderWay) const;

  void OnAnswer(duration aTook);
  // The server refused for lack of capacity.
  void OnRefusal(time_point aNow);

  double Size() const { return mSize; }

private:
  // At least 1.
  double mSize = 4;
  // Refusals shortly after this one belong to the same overflow.
  time_point mNarrowedAt = time_point::min();
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SEND_WINDOW_H_
