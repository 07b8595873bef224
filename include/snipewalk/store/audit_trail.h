// Audit trail: who changed what of a service, kept in a ring in the store
// object `audit/<service>`. Decisions never wait for it.
#ifndef SNIPEWALK_STORE_AUDIT_TRAIL_H_
#define SNIPEWALK_STORE_AUDIT_TRAIL_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/store_client.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace snipewalk {

struct audit_entry
{
  // Unique; given by audit_trail::Append.
  std::string mId;
  wall_time mWhen;
  // Operator or instance that made the change.
  std::string mWho;
  std::string mInstance;
  std::string mService;
  // What was done, such as "term_electing".
  std::string mAction;
  // Version, term or value before and after; may be empty.
  std::string mFrom;
  std::string mTo;
  std::string mReason;

  bool operator==(const audit_entry&) const = default;
};

inline constexpr std::size_t kAuditEntries = 256;
inline constexpr std::size_t kAuditBytes = 256 * 1024;
// Longer texts of an entry are cut, so that one entry cannot fill the ring.
inline constexpr std::size_t kAuditTextBytes = 1'024;

// {"entries": [...]}, oldest first, within both limits: oldest entries are left
// out of the text.
std::string
EncodeAuditRing(const std::vector<audit_entry>& aEntries);
// Errors: InvalidArgument.
absl::StatusOr<std::vector<audit_entry>>
DecodeAuditRing(const std::string& aText);

struct audit_options
{
  std::string mInstance;
  std::uint64_t mIncarnation = 0;
  // Entries of all services that may wait for the store.
  std::size_t mMaxWaiting = 1'000;
  std::uint64_t mSeed = 1;
};

// Loop thread only. Entries appended within a tick are written together; one
// call a service is outstanding.
class audit_trail
{
public:
  audit_trail(store_client& aStore, audit_options aOptions);
  ~audit_trail();
  audit_trail(const audit_trail&) = delete;
  audit_trail& operator=(const audit_trail&) = delete;

  // Never blocks. Above the limit the service's oldest waiting entry, or else
  // this entry, is dropped and counted; the next entry written says how many.
  void Append(audit_entry aEntry);

  // Call at least every 100 ms.
  void Tick(time_point aNow);

  std::size_t Waiting() const { return mWaiting; }
  std::uint64_t Dropped() const { return mDropped; }
  // True when nothing waits and no call is outstanding, for shutdown.
  bool IsIdle() const;

private:
  struct ring
  {
    std::deque<audit_entry> mWaiting;
    // Entries dropped since the last successful write.
    std::uint64_t mDropped = 0;
    // The object as last seen; valid when mKnown.
    bool mKnown = false;
    std::vector<audit_entry> mEntries;
    std::uint64_t mVersion = 0;
    bool mCalling = false;
    time_point mRetryAt;
    milliseconds mBackoff{ 0 };
  };

  void Advance(const std::string& aService, ring& aRing, time_point aNow);
  // Says how many entries of the service were dropped.
  audit_entry DroppedNote(const ring& aRing) const;
  void Submit(const std::string& aService, store_request aRequest);
  void OnReply(const std::string& aService,
               const store_reply& aReply,
               time_point aNow);
  void Learn(ring& aRing, const stored_object& aObject);
  // Removes waiting entries that the ring already holds.
  void DropWritten(ring& aRing);
  void RetryLater(ring& aRing, time_point aNow);

  store_client& mStore;
  audit_options mOptions;
  std::minstd_rand mRandom;
  std::map<std::string, ring> mRings;
  std::size_t mWaiting = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mNextId = 1;
  // Expires with the trail; guards replies that arrive later.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace snipewalk

#endif // SNIPEWALK_STORE_AUDIT_TRAIL_H_
