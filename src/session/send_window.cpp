// Implementation of the send window.
#include "snipewalk/session/send_window.h"

#include <algorithm>

namespace snipewalk {

namespace {

constexpr double kMaxSize = 16;
constexpr double kRefusalFactor = 0.5;
// Minimum time between two decreases after refusals: a full queue refuses
// several statements at about the same time.
constexpr milliseconds kMinDecreaseInterval{ 100 };
// Slower answers indicate a queue at the server. Statements should rather wait
// on the instance, which places urgent ones first: in the server's queue they
// would delay the statements of open transactions, which cannot go elsewhere.
constexpr milliseconds kSlowAnswer{ 60 };
constexpr double kSlowAnswerFactor = 0.97;

} // namespace

bool
send_window::Admits(int aInFlight) const
{
  return aInFlight < static_cast<int>(mSize);
}

void
send_window::OnAnswer(duration aTook)
{
  const double next =
    aTook > kSlowAnswer ? mSize * kSlowAnswerFactor : mSize + 1 / mSize;
  mSize = std::clamp(next, 1.0, kMaxSize);
}

void
send_window::OnRefusal(time_point aNow)
{
  if (mLastDecrease != time_point::min() &&
      aNow < mLastDecrease + kMinDecreaseInterval) {
    return;
  }
  mLastDecrease = aNow;
  mSize = std::max(1.0, mSize * kRefusalFactor);
}

} // namespace snipewalk
