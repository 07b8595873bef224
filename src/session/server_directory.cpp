// Maintains the indexes by id and by service, and removes missing servers after
// a fixed delay.
#include "snipewalk/session/server_directory.h"

namespace snipewalk {

bool
server_directory::Put(const registered_server& aEntry)
{
  const auto known = mEntries.find(aEntry.mId);
  if (known != mEntries.end() && !known->second.mMissingSince &&
      known->second.mEntry == aEntry) {
    return false;
  }
  Remove(aEntry.mId);
  mEntries[aEntry.mId] = { aEntry, std::nullopt };
  mServices[aEntry.mService].insert(aEntry.mId);
  return true;
}

void
server_directory::MarkMissing(const std::string& aServer, time_point aNow)
{
  const auto known = mEntries.find(aServer);
  if (known != mEntries.end() && !known->second.mMissingSince) {
    known->second.mMissingSince = aNow;
    mMissing.insert(aServer);
  }
}

std::vector<registered_server>
server_directory::TakeExpired(time_point aNow)
{
  std::vector<registered_server> expired;
  for (const auto& id : mMissing) {
    const known_entry& known = mEntries.at(id);
    if (aNow >= *known.mMissingSince + kRemovalDelay) {
      expired.push_back(known.mEntry);
    }
  }
  for (const auto& entry : expired) {
    Remove(entry.mId);
  }
  return expired;
}

void
server_directory::Remove(const std::string& aServer)
{
  const auto known = mEntries.find(aServer);
  if (known == mEntries.end()) {
    return;
  }
  const auto service = mServices.find(known->second.mEntry.mService);
  service->second.erase(aServer);
  if (service->second.empty()) {
    mServices.erase(service);
  }
  mMissing.erase(aServer);
  mEntries.erase(known);
}

bool
server_directory::IsPresent(const std::string& aServer) const
{
  const auto known = mEntries.find(aServer);
  return known != mEntries.end() && !known->second.mMissingSince;
}

std::optional<registered_server>
server_directory::Find(const std::string& aServer) const
{
  const auto known = mEntries.find(aServer);
  return known == mEntries.end() ? std::nullopt
                                 : std::optional(known->second.mEntry);
}

std::vector<registered_server>
server_directory::OfService(const std::string& aService, bool aPresent) const
{
  std::vector<registered_server> entries;
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return entries;
  }
  for (const auto& id : service->second) {
    const known_entry& known = mEntries.at(id);
    if (known.mMissingSince.has_value() != aPresent) {
      entries.push_back(known.mEntry);
    }
  }
  return entries;
}

std::vector<registered_server>
server_directory::Present(const std::string& aService) const
{
  return OfService(aService, true);
}

std::vector<registered_server>
server_directory::Missing(const std::string& aService) const
{
  return OfService(aService, false);
}

std::vector<registered_server>
server_directory::All() const
{
  std::vector<registered_server> entries;
  for (const auto& [id, known] : mEntries) {
    if (!known.mMissingSince) {
      entries.push_back(known.mEntry);
    }
  }
  return entries;
}

} // namespace snipewalk
