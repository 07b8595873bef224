// Queries between instances and the failure detector's verdict on the primary.
#include "snipewalk/version/failure_detector.h"

#include "snipewalk/version/failover.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Time between the end of a round of queries without a verdict and the next
// round.
constexpr milliseconds kQueryRoundInterval{ 200 };
// Maximum number of instances without a slot that are asked when there is no
// other slot holder or the last round received no report.
constexpr std::size_t kMaxAskedInstancesWithoutSlot = 3;
// Age above which an unanswered query of another instance is dropped. It is
// just below kReportTimeout, after which that instance no longer waits for the
// report.
constexpr milliseconds kMaxQueryAge{ 280 };

} // namespace

void
failure_detector::On(const peer_message_received& aEvent,
                     time_point aNow,
                     actions& aOut)
{
  if (const auto* query = std::get_if<primary_report_query>(&aEvent.mMessage)) {
    AnswerQuery(aEvent.mInstance, *query, aNow, aOut);
    return;
  }
  const auto* report = std::get_if<primary_report>(&aEvent.mMessage);
  if (report && mQueryRound && report->mQuery == mQueryRound->mQuery &&
      report->mTerm == mConfig.mTerm && report->mServer == mConfig.mPrimary &&
      mQueryRound->mAsked.count(aEvent.mInstance) > 0) {
    mQueryRound->mReports[aEvent.mInstance] = report->mReachability;
    // One report is enough to forward requests to its sender. Holders that no
    // longer report are removed only when the round ends, because their reports
    // may still arrive.
    auto reaching = HoldersReachingPrimary();
    reaching.insert(mHoldersReachingPrimary.begin(),
                    mHoldersReachingPrimary.end());
    if (report->mReachability == server_reachability::Unreachable) {
      reaching.erase(aEvent.mInstance);
    }
    SetHoldersReachingPrimary(std::move(reaching), aOut);
  }
}

// Answers another instance's query whether this instance reaches a server. A
// slot holder that has enough evidence reports at once; otherwise it waits for
// its outstanding probe or sends one over a new connection. Any other instance
// connects to the server only for this probe.
void
failure_detector::AnswerQuery(const std::string& aInstance,
                              const primary_report_query& aQuery,
                              time_point aNow,
                              actions& aOut)
{
  std::erase_if(mPending, [&](const auto& aPending) {
    return aPending.mInstance == aInstance ||
           aNow - aPending.mArrived > kMaxQueryAge;
  });
  mPending.push_back({ aInstance, aQuery, aNow });
  const auto found = mServers.find(aQuery.mServer);
  if (found != mServers.end() && mConfig.mIsHolder) {
    server& state = found->second;
    if (state.mSuspected && HasEnoughEvidence(state, aNow)) {
      SendReports(aQuery.mServer, server_reachability::Unreachable, aOut);
    } else if (!state.mProbe) {
      state.mNextProbeNeedsNewConnection = true;
      SendProbe(aQuery.mServer, {}, state, aNow, aOut);
    }
    return;
  }
  if (mProbedForPeers.count(aQuery.mServer) == 0) {
    server& state = mProbedForPeers[aQuery.mServer];
    state.mNextProbeNeedsNewConnection = true;
    SendProbe(aQuery.mServer, aQuery.mAddress, state, aNow, aOut);
  }
}

void
failure_detector::SendReports(const std::string& aServer,
                              server_reachability aReachability,
                              actions& aOut)
{
  for (const auto& pending : mPending) {
    if (pending.mQuery.mServer == aServer) {
      aOut.emplace_back(send_peer_message{ pending.mInstance,
                                           primary_report{
                                             mOptions.mService,
                                             aServer,
                                             pending.mQuery.mTerm,
                                             pending.mQuery.mQuery,
                                             aReachability,
                                           } });
    }
  }
  std::erase_if(mPending, [&](const auto& aPending) {
    return aPending.mQuery.mServer == aServer;
  });
}

