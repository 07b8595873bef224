#include "snipewalk/session/primary_monitor.h"

#include <algorithm>

namespace snipewalk {

namespace {

// A server counts as unreachable if none of its connections has received
// anything for this long while a reply is due. This is longer than the slowest
// statements and a full queue of the server take.
constexpr milliseconds kSilence{ 350 };
constexpr int kRefusals = 2;
// Writes count as stalled once a write or commit has waited this long for a
// replica's confirmation while the primary answers reads.
constexpr milliseconds kWriteStall{ 600 };
// How long instances must report the same problem before a primary that the
// holder still reaches is replaced.
constexpr milliseconds kCutOffFor{ 500 };
constexpr milliseconds kStallFor{ 200 };
// A primary counts as cut off if at least one in this many reporting instances
// cannot reach it.
constexpr int kCutOffDivisor = 3;
constexpr int kFailedProbesForDead = 2;
constexpr milliseconds kProbeEvery{ 50 };
// How long the primary's entry must be missing, or no primary be known, before
// the primary is replaced. Entries expire while the store is unavailable and
// reappear within two seconds after.
constexpr milliseconds kMissingFor{ 2'500 };
constexpr milliseconds kNotPrimaryFor{ 1'500 };
constexpr milliseconds kQuietAfterChange{ 1'500 };

} // namespace

primary_health
JudgeObservation(const server_observation& aObservation, time_point aNow)
{
  const bool silent = aObservation.mWaitingSince &&
                      aNow >= *aObservation.mWaitingSince + kSilence &&
                      aNow >= aObservation.mLastAnswer + kSilence;
  if (silent || aObservation.mFailedConnects >= kRefusals) {
    return primary_health::Unreachable;
  }
  const bool stalled = aObservation.mWriteWaitingSince &&
                       aNow >= *aObservation.mWriteWaitingSince + kWriteStall;
  if (stalled) {
    return primary_health::WritesStall;
  }
  return aNow < aObservation.mLastAnswer + kSilence ? primary_health::Answers
                                                    : primary_health::NoTraffic;
}

void
primary_monitor::OnReport(const std::string& aInstance,
                          primary_health aHealth,
                          time_point aNow)
{
  report& held = mReports[aInstance];
  const bool goesOn =
    held.mHealth == aHealth && aNow < held.mAt + kReportLifetime;
  if (!goesOn) {
    held.mSince = aNow;
  }
  held.mHealth = aHealth;
  held.mAt = aNow;
}

void
primary_monitor::OnEntry(const std::optional<server_entry>& aEntry,
                         time_point aNow)
{
  mEntry = aEntry;
  mUnknownSince.reset();
  if (aEntry) {
    mMissingSince.reset();
  } else if (!mMissingSince) {
    mMissingSince = aNow;
  }
  if (!aEntry || aEntry->mPrimary) {
    mNotPrimarySince.reset();
  } else if (!mNotPrimarySince) {
    mNotPrimarySince = aNow;
  }
}

void
primary_monitor::OnUnknown(time_point aNow)
{
  mEntry.reset();
  mMissingSince.reset();
  mNotPrimarySince.reset();
  mUnknownSince = mUnknownSince.value_or(aNow);
}

void
primary_monitor::OnProbe(bool aAnswered, time_point aNow)
{
  mProbe = aAnswered ? probe_result::Answered : probe_result::Failed;
  mProbedAt = aNow;
  mFailedProbes = aAnswered ? 0 : mFailedProbes + 1;
}

void
primary_monitor::Reset(time_point aNow)
{
  *this = {};
  mQuietUntil = aNow + kQuietAfterChange;
}

int
primary_monitor::Count(primary_health aHealth,
                       duration aFor,
                       time_point aNow) const
{
  return static_cast<int>(
    std::count_if(mReports.begin(), mReports.end(), [&](const auto& aIt) {
      const report& held = aIt.second;
      return held.mHealth == aHealth && aNow < held.mAt + kReportLifetime &&
             aNow >= held.mSince + aFor;
    }));
}

bool
primary_monitor::WantsProbe(time_point aNow) const
{
  const bool suspected =
    Count(primary_health::Unreachable, duration(0), aNow) > 0 ||
    Count(primary_health::WritesStall, duration(0), aNow) > 0 ||
    mMissingSince.has_value();
  return suspected && aNow >= mProbedAt + kProbeEvery;
}

change_reason
primary_monitor::Decide(time_point aNow) const
{
  if (aNow < mQuietUntil) {
    return change_reason::None;
  }
  if (mEntry && mEntry->mDraining) {
    return change_reason::Leaving;
  }
  if (mUnknownSince && aNow >= *mUnknownSince + kMissingFor) {
    return change_reason::Unknown;
  }
  const bool probeFresh = aNow < mProbedAt + kReportLifetime;
  const bool probeFailed = probeFresh && mProbe == probe_result::Failed &&
                           mFailedProbes >= kFailedProbesForDead;
  const bool probeAnswered = probeFresh && mProbe == probe_result::Answered;
  const int unreachable = Count(primary_health::Unreachable, duration(0), aNow);
  const int answers = Count(primary_health::Answers, duration(0), aNow) +
                      Count(primary_health::WritesStall, duration(0), aNow);
  if (probeFailed && unreachable >= std::max(answers, 1)) {
    return change_reason::Dead;
  }
  if (probeFailed && answers == 0 && mMissingSince &&
      aNow >= *mMissingSince + kMissingFor) {
    return change_reason::Dead;
  }
  const int cutOff = Count(primary_health::Unreachable, kCutOffFor, aNow);
  if (probeAnswered && cutOff >= 2 &&
      cutOff * kCutOffDivisor >= cutOff + answers) {
    return change_reason::CutOff;
  }
  if (probeAnswered &&
      Count(primary_health::WritesStall, kStallFor, aNow) > 0 &&
      Count(primary_health::Answers, duration(0), aNow) <=
        Count(primary_health::WritesStall, kStallFor, aNow)) {
    return change_reason::WritesStall;
  }
  if (mNotPrimarySince && aNow >= *mNotPrimarySince + kNotPrimaryFor) {
    return change_reason::LostRole;
  }
  return change_reason::None;
}

} // namespace snipewalk
