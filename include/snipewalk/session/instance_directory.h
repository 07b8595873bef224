// Directory of the instances of the fleet: their newest known records, learned
// from reads of the store and from confirmations of other instances.
#ifndef SNIPEWALK_SESSION_INSTANCE_DIRECTORY_H_
#define SNIPEWALK_SESSION_INSTANCE_DIRECTORY_H_

#include "snipewalk/base/time.h"
#include "snipewalk/session/fleet_records.h"
#include "snipewalk/session/peer_datagrams.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipewalk {

class instance_directory
{
public:
  struct known_instance
  {
    instance_record mRecord;
    // Store revision of the record's last change.
    std::uint64_t mVersion = 0;
    // Since when this version has been known, if it states that the instance is
    // gone. An earlier one may state the same: the instance can have registered
    // in between, without its record of that time having been seen here.
    std::optional<time_point> mGoneSince;
  };

  // Applies a record of the given version. Returns false if the same or a newer
  // version is known.
  bool Put(const instance_record& aRecord,
           std::uint64_t aVersion,
           time_point aNow);

  // Returns nullptr for an unknown instance.
  const known_instance* Find(const std::string& aName) const;
  // Whether the process of the instance that started at this time is
  // registered in the given era of the store or a later one.
  bool IsLive(const std::string& aName,
              std::uint64_t aStarted,
              std::uint64_t aEra) const;
  // All known instances by name.
  const std::map<std::string, known_instance>& All() const
  {
    return mInstances;
  }
  // Returns the records of a later version than `aRevision` in the order of
  // their versions, the first `aLimit` at most.
  std::vector<confirmed_instance> ChangedSince(std::uint64_t aRevision,
                                               std::size_t aLimit) const;

private:
  std::map<std::string, known_instance> mInstances;
  // Names by version; one entry for each known instance.
  std::map<std::uint64_t, std::string> mNamesByVersion;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_INSTANCE_DIRECTORY_H_
