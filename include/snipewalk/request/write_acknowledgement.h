// Confirms writes by a majority of voters. For each voter one wait is
// outstanding at most; its answer confirms all writes up to its index.
#ifndef SNIPEWALK_REQUEST_WRITE_ACKNOWLEDGEMENT_H_
#define SNIPEWALK_REQUEST_WRITE_ACKNOWLEDGEMENT_H_

#include "snipewalk/base/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include <absl/container/btree_set.h>

namespace snipewalk {

class write_acknowledgement
{
public:
  // Starts a term. Drops all waiting writes: the caller settles them by their
  // keys. `aVoters` are server indexes; the primary counts as one of the
  // majority only if it is a voter. Without `aReplicated` the primary's own
  // reply confirms.
  void StartTerm(std::uint64_t aTerm,
                 std::optional<std::size_t> aPrimary,
                 const std::vector<std::size_t>& aVoters,
                 bool aReplicated);

  // The primary executed a write of request `aRequest` in the current term.
  // Returns true when it is confirmed already.
  bool Add(std::uint64_t aIndex, std::uint64_t aRequest, time_point aNow);

  void Remove(std::uint64_t aIndex, std::uint64_t aRequest);

  // A voter answered a wait of the current term: it holds `aReceived`. Returns
  // the requests whose writes this confirms, in the order of their indexes.
  std::vector<std::uint64_t> Confirm(std::size_t aVoter,
                                     std::uint64_t aReceived);

  // The index to wait for at a voter; nothing when it confirmed everything.
  std::optional<std::uint64_t> NextIndex(std::size_t aVoter) const;

  // How long the oldest unconfirmed write has been waiting for a majority.
  duration Lag(time_point aNow) const;

  // Highest index that a majority holds.
  std::uint64_t ConfirmedIndex() const { return mConfirmed; }

  // True once a majority holds an entry written in this term. From then on no
  // later primary can have entries of earlier terms that this primary lacks.
  bool Anchored() const { return mFirstIndex && mConfirmed >= *mFirstIndex; }

  // The entry at `aIndex` was written in the current term.
  void NoteWritten(std::uint64_t aIndex);

  std::size_t Waiting() const { return mWaiting.size(); }
  std::uint64_t Term() const { return mTerm; }

private:
  struct voter_progress
  {
    std::size_t mServer = 0;
    std::uint64_t mReceived = 0;
  };
  struct unconfirmed
  {
    std::uint64_t mIndex = 0;
    time_point mExecutedAt;
  };

  void Advance();

  std::uint64_t mTerm = 0;
  bool mReplicated = true;
  // Voters other than the primary, and how many of them make a majority.
  std::vector<voter_progress> mVoters;
  std::size_t mNeeded = 0;
  std::uint64_t mConfirmed = 0;
  std::optional<std::uint64_t> mFirstIndex;
  // Waiting writes (index, request), all above mConfirmed.
  absl::btree_set<std::pair<std::uint64_t, std::uint64_t>> mWaiting;
  // Executed writes above mConfirmed, thinned; also those whose request is
  // answered already. Indexes strictly increase.
  std::deque<unconfirmed> mUnconfirmed;
};

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_WRITE_ACKNOWLEDGEMENT_H_
