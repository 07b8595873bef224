// Positions of a service's log that are known to contain all commits which were
// acknowledged before a moment. They bound the age of reads from replicas.
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
  // Samples closer together than this replace each other, which bounds memory.
  static constexpr milliseconds kSpacing{ 50 };

  // Keeps samples for `aHorizon`, the largest stated age in use.
  explicit freshness_samples(duration aHorizon = milliseconds(5'000))
    : mHorizon(aHorizon)
  {
  }

  // Every commit that was acknowledged before `aSent` is at or below
  // `aPosition`, as the answer of a server shows that was known to be the
  // primary at `aSent`.
  void Add(time_point aSent, log_position aPosition);

  // Smallest known position that contains every commit acknowledged up to
  // `aMoment`; nothing without a sample sent at or after it.
  std::optional<log_position> Covering(time_point aMoment) const;

private:
  struct sample
  {
    time_point mSent;
    log_position mPosition;
  };

  duration mHorizon;
  // Ascending by mSent; positions never decrease.
  std::deque<sample> mSamples;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_FRESHNESS_H_
