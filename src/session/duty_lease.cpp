// Updates the known duty record from reads and writes in version order,
// determines when a claim is due, and checks that the lease has not expired.
#include "snipewalk/session/duty_lease.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Pause after a write that failed or whose effect is unknown.
constexpr milliseconds kWriteRetryDelay{ 300 };

bool
IsVacant(const std::optional<duty_record>& aRecord)
{
  return !aRecord || aRecord->mHolder.empty();
}

} // namespace

milliseconds
duty_lease::StaggerOf(const std::string& aInstance)
{
  const std::uint64_t hash = XXH64(aInstance.data(), aInstance.size(), 0);
  return milliseconds(
    static_cast<std::int64_t>(hash % std::uint64_t{ kMaxStagger.count() }));
}

duty_lease::duty_lease(std::string aInstance,
                       std::uint64_t aStarted,
                       duration aStagger)
  : mInstance(std::move(aInstance))
  , mStarted(aStarted)
  , mStagger(aStagger)
{
}

bool
duty_lease::IsNamedHolder() const
{
  return IsOfThisEra() && mRecord->mHolder == mInstance &&
         mRecord->mStarted == mStarted;
}

bool
duty_lease::IsUnused() const
{
  if (!mRecord) {
    // A store with eras may have forgotten a claim.
    return mRecordKnown && EraOf(mVersion) == 0;
  }
  // Only a holder that resigned leaves the duty unused. An earlier process of
  // this instance may have ended while its last order was under way, or while
  // it waited for its own predecessor.
  return mRecord->mHolder.empty() && IsOfThisEra();
}

void
duty_lease::SetRecord(const std::optional<duty_record>& aRecord,
                      std::uint64_t aVersion,
                      time_point aNow)
{
  const bool unused = IsUnused() && EraOf(mVersion) == EraOf(aVersion);
  mUsableFrom = unused ? aNow : aNow + kTakeoverDelay;
  mRecord = aRecord;
  mVersion = aVersion;
  mRecordKnown = true;
  mHolderSeenAt = aNow;
}

void
duty_lease::OnRecord(const std::optional<duty_record>& aRecord,
                     std::uint64_t aVersion,
                     time_point aAsOf,
                     time_point aNow)
{
  if (mContactLostAt && aAsOf >= *mContactLostAt) {
    // Nobody could hear from the holder while the store was unavailable, so its
    // silence in that time says nothing.
    mContactLostAt.reset();
    mHolderSeenAt = std::max(mHolderSeenAt, aNow);
  }
  // Ignores reads that return an older version than one that this instance has
  // written or read since.
  const bool stillMissing =
    mRecordKnown && !mRecord && !aRecord && EraOf(aVersion) == EraOf(mVersion);
  if (!mRecordKnown || (aVersion > mVersion && !stillMissing)) {
    SetRecord(aRecord, aVersion, aNow);
  }
  if (aVersion == mVersion && IsNamedHolder() && aAsOf > mSuspendedUntil) {
    mConfirmedAt = std::max(mConfirmedAt, aAsOf);
  }
}

void
duty_lease::OnHolderSeen(const std::string& aHolder, time_point aWhen)
{
  if (mRecord && mRecord->mHolder == aHolder) {
    mHolderSeenAt = std::max(mHolderSeenAt, aWhen);
  }
}

void
duty_lease::OnSuspended(time_point aNow)
{
  mSuspendedUntil = aNow;
  mConfirmedAt = time_point::min();
}

void
duty_lease::OnStoodStill(time_point aNow)
{
  mHolderSeenAt = std::max(mHolderSeenAt, aNow);
}

std::optional<duty_write>
duty_lease::ClaimIfDue(time_point aNow)
{
  if (mResigned || mWritePending || mContactLostAt || !mRecordKnown ||
      IsNamedHolder() || aNow < mNextWriteAt) {
    return std::nullopt;
  }
  // A holder with the same instance name is an earlier process that has ended:
  // two processes of one name never run at the same time.
  const bool vacant =
    IsVacant(mRecord) || mRecord->mHolder == mInstance || !IsOfThisEra();
  const bool claimsLast =
    mRecord && mRecord->mHolder != mInstance && aNow < mClaimsLastUntil;
  const duration wait = (vacant ? duration(0) : duration(kHolderTimeout)) +
                        mStagger +
                        (claimsLast ? duration(kMaxStagger) : duration(0));
  if (aNow < mHolderSeenAt + wait) {
    return std::nullopt;
  }
  mWritePending = true;
  // Without eras, the store forgets no fence number.
  const std::uint64_t used =
    EraOf(mVersion) == 0 ? Fence() : std::max(Fence(), mVersion);
  return duty_write{ { mInstance, mStarted, used + 1 }, StoredVersion() };
}

void
duty_lease::OnWritten(const duty_write& aWrite,
                      std::optional<std::uint64_t> aVersion,
                      time_point aNow)
{
  mWritePending = false;
  if (!aVersion) {
    mNextWriteAt = aNow + kWriteRetryDelay;
    mContactLostAt = aNow;
    return;
  }
  if (*aVersion > mVersion) {
    SetRecord(aWrite.mRecord, *aVersion, aNow);
  }
}

bool
duty_lease::Holds(time_point aNow) const
{
  return IsLeaseCurrent(aNow) && aNow >= mUsableFrom;
}

bool
duty_lease::IsLeaseCurrent(time_point aNow) const
{
  return IsNamedHolder() && !mResigned && mConfirmedAt != time_point::min() &&
         aNow < mConfirmedAt + kLeaseDuration;
}

std::optional<duty_write>
duty_lease::VacateIfDue(time_point aNow)
{
  // Before mUsableFrom, the previous holder may still be using the duty.
  if (!mResigned || mWritePending || !IsNamedHolder() ||
      aNow < std::max(mNextWriteAt, mUsableFrom)) {
    return std::nullopt;
  }
  mWritePending = true;
  return duty_write{ { "", 0, mRecord->mFence }, mVersion };
}

} // namespace snipewalk
