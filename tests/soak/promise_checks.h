// What callers and backend servers have seen of each written value, checked
// against the promises of docs/platform.md. Values are "KEY=NUMBER"; each key
// has one writer, whose numbers increase.
#ifndef SNIPEWALK_SOAK_PROMISE_CHECKS_H_
#define SNIPEWALK_SOAK_PROMISE_CHECKS_H_

#include "snipewalk/base/time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace snipewalk::soak {

// What the caller was told of a write.
enum class write_fate
{
  // Not answered, or answered without a promise.
  Unknown,
  Acknowledged,
  // The answer promised that nothing was kept, or the caller never asked for
  // the commit.
  NotRun
};

std::string
ValueOf(const std::string& aKey, std::uint64_t aNumber);

// All functions may be called from any thread.
class promise_checks
{
public:
  // Before the write is sent.
  void Begin(const std::string& aKey, std::uint64_t aNumber);
  void End(const std::string& aKey,
           std::uint64_t aNumber,
           write_fate aFate,
           time_point aNow);

  // Newest number of a key that was acknowledged by `aBy`; zero without one.
  std::uint64_t Acknowledged(const std::string& aKey, time_point aBy) const;
  // Checks the value of a read that must show at least `aFloor`. `aSource`
  // tells in a violation what was read.
  void Read(const std::string& aKey,
            std::uint64_t aFloor,
            const std::string& aValue,
            const std::string& aSource);
  // Checks what the backend servers hold after the run: items of the leading
  // server, and how often each value was committed.
  void Finish(const std::map<std::string, std::string>& aItems,
              const std::map<std::string, int>& aCommits);
  void AddViolation(const std::string& aWhat);

  std::vector<std::string> Violations() const;
  // Writes that ended with a fate.
  std::size_t Count(write_fate aFate) const;
  std::size_t Reads() const;

private:
  struct key_history
  {
    // Fate by number; in order of the writes.
    std::map<std::uint64_t, write_fate> mWrites;
    // Acknowledged numbers with their time, both increasing.
    std::vector<std::pair<time_point, std::uint64_t>> mAcknowledged;
  };

  // mMutex is held.
  void Violate(const std::string& aWhat);
  void CheckHeld(const std::string& aKey,
                 const key_history& aHistory,
                 const std::string& aValue);

  mutable std::mutex mMutex;
  // Guarded by mMutex.
  std::map<std::string, key_history> mKeys;
  std::vector<std::string> mViolations;
  std::size_t mReads = 0;
};

} // namespace snipewalk::soak

#endif // SNIPEWALK_SOAK_PROMISE_CHECKS_H_
