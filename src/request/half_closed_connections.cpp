// Implementation of the set of half-closed connections.
#include "snipewalk/request/half_closed_connections.h"

#include <algorithm>

namespace snipewalk {

void
half_closed_connections::Add(connection_id aId)
{
  mEntries.push_back({ aId, std::nullopt });
}

void
half_closed_connections::Ended(connection_id aId)
{
  std::erase_if(
    mEntries, [&](const held_connection& aEntry) { return aEntry.mId == aId; });
}

std::vector<connection_id>
half_closed_connections::TakeExpired(time_point aNow)
{
  std::vector<connection_id> expired;
  std::erase_if(mEntries, [&](held_connection& aEntry) {
    if (!aEntry.mUntil) {
      aEntry.mUntil = aNow + kHalfClosedHold;
    }
    if (*aEntry.mUntil > aNow) {
      return false;
    }
    expired.push_back(aEntry.mId);
    return true;
  });
  return expired;
}

std::vector<connection_id>
half_closed_connections::TakeAll()
{
  std::vector<connection_id> all;
  for (const auto& entry : mEntries) {
    all.push_back(entry.mId);
  }
  mEntries.clear();
  return all;
}

std::optional<time_point>
half_closed_connections::NextExpiry() const
{
  std::optional<time_point> next;
  for (const auto& entry : mEntries) {
    if (entry.mUntil && (!next || *entry.mUntil < *next)) {
      next = entry.mUntil;
    }
  }
  return next;
}

} // namespace snipewalk
