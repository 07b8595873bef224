// Implementation of the set of service controllers.
#include "service_controls.h"

#include "snipewalk/version/term_record.h"

#include <utility>
#include <variant>

namespace snipewalk {

namespace {

// A witness keeps its control connections this long after the last query, so
// that repeated queries about one failure need no new connections.
constexpr seconds kKeepWitness{ 30 };
// Witness controllers on one instance; further queries are left to others.
constexpr std::size_t kMaxWitnessed = 64;

const std::string&
ServiceOf(const control_message& aMessage)
{
  return std::visit(
    [](const auto& aKnown) -> const std::string& { return aKnown.mService; },
    aMessage);
}

} // namespace

service_controls::service_controls(event_loop& aLoop,
                                   store_client& aStore,
                                   controller_options aOptions,
                                   controller_callbacks aCallbacks,
                                   lookup aLookup)
  : mLoop(aLoop)
  , mStore(aStore)
  , mOptions(std::move(aOptions))
  , mCallbacks(std::move(aCallbacks))
  , mLookup(std::move(aLookup))
  , mAudit(aStore,
           { mOptions.mInstance,
             mOptions.mIncarnation,
             audit_options{}.mMaxWaiting,
             mOptions.mSeed })
{
}

service_controls::~service_controls() = default;

service_controller*
service_controls::Find(const std::string& aService) const
{
  const auto found = mEntries.find(aService);
  return found == mEntries.end() ? nullptr : found->second.mController.get();
}

service_controls::entry&
service_controls::Create(const std::string& aService, time_point aNow)
{
  entry& created = mEntries[aService];
  if (!created.mController) {
    created.mController = std::make_unique<service_controller>(
      mLoop, mStore, mAudit, aService, mOptions, mCallbacks);
    created.mController->OnMembers(mMembers, aNow);
  }
  return created;
}

void
service_controls::Inform(entry& aEntry,
                         const service_objects& aObjects,
                         time_point aNow)
{
  aEntry.mServers = aObjects.mDocument->mServers.size();
  service_controller& controller = *aEntry.mController;
  if (aObjects.mTerm) {
    controller.OnTermObject(*aObjects.mTerm, aNow);
  }
  controller.OnDocument(*aObjects.mDocument, aObjects.mDocumentVersion, aNow);
  controller.OnSlots(aObjects.mSlots, aNow);
}

void
service_controls::Update(const std::string& aService, time_point aNow)
{
  const service_objects objects = mLookup(aService);
  if (!objects.mDocument) {
    mEntries.erase(aService);
    SpreadProbes();
    return;
  }
  const auto found = mEntries.find(aService);
  if (!objects.mIsHeld && found == mEntries.end()) {
    return;
  }
  entry& updated = Create(aService, aNow);
  if (updated.mIsHeld && !objects.mIsHeld) {
    updated.mKeepUntil = aNow + kKeepWitness;
  }
  updated.mIsHeld = objects.mIsHeld;
  Inform(updated, objects, aNow);
  SpreadProbes();
}

void
service_controls::SpreadProbes()
{
  std::size_t servers = 0;
  for (const auto& [name, known] : mEntries) {
    servers += known.mIsHeld ? known.mServers : 0;
  }
  const milliseconds spacing(1'000 * static_cast<std::int64_t>(servers) /
                             mOptions.mProbesPerSecond);
  for (auto& [name, known] : mEntries) {
    known.mController->SetProbeSpacing(spacing);
  }
}

void
service_controls::SetMembers(std::vector<live_instance> aMembers,
                             time_point aNow)
{
  mMembers = std::move(aMembers);
  for (auto& [name, known] : mEntries) {
    known.mController->OnMembers(mMembers, aNow);
  }
}

void
service_controls::OnEvidence(const std::string& aService,
                             const report_evidence& aEvidence,
                             time_point aNow)
{
  if (service_controller* controller = Find(aService)) {
    controller->OnEvidence(aEvidence, aNow);
  }
}

void
service_controls::OnConnections(const std::string& aService,
                                const std::string& aServer,
                                std::size_t aConnections,
                                time_point aNow)
{
  if (service_controller* controller = Find(aService)) {
    controller->OnConnections(aServer, aConnections, aNow);
  }
}

void
service_controls::OnPeerMessage(const std::string& aInstance,
                                const control_message& aMessage,
                                time_point aNow)
{
  if (const auto* query = std::get_if<transactions_query>(&aMessage)) {
    // Also without a controller: an instance that was started anew, or has
    // lost its slot, has no or its last transactions.
    if (mCallbacks.mHoldBegins) {
      mCallbacks.mHoldBegins(aInstance, *query);
    }
    return;
  }
  const std::string& service = ServiceOf(aMessage);
  const bool isQuery = std::holds_alternative<primary_report_query>(aMessage);
  if (isQuery && !Find(service)) {
    const service_objects objects = mLookup(service);
    if (!objects.mDocument || mEntries.size() >= kMaxWitnessed) {
      return;
    }
    Inform(Create(service, aNow), objects, aNow);
  }
  const auto found = mEntries.find(service);
  if (found == mEntries.end()) {
    return;
  }
  if (isQuery) {
    found->second.mKeepUntil = aNow + kKeepWitness;
  }
  found->second.mController->OnPeerMessage(aInstance, aMessage, aNow);
}

void
service_controls::OnTransactions(const std::string& aAsker,
                                 const transactions_query& aQuery,
                                 std::size_t aOpen,
                                 time_point aNow)
{
  const transactions_report report{ aQuery.mService,
                                    aQuery.mServer,
                                    aQuery.mTerm,
                                    aQuery.mQuery,
                                    mLookup(aQuery.mService).mDocumentVersion,
                                    aOpen };
  if (aAsker != mOptions.mInstance) {
    mCallbacks.mSendPeer(aAsker, report);
  } else if (service_controller* controller = Find(aQuery.mService)) {
    controller->OnPeerMessage(aAsker, report, aNow);
  }
}

void
service_controls::RemoveUnused(time_point aNow)
{
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return !aEntry.second.mIsHeld && aEntry.second.mKeepUntil <= aNow;
  });
}

void
service_controls::Tick(time_point aNow, wall_time aWallNow)
{
  RemoveUnused(aNow);
  for (auto& [name, known] : mEntries) {
    known.mController->Tick(aNow, aWallNow);
  }
  mAudit.Tick(aNow);
}

void
service_controls::Describe(const std::string& aService,
                           service_view& aView) const
{
  std::optional<term_record> term;
  if (const service_controller* controller = Find(aService)) {
    term = controller->Term();
    aView.mSuspected = controller->Suspected();
    aView.mPrimaryReachedBy = controller->PrimaryReachedBy();
  }
  const service_objects objects = mLookup(aService);
  if (!term && objects.mTerm) {
    const auto recorded = DecodeTermRecord(objects.mTerm->mValue);
    term = recorded.ok() ? std::optional(*recorded) : std::nullopt;
  }
  if (term) {
    aView.mTerm = *std::move(term);
  }
}

std::optional<drain_status>
service_controls::DrainStatus(const std::string& aService) const
{
  const service_controller* controller = Find(aService);
  return controller ? std::optional(controller->DrainStatus()) : std::nullopt;
}

} // namespace snipewalk
