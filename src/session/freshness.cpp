// Implementation of the samples of log positions.
#include "snipewalk/session/freshness.h"

#include <algorithm>

namespace snipewalk {

void
freshness_samples::Add(time_point aSent, log_position aPosition)
{
  // Replies on different connections arrive out of order; a sample older than
  // the newest one is not needed.
  if (!mSamples.empty() && aSent <= mSamples.back().mSent) {
    return;
  }
  // A position that covers all commits up to a later moment also covers those
  // up to an earlier one, so earlier samples with larger or equal positions are
  // redundant.
  while (!mSamples.empty() && mSamples.back().mPosition >= aPosition) {
    mSamples.pop_back();
  }
  while (!mSamples.empty() && mSamples.front().mSent + mHorizon < aSent) {
    mSamples.pop_front();
  }
  const bool tooClose =
    mSamples.size() >= 2 &&
    mSamples.back().mSent - mSamples[mSamples.size() - 2].mSent < kSpacing;
  if (tooClose) {
    mSamples.pop_back();
  }
  mSamples.push_back({ aSent, aPosition });
}

std::optional<log_position>
freshness_samples::PositionCovering(time_point aMoment) const
{
  const auto found =
    std::lower_bound(mSamples.begin(),
                     mSamples.end(),
                     aMoment,
                     [](const sample& aSample, time_point aWhen) {
                       return aSample.mSent < aWhen;
                     });
  if (found == mSamples.end()) {
    return std::nullopt;
  }
  return found->mPosition;
}

} // namespace snipewalk
