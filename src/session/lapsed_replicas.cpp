// Keeps the replicas with expired entries until they are known to be gone.
#include "snipewalk/session/lapsed_replicas.h"

#include <algorithm>

namespace snipewalk {

void
lapsed_replicas::OnEntryLost(const registered_server& aLast, time_point aNow)
{
  if (!aLast.mDraining) {
    mLapsed.try_emplace(aLast.mId, lapsed{ aLast.mAddress, aNow });
  }
}

void
lapsed_replicas::OnEntry(const registered_server& aEntry)
{
  std::erase_if(mLapsed, [&](const auto& aIt) {
    return aIt.first == aEntry.mId || aIt.second.mAddress == aEntry.mAddress;
  });
}

bool
lapsed_replicas::MayConfirm(time_point aNow) const
{
  return std::any_of(mLapsed.begin(), mLapsed.end(), [aNow](const auto& aIt) {
    return aNow < aIt.second.mSince + kAssumedGoneAfter;
  });
}

} // namespace snipewalk