void
failure_detector::AdvanceQuery(time_point aNow, actions& aOut)
{
  const auto primary = mServers.find(mConfig.mPrimary);
  const bool suspected = mConfig.mIsHolder && primary != mServers.end() &&
                         primary->second.mSuspected &&
                         HasEnoughEvidence(primary->second, aNow);
  if (!suspected) {
    mQueryRound.reset();
    if (mVerdictAt && aNow - *mVerdictAt > kMaxEvidenceAge) {
      SetVerdict(false, aNow, aOut);
    }
    return;
  }
  if (mQueryRound) {
    const bool complete =
      mQueryRound->mReports.size() == mQueryRound->mAsked.size() ||
      aNow - mQueryRound->mStarted >= kReportTimeout;
    if (IsConfirmed()) {
      mQueryRound.reset();
      mNextQueryRoundAt = aNow + kMaxEvidenceAge / 2;
      SetVerdict(true, aNow, aOut);
    } else if (complete) {
      mAskInstancesWithoutSlot = mQueryRound->mReports.empty();
      SetHoldersReachingPrimary(HoldersReachingPrimary(), aOut);
      mQueryRound.reset();
      mNextQueryRoundAt = aNow + kQueryRoundInterval;
    }
  } else if (aNow >= mNextQueryRoundAt) {
    StartQuery(aNow, aOut);
  }
  if (mVerdictAt && aNow - *mVerdictAt > kMaxEvidenceAge) {
    SetVerdict(false, aNow, aOut);
  }
}

void
failure_detector::StartQuery(time_point aNow, actions& aOut)
{
  mQueryRound = query_round{};
  mQueryRound->mQuery = mNextId++;
  mQueryRound->mStarted = aNow;
  mQueryRound->mAsked.insert(mConfig.mOtherHolders.begin(),
                             mConfig.mOtherHolders.end());
  if (mAskInstancesWithoutSlot || mQueryRound->mAsked.empty()) {
    const auto& others = mConfig.mOtherInstances;
    const std::size_t count =
      std::min(others.size(), kMaxAskedInstancesWithoutSlot);
    mQueryRound->mAsked.insert(
      others.begin(), others.begin() + static_cast<std::ptrdiff_t>(count));
  }
  for (const auto& instance : mQueryRound->mAsked) {
    aOut.emplace_back(
      send_peer_message{ instance,
                         primary_report_query{ mOptions.mService,
                                               mConfig.mPrimary,
                                               mConfig.mPrimaryAddress,
                                               mConfig.mTerm,
                                               mQueryRound->mQuery } });
  }
}

// A majority of the instances that take part in the round, this instance
// included, confirms the failure at once. After kReportTimeout, a majority of
// those that reported is sufficient. At least one other instance must report
// the primary as unreachable, unless there is no other live instance.
bool
failure_detector::IsConfirmed() const
{
  if (mConfig.mOtherHolders.empty() && mConfig.mOtherInstances.empty()) {
    return true;
  }
  std::size_t unreachable = 0;
  for (const auto& [instance, reachability] : mQueryRound->mReports) {
    unreachable += reachability == server_reachability::Unreachable ? 1 : 0;
  }
  const bool timedOut =
    mLastEvent && *mLastEvent - mQueryRound->mStarted >= kReportTimeout;
  const std::size_t votes =
    1 + (timedOut ? mQueryRound->mReports.size() : mQueryRound->mAsked.size());
  return unreachable >= 1 && 2 * (unreachable + 1) > votes;
}

void
failure_detector::SetVerdict(bool aFailed, time_point aNow, actions& aOut)
{
  const bool had = mVerdictAt.has_value();
  if (aFailed) {
    mVerdictAt = aNow;
    SetHoldersReachingPrimary({}, aOut);
  } else {
    mVerdictAt.reset();
  }
  if (had != aFailed) {
    aOut.emplace_back(verdict_changed{ mConfig.mTerm, aFailed });
  }
}

void
failure_detector::SetHoldersReachingPrimary(std::set<std::string> aHolders,
                                            actions& aOut)
{
  if (mHoldersReachingPrimary != aHolders) {
    mHoldersReachingPrimary = std::move(aHolders);
    aOut.emplace_back(suspicion_changed{});
  }
}

std::set<std::string>
failure_detector::HoldersReachingPrimary() const
{
  std::set<std::string> holders;
  for (const auto& name : mConfig.mOtherHolders) {
    const auto report = mQueryRound->mReports.find(name);
    if (report != mQueryRound->mReports.end() &&
        report->second == server_reachability::Reachable) {
      holders.insert(name);
    }
  }
  return holders;
}

} // namespace snipewalk
