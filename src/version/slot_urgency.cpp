// Implementation of slot assignment: priority of claims and their distribution
// over time (docs/large-fleets.md, section 1).
#include "slot_service.h"

#include "snipewalk/version/slot_assignment.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Interval between two counts of lost members, each of which iterates over all
// members and services.
constexpr milliseconds kLossCountInterval{ 200 };

} // namespace

claim_window
ClaimWindow(std::size_t aClaims,
            std::size_t aLiveHolders,
            milliseconds aMinimum)
{
  const duration window = std::chrono::duration_cast<duration>(
    seconds(1) * static_cast<std::int64_t>(aClaims) /
    static_cast<std::int64_t>(kClaimsPerSecond));
  const int part = aLiveHolders == 0 ? 4 : aLiveHolders == 1 ? 2 : 1;
  const duration length = std::max<duration>(aMinimum, window / part);
  return { aLiveHolders == 0 ? duration(0) : (length - aMinimum) / 2, length };
}

std::size_t
slot_assignment::LiveHolders(const slot_service& aService) const
{
  const auto& holders = aService.mRecord.mHolders;
  return static_cast<std::size_t>(
    std::count_if(holders.begin(), holders.end(), [&](const auto& aHolder) {
      return !aHolder.mInstance.empty() &&
             mFleet.Liveness(aHolder) == holder_liveness::Live;
    }));
}

store_priority
slot_assignment::PriorityOf(const slot_service& aService) const
{
  // The lease of a holder may depend on the answer.
  const bool holds = aService.mSlot && !mReleasing;
  return holds || LiveHolders(aService) == 0 ? store_priority::Urgent
                                             : store_priority::Slots;
}

void
slot_assignment::SetClaimableSlots(slot_service& aService,
                                   std::size_t aClaimableSlots)
{
  mClaimableSlots += aClaimableSlots;
  mClaimableSlots -= std::exchange(aService.mClaimableSlots, aClaimableSlots);
}

std::size_t
slot_assignment::ExpectedClaims(time_point aNow)
{
  if (mLostSlotsCountedAt == time_point::min() ||
      aNow >= mLostSlotsCountedAt + kLossCountInterval) {
    mLostSlotsCountedAt = aNow;
    std::size_t slots = 0;
    for (const auto& [name, service] : mServices) {
      slots += static_cast<std::size_t>(std::max(0, service->mSlots));
    }
    const fleet_losses losses = mFleet.Losses();
    mLostSlots =
      losses.mLost * slots / std::max<std::size_t>(1, losses.mMembers);
  }
  // The slots of members that were lost earlier may have been claimed already,
  // so the number of claimable slots is an upper bound.
  return std::min(mLostSlots, mClaimableSlots);
}

claim_window
slot_assignment::UpdateClaimWindow(slot_service& aService, time_point aNow)
{
  // Losses become known one by one, so the window grows. If it shrank with each
  // claim of another instance, the remaining claims would come all at once.
  aService.mExpectedClaims =
    std::max(aService.mExpectedClaims, ExpectedClaims(aNow));
  return ClaimWindow(
    aService.mExpectedClaims, LiveHolders(aService), mOptions.mClaimJitter);
}

} // namespace snipewalk
