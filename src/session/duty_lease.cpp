// Implementation of the lease of the duty to order changes of primary.
#include "snipewalk/session/duty_lease.h"

#include <utility>

namespace snipewalk {

namespace {

// Pause after a write that failed or whose effect is unknown.
constexpr milliseconds kWritePause{ 300 };

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
duty_lease::OnRecord(const std::optional<duty_record>& aRecord,
                     std::uint64_t aVersion,
                     time_point aNow)
{
  // A watch may report a version that a write of this instance replaced.
  if (mSeenAt && aVersion <= mVersion) {
    return;
  }
  mRecord = aRecord;
  mVersion = aVersion;
  mSeenAt = aNow;
}

std::optional<duty_write>
duty_lease::Due(time_point aNow)
{
  if (mResigned || mWriting || !mSeenAt || aNow < mWriteAfter) {
    return std::nullopt;
  }
  duty_record next{ mInstance, mStarted, Fence(), 0 };
  if (IsOwn()) {
    if (mWrittenAt && aNow < *mWrittenAt + kRenewEvery) {
      return std::nullopt;
    }
    next.mRenewal = mRecord->mRenewal + 1;
    // A claim whose answer was lost counts from its next renewal only.
  } else {
    // A process of the same name is gone, or it could not have been started.
    const bool vacant =
      !mRecord || mRecord->mHolder.empty() || mRecord->mHolder == mInstance;
    const duration wait = vacant ? mStagger : kTakeoverAfter + mStagger;
    if (aNow < *mSeenAt + wait) {
      return std::nullopt;
    }
    ++next.mFence;
  }
  mWriting = true;
  return duty_write{ next, mVersion };
}

void
duty_lease::OnWritten(const duty_write& aWrite,
                      std::optional<std::uint64_t> aVersion,
                      time_point aSent,
                      time_point aNow)
{
  mWriting = false;
  if (!aVersion) {
    mWriteAfter = aNow + kWritePause;
    return;
  }
  if (*aVersion >= mVersion) {
    mRecord = aWrite.mRecord;
    mVersion = *aVersion;
    mSeenAt = aNow;
  }
  mWrittenAt = aSent;
}

bool
duty_lease::Holds(time_point aNow) const
{
  return IsOwn() && mWrittenAt && !mResigned && aNow < *mWrittenAt + kHoldFor;
}

std::optional<duty_write>
duty_lease::Resign()
{
  mResigned = true;
  if (!IsOwn()) {
    return std::nullopt;
  }
  return duty_write{ { "", 0, mRecord->mFence, mRecord->mRenewal + 1 },
                     mVersion };
}

} // namespace snipewalk
