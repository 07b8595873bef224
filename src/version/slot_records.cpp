// Implementation of slot assignment: new versions of the slots object.
#include "slot_service.h"

#include "snipewalk/version/slot_assignment.h"
#include "snipewalk/version/term_record.h"

#include <algorithm>

namespace snipewalk {

namespace {

// Delay before an instance may reclaim a slot that it released to a better
// candidate; gives that candidate and the next ones time to claim the slot.
constexpr milliseconds kReclaimDelay{ 30'000 };

} // namespace

void
slot_assignment::UpdateHolderIndex(const slot_service& aService, bool aAdd)
{
  for (const auto& holder : aService.mRecord.mHolders) {
    if (holder.mInstance.empty()) {
      continue;
    }
    if (aAdd) {
      mByHolder[holder.mInstance].insert(aService.mName);
      continue;
    }
    const auto held = mByHolder.find(holder.mInstance);
    if (held != mByHolder.end()) {
      held->second.erase(aService.mName);
      if (held->second.empty()) {
        mByHolder.erase(held);
      }
    }
  }
}

void
slot_assignment::Adopt(slot_service& aService,
                       const stored_object& aObject,
                       time_point aNow,
                       actions& aActions)
{
  if (aObject.mVersion <= aService.mRecordVersion) {
    return;
  }
  absl::StatusOr<slot_record> next = slot_record{};
  if (!aObject.mDeleted) {
    next = DecodeSlotRecord(aObject.mValue);
  }
  if (!next.ok()) {
    return;
  }
  BlockGrowthAfterReplacement(aService, *next, aNow);
  UpdateHolderIndex(aService, false);
  aService.mRecord = std::move(*next);
  aService.mRecordVersion = aObject.mVersion;
  aService.mRecordText = aObject.mValue;
  aService.mExists = !aObject.mDeleted;
  UpdateHolderIndex(aService, true);
  aService.mPendingPut.reset();
  aService.mTakeOver.reset();
  mPendingTakeOvers.erase(aService.mName);
  aService.mMustReadBack = false;

  std::map<std::string, co_holder> others;
  const bool held = aService.mSlot.has_value();
  aService.mSlot.reset();
  for (std::size_t i = 0; i < aService.mRecord.mHolders.size(); ++i) {
    const auto& holder = aService.mRecord.mHolders[i];
    if (holder.mInstance == mOptions.mInstance) {
      if (holder.mIncarnation == mOptions.mLife) {
        aService.mSlot = i;
      }
    } else if (!holder.mInstance.empty()) {
      co_holder other{ holder.mIncarnation, 0, 0, {}, 0, false };
      const auto known = aService.mCoHolders.find(holder.mInstance);
      if (known != aService.mCoHolders.end() &&
          known->second.mIncarnation == holder.mIncarnation) {
        other = known->second;
        // The replacement that this instance agreed to was based on an older
        // version, so its conditional update can no longer succeed.
        other.mReplacementAgreed = false;
      }
      others.emplace(holder.mInstance, other);
    }
  }
  if (held && aService.mCoHolders.empty() && !others.empty()) {
    // No holder can have agreed to a replacement of this instance yet, because
    // that requires a query from this instance, which knew no other holder
    // until now.
    aService.mLeaseExpiry =
      std::max(aService.mLeaseExpiry, aNow + kSlotLeaseDuration);
  }
  aService.mCoHolders = std::move(others);
  if (aService.mMove && !aService.mSlot) {
    ++mMoves;
    // Lets the better candidate claim the slot first.
    aService.mNextStoreCall =
      std::max(aService.mNextStoreCall, aNow + kReclaimDelay);
  }
  aService.mMove.reset();
  aService.mRecordSince = aNow;
  if (!aService.mSlot) {
    aService.mReleaseAt.reset();
    SetShare(aService, 0, aActions);
  } else {
    if (!held) {
      aService.mClaimVersion = aService.mRecordVersion;
    }
    aService.mNextQuery = aNow;
  }
  Schedule(aService, aNow);
}

void
slot_assignment::BlockGrowthAfterReplacement(slot_service& aService,
                                             const slot_record& aNext,
                                             time_point aNow)
{
  const time_point until = aNow + kTakeOverDelay;
  if (aService.mRecordVersion == 0) {
    // Holders may have been replaced before the first version that this
    // instance received.
    const bool anyHolder =
      !aNext.mInitial &&
      std::any_of(
        aNext.mHolders.begin(), aNext.mHolders.end(), [&](const auto& aHolder) {
          return !aHolder.mInstance.empty() &&
                 aHolder.mInstance != mOptions.mInstance;
        });
    aService.mGrowthBlockedUntil =
      anyHolder ? until : aService.mGrowthBlockedUntil;
    return;
  }
  for (std::size_t i = 0; i < aService.mRecord.mHolders.size(); ++i) {
    const auto& before = aService.mRecord.mHolders[i];
    const auto after =
      i < aNext.mHolders.size() ? aNext.mHolders[i] : slot_record::holder{};
    if (before.mInstance.empty() ||
        (before.mInstance == after.mInstance &&
         before.mIncarnation == after.mIncarnation)) {
      continue;
    }
    if (after.mInstance.empty()) {
      // A holder closes its connections before it vacates its own slot. Other
      // instances vacate only slots beyond the configured number, whose holder
      // may still have connections open.
      if (i >= static_cast<std::size_t>(std::max(0, aService.mSlots)) ||
          aNext.mHolders.empty()) {
        aService.mGrowthBlockedUntil = until;
      }
      continue;
    }
    const bool ownAfterGone =
      after.mInstance == mOptions.mInstance &&
      after.mIncarnation == mOptions.mLife && aService.mPendingPut &&
      aService.mPendingPut->mSlot == i && aService.mPendingPut->mConfirmedGone;
    if (!ownAfterGone) {
      aService.mGrowthBlockedUntil = until;
    }
  }
}

} // namespace snipewalk
