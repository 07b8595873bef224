// Implementation of the choice of a server for reads.
#include "snipewalk/session/server_choice.h"

#include <algorithm>
#include <limits>

namespace snipewalk {

namespace {

// Bounds of the delay after refusals for lack of a log position. The first is
// about a typical replication delay.
constexpr milliseconds kMinRefusalDelay{ 30 };
constexpr milliseconds kMaxRefusalDelay{ 500 };
// Assumed answer time of a server that has not answered yet.
constexpr milliseconds kDefaultAnswerTime{ 20 };
// Load factor of the primary, which alone executes writes.
constexpr double kPrimaryLoadFactor = 1.6;
// Cost of a server in another data centre, in statements of the server's
// average answer time.
constexpr double kRemoteCost = 0.25;
// Cost of a replica that is not known to have applied the required position, in
// statements of the replica's average answer time.
constexpr double kUnknownPositionCost = 0.5;
// Cost of opening a connection, which occupies the server like a short
// statement.
constexpr double kOpeningCost = 0.5;
// Cost of a server where the statement has already failed: such a server is
// used only if no other is eligible.
constexpr double kTriedCost = 1'000;

bool
IsEligible(const read_candidate& aCandidate,
           const read_requirement& aRequirement,
           time_point aNow)
{
  if (!aCandidate.mHasConnection) {
    return false;
  }
  const bool allowed = aCandidate.mPrimary ? aRequirement.mPrimaryAllowed
                                           : aRequirement.mReplicasAllowed;
  const log_position& required = aCandidate.mPrimary
                                   ? aRequirement.mPrimaryPosition
                                   : aRequirement.mPosition;
  const bool behind =
    aNow < aCandidate.mRefusedUntil && required >= aCandidate.mRefusedPosition;
  return allowed && !behind;
}

// Returns the expected time to an answer in milliseconds, with the weights
// applied.
double
Cost(const read_candidate& aCandidate, const read_requirement& aRequirement)
{
  const duration answer = aCandidate.mAnswerTime > duration(0)
                            ? aCandidate.mAnswerTime
                            : duration(kDefaultAnswerTime);
  const double milliseconds =
    std::chrono::duration<double, std::milli>(answer).count();
  double statements = 1 + aCandidate.mOutstanding;
  if (aCandidate.mPrimary) {
    statements *= kPrimaryLoadFactor;
  } else if (aCandidate.mApplied < aRequirement.mPosition) {
    statements += kUnknownPositionCost;
  }
  if (!aCandidate.mSameDataCentre) {
    statements += kRemoteCost;
  }
  if (aCandidate.mNeedsOpening) {
    statements += kOpeningCost;
  }
  if (aCandidate.mTried) {
    statements += kTriedCost;
  }
  return statements * milliseconds;
}

} // namespace

milliseconds
NextRefusalDelay(milliseconds aLast)
{
  return std::clamp(2 * aLast, kMinRefusalDelay, kMaxRefusalDelay);
}

std::optional<std::size_t>
ChooseReadServer(std::span<const read_candidate> aCandidates,
                 const read_requirement& aRequirement,
                 time_point aNow)
{
  std::optional<std::size_t> best;
  double bestCost = std::numeric_limits<double>::max();
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const read_candidate& candidate = aCandidates[index];
    if (!IsEligible(candidate, aRequirement, aNow)) {
      continue;
    }
    const double cost = Cost(candidate, aRequirement);
    if (cost < bestCost) {
      best = index;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace snipewalk
