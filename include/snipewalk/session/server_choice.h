// Chooses the backend server for a read or a read-only transaction.
// Replicas may lag or become slow while many clients read. The choice must
// neither concentrate the reads on one server nor overload the primary.
#ifndef SNIPEWALK_SESSION_SERVER_CHOICE_H_
#define SNIPEWALK_SESSION_SERVER_CHOICE_H_

#include "snipewalk/base/time.h"
#include "snipewalk/session/log_position.h"

#include <cstddef>
#include <optional>
#include <span>

namespace snipewalk {

// Properties of one server at the time a read is placed.
struct read_candidate
{
  bool mPrimary = false;
  bool mSameDataCentre = false;
  // Whether the server has an idle connection, or one can be opened now.
  bool mHasConnection = false;
  // Whether the connection would have to be opened first.
  bool mNeedsOpening = false;
  // Number of this instance's connections to the server that are in use.
  int mOutstanding = 0;
  // Moving average of answer times, or the time for which the server has been
  // silent if that is longer. Zero before the first answer.
  duration mAnswerTime{ 0 };
  // Latest position that the server is known to have applied.
  log_position mApplied;
  // Position for which the server last refused a read, and the time until which
  // reads that require this or a later position are not sent to it.
  log_position mRefusedPosition;
  time_point mRefusedUntil = time_point::min();
  // Whether the statement has already failed on this server.
  bool mTried = false;
};

struct read_requirement
{
  // Whether the primary may execute the statement: its role is confirmed as
  // recently as the statement requires.
  bool mPrimaryAllowed = false;
  // Whether replicas that have applied mPosition may serve the read.
  bool mReplicasAllowed = false;
  log_position mPosition;
  // Position that the primary is known to have. It lacks it only if it has
  // started again without its log.
  log_position mPrimaryPosition;
};

// Returns the delay after another refusal for lack of a position, given the
// previous delay. It grows, so that replicas that lag by seconds are not asked
// for every read.
milliseconds
NextRefusalDelay(milliseconds aLast);

// Returns the index of the best candidate that has a connection, or
// std::nullopt if the read has to wait.
std::optional<std::size_t>
ChooseReadServer(std::span<const read_candidate> aCandidates,
                 const read_requirement& aRequirement,
                 time_point aNow);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SERVER_CHOICE_H_
