// Implementation of the fault plan of a soak run.
#include "soak/fault_plan.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace snipewalk::soak {

namespace {

// Mean interval between the starts of two bursts.
constexpr int kSeriesEveryMs = 1'600;
constexpr int kLongestSeries = 3;
constexpr int kSeriesSpacingMs = 700;
// Interval between planned steps, long enough for each to finish before the
// next one.
constexpr int kPlannedEveryMs = 6'000;
constexpr int kShortestMs = 100;
constexpr int kLongestMs = 4'000;
constexpr std::size_t kTargets = 1'000;

int
Between(std::mt19937_64& aRandom, int aLow, int aHigh)
{
  return std::uniform_int_distribution<int>(aLow, aHigh)(aRandom);
}

fault_step
DrawStep(std::mt19937_64& aRandom, int aAtMs)
{
  fault_step step;
  step.mAt = milliseconds(aAtMs);
  const auto kind = static_cast<std::size_t>(
    Between(aRandom, 0, static_cast<int>(kFaultKindNames.size()) - 1));
  step.mKind = kFaultKindNames[kind].mValue;
  step.mTarget = static_cast<std::size_t>(aRandom() % kTargets);
  step.mFor = milliseconds(Between(aRandom, kShortestMs, kLongestMs));
  const auto cut = static_cast<std::size_t>(
    Between(aRandom, 1, static_cast<int>(standins::kLinkCutNames.size()) - 1));
  step.mCut = standins::kLinkCutNames[cut].mValue;
  return step;
}

std::vector<fault_step>
DrawPlannedWork(std::mt19937_64& aRandom, int aLengthMs)
{
  std::vector<fault_step> steps;
  for (int at = kSeriesSpacingMs; at < aLengthMs; at += kPlannedEveryMs) {
    fault_step step = DrawStep(aRandom, at);
    step.mKind = kPlannedWork[aRandom() % std::size(kPlannedWork)];
    steps.push_back(step);
  }
  return steps;
}

} // namespace

std::vector<fault_step>
DrawFaults(const fault_plan_options& aOptions)
{
  std::mt19937_64 random(aOptions.mSeed);
  const auto length = static_cast<int>(aOptions.mLength.count());
  if (aOptions.mPlannedWorkOnly) {
    return DrawPlannedWork(random, length);
  }
  std::vector<fault_step> steps;
  int at = kSeriesSpacingMs;
  while (at < length) {
    const int series = Between(random, 1, kLongestSeries);
    // Either all faults of the burst are of the same kind, or each is drawn
    // independently.
    const bool repeated = Between(random, 0, 1) == 0;
    for (int i = 0; i < series; ++i) {
      fault_step step =
        DrawStep(random, at + Between(random, 0, kSeriesSpacingMs));
      if (repeated && i > 0) {
        step.mKind = steps.back().mKind;
      }
      steps.push_back(step);
    }
    at += Between(random, kSeriesEveryMs / 2, kSeriesEveryMs * 3 / 2);
  }
  std::stable_sort(
    steps.begin(), steps.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mAt < aRight.mAt;
    });
  return steps;
}

} // namespace snipewalk::soak
