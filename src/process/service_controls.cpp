// Implementation of the set of service controllers.
#include "service_controls.h"

#include "snipewalk/base/log.h"
#include "snipewalk/version/term_record.h"

#include <utility>

namespace snipewalk {

namespace {

// A witness keeps its controller for the questions that usually follow.
constexpr milliseconds kWitnessTime{ 30'000 };
// Bounds the controllers that questions of others can create.
constexpr std::size_t kMaxControllers = 256;

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

service_controls::entry&
service_controls::Ensure(const std::string& aService, time_point aNow)
{
  entry& found = mEntries[aService];
  if (!found.mController) {
    found.mController = std::make_unique<service_controller>(
      mLoop, mStore, mAudit, aService, mOptions, mCallbacks);
    found.mController->OnMembers(mMembers, aNow);
  }
  return found;
}

void
service_controls::Inform(entry& aEntry,
                         const service_objects& aObjects,
                         time_point aNow)
{
  aEntry.mIsHeld = aObjects.mIsHeld;
  if (aObjects.mDocument != nullptr) {
    aEntry.mController->OnDocument(*aObjects.mDocument, aNow);
  }
  if (aObjects.mTerm != nullptr) {
    aEntry.mController->OnTermObject(*aObjects.mTerm, aNow);
  }
  aEntry.mController->OnSlots(aObjects.mSlots, aNow);
}

void
service_controls::Update(const std::string& aService, time_point aNow)
{
  const service_objects objects = mLookup(aService);
  const bool known = mEntries.contains(aService);
  if (objects.mDocument == nullptr) {
    mEntries.erase(aService);
  } else if (known || objects.mIsHeld) {
    Inform(Ensure(aService, aNow), objects, aNow);
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
  const auto found = mEntries.find(aService);
  if (found != mEntries.end()) {
    found->second.mController->OnEvidence(aEvidence, aNow);
  }
}

void
service_controls::OnConnections(const std::string& aService,
                                const std::string& aServer,
                                std::size_t aConnections,
                                time_point aNow)
{
  const auto found = mEntries.find(aService);
  if (found != mEntries.end()) {
    found->second.mController->OnConnections(aServer, aConnections, aNow);
  }
}

void
service_controls::OnPeerMessage(const std::string& aInstance,
                                const control_message& aMessage,
                                time_point aNow)
{
  const std::string service =
    std::visit([](const auto& aKnown) { return aKnown.mService; }, aMessage);
  auto found = mEntries.find(service);
  if (found == mEntries.end()) {
    const service_objects objects = mLookup(service);
    if (objects.mDocument == nullptr || mEntries.size() >= kMaxControllers ||
        !std::holds_alternative<primary_report_query>(aMessage)) {
      return;
    }
    Inform(Ensure(service, aNow), objects, aNow);
    found = mEntries.find(service);
  }
  found->second.mLastQuestion = aNow;
  found->second.mController->OnPeerMessage(aInstance, aMessage, aNow);
}

void
service_controls::Tick(time_point aNow, wall_time aWallNow)
{
  mAudit.Tick(aNow);
  for (auto next = mEntries.begin(); next != mEntries.end();) {
    entry& each = next->second;
    if (!each.mIsHeld && aNow - each.mLastQuestion >= kWitnessTime) {
      next = mEntries.erase(next);
      continue;
    }
    each.mController->Tick(aNow, aWallNow);
    ++next;
  }
}

void
service_controls::Describe(const std::string& aService,
                           service_view& aView) const
{
  const auto found = mEntries.find(aService);
  if (found != mEntries.end() && found->second.mIsHeld) {
    aView.mSuspected = found->second.mController->Suspected();
    if (auto term = found->second.mController->Term()) {
      aView.mTerm = std::move(*term);
      return;
    }
  }
  const service_objects objects = mLookup(aService);
  if (objects.mTerm == nullptr) {
    return;
  }
  auto term = DecodeTermRecord(objects.mTerm->mValue);
  if (term.ok()) {
    aView.mTerm = std::move(*term);
  } else {
    Log(log_level::Error,
        "control_loop",
        "The term record in the store is invalid",
        { { "service", std::string_view(aService) } });
  }
}

std::optional<drain_status>
service_controls::DrainStatus(const std::string& aService) const
{
  const auto found = mEntries.find(aService);
  if (found == mEntries.end() || !found->second.mIsHeld) {
    return std::nullopt;
  }
  return found->second.mController->DrainStatus();
}

} // namespace snipewalk
