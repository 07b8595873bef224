// Implementation of slot assignment: claims of slots and replies of the store.
#include "slot_service.h"

#include "snipewalk/version/slot_assignment.h"
#include "snipewalk/version/term_record.h"

#include <algorithm>

namespace snipewalk {

namespace {

constexpr milliseconds kMinBackoff{ 200 };
constexpr milliseconds kMaxBackoff{ 8'000 };
// Upper bound of the random delay before a retry after a conflicting update.
constexpr milliseconds kConflictJitter{ 300 };

} // namespace

std::vector<std::size_t>
slot_assignment::FindClaimableSlots(const slot_service& aService) const
{
  const auto& holders = aService.mRecord.mHolders;
  const std::size_t slots = static_cast<std::size_t>(aService.mSlots);
  std::vector<std::size_t> vacant;
  std::vector<std::size_t> gone;
  std::vector<std::size_t> dead;
  for (std::size_t i = 0; i < std::max(slots, holders.size()); ++i) {
    if (i >= holders.size() || holders[i].mInstance.empty()) {
      if (i < slots) {
        vacant.push_back(i);
      }
      continue;
    }
    const holder_liveness liveness = mFleet.Liveness(holders[i]);
    if (liveness == holder_liveness::Gone) {
      gone.push_back(i);
    } else if (liveness == holder_liveness::Dead) {
      dead.push_back(i);
    }
  }
  // Slots whose new holder may open connections sooner come first.
  vacant.insert(vacant.end(), gone.begin(), gone.end());
  vacant.insert(vacant.end(), dead.begin(), dead.end());
  return vacant;
}

bool
slot_assignment::DelayClaim(slot_service& aService,
                            std::size_t aClaimableSlots,
                            time_point aNow)
{
  SetClaimableSlots(aService, aClaimableSlots);
  if (!aService.mClaimableSince) {
    aService.mClaimableSince = aNow;
    aService.mClaimDelayFraction = std::uniform_real_distribution<>()(mRandom);
    aService.mExpectedClaims = 0;
  }
  const claim_window window = UpdateClaimWindow(aService, aNow);
  std::vector<std::string> holders;
  for (const auto& holder : aService.mRecord.mHolders) {
    holders.push_back(holder.mInstance);
  }
  const std::size_t rank = mFleet.Rank(aService.mName, holders);
  const time_point start = *aService.mClaimableSince + window.mStart;
  time_point turn = aService.mNextStoreCall;
  if (!aService.mTakeOver) {
    turn = std::max(turn,
                    start + std::chrono::duration_cast<duration>(
                              aService.mClaimDelayFraction * window.mLength));
  }
  if (rank >= aClaimableSlots) {
    // Candidates that precede this one claim first.
    turn = std::max(turn,
                    start + window.mLength - mOptions.mClaimJitter +
                      mOptions.mDelayPerRank *
                        static_cast<std::int64_t>(rank - aClaimableSlots + 1));
  }
  if (aNow < turn) {
    Schedule(aService, turn);
    return true;
  }
  return false;
}

void
slot_assignment::StepClaimant(slot_service& aService,
                              time_point aNow,
                              actions& aActions)
{
  if (mReleasing || aService.mSlots <= 0 || aService.mOperation) {
    if (aService.mSlots <= 0) {
      SetClaimableSlots(aService, 0);
    }
    return;
  }
  const std::vector<std::size_t> claimableSlots = FindClaimableSlots(aService);
  if (claimableSlots.empty()) {
    SetClaimableSlots(aService, 0);
    aService.mClaimableSince.reset();
    aService.mTakeOver.reset();
    mPendingTakeOvers.erase(aService.mName);
    return;
  }
  if (DelayClaim(aService, claimableSlots.size(), aNow)) {
    return;
  }
  if (aService.mMustReadBack) {
    QueryStore(aService, aNow, aActions);
    return;
  }
  const auto& holders = aService.mRecord.mHolders;
  const std::size_t slot = claimableSlots.front();
  const slot_record::holder own{ mOptions.mInstance, mOptions.mLife };
  if (slot >= holders.size() || holders[slot].mInstance.empty()) {
    PutHolder(aService, slot, own, true, aNow, aActions);
  } else if (mFleet.Liveness(holders[slot]) == holder_liveness::Gone) {
    const bool slotInUse = slot < static_cast<std::size_t>(aService.mSlots);
    PutHolder(aService,
              slot,
              slotInUse ? own : slot_record::holder{},
              true,
              aNow,
              aActions);
  } else {
    TakeOver(aService, slot, aNow, aActions);
  }
}

void
slot_assignment::TakeOver(slot_service& aService,
                          std::size_t aSlot,
                          time_point aNow,
                          actions& aActions)
{
  const slot_record::holder target = aService.mRecord.mHolders[aSlot];
  auto& takeOver = aService.mTakeOver;
  if (!takeOver || takeOver->mSlot != aSlot ||
      takeOver->mRecordVersion != aService.mRecordVersion) {
    takeOver = take_over{ aSlot, target, aService.mRecordVersion, {}, aNow };
    mPendingTakeOvers.insert(aService.mName);
  }
  bool agreed = !takeOver->mAgreed.empty();
  for (const auto& [name, other] : aService.mCoHolders) {
    if (name == target.mInstance || takeOver->mAgreed.contains(name) ||
        mFleet.Liveness({ name, other.mIncarnation }) ==
          holder_liveness::Gone) {
      continue;
    }
    agreed = false;
    const std::string address = mFleet.AddressOf(name);
    if (aNow >= takeOver->mNextQuery && !address.empty()) {
      slot_message query =
        MakeMessage(aService, slot_message_kind::TakeOverQuery, 0);
      query.mHolder = target.mInstance;
      query.mHolderLife = target.mIncarnation;
      query.mRecord = aService.mRecordText;
      aActions.push_back(send_slot_message{ address, std::move(query) });
    }
  }
  if (agreed) {
    const bool slotInUse = aSlot < static_cast<std::size_t>(aService.mSlots);
    PutHolder(aService,
              aSlot,
              slotInUse
                ? slot_record::holder{ mOptions.mInstance, mOptions.mLife }
                : slot_record::holder{},
              false,
              aNow,
              aActions);
    return;
  }
  if (aNow >= takeOver->mNextQuery) {
    takeOver->mNextQuery = aNow + mOptions.mQueryInterval;
  }
  Schedule(aService, takeOver->mNextQuery);
}

void
slot_assignment::PutHolder(slot_service& aService,
                           std::size_t aSlot,
                           const slot_record::holder& aHolder,
                           bool aConfirmedGone,
                           time_point aNow,
                           actions& aActions)
{
  slot_record next = aService.mRecord;
  next.mHolders.resize(
    std::max({ next.mHolders.size(),
               aSlot + 1,
               static_cast<std::size_t>(std::max(0, aService.mSlots)) }));
  const slot_record::holder before = next.mHolders[aSlot];
  const bool vacantOrOwn =
    before.mInstance.empty() || (before.mInstance == mOptions.mInstance &&
                                 before.mIncarnation == mOptions.mLife);
  next.mInitial =
    (aService.mRecordVersion == 0 || next.mInitial) && vacantOrOwn;
  next.mHolders[aSlot] = aHolder;
  while (next.mHolders.size() > static_cast<std::size_t>(aService.mSlots) &&
         next.mHolders.back().mInstance.empty()) {
    next.mHolders.pop_back();
  }
  aService.mPendingPut = pending_put{ aSlot, aConfirmedGone };
  aService.mOperation = mNextOperation++;
  aService.mOperationSent = aNow;
  aService.mOperationIsPut = true;
  mOperations[*aService.mOperation] = aService.mName;
  aActions.push_back(slot_store_call{
    *aService.mOperation,
    store_put{ { std::string(kSlotsKind), aService.mName },
               EncodeSlotRecord(next),
               aService.mExists ? aService.mRecordVersion : 0 },
    PriorityOf(aService) });
}

void
slot_assignment::On(const slot_store_answered& aEvent,
                    time_point aNow,
                    actions& aActions)
{
  const auto found = mOperations.find(aEvent.mOperation);
  if (found == mOperations.end()) {
    return;
  }
  slot_service& service = *mServices.at(found->second);
  mOperations.erase(found);
  if (service.mOperation != aEvent.mOperation) {
    return;
  }
  service.mOperation.reset();
  if (service.mOperationIsPut) {
    OnPutAnswered(service, aEvent.mReply, aNow, aActions);
  } else {
    OnReadAnswered(service, aEvent.mReply, aNow, aActions);
  }
  Schedule(service, aNow);
}

void
slot_assignment::OnPutAnswered(slot_service& aService,
                               const store_reply& aReply,
                               time_point aNow,
                               actions& aActions)
{
  switch (aReply.mStatus) {
    case store_status::Ok:
    case store_status::Conflict:
      aService.mBackoff = milliseconds(0);
      if (aReply.mObjects.empty()) {
        aService.mMustReadBack = true;
        break;
      }
      Adopt(aService, aReply.mObjects.front(), aNow, aActions);
      aActions.push_back(record_learned{ aReply.mObjects.front() });
      if (aReply.mStatus == store_status::Conflict) {
        aService.mNextStoreCall = aNow + RandomDelay(kConflictJitter);
      } else if (aService.mSlot) {
        // The update took effect after it was sent, so it gives a lease from
        // the sending time.
        aService.mLeaseExpiry = std::max(
          aService.mLeaseExpiry, aService.mOperationSent + kSlotLeaseDuration);
      }
      break;
    case store_status::Unknown:
    case store_status::HistoryGone:
      aService.mMustReadBack = true;
      BackOff(aService, aNow);
      break;
    case store_status::NotFound:
      // The object was deleted; a read returns the revision that is used
      // as the version of the deletion.
      aService.mMustReadBack = true;
      break;
    case store_status::RateLimited:
    case store_status::Refused:
      BackOff(aService, aNow);
      break;
  }
}

void
slot_assignment::OnReadAnswered(slot_service& aService,
                                const store_reply& aReply,
                                time_point aNow,
                                actions& aActions)
{
  if (aReply.mStatus == store_status::NotFound) {
    aService.mMustReadBack = false;
    aService.mBackoff = milliseconds(0);
    if (aService.mExists) {
      stored_object absent;
      absent.mKey = { std::string(kSlotsKind), aService.mName };
      absent.mVersion = std::max(aReply.mRevision, aService.mRecordVersion + 1);
      absent.mDeleted = true;
      Adopt(aService, absent, aNow, aActions);
    }
    return;
  }
  if (aReply.mStatus != store_status::Ok || aReply.mObjects.empty()) {
    BackOff(aService, aNow);
    return;
  }
  aService.mMustReadBack = false;
  aService.mBackoff = milliseconds(0);
  const stored_object& object = aReply.mObjects.front();
  Adopt(aService, object, aNow, aActions);
  aActions.push_back(record_learned{ object });
  if (object.mVersion == aService.mRecordVersion && aService.mSlot) {
    aService.mStoreConfirmed = aService.mOperationSent;
    aService.mLeaseExpiry = std::max(
      aService.mLeaseExpiry, aService.mOperationSent + kSlotLeaseDuration);
  }
}

void
slot_assignment::BackOff(slot_service& aService, time_point aNow)
{
  // A holder retries at a constant rate, because its lease may depend on the
  // answer.
  if (!aService.mSlot) {
    aService.mBackoff =
      std::clamp(aService.mBackoff * 2, kMinBackoff, kMaxBackoff);
  } else {
    aService.mBackoff = kMinBackoff;
  }
  aService.mNextStoreCall = aNow + kMinBackoff + RandomDelay(aService.mBackoff);
}

} // namespace snipewalk
