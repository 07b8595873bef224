// Work of the failover duty: claiming it, monitoring the primaries, and
// carrying out changes of primary.
#include "snipewalk/base/log.h"
#include "snipewalk/messages/store_revision.h"
#include "snipewalk/session/session_controller.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

constexpr milliseconds kReportInterval{ 500 };
constexpr milliseconds kProblemReportInterval{ 200 };
constexpr milliseconds kProbeTimeout{ 200 };
// Minimum interval between two requests to yield connections of a server.
constexpr milliseconds kYieldRequestInterval{ 500 };
constexpr milliseconds kCommandTimeout{ 400 };
constexpr milliseconds kRetryDelayAfterFailedChange{ 400 };
// An instance that has sent no health report for this long is marked as gone.
// Until then, a change of primary waits for its confirmations to expire.
constexpr milliseconds kReportTimeout{ 2'500 };
} // namespace

session_controller::running_change::running_change() = default;

void
session_controller::WriteDuty(const duty_write& aWrite)
{
  mStore.Submit(
    store_put{ { kFleetKind, kDutyRecordName },
               EncodeFleetRecord(aWrite.mRecord),
               aWrite.mExpectedVersion },
    store_priority::Terms,
    [this, aWrite, alive = std::weak_ptr<bool>(mAlive)](
      const store_reply& aReply, time_point aThen) {
      if (alive.expired()) {
        return;
      }
      const bool written =
        aReply.mStatus == store_status::Ok && !aReply.mObjects.empty();
      mDuty.OnWritten(aWrite,
                      written ? std::optional(aReply.mObjects.front().mVersion)
                              : std::nullopt,
                      aThen);
      if (written) {
        OnHolderRecorded(mHolderConfirmedAt, true);
      } else if (mFleetWatcher.IsListed()) {
        // Shows whether the write took effect after all.
        mFleetWatcher.Refresh();
      }
    });
}

void
session_controller::ReportHealth(time_point aNow)
{
  health_report report{ mOptions.mInstance, {} };
  std::set<std::string> services;
  bool problem = false;
  for (const auto& [service, observation] : mEngine.ObservePrimaries()) {
    const primary_health health = ClassifyObservation(observation, aNow);
    problem = problem || health == primary_health::WritesStall ||
              health == primary_health::Unreachable;
    const bool active = health != primary_health::NoTraffic;
    // A service without traffic is reported once, after its last report with
    // another health, and then omitted.
    if (active || mReportedServices.contains(service)) {
      report.mEntries.push_back({ service, observation.mServer, health });
    }
    if (active) {
      services.insert(service);
    }
  }
  const milliseconds every = problem ? kProblemReportInterval : kReportInterval;
  const bool due = aNow >= mReportedAt + every || problem != mReportedProblem;
  if (!due) {
    return;
  }
  mReportedAt = aNow;
  mReportedProblem = problem;
  mReportedServices = std::move(services);
  if (mDuty.Holds(aNow)) {
    OnHealthReport(report, aNow);
    return;
  }
  for (const auto& name : PossibleHolders()) {
    const auto* holder = mInstances.Find(name);
    if (holder != nullptr && name != mOptions.mInstance) {
      mLinks.SendDatagram(holder->mRecord.mPeerAddress, report);
    }
  }
}

void
session_controller::OnHealthReport(const health_report& aReport,
                                   time_point aNow)
{
  mLastReportAt[aReport.mInstance] = aNow;
  for (const auto& entry : aReport.mEntries) {
    const auto control = mServices.find(entry.mService);
    if (control == mServices.end() ||
        PrimaryOf(entry.mService).mServer != entry.mServer) {
      continue;
    }
    control->second.mMonitor.OnReport(aReport.mInstance, entry.mHealth, aNow);
  }
}

