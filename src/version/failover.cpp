// Event handling and store calls of the failover state machine. The decisions
// are in failover_decisions.cpp, the server requests in failover_servers.cpp.
#include "snipewalk/version/failover.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Backoff after failed store calls. It doubles from the first to the last
// value; the actual wait is a random time between half of it and all of it.
constexpr milliseconds kMinStoreBackoff{ 100 };
constexpr milliseconds kMaxStoreBackoff{ 2'000 };
// Maximum backoff when the store rejects a call because of its rate limit. It
// is shorter because such a store is available and term writes have the highest
// priority: with 2 s, the last of 361 promotions in store-pressure-bench took
// 6.8 s.
constexpr milliseconds kMaxRateLimitBackoff{ 500 };

} // namespace

failover::failover(failover_options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(static_cast<std::minstd_rand::result_type>(mOptions.mSeed))
{
}

void
failover::Handle(const failover_event& aEvent,
                 time_point aNow,
                 actions& aActions)
{
  // During a pause of this event loop, other instances may have made progress
  // that was not received yet. All waiting times therefore restart.
  if (mLastEvent && aNow - *mLastEvent > kPauseThreshold) {
    mRecordSince = aNow;
    mFailedSince.reset();
    mPlan.reset();
    mObserved.clear();
  }
  mLastEvent = aNow;
  std::visit([&](const auto& aTyped) { On(aTyped, aNow, aActions); }, aEvent);
  Advance(aNow, aActions);
}

std::optional<term_record>
failover::Term() const
{
  std::optional<term_record> record = mRecord;
  if (record && mPrimaryConfirmed) {
    record->mPhase = term_phase::Stable;
  }
  return record;
}

void
failover::On(const failover_configured& aEvent, time_point, actions&)
{
  mDocument = aEvent.mDocument;
  mSlot = aEvent.mSlot;
}

void
failover::On(const term_observed& aEvent, time_point aNow, actions& aOut)
{
  Adopt(aEvent.mRecord, aEvent.mVersion, aNow, aOut);
}

void
failover::On(const term_call_done& aEvent, time_point aNow, actions& aOut)
{
  if (!mStoreCall || mStoreCall->mCall != aEvent.mCall) {
    return;
  }
  const store_call call = *std::exchange(mStoreCall, std::nullopt);
  if (call.mWritten) {
    OnStoreWrite(call, aEvent, aNow, aOut);
    return;
  }
  if (aEvent.mStatus == store_status::Ok) {
    Adopt(aEvent.mRecord, aEvent.mVersion, aNow, aOut);
    mReadBackVersion = mVersion;
  } else if (aEvent.mStatus == store_status::NotFound) {
    // NotFound carries no version, whereas a deletion reported by the object
    // cache has a version above zero. Adopt accepts the deletion because it is
    // given the version after the last known one.
    if (!mSynced) {
      mRecordSince = aNow;
    }
    mSynced = true;
    if (mRecord) {
      Adopt(std::nullopt, mVersion + 1, aNow, aOut);
    }
  } else {
    RetryStoreLater(aEvent.mStatus, aNow);
    return;
  }
  mStoreBackoff = milliseconds(0);
}

void
failover::OnStoreWrite(const store_call& aCall,
                       const term_call_done& aEvent,
                       time_point aNow,
                       actions& aOut)
{
  switch (aEvent.mStatus) {
    case store_status::Ok: {
      mStoreBackoff = milliseconds(0);
      aOut.emplace_back(
        term_recorded{ mRecord, *aCall.mWritten, aCall.mReason });
      Adopt(aCall.mWritten, aEvent.mVersion, aNow, aOut);
      return;
    }
    case store_status::Conflict:
      if (aEvent.mRecord) {
        Adopt(aEvent.mRecord, aEvent.mVersion, aNow, aOut);
        return;
      }
      mSynced = false;
      return;
    case store_status::NotFound:
    case store_status::Unknown:
    case store_status::HistoryGone:
      // The update may have taken effect, so the record is read back before any
      // further decision.
      mSynced = false;
      RetryStoreLater(aEvent.mStatus, aNow);
      return;
    case store_status::RateLimited:
    case store_status::Refused:
      RetryStoreLater(aEvent.mStatus, aNow);
      return;
  }
}

void
failover::On(const server_call_done& aEvent, time_point aNow, actions& aOut)
{
  const auto found = mServerCalls.find(aEvent.mCall);
  if (found == mServerCalls.end()) {
    return;
  }
  const server_call call = found->second;
  mServerCalls.erase(found);
  if (aEvent.mReply) {
    mHighestServerTerm = std::max(mHighestServerTerm, aEvent.mReply->mTerm);
  }
  const bool current = mRecord && mRecord->mTerm == call.mTerm;
  if (!current) {
    return;
  }
  const bool done =
    aEvent.mReply && aEvent.mReply->mError == backend_error::None;
  switch (call.mPurpose) {
    case purpose::Fence:
      if (mElection) {
        mElection->mFenceAttempted.insert(call.mServer);
        if (done) {
          OnFenced(call, *aEvent.mReply);
        }
      }
      return;
    case purpose::CatchUp:
      if (mElection && done) {
        mElection->mCaughtUp.insert(call.mServer);
      }
      return;
    case purpose::Promote:
      if (done) {
        OnPromoted(*aEvent.mReply, aNow, aOut);
      }
      return;
    case purpose::Follow:
      return;
  }
}

void
failover::OnFenced(const server_call& aCall, const backend_reply& aReply)
{
  if (!aReply.mStatus || aReply.mStatus->mTerm != aCall.mTerm ||
      mRecord->mPhase != term_phase::Electing) {
    return;
  }
  server_status status = *aReply.mStatus;
  status.mServer = aCall.mServer;
  mElection->mFenced[aCall.mServer] = status;
}

void
failover::On(const server_observed& aEvent, time_point, actions& aOut)
{
  const auto& status = aEvent.mStatus;
  mObserved[status.mServer] = { status, aEvent.mSentAt };
  mHighestServerTerm = std::max(mHighestServerTerm, status.mTerm);
  if (mRecord && mRecord->mPhase == term_phase::Promoting &&
      status.mServer == mRecord->mPrimary && status.mTerm == mRecord->mTerm &&
      status.mRole == server_role::Primary) {
    ConfirmPrimary(aOut);
  }
}

void
failover::On(const primary_failed& aEvent, time_point aNow, actions&)
{
  if (!mRecord || mRecord->mTerm != aEvent.mTerm) {
    return;
  }
  if (!aEvent.mFailed) {
    mFailedSince.reset();
  } else if (!mFailedSince) {
    mFailedSince = aNow;
  }
}

void
failover::On(const change_requested& aEvent, time_point aNow, actions&)
{
  if (mRecord && mRecord->mTerm == aEvent.mTerm &&
      mRecord->mPhase == term_phase::Stable) {
    mPlan = aEvent;
    mPlannedAt = aNow;
  }
}

void
failover::On(const failover_time_passed&, time_point, actions&)
{
}

void
failover::Adopt(const std::optional<term_record>& aRecord,
                std::uint64_t aVersion,
                time_point aNow,
                actions& aOut)
{
  if (aVersion < mVersion) {
    return;
  }
  mSynced = true;
  if (aVersion == mVersion) {
    return;
  }
  const std::optional<term_record> old = std::exchange(mRecord, aRecord);
  mVersion = aVersion;
  mRecordSince = aNow;
  if (old && !old->mPrimary.empty()) {
    mOldPrimary = old->mPrimary;
  }
  if (!old || !mRecord || old->mTerm != mRecord->mTerm) {
    mElection.reset();
    mFailedSince.reset();
    mPrimaryConfirmed = false;
    mNextSendTime.clear();
  }
  if (mRecord && mRecord->mPhase == term_phase::Electing && IsCoordinator()) {
    mElection = election{};
    if (mPlan && mPlan->mTerm + 1 == mRecord->mTerm) {
      mElection->mPlan = mPlan->mChange;
      mElection->mPreviousTerm = mPlan->mTerm;
      mElection->mMayFenceAll = false;
    }
  }
  mPlan.reset();
  if (mRecord && mRecord->mPhase == term_phase::Stable) {
    mPrimaryConfirmed = true;
    mLastStableTerm = mRecord->mTerm;
  }
  aOut.emplace_back(term_changed{});
}

void
failover::Read(actions& aOut)
{
  mStoreCall = store_call{ mNextCall++, std::nullopt, 0, {} };
  aOut.emplace_back(read_term{ mStoreCall->mCall });
}

void
failover::Write(term_record aRecord, std::string aReason, actions& aOut)
{
  aRecord.mOperation = NextOperation();
  aRecord.mOrderedBy = mOptions.mInstance;
  mStoreCall = store_call{
    mNextCall++, aRecord, mRecord ? mVersion : 0, std::move(aReason)
  };
  aOut.emplace_back(
    write_term{ mStoreCall->mCall, aRecord, mStoreCall->mExpected });
}

void
failover::StartElection(std::uint64_t aTerm, std::string aReason, actions& aOut)
{
  term_record record;
  record.mTerm = aTerm;
  record.mVoters = mRecord ? mRecord->mVoters : StayingServers(mDocument);
  record.mPhase = term_phase::Electing;
  Write(std::move(record), std::move(aReason), aOut);
}

void
failover::RetryStoreLater(store_status aStatus, time_point aNow)
{
  mStoreBackoff =
    std::clamp(2 * mStoreBackoff,
               kMinStoreBackoff,
               aStatus == store_status::RateLimited ? kMaxRateLimitBackoff
                                                    : kMaxStoreBackoff);
  std::uniform_int_distribution<std::int64_t> wait(mStoreBackoff.count() / 2,
                                                   mStoreBackoff.count());
  mStoreRetryAt = aNow + milliseconds(wait(mRandom));
}

bool
failover::StoreIsFree(time_point aNow) const
{
  return mSynced && !mStoreCall && aNow >= mStoreRetryAt;
}

bool
failover::IsCoordinator() const
{
  return mRecord &&
         absl::StartsWith(
           mRecord->mOperation,
           absl::StrCat(mOptions.mInstance, "/", mOptions.mIncarnation, "/"));
}

std::string
failover::NextOperation()
{
  return absl::StrCat(
    mOptions.mInstance, "/", mOptions.mIncarnation, "/", mNextOperation++);
}

} // namespace snipewalk
