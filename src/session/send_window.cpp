// Implementation of the send window.
#include "snipewalk/session/send_window.h"

#include <algorithm>

namespace snipewalk {

namespace {

constexpr double kLargest = 16;
constexpr double kNarrowing = 0.5;
// Minimum time between two decreases after refusals: a full queue refuses
// several statements at about the same time.
constexpr milliseconds kNarrowEvery{ 100 };
// Slower answers indicate a queue at the server. Statements should rather wait
// on the instance, which places urgent ones first.
constexpr milliseconds kSlow{ 120 };
constexpr double kSlowNarrowing = 0.97;

} // namespace

bool
send_window::Admits(int aUnderWay) const
{
  return aUnderWay < static_cast<int>(mSize);
}

void
send_window::OnAnswer(duration aTook)
{
  const double next =
    aTook > kSlow ? mSize * kSlowNarrowing : mSize + 1 / mSize;
  mSize = std::clamp(next, 1.0, kLargest);
}

void
send_window::OnRefusal(time_point aNow)
{
  if (mNarrowedAt != time_point::min() && aNow < mNarrowedAt + kNarrowEvery) {
    return;
  }
  mNarrowedAt = aNow;
  mSize = std::max(1.0, mSize * kNarrowing);
}

} // namespace snipewalk
