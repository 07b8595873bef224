// Implementation of the fleet as slot assignment sees it.
#include "membership_fleet.h"

namespace snipewalk {

holder_liveness
membership_fleet::Liveness(const slot_record::holder& aHolder) const
{
  if (aHolder.mInstance == mMembership.Self().mName) {
    // An earlier process of this instance; two at a time do not stay.
    return aHolder.mIncarnation == mMembership.Life() ? holder_liveness::Live
                                                      : holder_liveness::Gone;
  }
  const known_member* member = mMembership.Find(aHolder.mInstance);
  if (member == nullptr) {
    const auto& known = mStrangers[{ aHolder.mInstance, aHolder.mIncarnation }];
    return known.mGone ? holder_liveness::Gone : holder_liveness::Dead;
  }
  const std::uint64_t life = LifeOf(member->mInfo.mIncarnation);
  if (life != aHolder.mIncarnation) {
    return life > aHolder.mIncarnation ? holder_liveness::Gone
                                       : holder_liveness::Live;
  }
  switch (member->mInfo.mState) {
    case member_state::Alive:
    case member_state::Suspect:
      return holder_liveness::Live;
    case member_state::Left:
      return holder_liveness::Gone;
    case member_state::Dead:
      break;
  }
  return member->mUnlisted ? holder_liveness::Gone : holder_liveness::Dead;
}

std::vector<std::string>
membership_fleet::Tick(time_point aNow, milliseconds aLag)
{
  mIndex.reset();
  if (!mStable || mLive != mMembership.LiveCount()) {
    mStable = aNow;
    mLive = mMembership.LiveCount();
  }
  std::vector<std::string> changed;
  for (auto next = mStrangers.begin(); next != mStrangers.end();) {
    const std::string& name = next->first.first;
    const auto listed = mMembership.IsListed(name);
    stranger& known = next->second;
    if (mMembership.Find(name) != nullptr || !listed || *listed) {
      next = mStrangers.erase(next);
      continue;
    }
    if (!known.mSince) {
      known.mSince = aNow;
    }
    if (!known.mGone && aNow - *known.mSince >= aLag) {
      known.mGone = true;
      changed.push_back(name);
    }
    ++next;
  }
  return changed;
}

const placement_index&
membership_fleet::Index() const
{
  if (mIndex && mIndexed == mMembership.LiveCount()) {
    return *mIndex;
  }
  mIndexed = mMembership.LiveCount();
  std::vector<placement_member> live;
  live.reserve(mIndexed);
  const auto add = [&](const member_info& aInfo) {
    live.push_back({ aInfo.mName,
                     aInfo.mDataCentre,
                     aInfo.mRegion,
                     mSlots == nullptr ? 0 : mSlots->HeldBy(aInfo.mName) });
  };
  add(mMembership.Self());
  for (const auto& member : mMembership.Members()) {
    if (IsLive(member.mInfo.mState)) {
      add(member.mInfo);
    }
  }
  mIndex = std::make_unique<placement_index>(live);
  return *mIndex;
}

placement_question
membership_fleet::Question(const std::string& aService,
                           std::vector<std::string> aHolders) const
{
  placement_question question{ aService, {}, std::move(aHolders) };
  if (mSlots != nullptr) {
    question.mServerDataCentres = mSlots->ServerDataCentres(aService);
  }
  return question;
}

std::size_t
membership_fleet::Rank(const std::string& aService,
                       const std::vector<std::string>& aExcluded) const
{
  return Index().Rank(Question(aService, aExcluded),
                      mMembership.Self().mName,
                      mSlots == nullptr ? 0 : mSlots->Load());
}

std::optional<release_reason>
membership_fleet::ReasonToRelease(
  const std::string& aService,
  const std::vector<std::string>& aHolders) const
{
  return Index().ReasonToRelease(Question(aService, aHolders),
                                 mMembership.Self().mName,
                                 mSlots == nullptr ? 0 : mSlots->HeldCount());
}

std::string
membership_fleet::AddressOf(const std::string& aInstance) const
{
  const known_member* member = mMembership.Find(aInstance);
  return member == nullptr ? std::string() : member->mInfo.mControlAddress;
}

fleet_losses
membership_fleet::Losses() const
{
  const auto& members = mMembership.Members();
  fleet_losses losses;
  losses.mMembers = members.size() + 1;
  for (const auto& member : members) {
    losses.mLost += member.mInfo.mState == member_state::Dead ||
                    member.mInfo.mState == member_state::Left;
  }
  return losses;
}

} // namespace snipewalk
