// Implementation of the write gate.
#include "snipewalk/session/write_gate.h"

#include <algorithm>

namespace snipewalk {

namespace {

// Writes are held once the primary has been silent for longer than this. Most
// statements take less time; a longer one only delays the writes behind it.
constexpr milliseconds kMaxSilence{ 120 };
// Writes are limited to one at a time if the oldest has been unanswered for
// longer than this and no write was confirmed since it was sent. Confirmation
// by a replica normally takes a few milliseconds.
constexpr milliseconds kConfirmationTimeout{ 300 };

} // namespace

bool
write_gate::Admits(const write_gate_facts& aFacts, time_point aNow) const
{
  if (aFacts.mSilence > kMaxSilence) {
    return false;
  }
  const bool unconfirmed = aFacts.mOldestSent &&
                           aNow > *aFacts.mOldestSent + kConfirmationTimeout &&
                           mConfirmedAt < *aFacts.mOldestSent;
  return aFacts.mInFlight == 0 || (!mStalledSince && !unconfirmed);
}

void
write_gate::OnConfirmed(time_point aNow)
{
  mConfirmedAt = aNow;
  mStalledSince.reset();
}

void
write_gate::OnUnanswered(time_point aSentAt)
{
  mStalledSince = std::min(mStalledSince.value_or(aSentAt), aSentAt);
}

void
write_gate::Reset()
{
  *this = {};
}

} // namespace snipewalk
