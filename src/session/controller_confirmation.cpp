// Registers this instance, and confirms the recorded primaries by reading the
// store and by asking other instances.
#include "snipewalk/base/log.h"
#include "snipewalk/messages/store_revision.h"
#include "snipewalk/session/session_controller.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

constexpr milliseconds kRegistrationRetryDelay{ 200 };
// An instance that reaches the store registers itself within this time after it
// was marked as gone.
constexpr milliseconds kOwnRegistrationTime{ 500 };
// How often the duty holder reads the fleet records. The confirmations that it
// sends are at most this old, plus the duration of one store call.
constexpr milliseconds kHolderReadInterval{ 700 };
// How often the duty holder lists the servers. The other instances learn the
// newest version from its confirmations, so that a change which their watches
// missed is known in time for a leaving server to be drained.
constexpr milliseconds kHolderServerReadInterval{ 2'100 };
// How often any other instance reads the fleet records while no instance
// confirms them to it.
constexpr milliseconds kFallbackReadInterval{ 1'000 };
// Confirmation requests go to the duty holder, and also to
// kExtraPeersPerRequest other instances if the last confirmation is older than
// kStaleConfirmationAge.
constexpr milliseconds kConfirmationRequestInterval{ 400 };
constexpr milliseconds kStaleConfirmationAge{ 1'000 };
constexpr std::size_t kExtraPeersPerRequest = 2;
// If the last confirmation is older than this, the instance reads the records
// itself.
constexpr milliseconds kFallbackReadAge{ 1'300 };
// Limit of requests whose answers are accepted. Answers to older requests are
// less recent than the next read of the store.
constexpr std::size_t kMaxPendingRequests = 32;

} // namespace

bool
session_controller::IsRegistered() const
{
  return mInstances.IsLive(mOptions.mInstance, mOptions.mStarted, StoreEra());
}

void
session_controller::Confirm(const std::string& aSource,
                            time_point aAsOf,
                            time_point aNow)
{
  if (aAsOf <= std::max(mConfirmedAt, mSuspendedUntil) || mUnregistered) {
    return;
  }
  const bool confirmationExpired =
    aNow >= mConfirmedAt + kConfirmationLifetime ||
    mConfirmedAt == time_point::min();
  mConfirmedAt = aAsOf;
  if (confirmationExpired) {
    Log(log_level::Info,
        "control",
        "recorded primaries are confirmed again",
        { { "by", aSource }, { "age_ms", ToMilliseconds(aNow - aAsOf) } });
  }
  mEngine.SetPrimariesConfirmed(aAsOf + kConfirmationLifetime, aNow);
}

void
session_controller::OnSuspended(time_point aNow)
{
  Log(log_level::Warning, "control", "process was suspended");
  mSuspendedUntil = aNow;
  mConfirmedAt = time_point::min();
  mInstancesAsOf = time_point::min();
  mDuty.OnSuspended(aNow);
  mEngine.OnSuspended(aNow);
  mRequestSentAt.clear();
}

void
session_controller::Register(time_point aNow)
{
  if (mRegistering || mUnregistered || aNow < mRegisterAfter) {
    return;
  }
  mRegistering = true;
  const instance_record record{ mOptions.mInstance,
                                mOptions.mDataCentre,
                                mOptions.mPeerAddress,
                                mOptions.mStarted };
  const std::string name = FleetRecordName(record);
  const auto& objects = mFleetWatcher.Objects();
  const auto held = objects.find(name);
  const std::uint64_t version =
    held == objects.end() ? 0 : held->second.mVersion;
  mStore.Submit(
    store_put{ { kFleetKind, name }, EncodeFleetRecord(record), version },
    store_priority::Urgent,
    [this, alive = std::weak_ptr<bool>(mAlive)](const store_reply& aReply,
                                                time_point aThen) {
      if (alive.expired()) {
        return;
      }
      mRegistering = false;
      mRegisterAfter = aThen + kRegistrationRetryDelay;
      if (aReply.mStatus == store_status::Ok) {
        // The instance counts as registered once a read shows its record,
        // together with all earlier changes. The watch may be paused to batch
        // further registrations, hence the explicit read.
        mFleetWatcher.Refresh();
      }
      if (aReply.mStatus != store_status::Ok) {
        Log(log_level::Info,
            "control",
            "registration of this instance failed",
            { { "status", NameOf(kStoreStatusNames, aReply.mStatus) } });
      }
    });
}

void
session_controller::RegisterAgain(const confirmation_request& aRequest,
                                  time_point aNow)
{
  const std::string& name = aRequest.mInstance;
  const auto* known = mInstances.Find(name);
  const bool sameProcess =
    known != nullptr && known->mRecord.mStarted == aRequest.mStarted;
  // The store has forgotten its record.
  const bool forgotten = sameProcess && EraOf(known->mVersion) < StoreEra();
  const bool gone = sameProcess && known->mGoneSince.has_value();
  if (!(gone || forgotten) || !mDuty.Holds(aNow)) {
    mGoneAskingSince.erase(name);
    return;
  }
  const auto since = mGoneAskingSince.try_emplace(name, aNow).first->second;
  if (aNow < since + kOwnRegistrationTime) {
    return;
  }
  mGoneAskingSince.erase(name);
  mLastReportAt[name] = aNow;
  instance_record live = known->mRecord;
  live.mState = instance_state::Live;
  WriteInstance(
    live, "instance registered again for it", forgotten ? 0 : known->mVersion);
}

void
session_controller::ReadFleet(time_point aNow)
{
  const bool unconfirmed = mConfirmedAt == time_point::min() ||
                           aNow >= mConfirmedAt + kFallbackReadAge;
  const bool due =
    mDuty.IsNamedHolder()
      ? aNow >= mFleetReadAt + kHolderReadInterval
      : unconfirmed && aNow >= mFleetReadAt + kFallbackReadInterval;
  if (!due || !mFleetWatcher.IsListed() || mUnregistered) {
    return;
  }
  mFleetReadAt = aNow;
  mFleetWatcher.Refresh();
  // A watch that has missed a change may not return before its timeout, and
  // this can happen on all instances at once.
  if (mDesiredWatcher.IsListed() && mDesiredWatcher.HasTimeForRefresh(aNow)) {
    mDesiredWatcher.Refresh();
  }
  const bool serversDue =
    unconfirmed || aNow >= mServersReadAt + kHolderServerReadInterval;
  if (serversDue && mServerWatcher.IsListed()) {
    mServersReadAt = aNow;
    mServerWatcher.Refresh();
  }
}

void
session_controller::AskForConfirmation(time_point aNow)
{
  const bool stale = mConfirmedAt == time_point::min() ||
                     aNow >= mConfirmedAt + kStaleConfirmationAge;
  // The holder itself reads the store. If the store refuses it, another
  // instance may have taken over.
  const bool confirmsItself = mDuty.IsNamedHolder() && !stale;
  if (mUnregistered || confirmsItself ||
      aNow < mRequestedAt + kConfirmationRequestInterval) {
    return;
  }
  mRequestedAt = aNow;
  std::vector<std::string> asked;
  std::vector<std::string> others;
  const std::set<std::string> holders = PossibleHolders();
  for (const auto& [name, known] : mInstances.All()) {
    const instance_record& record = known.mRecord;
    if (name == mOptions.mInstance || record.mState != instance_state::Live) {
      continue;
    }
    (holders.contains(name) ? asked : others).push_back(record.mPeerAddress);
  }
  const std::size_t extra =
    stale ? std::min(kExtraPeersPerRequest, others.size()) : 0;
  for (std::size_t i = 0; i < extra; ++i) {
    asked.push_back(
      others[(mLastRequestNumber * kExtraPeersPerRequest + i) % others.size()]);
  }
  const confirmation_request request = NewConfirmationRequest(aNow);
  for (const auto& address : asked) {
    mLinks.SendDatagram(address, request);
  }
}

std::set<std::string>
session_controller::PossibleHolders() const
{
  std::set<std::string> holders{ RecordedHolder(), mConfirmedHolder };
  holders.erase(std::string());
  return holders;
}

void
session_controller::OnHolderRecorded(time_point aAsOf, bool aChanged)
{
  if (aChanged || aAsOf > mHolderConfirmedAt) {
    mConfirmedHolder = RecordedHolder();
    mHolderConfirmedAt = std::max(mHolderConfirmedAt, aAsOf);
    mConfirmedHolderSeenAt = mDuty.HolderSeenAt();
  }
}

std::string
session_controller::RecordedHolder() const
{
  return mDuty.Record() ? mDuty.Record()->mHolder : std::string();
}

time_point
session_controller::ConfirmedHolderSeenAt(time_point aNow) const
{
  if (mConfirmedHolder != RecordedHolder()) {
    return mConfirmedHolderSeenAt;
  }
  // A holder that cannot read the store must not count as seen, even if other
  // instances confirm the records to it.
  return mDuty.IsLeaseCurrent(aNow) ? aNow : mDuty.HolderSeenAt();
}

confirmation_request
session_controller::NewConfirmationRequest(time_point aNow)
{
  if (mRequestSentAt.size() >= kMaxPendingRequests) {
    mRequestSentAt.erase(mRequestSentAt.begin());
  }
  mRequestSentAt[++mLastRequestNumber] = aNow;
  return {
    mOptions.mInstance, mOptions.mStarted, mLastRequestNumber, mKnownRevision
  };
}

void
session_controller::ProbeInstance(const std::string& aPeerAddress,
                                  time_point aNow)
{
  mLinks.SendDatagram(aPeerAddress, NewConfirmationRequest(aNow));
}

time_point
session_controller::ConfirmsOthersAsOf() const
{
  return std::min(mConfirmedAt, mInstancesAsOf);
}

confirmation_answer
session_controller::AnswerConfirmation(const confirmation_request& aRequest,
                                       time_point aNow) const
{
  // Ages are rounded up, so that a confirmation is never reported as more
  // recent than it is.
  const auto age = [&](time_point aSince) {
    return static_cast<std::uint64_t>(ToMilliseconds(aNow - aSince)) + 1;
  };
  confirmation_answer answer;
  answer.mSequenceNumber = aRequest.mSequenceNumber;
  answer.mConfirmationAgeMs = age(ConfirmsOthersAsOf());
  answer.mInstance = mOptions.mInstance;
  // Not the holder that this instance last read: if the store refuses it, that
  // record can be older than the confirmation.
  if (!mConfirmedHolder.empty()) {
    answer.mDutyHolder = mConfirmedHolder;
    answer.mDutyHolderSeenAgeMs = age(ConfirmedHolderSeenAt(aNow));
  }
  answer.mDesiredVersion = mDesiredWatcher.NewestVersion();
  answer.mServerVersion = mServerWatcher.NewestVersion();
  answer.mRequesterRegistered =
    mInstances.IsLive(aRequest.mInstance, aRequest.mStarted, StoreEra());
  AddNewerRecords(answer, aRequest.mKnownRevision);
  return answer;
}

void
session_controller::AddNewerRecords(confirmation_answer& aAnswer,
                                    std::uint64_t aRevision) const
{
  for (const auto& [service, control] : mServices) {
    const bool unknown =
      control.mRecordVersion > aRevision || control.mForgottenSince;
    if (control.mRecord && unknown) {
      aAnswer.mPrimaries.push_back(
        { *control.mRecord, control.mRecordVersion });
    }
  }
  aAnswer.mKnownRevision = mKnownRevision;
  aAnswer.mInstances = mInstances.ChangedSince(
    std::max(aRevision, MakeRevision(StoreEra(), 1) - 1),
    kMaxConfirmedInstances);
  aAnswer.mInstanceCoverage = instance_coverage::All;
  if (aAnswer.mInstances.size() == kMaxConfirmedInstances) {
    aAnswer.mInstanceCoverage = instance_coverage::Partial;
    aAnswer.mKnownRevision =
      std::min(mKnownRevision, aAnswer.mInstances.back().mVersion);
  }
}

void
session_controller::OnConfirmation(const confirmation_answer& aAnswer,
                                   time_point aNow)
{
  const auto asked = mRequestSentAt.find(aAnswer.mSequenceNumber);
  if (asked == mRequestSentAt.end()) {
    return;
  }
  // The answer was created after the request was sent, so its ages are counted
  // from the send time.
  const time_point sent = asked->second;
  if (mOnInstanceReply) {
    mOnInstanceReply(aAnswer.mInstance, aNow);
  }
  const time_point holderSeenAt =
    sent - milliseconds(aAnswer.mDutyHolderSeenAgeMs);
  mDuty.OnHolderSeen(aAnswer.mDutyHolder, holderSeenAt);
  const time_point confirmedAt =
    sent - milliseconds(aAnswer.mConfirmationAgeMs);
  if (!aAnswer.mDutyHolder.empty() && confirmedAt > mHolderConfirmedAt) {
    mConfirmedHolder = aAnswer.mDutyHolder;
    mHolderConfirmedAt = confirmedAt;
    mConfirmedHolderSeenAt = holderSeenAt;
  }
  mDesiredHint.Note(aAnswer.mDesiredVersion);
  mServerHint.Note(aAnswer.mServerVersion);
  NoteEra(EraOf(aAnswer.mKnownRevision), aNow);
  // An instance that has not seen the store come back can't tell what the store
  // has forgotten.
  const bool sameEra = EraOf(aAnswer.mKnownRevision) == StoreEra();
  if (!aAnswer.mRequesterRegistered || !sameEra) {
    return;
  }
  for (const auto& [record, version] : aAnswer.mPrimaries) {
    ApplyFleetObject({ { kFleetKind, PrimaryRecordName(record.mService) },
                       version,
                       false,
                       EncodeFleetRecord(record) },
                     sent,
                     aNow);
  }
  ApplyConfirmedInstances(aAnswer, confirmedAt, aNow);
  Confirm(aAnswer.mInstance, confirmedAt, aNow);
}

void
session_controller::ApplyConfirmedInstances(const confirmation_answer& aAnswer,
                                            time_point aConfirmedAt,
                                            time_point aNow)
{
  bool changed = false;
  for (const auto& [record, version] : aAnswer.mInstances) {
    changed = mInstances.Put(record, version, aNow) || changed;
  }
  if (changed) {
    PublishInstances(aNow);
  }
  // The answer contains all records between the revision stated in the request
  // and its own, so there is no gap.
  if (aAnswer.mInstanceCoverage != instance_coverage::None) {
    mKnownRevision = std::max(mKnownRevision, aAnswer.mKnownRevision);
  }
  if (aAnswer.mInstanceCoverage == instance_coverage::All) {
    mInstancesAsOf = std::max(mInstancesAsOf, aConfirmedAt);
  }
}

void
session_controller::RestartIfBehind(version_hint& aHint,
                                    kind_watcher& aWatcher,
                                    time_point aNow)
{
  aHint.Compare(aWatcher.HasSeen(aHint.Version()), aNow);
  // What is arriving may contain the version.
  if (!aWatcher.IsReplyArriving(aNow) && aHint.TakeRestart(aNow)) {
    aWatcher.Restart();
  }
}

void
session_controller::Unregister(time_point aNow)
{
  mUnregistered = true;
  // The record will state that this process no longer routes to any primary, so
  // it stops before the record is written.
  mConfirmedAt = time_point::min();
  mEngine.SetPrimariesConfirmed(time_point::min(), aNow);
  if (const auto* own = mInstances.Find(mOptions.mInstance)) {
    MarkGone(own->mRecord);
  }
}

void
session_controller::MarkGone(const instance_record& aInstance)
{
  instance_record gone = aInstance;
  gone.mState = instance_state::Gone;
  const std::string name = FleetRecordName(gone);
  const auto held = mFleetWatcher.Objects().find(name);
  if (held == mFleetWatcher.Objects().end()) {
    return;
  }
  WriteInstance(gone, "instance marked as gone", held->second.mVersion);
}

void
session_controller::WriteInstance(const instance_record& aRecord,
                                  const char* aEvent,
                                  std::uint64_t aExpectedVersion)
{
  const std::string name = FleetRecordName(aRecord);
  mStore.Submit(
    store_put{
      { kFleetKind, name }, EncodeFleetRecord(aRecord), aExpectedVersion },
    store_priority::Urgent,
    [name, aEvent](const store_reply& aReply, time_point) {
      Log(log_level::Info,
          "control",
          aEvent,
          { { "record", name },
            { "status", NameOf(kStoreStatusNames, aReply.mStatus) } });
    });
}

} // namespace snipewalk
