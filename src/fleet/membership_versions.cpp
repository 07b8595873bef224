// Implementation of the membership: protocol versions of the members.
#include "snipewalk/fleet/membership.h"

#include <algorithm>

namespace snipewalk {

namespace {

// A datagram without a range proves one version only.
version_range
Joined(const version_range& aKnown, const version_range& aLearned)
{
  return { std::min(aKnown.mLowest, aLearned.mLowest),
           std::max(aKnown.mHighest, aLearned.mHighest) };
}

} // namespace

int
membership::VersionAt(const std::string& aAddress) const
{
  const auto known = mVersionsAt.find(aAddress);
  if (known == mVersionsAt.end()) {
    return mSelf.mVersions.mLowest;
  }
  // Without a common version the datagram is refused, whichever it has.
  return NegotiateVersion(mSelf.mVersions, known->second)
    .value_or(mSelf.mVersions.mLowest);
}

bool
membership::FleetSupports(int aVersion) const
{
  return mSelf.mVersions.Contains(aVersion) &&
         (aVersion == mFleetVersion ||
          std::all_of(
            mMembers.begin(), mMembers.end(), [&](const known_member& aMember) {
              return !IsLive(aMember.mInfo.mState) ||
                     aMember.mInfo.mVersions.Contains(aVersion);
            }));
}

void
membership::UpdateFleetVersion()
{
  if (!mFleetVersionChanged) {
    return;
  }
  mFleetVersionChanged = false;
  // No version is common while it is being determined.
  mFleetVersion = 0;
  int version = mSelf.mVersions.mHighest;
  while (version >= mSelf.mVersions.mLowest && !FleetSupports(version)) {
    --version;
  }
  mFleetVersion = version < mSelf.mVersions.mLowest ? 0 : version;
}

void
membership::TakePlace(member_info& aKnown, const member_info& aUpdate)
{
  version_range versions = aUpdate.mVersions;
  if (versions == kUnannouncedVersions &&
      LifeOf(aUpdate.mIncarnation) == LifeOf(aKnown.mIncarnation)) {
    versions = aKnown.mVersions;
  }
  mVersionsAt.erase(aKnown.mControlAddress);
  aKnown = aUpdate;
  aKnown.mVersions = versions;
  mVersionsAt[aKnown.mControlAddress] = versions;
}

void
membership::LearnVersions(const std::string& aName,
                          std::uint64_t aIncarnation,
                          const version_range& aVersions,
                          actions& aActions)
{
  const auto found = mIndex.find(aName);
  if (found == mIndex.end() || aVersions == kUnannouncedVersions) {
    return;
  }
  member_info& known = mMembers[found->second].mInfo;
  if (LifeOf(aIncarnation) != LifeOf(known.mIncarnation)) {
    return;
  }
  const version_range versions = known.mVersions == kUnannouncedVersions
                                   ? aVersions
                                   : Joined(known.mVersions, aVersions);
  if (versions == known.mVersions) {
    return;
  }
  known.mVersions = versions;
  mVersionsAt[known.mControlAddress] = versions;
  mFleetVersionChanged = true;
  Enqueue(aName);
  aActions.push_back(member_changed{ aName, known.mState });
}

} // namespace snipewalk
