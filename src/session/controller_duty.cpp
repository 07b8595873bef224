// Work of the failover duty: claiming it, and monitoring the primaries and the
// instances.
#include "snipewalk/base/log.h"
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
// An instance that has sent no health report for this long is marked as gone.
// Until then, a change of primary waits for its confirmations to expire.
constexpr milliseconds kReportTimeout{ 2'500 };

} // namespace

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

} // namespace snipewalk
