// Backend servers as their entries in the store name them, by id and by
// service. An entry that vanished is kept for a while: entries that lapse while
// the store is away return soon after it.
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
  // Takes over an entry; false if it was known as it is.
  bool Put(const server_entry& aEntry);
  // The entry is not in the store any more, or names no server.
  void Vanish(const std::string& aServer, time_point aNow);
  // Forgets the servers whose entries vanished long enough ago, and returns
  // their last entries.
  std::vector<server_entry> TakeExpired(time_point aNow);

  // Whether the store holds an entry of the server.
  bool IsPresent(const std::string& aServer) const;
  // Also of a server whose entry vanished lately.
  std::optional<server_entry> Find(const std::string& aServer) const;
  // Entries of a service in the store, and those that vanished lately.
  std::vector<server_entry> Present(const std::string& aService) const;
  std::vector<server_entry> Vanished(const std::string& aService) const;
  // Every entry in the store.
  std::vector<server_entry> All() const;

private:
  struct known_entry
  {
    server_entry mEntry;
    // Nothing while the store holds the entry.
    std::optional<time_point> mVanishedAt;
  };

  std::vector<server_entry> OfService(const std::string& aService,
                                      bool aPresent) const;
  void Forget(const std::string& aServer);

  std::map<std::string, known_entry> mEntries;
  // Ids by service; exactly those of mEntries.
  std::map<std::string, std::set<std::string>> mServices;
  // Ids of the entries that vanished.
  std::set<std::string> mVanished;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SERVER_DIRECTORY_H_
