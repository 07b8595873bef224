// Implementation of the membership: probes and contact with seeds.
#include "snipewalk/fleet/membership.h"

#include <algorithm>

namespace snipewalk {

namespace {

// Own suspects probed again in each interval.
constexpr std::size_t kProbedSuspects = 3;
constexpr std::size_t kSeedsAtOnce = 3;
// A seed is contacted about this often in each rejoin interval by the whole
// fleet; by each member, the seeds of 5,000 would answer 1,000 times a second.
constexpr std::size_t kSeedContacts = 20;
// A share of the known members that do not die at once by themselves: more than
// a data centre, less than a region of three.
constexpr std::size_t kCutOffShare = 4;

} // namespace

void
membership::FinishProbe(time_point aNow, actions& aActions)
{
  if (!mProbe) {
    return;
  }
  const known_member* target = Find(mProbe->mTarget);
  mProbe.reset();
  if (target == nullptr || target->mInfo.mState != member_state::Alive) {
    return;
  }
  member_info suspicion = target->mInfo;
  suspicion.mState = member_state::Suspect;
  mOwnSuspects.push_back(suspicion.mName);
  Apply(suspicion, aNow, aActions);
}

void
membership::StartProbe(time_point aNow, actions& aActions)
{
  const known_member* target = NextTarget();
  if (target == nullptr) {
    return;
  }
  mProbe = probe{ mNextSequence++,
                  target->mInfo.mName,
                  target->mInfo.mControlAddress,
                  aNow + mOptions.mDirectTimeout,
                  false };
  SendTo(mProbe->mAddress,
         Compose(membership_kind::Probe, mProbe->mSequence),
         target->mInfo.mState == member_state::Alive ? nullptr : &target->mInfo,
         aActions);
}

const known_member*
membership::NextTarget()
{
  // Each member is probed once a round, which bounds the time to detection.
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!mRound.empty()) {
      const known_member* member = Find(mRound.back());
      mRound.pop_back();
      if (member != nullptr && IsLive(member->mInfo.mState)) {
        return member;
      }
    }
    for (const auto& member : mMembers) {
      mRound.push_back(member.mInfo.mName);
    }
    std::shuffle(mRound.begin(), mRound.end(), mRandom);
  }
  return nullptr;
}

void
membership::SendIndirectProbes(actions& aActions)
{
  mProbe->mIndirectSent = true;
  for (const auto* helper :
       RandomLive(mOptions.mIndirectProbes, mProbe->mTarget)) {
    membership_message request =
      Compose(membership_kind::IndirectProbe, mProbe->mSequence);
    request.mTarget = mProbe->mAddress;
    SendTo(
      helper->mInfo.mControlAddress, std::move(request), nullptr, aActions);
  }
}

void
membership::ProbeSuspects(actions& aActions)
{
  std::erase_if(mOwnSuspects, [&](const std::string& aName) {
    const known_member* member = Find(aName);
    return member == nullptr || member->mInfo.mState != member_state::Suspect;
  });
  const std::size_t count = std::min(mOwnSuspects.size(), kProbedSuspects);
  for (std::size_t i = 0; i < count; ++i) {
    const known_member* member = Find(mOwnSuspects[i]);
    SendTo(member->mInfo.mControlAddress,
           Compose(membership_kind::Probe, mNextSequence++),
           &member->mInfo,
           aActions);
  }
}

void
membership::Rejoin(time_point aNow, actions& aActions)
{
  // A dead member that answers heals a partition. One probe of each instance in
  // each interval: the cost does not depend on the number of dead members.
  if (const known_member* member = RandomDead()) {
    mRejoinSequence = mNextSequence++;
    SendTo(member->mInfo.mControlAddress,
           Compose(membership_kind::Probe, mRejoinSequence),
           TakesBack(aNow) ? nullptr : &member->mInfo,
           aActions);
  }
  if (mLive == 0 || mRandom() % (mLive + 1) < kSeedContacts) {
    ContactSeeds(aActions);
  }
}

const known_member*
membership::RandomDead()
{
  const known_member* chosen = nullptr;
  std::size_t dead = 0;
  if (mLive < mMembers.size()) {
    for (const auto& member : mMembers) {
      if (member.mInfo.mState == member_state::Dead && !member.mUnlisted &&
          mRandom() % ++dead == 0) {
        chosen = &member;
      }
    }
  }
  mCutOff = dead > 1 && dead * kCutOffShare >= mLive + dead;
  if (!mCutOff) {
    mRaised = false;
  } else if (!mRaised) {
    // The other side is about to hold this instance dead. The higher
    // incarnation will override that without a refutation.
    mRaised = true;
    RaiseIncarnation(mSelf.mIncarnation + 1);
  }
  return chosen;
}

void
membership::ContactSeeds(actions& aActions)
{
  std::vector<std::string> seeds;
  for (const auto& seed : mOptions.mSeeds) {
    if (seed != mSelf.mControlAddress) {
      seeds.push_back(seed);
    }
  }
  std::shuffle(seeds.begin(), seeds.end(), mRandom);
  seeds.resize(std::min(seeds.size(), mLive == 0 ? kSeedsAtOnce : 1));
  for (const auto& seed : seeds) {
    SendTo(
      seed, Compose(membership_kind::Probe, mNextSequence++), &mSelf, aActions);
  }
}

} // namespace snipewalk
