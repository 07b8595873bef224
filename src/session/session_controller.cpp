// Maintains the views of the store (desired state, servers, fleet records) and
// passes them to the engine.
#include "snipewalk/session/session_controller.h"

#include "snipewalk/base/log.h"
#include "snipewalk/messages/store_revision.h"

#include <absl/hash/hash.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Long-poll timeout of watches. Changes that a watch misses are found earlier
// through the reads of the duty holder, see ReadFleet().
constexpr milliseconds kWatchTimeout{ 10'000 };
// Registrations within this window are delivered to the other instances in one
// batch.
constexpr milliseconds kRegistrationBatchWindow{ 500 };
// A process that runs ticks more often than this, also under load.
constexpr milliseconds kMaxTickInterval{ 500 };

} // namespace

session_controller::session_controller(event_loop& aLoop,
                                       store_client& aStore,
                                       session_engine& aEngine,
                                       control_links& aLinks,
                                       platform_objects aObjects,
                                       controller_options aOptions)
  : mLoop(aLoop)
  , mStore(aStore)
  , mEngine(aEngine)
  , mLinks(aLinks)
  , mObjects(std::move(aObjects))
  , mOptions(std::move(aOptions))
  , mStartedAt(aLoop.Now())
  , mDesiredWatcher(aLoop,
                    aStore,
                    mObjects.mDesiredStateKind,
                    kWatchTimeout,
                    [this](const kind_watcher::update&, time_point aNow) {
                      OnDesiredState(aNow);
                    })
  , mServerWatcher(aLoop,
                   aStore,
                   mObjects.mServerKind,
                   kWatchTimeout,
                   [this](const kind_watcher::update& aUpdate,
                          time_point aNow) { OnServers(aUpdate, aNow); })
  , mFleetWatcher(aLoop,
                  aStore,
                  kFleetKind,
                  kWatchTimeout,
                  [this](const kind_watcher::update& aUpdate, time_point aNow) {
                    OnFleet(aUpdate, aNow);
                  })
  , mDuty(mOptions.mInstance, mOptions.mStarted, mOptions.mClaimStagger)
  , mHosts(mOptions.mInstance, mOptions.mDataCentre)
  , mAllowanceOwners(mOptions.mInstance)
  , mAllowances(mOptions.mAllowanceRules)
  , mPossibleOwners(mOptions.mInstance)
{
  mDuty.SetClaimsLastUntil(mStartedAt + kCatchUpTime);
}

void
session_controller::Start()
{
  // When the whole fleet starts at once, every registration would otherwise
  // complete the watch of every instance.
  mFleetWatcher.SetPause([](const store_reply& aReply) {
    const bool onlyInstances = std::all_of(
      aReply.mObjects.begin(), aReply.mObjects.end(), [](const auto& aObject) {
        return IsInstanceRecordName(aObject.mKey.mName);
      });
    return !aReply.mObjects.empty() && onlyInstances
             ? duration(kRegistrationBatchWindow)
             : duration(0);
  });
  // Batches the first entries of servers, which may all register at once.
  // Changes of known servers are urgent and are not delayed.
  mServerWatcher.SetPause([this](const store_reply& aReply) {
    const bool onlyNew =
      std::none_of(aReply.mObjects.begin(),
                   aReply.mObjects.end(),
                   [this](const auto& aObject) {
                     return mServers.IsPresent(aObject.mKey.mName);
                   });
    return !aReply.mObjects.empty() && onlyNew
             ? duration(kRegistrationBatchWindow)
             : duration(0);
  });
  std::uint64_t seed = absl::HashOf(mOptions.mInstance);
  for (kind_watcher* watcher :
       { &mDesiredWatcher, &mServerWatcher, &mFleetWatcher }) {
    watcher->SetSeed(seed++);
  }
  mDesiredWatcher.Start();
  mServerWatcher.Start();
  mFleetWatcher.Start();
}

bool
session_controller::IsReady() const
{
  return mDesired != nullptr && mServerWatcher.IsListed() &&
         mFleetWatcher.IsListed();
}

std::optional<duration>
session_controller::ConfirmationAge(time_point aNow) const
{
  if (mConfirmedAt == time_point::min()) {
    return std::nullopt;
  }
  return aNow - mConfirmedAt;
}

