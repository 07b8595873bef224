// Implementation of the samples of a primary's log positions.
#include "snipewalk/session/freshness.h"

#include <algorithm>

namespace snipewalk {

void
freshness_samples::Add(time_point aSent, log_position aPosition)
{
  // Answers of several connections arrive out of order; an older sample is not
  // needed.
  if (!mSamples.empty() && aSent <= mSamples.back().mSent) {
    return;
  }
  // What holds all commits up to a later moment holds those up to an earlier
  // one, so larger positions of earlier samples say less.
  while (!mSamples.empty() && mSamples.back().mPosition >= aPosition) {
    mSamples.pop_back();
  }
  while (!mSamples.empty() && mSamples.front().mSent + mHorizon < aSent) {
    mSamples.pop_front();
  }
  const bool crowded =
    mSamples.size() >= 2 &&
    mSamples.back().mSent - mSamples[mSamples.size() - 2].mSent < kSpacing;
  if (crowded) {
    mSamples.pop_back();
  }
  mSamples.push_back({ aSent, aPosition });
}

std::optional<log_position>
freshness_samples::Covering(time_point aMoment) const
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
