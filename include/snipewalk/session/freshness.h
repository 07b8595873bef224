// Samples of log positions of a service, each known to cover all commits
// acknowledged before a moment. They bound the staleness of reads from
// replicas.
#ifndef SNIPEWALK_SESSION_FRESHNESS_H_
#define SNIPEWALK_SESSION_FRESHNESS_H_

#include "snipewalk/base/time.h"
#include "snipewalk/session/log_position.h"

#include <deque>
#include <optional>

namespace snipewalk {

class freshness_samples
{
public:
  // If the newest two samples are closer together than this, the next sample
  // replaces the newest one, which bounds memory.
  static constexpr milliseconds kSpacing{ 50 };

  // Keeps samples for `aHorizon`, the largest allowed staleness in use.
  explicit freshness_samples(duration aHorizon = milliseconds(5'000))
    : mHorizon(aHorizon)
  {
  }

  // Records that every commit acknowledged before `aSent` is at or below
  // `aPosition`. This holds for the position in a reply of a server that was
  // known to be the primary at `aSent`, the time the command was sent.
  void Add(time_point aSent, log_position aPosition);

  // Returns the smallest known position that covers every commit acknowledged
  // up to `aMoment`, or std::nullopt if no sample was sent at or after that
  // moment.
  std::optional<log_position> PositionCovering(time_point aMoment) const;

private:
  struct sample
  {
    time_point mSent;
    log_position mPosition;
  };

  duration mHorizon;
  // In ascending order of mSent and of mPosition.
  std::deque<sample> mSamples;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_FRESHNESS_H_