void
session_controller::OnDesiredState(time_point aNow)
{
  NoteEra(mDesiredWatcher.Era(), aNow);
  const auto found = mDesiredWatcher.Objects().find(mObjects.mDesiredStateName);
  if (found == mDesiredWatcher.Objects().end() ||
      found->second.mVersion <= mDesiredRevision) {
    return;
  }
  auto decoded = mObjects.mDecodeDesiredState(found->second.mValue);
  mDesiredRevision = found->second.mVersion;
  if (!decoded.ok()) {
    Log(log_level::Error,
        "control",
        "cannot decode desired state; the previous one stays in force",
        { { "revision", static_cast<std::int64_t>(mDesiredRevision) },
          { "error", decoded.status().ToString() } });
    return;
  }
  if (mDesired && decoded->mVersion < mDesired->mVersion) {
    // The store came back from an older copy, and the operator has not written
    // the later state again yet.
    Log(log_level::Warning,
        "control",
        "store has an earlier desired state; the later one stays in force",
        { { "version", static_cast<std::int64_t>(decoded->mVersion) },
          { "in_force", static_cast<std::int64_t>(mDesired->mVersion) } });
    return;
  }
  Log(log_level::Info,
      "control",
      "desired state in force",
      { { "version", static_cast<std::int64_t>(decoded->mVersion) },
        { "revision", static_cast<std::int64_t>(mDesiredRevision) },
        { "routes", static_cast<std::int64_t>(decoded->mRoutes.size()) },
        { "behind_ms", ToMilliseconds(DesiredStateBehindFor(aNow)) } });
  mDesired = std::make_shared<const desired_state>(*std::move(decoded));
  const account_directory accounts =
    mDesired->mAccounts ? *mDesired->mAccounts : account_directory();
  mAllowanceOwners.SetAccounts(accounts);
  mPossibleOwners.SetAccounts(accounts);
  mAllowances.SetLimits(accounts, aNow);
  mEngine.SetDesiredState(mDesired, aNow);
  for (const auto& [name, limits] : mDesired->mServices) {
    mHosts.SetService(name, limits.StatementConnections());
    if (mServices.try_emplace(name).second) {
      PublishPrimary(name, aNow);
    }
  }
  if (mOnDesiredState) {
    mOnDesiredState();
  }
}

void
session_controller::OnServers(const kind_watcher::update& aUpdate,
                              time_point aNow)
{
  NoteEra(mServerWatcher.Era(), aNow);
  std::set<std::string> services;
  for (const auto& id : aUpdate.mChanged) {
    ApplyServer(id, services, aNow);
  }
  for (const auto& service : services) {
    PublishPrimary(service, aNow);
  }
}

void
session_controller::ApplyServer(const std::string& aServer,
                                std::set<std::string>& aServices,
                                time_point aNow)
{
  const auto before = mServers.Find(aServer);
  if (before) {
    aServices.insert(before->mService);
  }
  const auto object = mServerWatcher.Objects().find(aServer);
  if (object == mServerWatcher.Objects().end()) {
    OnEntryLost(aServer, before, aNow);
    return;
  }
  const auto entry = mObjects.mDecodeServer(aServer, object->second.mValue);
  if (!entry.ok()) {
    Log(log_level::Info,
        "control",
        "cannot decode server entry",
        { { "entry", aServer }, { "error", entry.status().ToString() } });
    OnEntryLost(aServer, before, aNow);
    return;
  }
  if (!mServers.Put(*entry)) {
    return;
  }
  aServices.insert(entry->mService);
  if (before && before->mStarted != entry->mStarted) {
    OnLogLost(*before, aNow);
  }
  if (!before || before->mStarted != entry->mStarted) {
    AddToChange(*entry, aNow);
  }
  NoteProcess(*entry);
  if (entry->mDraining) {
    NoteDraining(*entry);
  }
  if (entry->mPrimary) {
    AskCandidate(*entry, aNow);
  }
  if (!before || !(*before == *entry)) {
    Log(log_level::Info,
        "control",
        "server entry changed",
        { { "server", aServer },
          { "service", entry->mService },
          { "address", entry->mAddress },
          { "primary", entry->mPrimary },
          { "draining", entry->mDraining },
          { "started", static_cast<std::int64_t>(entry->mStarted) } });
  }
  mEngine.PutServer(*entry, aNow);
}

void
session_controller::OnEntryLost(const std::string& aServer,
                                const std::optional<registered_server>& aLast,
                                time_point aNow)
{
  mServers.MarkMissing(aServer, aNow);
  if (!aLast) {
    return;
  }
  OnLogLost(*aLast, aNow);
  const auto control = mServices.find(aLast->mService);
  if (control != mServices.end() && !IsLastPrimary(*aLast)) {
    control->second.mLapsed.OnEntryLost(*aLast, aNow);
  }
}

void
session_controller::NoteProcess(const registered_server& aServer)
{
  const auto control = mServices.find(aServer.mService);
  if (control == mServices.end()) {
    return;
  }
  control->second.mLapsed.OnEntry(aServer);
  primary_process& process = control->second.mProcess;
  const bool restartedBefore = process.HasRestarted(aServer.mId);
  process.OnEntry(aServer);
  if (!restartedBefore && process.HasRestarted(aServer.mId)) {
    Log(log_level::Warning,
        "primary",
        "recorded server has started again without its log",
        { { "service", aServer.mService },
          { "server", aServer.mId },
          { "started", static_cast<std::int64_t>(aServer.mStarted) } });
  }
}

