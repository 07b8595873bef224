// Applies the fleet's records: the duty, the primaries, the instances, and the
// era for which they are complete.
#include "snipewalk/base/log.h"
#include "snipewalk/messages/store_revision.h"
#include "snipewalk/session/session_controller.h"

#include <algorithm>

namespace snipewalk {

void
session_controller::ApplyFleetObject(const stored_object& aObject,
                                     time_point aAsOf,
                                     time_point aNow)
{
  const auto record = DecodeFleetRecord(aObject.mKey.mName, aObject.mValue);
  if (!record.ok()) {
    Log(log_level::Warning,
        "control",
        "cannot decode fleet record",
        { { "record", aObject.mKey.mName },
          { "error", record.status().ToString() } });
    return;
  }
  if (const auto* duty = std::get_if<duty_record>(&*record)) {
    mDuty.OnRecord(*duty, aObject.mVersion, aAsOf, aNow);
  } else if (const auto* primary = std::get_if<primary_record>(&*record)) {
    ApplyPrimaryRecord(*primary, aObject.mVersion, aNow);
  } else if (const auto* chosen = std::get_if<candidate_record>(&*record)) {
    service_control& control = mServices[chosen->mService];
    control.mCandidateVersion = aObject.mVersion;
    control.mProcess.OnChosen(*chosen);
    PublishPrimary(chosen->mService, aNow);
  } else if (const auto* instance = std::get_if<instance_record>(&*record)) {
    mInstances.Put(*instance, aObject.mVersion, aNow);
  } else if (const auto* restored = std::get_if<restored_record>(&*record)) {
    mRestoredEra = restored->mEra;
  }
}

void
session_controller::OnFleet(const kind_watcher::update& aUpdate,
                            time_point aNow)
{
  NoteEra(mFleetWatcher.Era(), aNow);
  const auto& objects = mFleetWatcher.Objects();
  if (aUpdate.mCompleteTo > 0) {
    FindForgottenRecords(aUpdate.mCompleteTo, aNow);
    if (objects.empty() && mStoreReturns == 0) {
      // Nothing has been recorded yet.
      mEraSeenBegin = mFleetWatcher.Era();
    }
    mKnownRevision = std::max(mKnownRevision, aUpdate.mCompleteTo);
    if (aUpdate.mAsOf > mSuspendedUntil) {
      mInstancesAsOf = std::max(mInstancesAsOf, aUpdate.mAsOf);
    }
  }
  bool instances = false;
  for (const auto& name : aUpdate.mChanged) {
    const auto object = objects.find(name);
    if (object != objects.end() && name != kDutyRecordName) {
      ApplyFleetObject(object->second, aUpdate.mAsOf, aNow);
      instances = instances || IsInstanceRecordName(name);
    }
  }
  // An unchanged record is applied too: it confirms that the duty still has the
  // same holder.
  const std::string holderBefore = RecordedHolder();
  if (const auto duty = objects.find(kDutyRecordName); duty != objects.end()) {
    ApplyFleetObject(duty->second, aUpdate.mAsOf, aNow);
  } else {
    mDuty.OnRecord(std::nullopt, aUpdate.mCompleteTo, aUpdate.mAsOf, aNow);
  }
  OnHolderRecorded(aUpdate.mAsOf, RecordedHolder() != holderBefore);
  if (instances) {
    PublishInstances(aNow);
  }
  if (!IsRegistered()) {
    Register(aNow);
  } else if (IsHistoryComplete()) {
    Confirm("store", aUpdate.mAsOf, aNow);
  }
}

void
session_controller::ApplyPrimaryRecord(const primary_record& aRecord,
                                       std::uint64_t aVersion,
                                       time_point aNow)
{
  service_control& control = mServices[aRecord.mService];
  const bool newer = aVersion > control.mRecordVersion;
  const bool storeWentBack =
    control.mRecord && (control.mForgottenSince ||
                        EraOf(aVersion) > EraOf(control.mRecordVersion));
  if (newer) {
    control.mRecordVersion = aVersion;
    control.mStoredVersion = aVersion;
    if (storeWentBack && IsLater(*control.mRecord, aRecord)) {
      NoteForgotten(control, aNow);
      return;
    }
    control.mForgottenSince.reset();
  } else if (!control.mRecord || aRecord.mTerm <= control.mRecord->mTerm) {
    return;
  }
  const bool primaryChanged =
    control.mRecord && control.mRecord->mPrimary != aRecord.mPrimary;
  control.mRecord = aRecord;
  control.mProcess.OnRecord(aRecord, mServers.Find(aRecord.mPrimary));
  if (!newer) {
    // Another instance knows a change that the store has forgotten.
    NoteForgotten(control, aNow);
  }
  if (primaryChanged) {
    control.mMonitor.Reset(aNow);
  }
  Log(log_level::Info,
      "primary",
      "primary recorded",
      { { "service", aRecord.mService },
        { "primary", aRecord.mPrimary },
        { "term", static_cast<std::int64_t>(aRecord.mTerm) },
        { "phase", NameOf(kPrimaryPhaseNames, aRecord.mPhase) },
        { "revision", static_cast<std::int64_t>(aVersion) } });
  PublishPrimary(aRecord.mService, aNow);
}

} // namespace snipewalk
