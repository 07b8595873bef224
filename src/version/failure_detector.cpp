// Probes, evidence and suspicions of the failure detector. The queries between
// instances and the verdict are in failure_detector_queries.cpp.
#include "snipewalk/version/failure_detector.h"

#include "snipewalk/version/failover.h"

#include <algorithm>
#include <array>
#include <utility>

namespace snipewalk {

namespace {

// Timeouts of consecutive unanswered probes. The third is long enough for a
// server that answers slowly. Together they stay within the 2 s of
// kMaxEvidenceAge, so that the first failure still counts when the last probe
// times out.
constexpr std::array<milliseconds, 4> kProbeTimeouts{ milliseconds(250),
                                                      milliseconds(400),
                                                      milliseconds(700),
                                                      milliseconds(600) };
// Least time between two probes of a server that has to be probed without
// waiting for the probe interval, such as one that refuses connections.
constexpr milliseconds kUrgentProbeInterval{ 20 };
// Least time between two probes of a suspected server. It is shorter for the
// primary, because the return of the primary ends a failover, whereas the
// return of a replica may be noticed later.
constexpr milliseconds kSuspectedPrimaryProbeInterval{ 200 };
constexpr milliseconds kSuspectedServerProbeInterval{ 1'000 };
// Time between two probes of a server at its connection limit. It doubles from
// the first to the second value, because each of these probes opens a new
// connection.
constexpr milliseconds kMinFullServerProbeInterval{ 200 };
constexpr milliseconds kMaxFullServerProbeInterval{ 1'600 };
constexpr int kMaxFullServerDoublings = 3;
// Interval at which the positions and terms of servers are refreshed while they
// answer other traffic.
constexpr milliseconds kStatusInterval{ 1'000 };
// Failures are ignored for this time after a pause of the event loop. Those
// that traffic threads reported before the pause was noticed arrive within it.
constexpr milliseconds kStaleFailurePeriod{ 100 };

} // namespace

failure_detector::failure_detector(detector_options aOptions)
  : mOptions(std::move(aOptions))
{
}

void
failure_detector::Handle(const detector_event& aEvent,
                         time_point aNow,
                         actions& aActions)
{
  if (mLastEvent && aNow - *mLastEvent > kPauseThreshold) {
    ResetEvidence(aNow, aActions);
  }
  mLastEvent = aNow;
  std::visit([&](const auto& aTyped) { On(aTyped, aNow, aActions); }, aEvent);
  for (auto& [name, state] : mServers) {
    Evaluate(state, aNow, aActions);
  }
  SendProbes(aNow, aActions);
  AdvanceQuery(aNow, aActions);
}

void
failure_detector::SetProbeSpacing(milliseconds aSpacing)
{
  mProbeSpacing = aSpacing;
}

std::vector<std::string>
failure_detector::Suspected() const
{
  std::vector<std::string> names;
  for (const auto& [name, state] : mServers) {
    if (state.mSuspected) {
      names.push_back(name);
    }
  }
  return names;
}

void
failure_detector::On(const detector_configured& aEvent,
                     time_point aNow,
                     actions& aOut)
{
  const bool sameTerm =
    mConfig.mTerm == aEvent.mTerm && mConfig.mPrimary == aEvent.mPrimary;
  if (!sameTerm || !aEvent.mIsHolder) {
    SetVerdict(false, aNow, aOut);
    SetHoldersReachingPrimary({}, aOut);
    mQueryRound.reset();
    mAskInstancesWithoutSlot = false;
  }
  mConfig = aEvent;
  std::erase_if(mServers, [&](const auto& aIt) {
    const auto& names = mConfig.mServers;
    return std::find(names.begin(), names.end(), aIt.first) == names.end();
  });
  if (!mConfig.mIsHolder) {
    mServers.clear();
    return;
  }
  for (const auto& name : mConfig.mServers) {
    const auto [entry, fresh] = mServers.try_emplace(name);
    if (fresh) {
      entry->second.mLastAnswer = aNow;
      entry->second.mProbeSoon = true;
    }
  }
}

void
failure_detector::On(const report_evidence& aEvent,
                     time_point aNow,
                     actions& aOut)
{
  switch (aEvent.mEvidence) {
    case server_evidence::Answered:
      RecordAnswer(aEvent.mServer, aNow, aOut);
      return;
    case server_evidence::Refused:
      RecordFailure(aEvent.mServer, { aNow, true, 0, true }, aNow, aOut);
      return;
    case server_evidence::Silent: {
      // A statement may take long on a healthy server, so this is not counted
      // as a failure. The server is probed instead.
      const auto found = mServers.find(aEvent.mServer);
      if (found != mServers.end()) {
        found->second.mProbeSoon = true;
        found->second.mNextProbeNeedsNewConnection = true;
      }
      return;
    }
  }
}

void
failure_detector::On(const probe_done& aEvent, time_point aNow, actions& aOut)
{
  const auto found = mProbes.find(aEvent.mProbe);
  if (found == mProbes.end()) {
    return;
  }
  const std::string name = found->second;
  mProbes.erase(found);
  const auto own = mServers.find(name);
  const auto probedForPeer = mProbedForPeers.find(name);
  server* state = own != mServers.end() ? &own->second
                  : probedForPeer != mProbedForPeers.end()
                    ? &probedForPeer->second
                    : nullptr;
  if (state == nullptr || state->mProbe != aEvent.mProbe) {
    return;
  }
  state->mProbe.reset();
  state->mConsecutiveFull =
    aEvent.mResult != probe_result::Full
      ? 0
      : std::min(state->mConsecutiveFull + 1, kMaxFullServerDoublings + 1);
  if (aEvent.mResult == probe_result::Answered ||
      aEvent.mResult == probe_result::Full) {
    RecordAnswer(name, aNow, aOut);
    return;
  }
  ++state->mConsecutiveUnanswered;
  const probe_failure failure{ aNow,
                               aEvent.mResult == probe_result::Refused,
                               aEvent.mConnection,
                               state->mProbeUsesNewConnection };
  RecordFailure(name, failure, aNow, aOut);
}

void
failure_detector::On(const detector_time_passed&, time_point aNow, actions&)
{
  for (auto& [name, state] : mServers) {
    while (!state.mFailures.empty() &&
           aNow - state.mFailures.front().mAt > kMaxEvidenceAge) {
      state.mFailures.pop_front();
    }
  }
}

// Discards all evidence after a pause of the event loop. Observations from
// before the pause are outdated, and answers that arrived during the pause may
// not have been read yet.
void
failure_detector::ResetEvidence(time_point aNow, actions& aOut)
{
  for (auto& [name, state] : mServers) {
    const bool suspected = state.mSuspected;
    state = {};
    state.mSuspected = suspected;
    state.mLastAnswer = aNow;
    state.mProbeSoon = true;
  }
  mProbedForPeers.clear();
  mProbes.clear();
  mPending.clear();
  mQueryRound.reset();
  mIgnoreFailuresUntil = aNow + kStaleFailurePeriod;
  SetVerdict(false, aNow, aOut);
  SetHoldersReachingPrimary({}, aOut);
}

void
failure_detector::RecordAnswer(const std::string& aServer,
                               time_point aNow,
                               actions& aOut)
{
  const auto found = mServers.find(aServer);
  if (found != mServers.end()) {
    server& state = found->second;
    state.mLastAnswer = aNow;
    state.mFailures.clear();
    state.mConsecutiveUnanswered = 0;
    state.mProbeSoon = false;
    state.mNextProbeNeedsNewConnection = false;
    if (std::exchange(state.mSuspected, false)) {
      aOut.emplace_back(suspicion_changed{});
    }
    if (aServer == mConfig.mPrimary) {
      mQueryRound.reset();
      SetVerdict(false, aNow, aOut);
      SetHoldersReachingPrimary({}, aOut);
    }
  }
  mProbedForPeers.erase(aServer);
  SendReports(aServer, server_reachability::Reachable, aOut);
}

void
failure_detector::RecordFailure(const std::string& aServer,
                                probe_failure aFailure,
                                time_point aNow,
                                actions& aOut)
{
  if (aNow < mIgnoreFailuresUntil) {
    return;
  }
  const auto found = mServers.find(aServer);
  if (found != mServers.end()) {
    found->second.mFailures.push_back(aFailure);
    found->second.mProbeSoon = true;
    Evaluate(found->second, aNow, aOut);
    // Before the silence limit this instance does not know whether the server
    // is reachable, so it sends no report.
    const bool silent =
      aNow - found->second.mLastAnswer >= mOptions.mSilenceLimit;
    if (aFailure.mRefused || silent || found->second.mSuspected) {
      SendReports(aServer, server_reachability::Unreachable, aOut);
    }
    return;
  }
  mProbedForPeers.erase(aServer);
  SendReports(aServer, server_reachability::Unreachable, aOut);
}

bool
failure_detector::HasEnoughEvidence(const server& aState, time_point aNow) const
{
  std::size_t refused = 0;
  std::size_t silent = 0;
  bool anyNew = false;
  std::set<std::uint64_t> connections;
  for (const auto& failure : aState.mFailures) {
    if (aNow - failure.mAt > kMaxEvidenceAge) {
      continue;
    }
    refused += failure.mRefused ? 1 : 0;
    silent += failure.mRefused ? 0 : 1;
    connections.insert(failure.mConnection);
    anyNew = anyNew || failure.mNewConnection;
  }
  return refused >= kMinRefusedConnections ||
         (aNow - aState.mLastAnswer >= mOptions.mSilenceLimit &&
          silent >= kMinUnansweredProbes &&
          connections.size() >= kMinUnansweredConnections && anyNew);
}

// Suspects the server once there is enough evidence. Only an answer ends a
// suspicion, whereas the verdict on the primary needs recent evidence.
void
failure_detector::Evaluate(server& aState, time_point aNow, actions& aOut)
{
  if (!aState.mSuspected && HasEnoughEvidence(aState, aNow)) {
    aState.mSuspected = true;
    aOut.emplace_back(suspicion_changed{});
  }
}

duration
failure_detector::MinProbeInterval(const std::string& aServer,
                                   const server& aState) const
{
  if (aState.mSuspected) {
    return aServer == mConfig.mPrimary ? kSuspectedPrimaryProbeInterval
                                       : kSuspectedServerProbeInterval;
  }
  if (aState.mConsecutiveFull > 0) {
    return std::min<milliseconds>(kMaxFullServerProbeInterval,
                                  kMinFullServerProbeInterval *
                                    (1 << (aState.mConsecutiveFull - 1)));
  }
  return aState.mProbeSoon ? kUrgentProbeInterval : mOptions.mProbeInterval;
}

void
failure_detector::SendProbes(time_point aNow, actions& aOut)
{
  if (!mConfig.mIsHolder) {
    return;
  }
  for (auto& [name, state] : mServers) {
    const duration sinceProbe = aNow - state.mLastProbeSent;
    if (state.mProbe || sinceProbe < MinProbeInterval(name, state)) {
      continue;
    }
    const duration sinceAnswer = aNow - state.mLastAnswer;
    const bool quiet =
      sinceAnswer >= std::max(mOptions.mProbeInterval, mProbeSpacing);
    if (quiet || state.mProbeSoon || state.mSuspected ||
        mConfig.mRefreshPositions ||
        sinceProbe >= std::max(kStatusInterval, mProbeSpacing)) {
      SendProbe(name, {}, state, aNow, aOut);
    }
  }
}

void
failure_detector::SendProbe(const std::string& aServer,
                            const std::string& aAddress,
                            server& aState,
                            time_point aNow,
                            actions& aOut)
{
  const std::size_t attempt =
    std::min(aState.mConsecutiveUnanswered, kProbeTimeouts.size() - 1);
  aState.mProbe = mNextId++;
  aState.mProbeUsesNewConnection =
    std::exchange(aState.mNextProbeNeedsNewConnection, false) ||
    !aState.mFailures.empty();
  aState.mLastProbeSent = aNow;
  aState.mProbeSoon = false;
  mProbes[*aState.mProbe] = aServer;
  aOut.emplace_back(send_probe{ *aState.mProbe,
                                aServer,
                                aAddress,
                                aState.mProbeUsesNewConnection,
                                kProbeTimeouts.at(attempt) });
}

} // namespace snipewalk
