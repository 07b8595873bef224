// Directory of the backend servers registered in the store, by id and by
// service. A server whose entry is missing is kept for some time: entries that
// expire while the store is unavailable reappear soon after.
#ifndef SNIPEWALK_SESSION_SERVER_DIRECTORY_H_
#define SNIPEWALK_SESSION_SERVER_DIRECTORY_H_

#include "snipewalk/base/time.h"
#include "snipewalk/session/desired_state.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipewalk {

class server_directory
{
public:
  // Adds or updates an entry. Returns false if it is already known and
  // unchanged.
  bool Put(const server_entry& aEntry);
  // Marks a server as missing, because its entry was removed from the store or
  // cannot be decoded.
  void MarkMissing(const std::string& aServer, time_point aNow);
  // Removes the servers that have been missing for longer than the removal
  // delay, and returns their last entries.
  std::vector<server_entry> TakeExpired(time_point aNow);

  // Whether the store contains an entry of the server.
  bool IsPresent(const std::string& aServer) const;
  // Returns the last known entry of a server, even if it is missing from the
  // store at present.
  std::optional<server_entry> Find(const std::string& aServer) const;
  // Entries of a service that are in the store, and last known entries of its
  // servers that are missing from the store.
  std::vector<server_entry> Present(const std::string& aService) const;
  std::vector<server_entry> Missing(const std::string& aService) const;
  // All entries that are in the store.
  std::vector<server_entry> All() const;

private:
  struct known_entry
  {
    server_entry mEntry;
    // Since when the entry has been missing from the store.
    std::optional<time_point> mMissingSince;
  };

  std::vector<server_entry> OfService(const std::string& aService,
                                      bool aPresent) const;
  void Remove(const std::string& aServer);

  std::map<std::string, known_entry> mEntries;
  // Ids by service, for all servers in mEntries.
  std::map<std::string, std::set<std::string>> mServices;
  // Ids of the servers that are missing from the store.
  std::set<std::string> mMissing;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SERVER_DIRECTORY_H_
