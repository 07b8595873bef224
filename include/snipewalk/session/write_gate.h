// Holds writes back while the primary of a service does not confirm any.
// Load pattern: a primary that is dark, or cut off from its replicas. Each
// write sent to it ends in doubt and occupies one of its few slots, so that
// reads wait too. Held writes can be placed on its successor, or refused as not
// executed.
#ifndef SNIPEWALK_SESSION_WRITE_GATE_H_
#define SNIPEWALK_SESSION_WRITE_GATE_H_

#include "snipewalk/base/time.h"

#include <optional>

namespace snipewalk {

// What an instance knows when it places a write.
struct write_gate_facts
{
  // How long the primary has owed any answer.
  duration mSilence{ 0 };
  // Writes and commits under way, and when the oldest was sent.
  int mUnderWay = 0;
  std::optional<time_point> mOldestSent;
};

class write_gate
{
public:
  // Whether another write may be sent now.
  bool Admits(const write_gate_facts& aFacts, time_point aNow) const;

  void OnConfirmed(time_point aNow);
  // A write or commit got no answer in its time.
  void OnUnanswered();
  // Another server is the primary.
  void Reset();

private:
  time_point mConfirmedAt = time_point::min();
  // One write at a time tries, until one is confirmed.
  bool mStalled = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_WRITE_GATE_H_
