// Checks what callers and backend servers observed of each written value
// against the guarantees in docs/platform.md. Values have the form
// "KEY=NUMBER". Each key has a single writer, which writes increasing numbers.
#ifndef SNIPEWALK_SOAK_PROMISE_CHECKS_H_
#define SNIPEWALK_SOAK_PROMISE_CHECKS_H_

#include "snipewalk/base/time.h"
#include "standins/sent_statements.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipewalk::soak {

// Outcome of a write as far as the caller knows it.
enum class write_outcome
{
  // The caller got no reply, or one that guarantees nothing.
  Unknown,
  Acknowledged,
  // The reply guaranteed that nothing was kept, or the caller never requested
  // the commit.
  NotRun
};

std::string
ValueOf(const std::string& aKey, std::uint64_t aNumber);

// History of all writes and the violations found so far. Thread-safe.
class promise_checks
{
public:
  // Records a write; called before it is sent.
  void BeginWrite(const std::string& aKey, std::uint64_t aNumber);
  void EndWrite(const std::string& aKey,
                std::uint64_t aNumber,
                write_outcome aOutcome,
                time_point aNow);

  // Returns the highest number of a key that was acknowledged up to `aBy`; zero
  // if there is none.
  std::uint64_t Acknowledged(const std::string& aKey, time_point aBy) const;
  // Checks the value of a read that must return the number `aFloor` or a later
  // one. `aSource` names the kind of read in a violation.
  void CheckRead(const std::string& aKey,
                 std::uint64_t aFloor,
                 const std::string& aValue,
                 const std::string& aSource);
  // Checks the state of the backend servers after the run: the items of the
  // primary, and how often each value was committed.
  void CheckFinalState(const std::map<std::string, std::string>& aItems,
                       const std::map<std::string, int>& aCommits);
  // Checks that the values in the primary's log contain every acknowledged one,
  // also those that were overwritten since.
  void CheckLog(const std::set<std::string>& aValues);
  // Records a statement before it is sent; its id must be unique.
  void BeginStatement(const std::string& aRequestId,
                      const std::string& aText,
                      const standins::session_setup& aSetup);
  // Checks that the servers ran nothing but what callers sent, each statement
  // with its text, prepared shape and session values.
  void CheckExecuted(
    const std::vector<standins::line_server_group::executed_statement>&
      aExecuted);
  void AddViolation(const std::string& aWhat);

  std::vector<std::string> Violations() const;
  // Returns the number of writes with an outcome.
  std::size_t Count(write_outcome aOutcome) const;
  std::size_t Reads() const;

private:
  struct key_history
  {
    // Outcome of each write by its number, which is also the order of the
    // writes.
    std::map<std::uint64_t, write_outcome> mWrites;
    // Acknowledged numbers and their times, both increasing.
    std::vector<std::pair<time_point, std::uint64_t>> mAcknowledged;
  };

  // Adds a violation. The caller must hold mMutex.
  void RecordViolation(const std::string& aWhat);
  void CheckStoredValue(const std::string& aKey,
                        const key_history& aHistory,
                        const std::string& aValue);

  mutable std::mutex mMutex;
  // The members below are guarded by mMutex.
  std::map<std::string, key_history> mKeys;
  std::vector<std::string> mViolations;
  std::size_t mReads = 0;
  // Thread-safe by itself.
  standins::sent_statements mSent;
};

} // namespace snipewalk::soak

#endif // SNIPEWALK_SOAK_PROMISE_CHECKS_H_