bool
session_controller::IsLastPrimary(const registered_server& aServer) const
{
  const service_primary primary = PrimaryOf(aServer.mService);
  return primary.mServer == aServer.mId && primary.mHasLed;
}

void
session_controller::OnLogLost(const registered_server& aServer, time_point aNow)
{
  const auto control = mServices.find(aServer.mService);
  if (control != mServices.end() && !IsLastPrimary(aServer)) {
    control->second.mReplicaLeftAt = aNow;
  }
}

bool
session_controller::AreEntriesSettled(time_point aNow) const
{
  const auto since = mServerWatcher.ContactSince();
  return since && aNow >= *since + server_directory::kRemovalDelay;
}

void
session_controller::ForgetExpiredServers(time_point aNow)
{
  if (!AreEntriesSettled(aNow)) {
    return;
  }
  // From here on, servers whose entries expire are kept as missing ones.
  mServersKnownSince = mServersKnownSince.value_or(aNow);
  for (const auto& entry : mServers.TakeExpired(aNow)) {
    Log(log_level::Info,
        "control",
        "server is gone",
        { { "server", entry.mId } });
    for (auto& [service, control] : mServices) {
      if (control.mRunning) {
        Perform(service,
                control.mRunning->mChange->OnServerRemoved(entry.mId, aNow),
                aNow);
      }
    }
    mEngine.RemoveServer(entry.mId, aNow);
    PublishPrimary(entry.mService, aNow);
  }
}

void
session_controller::NoteRelease(service_control& aControl,
                                std::uint64_t aTerm,
                                bool aEndsWrites)
{
  std::uint64_t& term =
    aEndsWrites ? aControl.mWritesEndedTerm : aControl.mPlannedTerm;
  term = std::max(term, aTerm);
}

write_permission
session_controller::WritePermission(const service_control& aControl)
{
  const primary_record& record = *aControl.mRecord;
  // A changing record still names the old primary.
  const bool changing = record.mPhase == primary_phase::Changing;
  const bool ended = changing ? record.mTerm <= aControl.mWritesEndedTerm
                              : record.mTerm < aControl.mWritesEndedTerm;
  if (ended) {
    return write_permission::Ended;
  }
  return changing && record.mTerm > aControl.mPlannedTerm
           ? write_permission::Unknown
           : write_permission::Allowed;
}

std::vector<std::string>
session_controller::ReportedPrimaries(const std::string& aService) const
{
  std::vector<std::string> servers;
  for (const auto& entry : mServers.Present(aService)) {
    if (entry.mPrimary) {
      servers.push_back(entry.mId);
    }
  }
  return servers;
}

service_primary
session_controller::UnrecordedPrimaryOf(const std::string& aService) const
{
  const service_control& control = mServices.at(aService);
  const std::vector<std::string> reported = ReportedPrimaries(aService);
  if (reported.size() != 1) {
    return {};
  }
  return { reported.front(),
           0,
           control.mReleasedTerm == 0,
           true,
           control.mWritesEndedTerm == 0 ? write_permission::Allowed
                                         : write_permission::Ended };
}

service_primary
session_controller::PrimaryOf(const std::string& aService) const
{
  const service_control& control = mServices.at(aService);
  if (!control.mRecord) {
    return UnrecordedPrimaryOf(aService);
  }
  const primary_record& record = *control.mRecord;
  const auto entry = mServers.Find(record.mPrimary);
  const bool released = record.mTerm < control.mReleasedTerm ||
                        control.mProcess.HasRestarted(record.mPrimary);
  const bool promoting = record.mPhase == primary_phase::Promoting;
  return { record.mPrimary,
           record.mLeadTerm,
           record.mPhase == primary_phase::Stable && !released,
           !promoting,
           WritePermission(control),
           record.mTerm,
           promoting && !released && entry && entry->mPrimary };
}

void
session_controller::PublishPrimary(const std::string& aService, time_point aNow)
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return;
  }
  primary_monitor& monitor = found->second.mMonitor;
  const service_primary primary = PrimaryOf(aService);
  mEngine.SetPrimary(aService, primary, aNow);
  if (!primary.mServer.empty()) {
    monitor.OnEntry(mServers.Find(primary.mServer), aNow);
    monitor.SetRestarted(found->second.mProcess.HasRestarted(primary.mServer));
    return;
  }
  if (!mServers.Present(aService).empty()) {
    monitor.OnPrimaryUnknown(aNow);
  }
  if (const auto reported = ReportedPrimaries(aService); reported.size() > 1) {
    Log(
      log_level::Info,
      "primary",
      "several servers report themselves as primary; none is used",
      { { "service", aService }, { "servers", absl::StrJoin(reported, " ") } });
  }
}

