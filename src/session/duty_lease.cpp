#include "snipewalk/session/duty_lease.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Pause after a write that failed or whose effect is unknown.
constexpr milliseconds kWritePause{ 300 };

bool
IsVacant(const std::optional<duty_record>& aRecord)
{
  return !aRecord || aRecord->mHolder.empty();
}

} // namespace

duty_lease::duty_lease(std::string aInstance,
                       std::uint64_t aStarted,
                       duration aStagger)
  : mInstance(std::move(aInstance))
  , mStarted(aStarted)
  , mStagger(aStagger)
{
}

bool
duty_lease::IsOwn() const
{
  return mRecord && mRecord->mHolder == mInstance &&
         mRecord->mStarted == mStarted;
}

void
duty_lease::Adopt(const std::optional<duty_record>& aRecord,
                  std::uint64_t aVersion,
                  time_point aNow)
{
  // The previous record decides whether another process may still be using the
  // duty. It is not in use if it was vacant or held by this instance name.
  const bool unused =
    mKnown && (IsVacant(mRecord) || mRecord->mHolder == mInstance);
  mUseAfter = unused ? aNow : aNow + kWaitAfterTakeover;
  mRecord = aRecord;
  mVersion = aVersion;
  mKnown = true;
  mHeardAt = aNow;
}

void
duty_lease::OnRecord(const std::optional<duty_record>& aRecord,
                     std::uint64_t aVersion,
                     time_point aAsOf,
                     time_point aNow)
{
  // Ignores reads that return an older version than one that this instance has
  // written or read since.
  if (!mKnown || aVersion > mVersion) {
    Adopt(aRecord, aVersion, aNow);
  }
  if (aVersion == mVersion && IsOwn()) {
    mReadAt = std::max(mReadAt, aAsOf);
  }
}

void
duty_lease::OnHolderHeard(const std::string& aHolder, time_point aWhen)
{
  if (mRecord && mRecord->mHolder == aHolder) {
    mHeardAt = std::max(mHeardAt, aWhen);
  }
}

void
duty_lease::OnSuspended()
{
  mReadAt = time_point::min();
}

std::optional<duty_write>
duty_lease::Due(time_point aNow)
{
  if (mResigned || mWriting || !mKnown || IsOwn() || aNow < mWriteAfter) {
    return std::nullopt;
  }
  // A holder with the same instance name is an earlier process that has ended:
  // two processes of one name never run at the same time.
  const bool vacant = IsVacant(mRecord) || mRecord->mHolder == mInstance;
  const duration wait = vacant ? mStagger : kSilence + mStagger;
  if (aNow < mHeardAt + wait) {
    return std::nullopt;
  }
  mWriting = true;
  return duty_write{ { mInstance, mStarted, Fence() + 1 }, mVersion };
}

void
duty_lease::OnWritten(const duty_write& aWrite,
                      std::optional<std::uint64_t> aVersion,
                      time_point aNow)
{
  mWriting = false;
  if (!aVersion) {
    mWriteAfter = aNow + kWritePause;
    return;
  }
  if (*aVersion > mVersion) {
    Adopt(aWrite.mRecord, *aVersion, aNow);
  }
}

bool
duty_lease::Holds(time_point aNow) const
{
  return IsOwn() && !mResigned && aNow >= mUseAfter &&
         mReadAt != time_point::min() && aNow < mReadAt + kUseFor;
}

std::optional<duty_write>
duty_lease::Resign()
{
  mResigned = true;
  if (!IsOwn()) {
    return std::nullopt;
  }
  return duty_write{ { "", 0, mRecord->mFence }, mVersion };
}

} // namespace snipewalk
