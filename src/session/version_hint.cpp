// Implementation of the newest version seen by other instances.
#include "snipewalk/session/version_hint.h"

namespace snipewalk {

void
version_hint::Compare(bool aHasSeen, time_point aNow)
{
  if (aHasSeen) {
    mBehindSince.reset();
  } else if (!mBehindSince) {
    mBehindSince = aNow;
  }
}

duration
version_hint::BehindFor(time_point aNow) const
{
  return mBehindSince ? aNow - *mBehindSince : duration(0);
}

bool
version_hint::TakeRestart(time_point aNow)
{
  if (!mBehindSince ||
      aNow < std::max(*mBehindSince, mRestartedAt) + kRestartInterval) {
    return false;
  }
  mRestartedAt = aNow;
  return true;
}

bool
version_hint::TakeRequest(time_point aNow)
{
  if (!mBehindSince ||
      aNow < std::max(*mBehindSince, mRequestedAt) + kRequestInterval) {
    return false;
  }
  mRequestedAt = aNow;
  return true;
}

} // namespace snipewalk
