// Implementation of the fault plan of a soak run.
#include "soak/fault_plan.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace snipewalk::soak {

namespace {

// Mean interval between the starts of two bursts.
constexpr int kMeanBurstIntervalMs = 1'600;
constexpr int kMaxBurstSize = 3;
constexpr int kBurstWindowMs = 700;
// Interval between planned steps, long enough for each to finish before the
// next one.
constexpr int kPlannedWorkIntervalMs = 6'000;
constexpr int kMinDurationMs = 100;
constexpr int kMaxDurationMs = 4'000;
constexpr std::size_t kTargetIndexRange = 1'000;
// Kinds that DrawStep() chooses from: the first ones of the table.
constexpr int kDrawnKinds = 16;
static_assert(kFaultKindNames[kDrawnKinds].mValue == fault_kind::FailRequests);
// Interval between the starts of two faults of kind FailRequests.
constexpr int kFailRequestsIntervalMs = 2'500;
// The same for StoreReturns.
constexpr int kStoreReturnsIntervalMs = 4'500;

int
DrawBetween(std::mt19937_64& aRandom, int aLow, int aHigh)
{
  return std::uniform_int_distribution<int>(aLow, aHigh)(aRandom);
}

fault_step
DrawStep(std::mt19937_64& aRandom, int aAtMs)
{
  fault_step step;
  step.mStartOffset = milliseconds(aAtMs);
  const auto kind =
    static_cast<std::size_t>(DrawBetween(aRandom, 0, kDrawnKinds - 1));
  step.mKind = kFaultKindNames[kind].mValue;
  step.mTarget = static_cast<std::size_t>(aRandom() % kTargetIndexRange);
  step.mDuration =
    milliseconds(DrawBetween(aRandom, kMinDurationMs, kMaxDurationMs));
  const auto cut = static_cast<std::size_t>(DrawBetween(
    aRandom, 1, static_cast<int>(standins::kLinkCutNames.size()) - 1));
  step.mCut = standins::kLinkCutNames[cut].mValue;
  return step;
}

// Adds faults of one kind. Uses a generator of its own, so that a seed's other
// faults do not depend on them.
void
AddFaults(std::vector<fault_step>& aSteps,
          fault_kind aKind,
          int aIntervalMs,
          const fault_plan_options& aOptions)
{
  std::mt19937_64 random(aOptions.mSeed);
  const auto length = static_cast<int>(aOptions.mFaultPeriod.count());
  for (int at = kBurstWindowMs; at < length; at += aIntervalMs) {
    fault_step step = DrawStep(random, at);
    step.mKind = aKind;
    aSteps.push_back(step);
  }
  std::stable_sort(
    aSteps.begin(), aSteps.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mStartOffset < aRight.mStartOffset;
    });
}

std::vector<fault_step>
DrawPlannedWork(std::mt19937_64& aRandom, int aLengthMs)
{
  std::vector<fault_step> steps;
  for (int at = kBurstWindowMs; at < aLengthMs; at += kPlannedWorkIntervalMs) {
    fault_step step = DrawStep(aRandom, at);
    step.mKind = kPlannedWork[aRandom() % std::size(kPlannedWork)];
    steps.push_back(step);
  }
  return steps;
}

std::vector<fault_step>
DrawBursts(const fault_plan_options& aOptions)
{
  std::mt19937_64 random(aOptions.mSeed);
  const auto length = static_cast<int>(aOptions.mFaultPeriod.count());
  if (aOptions.mPlannedWorkOnly) {
    return DrawPlannedWork(random, length);
  }
  std::vector<fault_step> steps;
  int at = kBurstWindowMs;
  while (at < length) {
    const int burstSize = DrawBetween(random, 1, kMaxBurstSize);
    // Either all faults of the burst are of the same kind, or each is drawn
    // independently.
    const bool repeated = DrawBetween(random, 0, 1) == 0;
    for (int i = 0; i < burstSize; ++i) {
      fault_step step =
        DrawStep(random, at + DrawBetween(random, 0, kBurstWindowMs));
      if (repeated && i > 0) {
        step.mKind = steps.back().mKind;
      }
      steps.push_back(step);
    }
    at += DrawBetween(
      random, kMeanBurstIntervalMs / 2, kMeanBurstIntervalMs * 3 / 2);
  }
  return steps;
}

} // namespace

std::vector<fault_step>
DrawFaults(const fault_plan_options& aOptions)
{
  std::vector<fault_step> steps =
    aOptions.mHandovers ? DrawHandoverFaults(aOptions) : DrawBursts(aOptions);
  std::stable_sort(
    steps.begin(), steps.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mStartOffset < aRight.mStartOffset;
    });
  const bool anyFaults = !aOptions.mHandovers && !aOptions.mPlannedWorkOnly;
  if (aOptions.mFailRequests && anyFaults) {
    AddFaults(
      steps, fault_kind::FailRequests, kFailRequestsIntervalMs, aOptions);
  }
  if (aOptions.mStoreReturns) {
    AddFaults(
      steps, fault_kind::StoreReturns, kStoreReturnsIntervalMs, aOptions);
  }
  return steps;
}

} // namespace snipewalk::soak
