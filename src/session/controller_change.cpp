// Carries out the changes of primary that the holder of the failover duty
// begins: passes events to the state machine of each change, and performs its
// commands, records and orders.
#include "snipewalk/base/log.h"
#include "snipewalk/messages/store_revision.h"
#include "snipewalk/session/session_controller.h"

#include <utility>

namespace snipewalk {

namespace {

constexpr milliseconds kCommandTimeout{ 400 };
constexpr milliseconds kRetryDelayAfterFailedChange{ 400 };

} // namespace

void
session_controller::StartChange(const std::string& aService,
                                change_reason aReason,
                                time_point aNow)
{
  service_control& control = mServices[aService];
  const bool primaryAlive = aReason == change_reason::WritesStall ||
                            aReason == change_reason::CutOff ||
                            aReason == change_reason::Leaving;
  if (!mServersKnownSince || (primaryAlive && control.mReplicaLeftAt)) {
    return;
  }
  const service_primary primary = PrimaryOf(aService);
  change_plan plan;
  plan.mService = aService;
  plan.mOldPrimary = primary.mServer;
  plan.mKnownTerm = control.mRecord ? control.mRecord->mTerm : 0;
  plan.mLeadTerm = primary.mLeadTerm;
  plan.mFence = mDuty.Fence();
  const bool logLost = control.mLogSearch.IsLost(aNow);
  if (logLost) {
    Log(log_level::Error,
        "primary",
        "no server has the acknowledged commits; they are lost",
        { { "service", aService },
          { "acknowledged", control.mAcknowledgedPosition.ToString() } });
    control.mRequiredPosition = {};
    control.mAcknowledgedPosition = {};
  }
  plan.mRequiredPosition = control.mRequiredPosition;
  plan.mAcknowledgedPosition = control.mAcknowledgedPosition;
  plan.mPlanned =
    aReason == change_reason::Leaving || aReason == change_reason::CutOff;
  if (control.mRecord && control.mRecord->mPhase != primary_phase::Stable) {
    plan.mResumed = control.mRecord;
  }
  const bool promoting =
    control.mRecord && control.mRecord->mPhase == primary_phase::Promoting;
  plan.mOldPrimaryLost = control.mProcess.HasRestarted(primary.mServer) ||
                         (promoting && !mServers.Find(primary.mServer));
  for (const auto& entry : mServers.Present(aService)) {
    if (entry.mId != primary.mServer) {
      plan.mReplicas.push_back({ entry.mId, entry.mDraining });
    }
  }
  for (const auto& entry : mServers.Missing(aService)) {
    if (entry.mId != primary.mServer) {
      plan.mReplicas.push_back({ entry.mId, true });
    }
  }
  plan.mReplicasComplete = logLost || KnowsAllReplicas(control, aNow);
  const std::string required = plan.mRequiredPosition.ToString();
  Log(log_level::Info,
      "primary",
      "change of primary begins",
      { { "service", aService },
        { "reason", NameOf(kChangeReasonNames, aReason) },
        { "primary", primary.mServer },
        { "replicas", static_cast<std::int64_t>(plan.mReplicas.size()) },
        { "replicas_complete", plan.mReplicasComplete },
        { "required", required } });
  control.mRunning.emplace();
  control.mRunning->mNumber = ++mChangesBegun;
  control.mRunning->mRecordVersion = control.mStoredVersion;
  control.mRunning->mChange = std::make_unique<primary_change>(std::move(plan));
  Perform(aService, control.mRunning->mChange->Start(aNow), aNow);
}

bool
session_controller::KnowsAllReplicas(const service_control& aControl,
                                     time_point aNow) const
{
  return mServersKnownSince && aNow >= *mServersKnownSince + kCatchUpTime &&
         !aControl.mReplicaLeftAt && !aControl.mLapsed.MayConfirm(aNow);
}

void
session_controller::AddToChange(const registered_server& aServer,
                                time_point aNow)
{
  const auto control = mServices.find(aServer.mService);
  if (control != mServices.end() && control->second.mRunning) {
    Perform(aServer.mService,
            control->second.mRunning->mChange->OnServerAdded(
              { aServer.mId, aServer.mDraining }, aNow),
            aNow);
  }
}

void
session_controller::NoteDraining(const registered_server& aServer)
{
  const auto control = mServices.find(aServer.mService);
  if (control != mServices.end() && control->second.mRunning) {
    control->second.mRunning->mChange->OnServerDraining(aServer.mId);
  }
}

void
session_controller::AskCandidate(const registered_server& aServer,
                                 time_point aNow)
{
  const auto control = mServices.find(aServer.mService);
  if (control != mServices.end() && control->second.mRunning) {
    Perform(aServer.mService,
            control->second.mRunning->mChange->OnReportedAsPrimary(aServer.mId),
            aNow);
  }
}

void
session_controller::RunChange(const std::string& aService, time_point aNow)
{
  service_control& control = mServices[aService];
  if (control.mRunning->mReleasing) {
    ContinueRelease(aService, aNow);
  }
  if (control.mRunning) {
    Perform(aService, control.mRunning->mChange->OnTick(aNow), aNow);
  }
  if (control.mRunning && control.mRunning->mChange->IsOver()) {
    const bool logMissing = control.mRunning->mChange->IsLogMissing();
    const bool failed =
      control.mRunning->mChange->Step() == change_step::Failed;
    control.mRunning.reset();
    if (logMissing) {
      control.mLogSearch.OnMissing(aNow);
    }
    if (failed) {
      control.mChangeAfter = aNow + kRetryDelayAfterFailedChange;
    } else {
      control.mMonitor.Reset(aNow);
      control.mRequiredPosition = {};
      control.mAcknowledgedPosition = {};
      control.mLogSearch.Reset();
      PublishPrimary(aService, aNow);
    }
  }
}

void
session_controller::Perform(const std::string& aService,
                            const primary_change::actions& aActions,
                            time_point aNow)
{
  for (const auto& action : aActions) {
    if (const auto* sent = std::get_if<send_command>(&action)) {
      const auto entry = mServers.Find(sent->mServer);
      if (!entry) {
        continue;
      }
      mLinks.RunCommand(
        *entry,
        sent->mCommand,
        kCommandTimeout,
        [this,
         aService,
         change = mServices[aService].mRunning->mNumber,
         server = sent->mServer,
         command = sent->mCommand,
         alive = std::weak_ptr<bool>(mAlive)](
          const std::optional<server_status>& aStatus, time_point aThen) {
          running_change* running =
            alive.expired() ? nullptr : FindChange(aService, change);
          if (running != nullptr) {
            Perform(
              aService,
              running->mChange->OnServerStatus(server, command, aStatus, aThen),
              aThen);
          }
        });
    } else if (const auto* write = std::get_if<write_primary_record>(&action)) {
      WriteRecord(aService, write->mRecord, aNow);
    } else if (const auto* release = std::get_if<release_instances>(&action)) {
      BeginRelease(*release, aNow);
    } else if (const auto* order = std::get_if<order_promotion>(&action)) {
      OrderPromotion(*order, aNow);
    }
  }
}

void
session_controller::OrderPromotion(const order_promotion& aOrder,
                                   time_point aNow)
{
  promotion_authority authority{ mOptions.mInstance, mDuty.Fence(), {} };
  authority.mIsValid = [this,
                        fence = authority.mFence,
                        alive = std::weak_ptr<bool>(mAlive)](time_point aThen) {
    return !alive.expired() && mDuty.Fence() == fence && mDuty.Holds(aThen);
  };
  if (!authority.mIsValid(aNow)) {
    return;
  }
  ++mOrdersUnderWay;
  mLinks.OrderPromotion(aOrder,
                        std::move(authority),
                        [this, aOrder, alive = std::weak_ptr<bool>(mAlive)](
                          promotion_result aResult, time_point aThen) {
                          if (!alive.expired()) {
                            OnOrderEnded(aOrder, aResult, aThen);
                          }
                        });
}

void
session_controller::OnOrderEnded(const order_promotion& aOrder,
                                 promotion_result aResult,
                                 time_point aNow)
{
  --mOrdersUnderWay;
  if (aResult == promotion_result::Unknown) {
    mOrdersEndedAt = aNow + duty_lease::kOrderDelay;
  }
  const auto control = mServices.find(aOrder.mService);
  if (control == mServices.end() || !control->second.mRunning) {
    return;
  }
  // The answer may be to an order of an earlier change.
  primary_change& change = *control->second.mRunning->mChange;
  if (change.Candidate() == aOrder.mServer) {
    Perform(aOrder.mService, change.OnPromoted(aResult, aNow), aNow);
  }
}

running_change*
session_controller::FindChange(const std::string& aService,
                               std::uint64_t aNumber)
{
  const auto control = mServices.find(aService);
  if (control == mServices.end() || !control->second.mRunning ||
      control->second.mRunning->mNumber != aNumber) {
    return nullptr;
  }
  return &*control->second.mRunning;
}

void
session_controller::WriteRecord(const std::string& aService,
                                const primary_record& aRecord,
                                time_point aNow)
{
  // The process may have been stopped since the duty was last checked.
  if (!mDuty.Holds(aNow)) {
    return;
  }
  if (aRecord.mPhase == primary_phase::Promoting) {
    WriteCandidate(aService, aRecord);
  } else {
    SubmitRecord(aService, aRecord);
  }
}

void
session_controller::WriteCandidate(const std::string& aService,
                                   const primary_record& aRecord)
{
  service_control& control = mServices[aService];
  const auto entry = mServers.Find(aRecord.mPrimary);
  const candidate_record chosen{
    aService, aRecord.mPrimary, aRecord.mTerm, entry ? entry->mStarted : 0
  };
  control.mProcess.OnChosen(chosen);
  const std::uint64_t known = control.mCandidateVersion;
  const std::uint64_t expected = EraOf(known) == StoreEra() ? known : 0;
  mStore.Submit(
    store_put{ { kFleetKind, FleetRecordName(chosen) },
               EncodeFleetRecord(chosen),
               expected },
    store_priority::Terms,
    [this,
     aService,
     aRecord,
     change = control.mRunning->mNumber,
     alive = std::weak_ptr<bool>(mAlive)](const store_reply& aReply,
                                          time_point aNow) {
      if (alive.expired()) {
        return;
      }
      const bool written =
        aReply.mStatus == store_status::Ok && !aReply.mObjects.empty();
      if (written) {
        mServices[aService].mCandidateVersion =
          aReply.mObjects.front().mVersion;
      }
      const running_change* running = FindChange(aService, change);
      const bool needed = running != nullptr && mDuty.Holds(aNow) &&
                          running->mChange->Step() == change_step::Choosing;
      if (written && needed) {
        SubmitRecord(aService, aRecord);
      } else if (!written) {
        Log(log_level::Warning,
            "primary",
            "candidate was not written",
            { { "service", aService },
              { "status", NameOf(kStoreStatusNames, aReply.mStatus) } });
        OnRecordWritten(aService, change, false, aNow);
      }
    });
}

void
session_controller::SubmitRecord(const std::string& aService,
                                 const primary_record& aRecord)
{
  const running_change& writing = *mServices[aService].mRunning;
  mStore.Submit(
    store_put{ { kFleetKind, PrimaryRecordName(aService) },
               EncodeFleetRecord(aRecord),
               writing.mRecordVersion },
    store_priority::Terms,
    [this,
     aService,
     aRecord,
     change = writing.mNumber,
     alive = std::weak_ptr<bool>(mAlive)](const store_reply& aReply,
                                          time_point aThen) {
      if (alive.expired()) {
        return;
      }
      const bool written =
        aReply.mStatus == store_status::Ok && !aReply.mObjects.empty();
      if (written) {
        ApplyFleetObject({ { kFleetKind, PrimaryRecordName(aService) },
                           aReply.mObjects.front().mVersion,
                           false,
                           EncodeFleetRecord(aRecord) },
                         aThen,
                         aThen);
      } else {
        Log(log_level::Warning,
            "primary",
            "primary record was not written",
            { { "service", aService },
              { "status", NameOf(kStoreStatusNames, aReply.mStatus) } });
      }
      if (running_change* running = FindChange(aService, change);
          running != nullptr && written) {
        running->mRecordVersion = aReply.mObjects.front().mVersion;
      }
      OnRecordWritten(aService, change, written, aThen);
    });
}

void
session_controller::OnRecordWritten(const std::string& aService,
                                    std::uint64_t aChange,
                                    bool aWritten,
                                    time_point aNow)
{
  if (running_change* running = FindChange(aService, aChange)) {
    Perform(aService, running->mChange->OnRecordWritten(aWritten, aNow), aNow);
  }
}

void
session_controller::AbandonChanges(time_point)
{
  for (auto& [service, control] : mServices) {
    if (control.mRunning) {
      Log(log_level::Info,
          "primary",
          "change of primary abandoned; the next duty holder continues it",
          { { "service", service } });
      control.mRunning.reset();
    }
    // Probes under way get no reply.
    control.mProbing = false;
  }
  mLinks.CloseControlConnections();
  mLastReportAt.clear();
  mYieldRequestedAt.clear();
}

} // namespace snipewalk