void
session_controller::MonitorServices(time_point aNow)
{
  for (const auto& entry : mServers.All()) {
    mLinks.KeepControlConnection(entry);
  }
  for (auto& [service, control] : mServices) {
    if (control.mRunning) {
      RunChange(service, aNow);
      continue;
    }
    const bool interrupted =
      control.mRecord && control.mRecord->mPhase != primary_phase::Stable;
    if (control.mForgottenSince) {
      continue;
    }
    const bool needsProbe =
      control.mMonitor.NeedsProbe(aNow) || control.mReplicaLeftAt.has_value();
    if (needsProbe && !control.mProbing) {
      Probe(service, aNow);
    }
    const change_reason reason =
      interrupted ? change_reason::LostRole : control.mMonitor.Decide(aNow);
    if (reason != change_reason::None && aNow >= control.mChangeAfter) {
      StartChange(service, reason, aNow);
    }
  }
}

void
session_controller::MarkSilentInstances(time_point aNow)
{
  for (const auto& [name, known] : mInstances.All()) {
    const instance_record& record = known.mRecord;
    const auto heard = mLastReportAt.try_emplace(name, aNow).first;
    const bool silent = record.mState == instance_state::Live &&
                        name != mOptions.mInstance &&
                        aNow >= heard->second + kReportTimeout;
    if (silent) {
      heard->second = aNow;
      MarkGone(record);
    }
  }
}

void
session_controller::OnControlConnectionRefused(const std::string& aServer,
                                               time_point aNow)
{
  const auto requested =
    mYieldRequestedAt.try_emplace(aServer, time_point::min()).first;
  const bool recent = requested->second != time_point::min() &&
                      aNow < requested->second + kYieldRequestInterval;
  if (recent || !mDuty.Holds(aNow)) {
    return;
  }
  requested->second = aNow;
  mEngine.YieldConnections(aServer, aNow);
  for (const auto& [name, known] : mInstances.All()) {
    const instance_record& record = known.mRecord;
    if (name != mOptions.mInstance && record.mState == instance_state::Live) {
      mLinks.SendDatagram(record.mPeerAddress,
                          connection_yield_request{ aServer });
    }
  }
}

void
session_controller::Probe(const std::string& aService, time_point aSent)
{
  const auto entry = mServers.Find(PrimaryOf(aService).mServer);
  if (!entry) {
    // It may have left before this instance held the duty.
    mServices[aService].mMonitor.OnProbe(false, aSent);
    return;
  }
  mServices[aService].mProbing = true;
  mLinks.RunCommand(
    *entry,
    status_command{},
    kProbeTimeout,
    [this, aService, aSent, alive = std::weak_ptr<bool>(mAlive)](
      const std::optional<server_status>& aStatus, time_point aNow) {
      if (alive.expired()) {
        return;
      }
      service_control& control = mServices[aService];
      control.mProbing = false;
      if (aStatus) {
        UpdateRequiredPosition(control, *aStatus, aSent);
      }
      control.mMonitor.OnProbe(aStatus.has_value(), aNow);
    });
}

void
session_controller::UpdateRequiredPosition(service_control& aControl,
                                           const server_status& aStatus,
                                           time_point aSent)
{
  const bool covers =
    aControl.mReplicaLeftAt && aSent >= *aControl.mReplicaLeftAt;
  if (covers && aStatus.mRole == server_role::Primary) {
    aControl.mRequiredPosition =
      std::max(aControl.mRequiredPosition, aStatus.mReceived);
    aControl.mReplicaLeftAt.reset();
  }
}

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
  plan.mOldPrimaryLost = !mServers.Find(primary.mServer) ||
                         control.mProcess.HasRestarted(primary.mServer);
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
         !aControl.mReplicaLeftAt;
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

session_controller::running_change*
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
  const running_change& running = *mServices[aService].mRunning;
  mStore.Submit(
    store_put{ { kFleetKind, PrimaryRecordName(aService) },
               EncodeFleetRecord(aRecord),
               running.mRecordVersion },
    store_priority::Terms,
    [this,
     aService,
     aRecord,
     change = running.mNumber,
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
