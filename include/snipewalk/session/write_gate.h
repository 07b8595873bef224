// Holds writes back while the primary of a service does not confirm any.
// This is the case if the primary is unresponsive or cut off from its replicas.
// Each write sent to such a primary ends with an unknown outcome and occupies
// one of its few slots, so that reads wait as well. Writes that are held back
// can be placed on the next primary or refused as not executed.
#ifndef SNIPEWALK_SESSION_WRITE_GATE_H_
#define SNIPEWALK_SESSION_WRITE_GATE_H_

#include "snipewalk/base/time.h"

#include <optional>

namespace snipewalk {

// State of the primary at the time a write is placed.
struct write_gate_facts
{
  // Time for which the primary has sent no reply although one is outstanding.
  duration mSilence{ 0 };
  // Number of writes and commits in flight, and the time at which the oldest
  // one was sent.
  int mInFlight = 0;
  std::optional<time_point> mOldestSent;
};

class write_gate
{
public:
  // Returns whether another write may be sent now.
  bool Admits(const write_gate_facts& aFacts, time_point aNow) const;

  void OnConfirmed(time_point aNow);
  // Records that a write or commit sent at `aSentAt` was not answered in time.
  void OnUnanswered(time_point aSentAt);
  // When the first of the writes that were not answered in time was sent;
  // std::nullopt if a write has been confirmed since.
  std::optional<time_point> StalledSince() const { return mStalledSince; }
  // Discards the state because another server has become the primary.
  void Reset();

private:
  time_point mConfirmedAt = time_point::min();
  // Set after a write was not answered in time. Until a write is confirmed,
  // only one write at a time is admitted.
  std::optional<time_point> mStalledSince;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_WRITE_GATE_H_
