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
  // A missing server is removed after this time. Entries that expire while the
  // store is unavailable reappear within two seconds.
  static constexpr milliseconds kRemovalDelay{ 2'200 };

  // Adds or updates an entry. Returns false if it is already known and
  // unchanged.
  bool Put(const registered_server& aEntry);
  // Marks a server as missing, because its entry was removed from the store or
  // cannot be decoded.
  void MarkMissing(const std::string& aServer, time_point aNow);
  // Removes the servers that have been missing for longer than the removal
  // delay, and returns their last entries.
  std::vector<registered_server> TakeExpired(time_point aNow);

  // Whether the store contains an entry of the server.
  bool IsPresent(const std::string& aServer) const;
  // Returns the last known entry of a server, even if it is missing from the
  // store at present.
  std::optional<registered_server> Find(const std::string& aServer) const;
  // Entries of a service that are in the store, and last known entries of its
  // servers that are missing from the store.
  std::vector<registered_server> Present(const std::string& aService) const;
  std::vector<registered_server> Missing(const std::string& aService) const;
  // All entries that are in the store.
  std::vector<registered_server> All() const;

private:
  struct known_entry
  {
    registered_server mEntry;
    // Since when the entry has been missing from the store; std::nullopt while
    // the store contains it.
    std::optional<time_point> mMissingSince;
  };

  std::vector<registered_server> OfService(const std::string& aService,
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
