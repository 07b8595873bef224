// Implementation of slot assignment: release of slots to better candidates.
//
// To release a slot without disrupting the service, the holder first checks
// that the store, which the release depends on, is reachable. It then sets its
// share to zero, waits until the traffic threads report no open connection, and
// vacates the slot. A move that does not reach this point within kMoveTimeout
// is cancelled.
#include "slot_service.h"

#include "snipewalk/version/slot_assignment.h"

#include <algorithm>

namespace snipewalk {

namespace {

constexpr milliseconds kMoveTimeout{ 8'000 };
// Age above which a report of the traffic threads, which report every 500 ms,
// no longer counts.
constexpr milliseconds kMaxReportAge{ 3'000 };
constexpr milliseconds kReportPollInterval{ 250 };

} // namespace

void
slot_assignment::On(const slot_use_reported& aEvent, time_point aNow, actions&)
{
  if (slot_service* service = FindService(aEvent.mService)) {
    service->mUseReported = aNow;
    service->mOpenConnections = aEvent.mConnections;
    service->mOpenTransactions = aEvent.mTransactions;
  }
}

// Returns whether the other holders can serve the service while this slot
// moves.
bool
slot_assignment::MayMove(const slot_service& aService, time_point aNow) const
{
  const auto& holders = aService.mRecord.mHolders;
  const auto slots = static_cast<std::size_t>(std::max(0, aService.mSlots));
  if (!aService.mSlot || slots < 2 || holders.size() != slots ||
      aService.mMustReadBack || !HasValidLease(aService, aNow) ||
      aNow < aService.mRecordSince + mOptions.mMoveStableTime ||
      aNow < aService.mGrowthBlockedUntil) {
    return false;
  }
  const bool othersServe = std::all_of(
    aService.mCoHolders.begin(),
    aService.mCoHolders.end(),
    [&](const auto& aOther) {
      // A query with this version shows that the other holder adopted the
      // slots object.
      return aOther.second.mQueriedVersion >= aService.mRecordVersion &&
             aOther.second.mDocumentVersion >= aService.mDocumentVersion &&
             mFleet.Liveness({ aOther.first, aOther.second.mIncarnation }) ==
               holder_liveness::Live;
    });
  return othersServe && aService.mCoHolders.size() + 1 == slots;
}

std::optional<release_reason>
slot_assignment::ReasonToMove(const slot_service& aService) const
{
  std::vector<std::string> holders;
  for (const auto& holder : aService.mRecord.mHolders) {
    holders.push_back(holder.mInstance);
  }
  return mFleet.ReasonToRelease(aService.mName, holders);
}

void
slot_assignment::StartMove(time_point aNow)
{
  const bool due = mNextMove && aNow >= *mNextMove;
  if (!due && mNextMove) {
    return;
  }
  mNextMove = aNow + mOptions.mMoveSpacing + RandomDelay(mOptions.mMoveSpacing);
  const auto stable = mFleet.StableSince();
  const auto held = mByHolder.find(mOptions.mInstance);
  if (!due || mReleasing || !stable ||
      aNow < *stable + mOptions.mMoveStableTime || held == mByHolder.end()) {
    return;
  }
  slot_service* chosen = nullptr;
  for (const auto& name : held->second) {
    slot_service& service = *mServices.at(name);
    if (service.mMove) {
      return;
    }
    const bool busy =
      !service.mSlot || service.mOperation || !service.mUseReported ||
      aNow > *service.mUseReported + kMaxReportAge ||
      service.mOpenTransactions > 0 ||
      service.mShare !=
        SlotShare(service.mConnections, service.mSlots, *service.mSlot);
    if (busy || !MayMove(service, aNow)) {
      continue;
    }
    const auto reason = ReasonToMove(service);
    if (reason == release_reason::Spread || (reason && chosen == nullptr)) {
      chosen = &service;
    }
  }
  if (chosen != nullptr) {
    chosen->mMove = slot_move{ aNow, {} };
    Schedule(*chosen, aNow);
  }
}

bool
slot_assignment::StepMove(slot_service& aService,
                          time_point aNow,
                          actions& aActions)
{
  if (!aService.mMove) {
    return false;
  }
  slot_move& move = *aService.mMove;
  // After the release was sent, only a new version of the slots object ends the
  // move: the update may have taken effect, and another instance may have
  // claimed the slot.
  const bool sent =
    aService.mMustReadBack || (aService.mOperation && aService.mOperationIsPut);
  if (!sent &&
      (!MayMove(aService, aNow) || aNow >= move.mSince + kMoveTimeout)) {
    aService.mMove.reset();
    return false;
  }
  if (!move.mClosing && aService.mStoreConfirmed < move.mSince) {
    QueryStore(aService, aNow, aActions);
    return false;
  }
  if (!move.mClosing) {
    if (aService.mOpenTransactions > 0 || !ReasonToMove(aService)) {
      aService.mMove.reset();
      return false;
    }
    move.mClosing = aNow;
    SetShare(aService, 0, aActions);
  }
  // One report after the share was closed is enough: a traffic thread without
  // connections and share may report only once.
  const bool closed = aNow >= *move.mClosing + mOptions.mConnectionCloseTime &&
                      *aService.mUseReported > *move.mClosing &&
                      aService.mOpenConnections == 0;
  if (sent || closed) {
    StepRelease(aService, aNow, aActions);
  }
  if (aNow >= aService.mNextQuery) {
    QueryHolders(aService, aNow, aActions);
  }
  Schedule(aService, aNow + kReportPollInterval);
  return true;
}

std::size_t
slot_assignment::Load() const
{
  std::size_t claims = 0;
  for (const auto& [operation, name] : mOperations) {
    const slot_service& service = *mServices.at(name);
    claims += service.mOperationIsPut && !service.mSlot ? 1 : 0;
  }
  return HeldCount() + claims;
}

std::size_t
slot_assignment::HeldBy(const std::string& aInstance) const
{
  const auto held = mByHolder.find(aInstance);
  return held == mByHolder.end() ? 0 : held->second.size();
}

std::vector<std::string>
slot_assignment::ServerDataCentres(const std::string& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? std::vector<std::string>{}
                                  : found->second->mServerDataCentres;
}

} // namespace snipewalk
