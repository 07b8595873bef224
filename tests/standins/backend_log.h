// Log of a stand-in backend server and the key-value state that follows from
// it. Statements, results and idempotency keys are part of the same entry.
#ifndef SNIPEWALK_STANDINS_BACKEND_LOG_H_
#define SNIPEWALK_STANDINS_BACKEND_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <msgpack.hpp>

namespace snipewalk::standins {

struct log_entry
{
  std::uint64_t mTerm = 0;
  // Position in the log, from 1.
  std::uint64_t mIndex = 0;
  // Empty for the entry that begins a term.
  std::string mIdempotencyKey;
  // Result that was returned to the caller.
  std::string mOutcome;
  // Keys and their new values.
  std::vector<std::pair<std::string, std::string>> mEffects;

  MSGPACK_DEFINE(mTerm, mIndex, mIdempotencyKey, mOutcome, mEffects)
};

struct stored_value
{
  std::string mValue;
  // Index of the entry that wrote the value.
  std::uint64_t mIndex = 0;
};

class standin_log
{
public:
  // Appends an entry and returns its index.
  std::uint64_t Append(std::uint64_t aTerm,
                       std::string aIdempotencyKey,
                       std::string aOutcome,
                       std::vector<std::pair<std::string, std::string>> aSet);
  // Appends an entry received from the primary; its index is Received() + 1.
  void AppendReceived(log_entry aEntry);
  // Removes all entries after `aIndex`, also from the applied state.
  void TruncateAfter(std::uint64_t aIndex);
  // Makes entries up to `aIndex` visible to reads.
  void ApplyUpTo(std::uint64_t aIndex);

  std::uint64_t Received() const { return mEntries.size(); }
  std::uint64_t Applied() const { return mApplied; }
  std::uint64_t LastTerm() const { return TermAt(Received()); }
  // Zero for index 0 and for positions after the end.
  std::uint64_t TermAt(std::uint64_t aIndex) const;
  // Entry of an idempotency key, applied or not.
  const log_entry* FindKey(const std::string& aIdempotencyKey) const;
  const log_entry* At(std::uint64_t aIndex) const;
  // Value in the applied state; nothing when the key was never written.
  const stored_value* Get(const std::string& aKey) const;

  // Largest index below `aIndex` whose term is at most `aTerm`; a follower
  // whose entry at `aIndex` differs continues the comparison there.
  std::uint64_t LastAtOrBelowTerm(std::uint64_t aIndex,
                                  std::uint64_t aTerm) const;

private:
  // mEntries[i] has the index i + 1; terms never fall along the log.
  std::vector<log_entry> mEntries;
  std::unordered_map<std::string, std::uint64_t> mKeys;
  std::unordered_map<std::string, stored_value> mState;
  // Never above Received().
  std::uint64_t mApplied = 0;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_BACKEND_LOG_H_
