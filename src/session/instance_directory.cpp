// Implementation of the directory of instances.
#include "snipewalk/session/instance_directory.h"

#include "snipewalk/messages/store_revision.h"

namespace snipewalk {

bool
instance_directory::Put(const instance_record& aRecord,
                        std::uint64_t aVersion,
                        time_point aNow)
{
  const auto [found, added] = mInstances.try_emplace(aRecord.mName);
  known_instance& known = found->second;
  if (!added && known.mVersion >= aVersion) {
    return false;
  }
  mNamesByVersion.erase(known.mVersion);
  mNamesByVersion[aVersion] = aRecord.mName;
  known.mRecord = aRecord;
  known.mVersion = aVersion;
  known.mGoneSince.reset();
  if (aRecord.mState == instance_state::Gone) {
    known.mGoneSince = aNow;
  }
  return true;
}

const instance_directory::known_instance*
instance_directory::Find(const std::string& aName) const
{
  const auto found = mInstances.find(aName);
  return found == mInstances.end() ? nullptr : &found->second;
}

bool
instance_directory::IsLive(const std::string& aName,
                           std::uint64_t aStarted,
                           std::uint64_t aEra) const
{
  const known_instance* known = Find(aName);
  return known != nullptr && known->mRecord.mStarted == aStarted &&
         known->mRecord.mState == instance_state::Live &&
         EraOf(known->mVersion) >= aEra;
}

std::vector<confirmed_instance>
instance_directory::ChangedSince(std::uint64_t aRevision,
                                 std::size_t aLimit) const
{
  std::vector<confirmed_instance> changed;
  for (auto it = mNamesByVersion.upper_bound(aRevision);
       it != mNamesByVersion.end() && changed.size() < aLimit;
       ++it) {
    changed.push_back({ mInstances.at(it->second).mRecord, it->first });
  }
  return changed;
}

} // namespace snipewalk
