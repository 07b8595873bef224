// Chooses the backend server of a read or of a read-only transaction.
// Load pattern: replicas that fall behind or turn slow while all clients read;
// reads must neither pile up at one server nor crowd the primary.
#ifndef SNIPEWALK_SESSION_SERVER_CHOICE_H_
#define SNIPEWALK_SESSION_SERVER_CHOICE_H_

#include "snipewalk/base/time.h"
#include "snipewalk/session/log_position.h"

#include <cstddef>
#include <optional>
#include <span>

namespace snipewalk {

// What an instance knows of one server when it places a read.
struct read_candidate
{
  bool mPrimary = false;
  bool mSameDataCentre = false;
  // A connection is idle or can be opened now.
  bool mHasConnection = false;
  // Statements of this instance under way.
  int mOutstanding = 0;
  // Moving average of answer times, or the present silence if that is longer;
  // zero before the first answer.
  duration mAnswerTime{ 0 };
  // Newest position that reads at this server have seen.
  log_position mApplied;
  // Position that it last refused for lack of it, and until when neither it nor
  // a later one is worth asking for.
  log_position mRefusedPosition;
  time_point mRefusedUntil = time_point::min();
  // The request already failed there.
  bool mTried = false;
};

struct read_requirement
{
  // The primary is known to be the primary as recently as the read needs.
  bool mPrimaryAllowed = false;
  // Replicas may serve the read if their log has mPosition.
  bool mReplicasAllowed = false;
  log_position mPosition;
};

// Pause after another refusal for lack of a position: replicas that lag by
// seconds are not asked for each read.
milliseconds
NextRefusedPause(milliseconds aLast);

// Index of the best candidate that has a connection; nothing when the read has
// to wait.
std::optional<std::size_t>
ChooseReadServer(std::span<const read_candidate> aCandidates,
                 const read_requirement& aRequirement,
                 time_point aNow);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SERVER_CHOICE_H_
