// Classifies the health of a primary from one instance's observations, and
// applies the thresholds by which reports, probes and the store entry lead to a
// change of primary.
#include "snipewalk/session/primary_monitor.h"

#include <algorithm>

namespace snipewalk {

namespace {

// A server counts as unreachable if none of its connections has received
// anything for this long while a reply is due. This is longer than the slowest
// statements and a full queue of the server take.
constexpr milliseconds kAnswerTimeout{ 350 };
constexpr int kFailedConnectsForUnreachable = 2;
// Writes count as stalled once a write or commit has waited this long for a
// replica's confirmation while the primary answers reads.
constexpr milliseconds kWriteStallTimeout{ 600 };
// How long instances must report the same problem before a primary that the
// holder still reaches is replaced.
constexpr milliseconds kCutOffDuration{ 500 };
constexpr milliseconds kWriteStallDuration{ 200 };
// A primary counts as cut off if at least one in this many reporting instances,
// and at least two of them, cannot reach it.
constexpr int kCutOffDivisor = 3;
constexpr int kFailedProbesForDead = 2;
constexpr milliseconds kProbeInterval{ 50 };
// How long the primary's entry must be missing, or no primary be known, before
// the primary is replaced. Entries expire while the store is unavailable and
// reappear within two seconds after.
constexpr milliseconds kMissingDuration{ 2'500 };
constexpr milliseconds kNotPrimaryDuration{ 1'500 };
constexpr milliseconds kQuietPeriodAfterChange{ 1'500 };

} // namespace

primary_health
ClassifyObservation(const server_observation& aObservation, time_point aNow)
{
  const bool silent = aObservation.mWaitingSince &&
                      aNow >= *aObservation.mWaitingSince + kAnswerTimeout &&
                      aNow >= aObservation.mLastAnswer + kAnswerTimeout;
  if (silent || aObservation.mFailedConnects >= kFailedConnectsForUnreachable) {
    return primary_health::Unreachable;
  }
  const bool stalled =
    aObservation.mWriteWaitingSince &&
    aNow >= *aObservation.mWriteWaitingSince + kWriteStallTimeout;
  if (stalled) {
    return primary_health::WritesStall;
  }
  return aNow < aObservation.mLastAnswer + kAnswerTimeout
           ? primary_health::Answers
           : primary_health::NoTraffic;
}

void
primary_monitor::OnReport(const std::string& aInstance,
                          primary_health aHealth,
                          time_point aNow)
{
  report& last = mReports[aInstance];
  const bool uninterrupted =
    last.mHealth == aHealth && aNow < last.mReceivedAt + kReportLifetime;
  if (!uninterrupted) {
    last.mSince = aNow;
  }
  last.mHealth = aHealth;
  last.mReceivedAt = aNow;
}

void
primary_monitor::OnEntry(const std::optional<registered_server>& aEntry,
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
primary_monitor::OnPrimaryUnknown(time_point aNow)
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
  mQuietUntil = aNow + kQuietPeriodAfterChange;
}

int
primary_monitor::CountReports(primary_health aHealth,
                              duration aMinDuration,
                              time_point aNow) const
{
  return static_cast<int>(
    std::count_if(mReports.begin(), mReports.end(), [&](const auto& aIt) {
      const report& last = aIt.second;
      return last.mHealth == aHealth &&
             aNow < last.mReceivedAt + kReportLifetime &&
             aNow >= last.mSince + aMinDuration;
    }));
}

bool
primary_monitor::NeedsProbe(time_point aNow) const
{
  const bool suspected =
    CountReports(primary_health::Unreachable, duration(0), aNow) > 0 ||
    CountReports(primary_health::WritesStall, duration(0), aNow) > 0 ||
    mMissingSince.has_value();
  return suspected && aNow >= mProbedAt + kProbeInterval;
}

change_reason
primary_monitor::Decide(time_point aNow) const
{
  if (aNow < mQuietUntil) {
    return change_reason::None;
  }
  if (mRestarted) {
    return change_reason::Restarted;
  }
  if (mEntry && mEntry->mDraining) {
    return change_reason::Leaving;
  }
  if (mUnknownSince && aNow >= *mUnknownSince + kMissingDuration) {
    return change_reason::Unknown;
  }
  const bool probeFresh = aNow < mProbedAt + kReportLifetime;
  const bool probeFailed = probeFresh && mProbe == probe_result::Failed &&
                           mFailedProbes >= kFailedProbesForDead;
  const bool probeAnswered = probeFresh && mProbe == probe_result::Answered;
  const int unreachable =
    CountReports(primary_health::Unreachable, duration(0), aNow);
  const int answers =
    CountReports(primary_health::Answers, duration(0), aNow) +
    CountReports(primary_health::WritesStall, duration(0), aNow);
  if (probeFailed && unreachable >= std::max(answers, 1)) {
    return change_reason::Dead;
  }
  if (probeFailed && answers == 0 && mMissingSince &&
      aNow >= *mMissingSince + kMissingDuration) {
    return change_reason::Dead;
  }
  const int cutOff =
    CountReports(primary_health::Unreachable, kCutOffDuration, aNow);
  if (probeAnswered && cutOff >= 2 &&
      cutOff * kCutOffDivisor >= cutOff + answers) {
    return change_reason::CutOff;
  }
  if (probeAnswered &&
      CountReports(primary_health::WritesStall, kWriteStallDuration, aNow) >
        0 &&
      CountReports(primary_health::Answers, duration(0), aNow) <=
        CountReports(primary_health::WritesStall, kWriteStallDuration, aNow)) {
    return change_reason::WritesStall;
  }
  if (mNotPrimarySince && aNow >= *mNotPrimarySince + kNotPrimaryDuration) {
    return change_reason::LostRole;
  }
  return change_reason::None;
}

} // namespace snipewalk
