// Implementation of the choice of a server for reads.
#include "snipewalk/session/server_choice.h"

#include <algorithm>
#include <limits>

namespace snipewalk {

namespace {

// Pauses after refusals; the first is about a usual replication delay.
constexpr milliseconds kFirstRefusedPause{ 30 };
constexpr milliseconds kLongestRefusedPause{ 500 };
// Assumed before a server's first answer.
constexpr milliseconds kDefaultAnswerTime{ 20 };
// Weight of the primary's load: it alone executes writes.
constexpr double kPrimaryWeight = 1.6;
// Added for another data centre, in statements of average length.
constexpr double kRemoteWeight = 0.25;
// Added for a replica that was never seen at the required position.
constexpr double kUnknownPositionWeight = 0.5;
// A server where the request failed is used only when no other is left.
constexpr double kTriedPenalty = 1'000;

bool
IsEligible(const read_candidate& aCandidate,
           const read_requirement& aRequirement,
           time_point aNow)
{
  if (!aCandidate.mHasConnection) {
    return false;
  }
  if (aCandidate.mPrimary) {
    return aRequirement.mPrimaryAllowed;
  }
  const bool behind = aNow < aCandidate.mRefusedUntil &&
                      aRequirement.mPosition >= aCandidate.mRefusedPosition;
  return aRequirement.mReplicasAllowed && !behind;
}

// Expected time to an answer in milliseconds, weighted.
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
    statements *= kPrimaryWeight;
  } else if (aCandidate.mApplied < aRequirement.mPosition) {
    statements += kUnknownPositionWeight;
  }
  if (!aCandidate.mSameDataCentre) {
    statements += kRemoteWeight;
  }
  if (aCandidate.mTried) {
    statements += kTriedPenalty;
  }
  return statements * milliseconds;
}

} // namespace

milliseconds
NextRefusedPause(milliseconds aLast)
{
  return std::clamp(2 * aLast, kFirstRefusedPause, kLongestRefusedPause);
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
