// Requests that the failover state machine sends to backend servers.
#include "snipewalk/version/failover.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Fence and follow requests without an answer are given up after these times.
constexpr milliseconds kFenceTimeout{ 300 };
constexpr milliseconds kFollowTimeout{ 500 };
// Least time between two requests of the same purpose to a server. The interval
// for fence requests also applies to catch-up requests.
constexpr milliseconds kFenceInterval{ 50 };
constexpr milliseconds kPromoteInterval{ 200 };
constexpr milliseconds kFollowInterval{ 300 };

} // namespace

void
failover::SendFences(time_point aNow, actions& aOut)
{
  for (const auto& server : KnownServers()) {
    if (mElection->mFenced.count(server) == 0 &&
        (mElection->mMayFenceAll || server == mOldPrimary)) {
      Send(server,
           purpose::Fence,
           backend_fence{ mRecord->mTerm },
           kFenceTimeout,
           aNow,
           aOut);
    }
  }
}

void
failover::SendFollow(const std::string& aServer, time_point aNow, actions& aOut)
{
  if (aServer == mRecord->mPrimary) {
    return;
  }
  Send(aServer,
       purpose::Follow,
       backend_follow{ mRecord->mTerm, EndpointOf(mRecord->mPrimary) },
       kFollowTimeout,
       aNow,
       aOut);
}

bool
failover::Send(const std::string& aServer,
               purpose aPurpose,
               backend_request aRequest,
               milliseconds aTimeout,
               time_point aNow,
               actions& aOut)
{
  const server_endpoint endpoint = EndpointOf(aServer);
  if (endpoint.mAddress.empty()) {
    if (mElection) {
      mElection->mFenceAttempted.insert(aServer);
    }
    return false;
  }
  const bool outstanding =
    std::any_of(mServerCalls.begin(), mServerCalls.end(), [&](const auto& aIt) {
      const server_call& call = aIt.second;
      return call.mServer == aServer && call.mPurpose == aPurpose &&
             call.mTerm == mRecord->mTerm;
    });
  time_point& nextTry = mNextSendTime[{ aServer, aPurpose }];
  if (outstanding || aNow < nextTry) {
    return false;
  }
  const milliseconds interval = aPurpose == purpose::Promote  ? kPromoteInterval
                                : aPurpose == purpose::Follow ? kFollowInterval
                                                              : kFenceInterval;
  nextTry = aNow + interval;
  const failover_call_id call = mNextCall++;
  mServerCalls[call] = { aServer, aPurpose, mRecord->mTerm };
  aOut.emplace_back(
    send_to_server{ call, endpoint, std::move(aRequest), aTimeout });
  return true;
}

bool
failover::HasReachableMajority(time_point aNow) const
{
  const auto voters = mRecord ? mRecord->mVoters : StayingServers(mDocument);
  const auto reached =
    std::count_if(voters.begin(), voters.end(), [&](const auto& aVoter) {
      const auto seen = mObserved.find(aVoter);
      const bool failed =
        mFailedSince && mRecord && aVoter == mRecord->mPrimary;
      return !failed && seen != mObserved.end() &&
             aNow - seen->second.mSentAt <= kMaxEvidenceAge;
    });
  return 2 * static_cast<std::size_t>(reached) > voters.size();
}

std::vector<std::string>
failover::KnownServers() const
{
  std::vector<std::string> names = mRecord->mVoters;
  for (const auto& server : mDocument.mServers) {
    if (!Contains(names, server.mName)) {
      names.push_back(server.mName);
    }
  }
  return names;
}

server_endpoint
failover::EndpointOf(const std::string& aServer) const
{
  const server_entry* entry = mDocument.Find(aServer);
  return { aServer, entry != nullptr ? entry->mAddress : std::string() };
}

milliseconds
failover::SlotDelay() const
{
  return mSlot.value_or(0) * kDelayPerSlot;
}

milliseconds
failover::StallTimeout() const
{
  const std::uint64_t superseded = mRecord->mTerm - mLastStableTerm - 1;
  const auto doublings = std::min<std::uint64_t>(superseded, 3);
  return std::min(kStallTimeout * (1U << doublings), kMaxStallTimeout);
}

} // namespace snipewalk