void
session_controller::OnDatagram(const std::string& aFrom,
                               const peer_datagram& aDatagram,
                               time_point aNow)
{
  if (const auto* report = std::get_if<health_report>(&aDatagram)) {
    OnHealthReport(*report, aNow);
  } else if (const auto* release = std::get_if<release_request>(&aDatagram)) {
    service_control& control = mServices[release->mService];
    control.mReleasedTerm = std::max(control.mReleasedTerm, release->mTerm);
    NoteRelease(control, release->mTerm, release->mEndsWrites);
    PublishPrimary(release->mService, aNow);
    mLinks.SendDatagram(
      aFrom,
      release_answer{
        mOptions.mInstance,
        mOptions.mStarted,
        release->mService,
        release->mTerm,
        mEngine.AcknowledgedPosition(release->mService),
        static_cast<std::uint64_t>(ToMilliseconds(aNow - mStartedAt)) });
  } else if (const auto* answer = std::get_if<release_answer>(&aDatagram)) {
    OnReleaseAnswer(*answer, aNow);
  } else if (const auto* request =
               std::get_if<confirmation_request>(&aDatagram)) {
    RegisterAgain(*request, aNow);
    NoteEra(EraOf(request->mKnownRevision), aNow);
    const time_point asOf = ConfirmsOthersAsOf();
    const bool sameEra = EraOf(mKnownRevision) == StoreEra();
    if (asOf != time_point::min() && !mUnregistered && sameEra &&
        aNow < mConfirmedAt + kConfirmationLifetime) {
      mLinks.SendDatagram(aFrom, AnswerConfirmation(*request, aNow));
    }
  } else if (const auto* confirmed =
               std::get_if<confirmation_answer>(&aDatagram)) {
    OnConfirmation(*confirmed, aNow);
  } else if (const auto* yield =
               std::get_if<connection_yield_request>(&aDatagram)) {
    mEngine.YieldConnections(yield->mServer, aNow);
  } else if (const auto* wanted = std::get_if<allowance_datagram>(&aDatagram)) {
    if (const auto grant = IssueAllowances(*wanted, aNow)) {
      mLinks.SendDatagram(aFrom, *grant);
    }
  } else if (const auto* granted = std::get_if<allowance_grant>(&aDatagram)) {
    mEngine.OnAllowanceGrant(*granted, aNow);
  }
}

void
session_controller::NoteStandstill(time_point aNow)
{
  const auto ticked = std::exchange(mTickedAt, aNow);
  if (ticked && aNow >= *ticked + kMaxTickInterval) {
    Log(log_level::Warning,
        "control",
        "process stood still",
        { { "ms", ToMilliseconds(aNow - *ticked) } });
    mDuty.OnStoodStill(aNow);
  }
}

void
session_controller::OnTick(time_point aNow)
{
  NoteStandstill(aNow);
  ForgetExpiredServers(aNow);
  if (mFleetWatcher.IsListed() && !IsRegistered()) {
    Register(aNow);
  }
  ReadFleet(aNow);
  AskForConfirmation(aNow);
  RestartIfBehind(mDesiredHint, mDesiredWatcher, aNow);
  RestartIfBehind(mServerHint, mServerWatcher, aNow);
  RequestDesiredStateIfBehind(aNow);
  if (const auto write = mDuty.ClaimIfDue(aNow)) {
    WriteDuty(*write);
  }
  VacateDuty(aNow);
  RestoreRecords(aNow);
  ReportHealth(aNow);
  const bool holds = mDuty.Holds(aNow);
  if (holds != std::exchange(mHeldDuty, holds)) {
    Log(log_level::Info,
        "primary",
        holds ? "duty held" : "duty lost",
        { { "fence", static_cast<std::int64_t>(mDuty.Fence()) } });
    if (!holds) {
      AbandonChanges(aNow);
    }
  }
  RequestAllowances(aNow);
  if (holds) {
    MarkRestored(aNow);
  }
  if (holds && mRestoredEra == StoreEra()) {
    MonitorServices(aNow);
    MarkSilentInstances(aNow);
  }
}

void
session_controller::Resign(time_point aNow)
{
  AbandonChanges(aNow);
  mDuty.Resign();
  VacateDuty(aNow);
}

void
session_controller::VacateDuty(time_point aNow)
{
  if (mOrdersUnderWay > 0 || aNow < mOrdersEndedAt) {
    return;
  }
  if (const auto write = mDuty.VacateIfDue(aNow)) {
    WriteDuty(*write);
  }
}

} // namespace snipewalk
