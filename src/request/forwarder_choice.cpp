// The forwarder's choice of a holder.
#include "snipewalk/request/forwarder.h"

#include "forwarder_requests.h"
#include "snipewalk/request/transaction_id.h"

#include <algorithm>
#include <functional>

namespace snipewalk {

bool
forwarder::IsUsable(const std::string& aInstance, time_point aNow) const
{
  const auto member = mSnapshot->mMembers.find(aInstance);
  if (member == mSnapshot->mMembers.end() ||
      member->second.mPeerAddress.empty() ||
      (member->second.mState != member_state::Alive &&
       member->second.mState != member_state::Suspect)) {
    return false;
  }
  const auto record = mPeers.find(aInstance);
  return record == mPeers.end() || record->second.mAvoidUntil <= aNow;
}

int
forwarder::DistanceTo(const member_info& aMember) const
{
  if (aMember.mDataCentre == mOptions.mDataCentre) {
    return 0;
  }
  const auto self = mSnapshot->mMembers.find(mOptions.mInstance);
  const bool sameRegion = self != mSnapshot->mMembers.end() &&
                          self->second.mRegion == aMember.mRegion;
  return sameRegion ? 1 : 2;
}

std::tuple<int, int, int, std::size_t, std::size_t>
forwarder::RankOf(const pending& aPending,
                  const member_info& aMember,
                  const service_view& aView) const
{
  // Empty unless this instance lost its own route to the primary.
  const auto& reachedBy = aView.mPrimaryReachedBy;
  const bool reaches =
    reachedBy.empty() ||
    std::find(reachedBy.begin(), reachedBy.end(), aMember.mName) !=
      reachedBy.end();
  const auto record = mPeers.find(aMember.mName);
  const std::size_t outstanding =
    record == mPeers.end() ? 0 : record->second.mOutstanding;
  return { reaches ? 0 : 1,
           aMember.mState == member_state::Suspect ? 1 : 0,
           DistanceTo(aMember),
           outstanding,
           std::hash<std::string>()(aPending.mOriginalId + aMember.mName) };
}

forwarder::choice
forwarder::ChooseForTransaction(const statement_request& aStatement) const
{
  const auto id =
    DecodeTransaction(aStatement.mTransaction, mSnapshot->mSessionKeys);
  if (!id.ok()) {
    return { {}, refusal_reason::UnknownTransaction, false };
  }
  if (id->mHolder == mOptions.mInstance) {
    return { id->mHolder, refusal_reason::None, false };
  }
  // A recent link failure does not matter: nobody else holds the connection.
  if (!IsUsable(id->mHolder, time_point::max())) {
    return { {}, refusal_reason::TransactionLost, false };
  }
  return { id->mHolder, refusal_reason::None, false };
}

forwarder::choice
forwarder::ChooseHolder(const pending& aPending,
                        const service_view& aView,
                        time_point aNow) const
{
  const bool detour =
    NeedsPrimary(aPending.mRequest) && !aView.mPrimaryReachedBy.empty();
  const member_info* best = nullptr;
  bool ownIsLast = false;
  for (const auto& holder : aView.mSlots.mHolders) {
    const auto& name = holder.mInstance;
    const auto& tried = aPending.mTried;
    if (std::find(tried.begin(), tried.end(), name) != tried.end()) {
      continue;
    }
    if (name == mOptions.mInstance) {
      if (aView.mConnectionShare > 0 && !detour) {
        return { name, refusal_reason::None, false };
      }
      ownIsLast = aView.mConnectionShare > 0;
      continue;
    }
    if (!IsUsable(name, aNow)) {
      continue;
    }
    const auto& member = mSnapshot->mMembers.at(name);
    if (!best ||
        RankOf(aPending, member, aView) < RankOf(aPending, *best, aView)) {
      best = &member;
    }
  }
  if (best) {
    return { best->mName, refusal_reason::None, false };
  }
  return ownIsLast ? choice{ mOptions.mInstance, refusal_reason::None, false }
                   : choice{ {}, refusal_reason::NoHolder, true };
}

forwarder::choice
forwarder::Choose(const pending& aPending, time_point aNow) const
{
  if (!mSnapshot) {
    return { {}, refusal_reason::NoHolder, true };
  }
  const auto service = mSnapshot->mServices.find(ServiceOf(aPending.mRequest));
  if (service == mSnapshot->mServices.end()) {
    // An instance that has just started may not have all documents yet.
    return mSnapshot->mRevision == 0
             ? choice{ {}, refusal_reason::NoHolder, true }
             : choice{ {}, refusal_reason::UnknownService, false };
  }
  if (IsInTransaction(aPending.mRequest)) {
    return ChooseForTransaction(*StatementOf(aPending.mRequest));
  }
  return ChooseHolder(aPending, *service->second, aNow);
}

} // namespace snipewalk
