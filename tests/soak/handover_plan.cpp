// Fault plan of the hand-overs of the failover duty.
#include "soak/fault_plan.h"

#include <algorithm>
#include <random>

namespace snipewalk::soak {

namespace {

constexpr int kFirstBurstMs = 3'000;
// Long enough for a take-over of the duty and the change of primary after it.
constexpr int kBurstIntervalMs = 9'000;
// Faults of the holder begin this long before or after the primary's.
constexpr int kHolderOffsetMs = 1'200;
constexpr int kMaxHolderFaults = 3;
constexpr int kShortestMs = 300;
constexpr int kLongestMs = 4'500;
constexpr int kLongestDelayMs = 900;
constexpr std::size_t kTargetIndexRange = 1'000;

class handover_plan
{
public:
  explicit handover_plan(const fault_plan_options& aOptions)
    : mRandom(aOptions.mSeed)
    , mLengthMs(static_cast<int>(aOptions.mFaultPeriod.count()))
  {
  }

  std::vector<fault_step> Draw()
  {
    for (int at = kFirstBurstMs; at < mLengthMs; at += kBurstIntervalMs) {
      DrawBurst(at);
    }
    std::stable_sort(
      mSteps.begin(), mSteps.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.mStartOffset < aRight.mStartOffset;
      });
    return mSteps;
  }

private:
  int Between(int aLow, int aHigh)
  {
    return std::uniform_int_distribution<int>(aLow, aHigh)(mRandom);
  }
  bool Chance(int aPercent) { return Between(1, 100) <= aPercent; }

  fault_step& Add(int aAtMs, fault_kind aKind, fault_target aHits)
  {
    fault_step step;
    step.mStartOffset = milliseconds(std::max(aAtMs, 0));
    step.mKind = aKind;
    step.mHits = aHits;
    step.mTarget = static_cast<std::size_t>(mRandom() % kTargetIndexRange);
    step.mDuration = milliseconds(Between(kShortestMs, kLongestMs));
    mSteps.push_back(step);
    return mSteps.back();
  }

  void DrawBurst(int aAtMs)
  {
    if (Chance(50)) {
      Add(aAtMs - Between(0, kHolderOffsetMs),
          fault_kind::Deaf,
          fault_target::Selected);
    }
    const bool crash = Chance(50);
    const bool leaves = Chance(60);
    if (leaves || !crash) {
      Add(aAtMs,
          fault_kind::Replace,
          Chance(60) ? fault_target::Primary : fault_target::Selected);
    }
    if (crash) {
      Add(aAtMs + (leaves ? Between(0, kLongestMs) : 0),
          fault_kind::Crash,
          fault_target::Primary);
    }
    if (Chance(40)) {
      Add(aAtMs, fault_kind::DelayPromotions, fault_target::Selected)
        .mDuration = milliseconds(Between(kShortestMs, kLongestDelayMs));
    }
    if (Chance(40)) {
      Add(aAtMs + Between(-kHolderOffsetMs, kHolderOffsetMs),
          Chance(50) ? fault_kind::StoreDown : fault_kind::StoreLosesAnswers,
          fault_target::Selected)
        .mDuration /= 2;
    }
    const int faults = Between(1, kMaxHolderFaults);
    for (int i = 0; i < faults; ++i) {
      AddHolderFault(aAtMs + Between(-kHolderOffsetMs, kHolderOffsetMs));
    }
  }

  void AddHolderFault(int aAtMs)
  {
    static constexpr fault_kind kKinds[] = {
      fault_kind::Kill,      fault_kind::Pause,  fault_kind::Pause,
      fault_kind::Terminate, fault_kind::Freeze, fault_kind::Freeze,
      fault_kind::Cut,       fault_kind::Delay,
    };
    const fault_kind kind = kKinds[Between(0, std::size(kKinds) - 1)];
    fault_step& step = Add(aAtMs, kind, fault_target::Holder);
    if (kind == fault_kind::Freeze && Chance(50)) {
      step.mHits = fault_target::HolderPromotions;
    }
    step.mCut = standins::link_cut::Both;
    step.mAwaitsOrder = Chance(50);
  }

  std::mt19937_64 mRandom;
  int mLengthMs;
  std::vector<fault_step> mSteps;
};

} // namespace

std::vector<fault_step>
DrawHandoverFaults(const fault_plan_options& aOptions)
{
  return handover_plan(aOptions).Draw();
}

} // namespace snipewalk::soak
