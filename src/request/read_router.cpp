// Implementation of the read router.
#include "snipewalk/request/read_router.h"

#include <algorithm>

namespace snipewalk {

namespace {

// Samples closer than this replace each other, which bounds their number.
constexpr milliseconds kSampleSpacing{ 5 };
constexpr std::size_t kSamplesMax = 4'096;
// A server of another data centre is chosen once the nearest one has this many
// more statements under way.
constexpr std::size_t kDistancePenalty = 2;
// A position is waited for at this many replicas before the primary is asked.
constexpr int kReplicasTried = 2;

int
CountBits(std::uint64_t aBits)
{
  return __builtin_popcountll(aBits);
}

} // namespace

std::size_t
read_router::Adopt(const server_entry& aEntry)
{
  const auto known = IndexOf(aEntry.mName);
  const std::size_t index = known ? *known : mServers.size();
  if (!known) {
    mServers.emplace_back();
    mServers.back().mName = aEntry.mName;
  }
  auto& server = mServers[index];
  server.mPresent = true;
  server.mDataCentre = aEntry.mDataCentre;
  server.mLeaving = aEntry.mState == server_state::Leaving;
  return index;
}

void
read_router::SetView(const service_view& aView, const std::string& aDataCentre)
{
  mDataCentre = aDataCentre;
  for (auto& server : mServers) {
    server.mPresent = server.mLeaving = false;
    server.mSuspected = server.mVoter = false;
  }
  for (const auto& entry : aView.mDocument.mServers) {
    Adopt(entry);
  }
  for (const auto& name : aView.mSuspected) {
    if (const auto index = IndexOf(name)) {
      mServers[*index].mSuspected = true;
    }
  }
  for (const auto& name : aView.mTerm.mVoters) {
    if (const auto index = IndexOf(name)) {
      mServers[*index].mVoter = true;
    }
  }
  mPrimary = IndexOf(aView.mTerm.mPrimary);
  if (aView.mTerm.mTerm != mTerm) {
    mTerm = aView.mTerm.mTerm;
    mSamples.clear();
    for (auto& server : mServers) {
      server.mTermSeenAt.reset();
    }
  }
}

void
read_router::ObserveTerm(std::size_t aServer,
                         std::uint64_t aTerm,
                         time_point aSentAt)
{
  auto& seen = mServers[aServer].mTermSeenAt;
  if (aTerm == mTerm && (!seen || *seen < aSentAt)) {
    seen = aSentAt;
  }
}

void
read_router::ObserveStatus(std::size_t aServer,
                           const server_status& aStatus,
                           time_point aSentAt)
{
  ObserveTerm(aServer, aStatus.mTerm, aSentAt);
  // A replica that received no entry of the term yet may still hold entries
  // that the primary's log lacks.
  const bool unproven =
    aStatus.mRole == server_role::Replica && aStatus.mLogTerm != aStatus.mTerm;
  if (aStatus.mRole == server_role::Fenced || unproven) {
    // A late status of an earlier term says nothing about the present one.
    if (aStatus.mTerm >= mServers[aServer].mServingTerm) {
      mServers[aServer].mServingTerm = 0;
    }
    return;
  }
  ObserveIndex(aServer, aStatus.mTerm, aStatus.mApplied, aSentAt);
}

void
read_router::ObserveIndex(std::size_t aServer,
                          std::uint64_t aTerm,
                          std::uint64_t aIndex,
                          time_point aSentAt)
{
  ObserveTerm(aServer, aTerm, aSentAt);
  auto& server = mServers[aServer];
  if (aTerm > server.mServingTerm) {
    server.mServingTerm = aTerm;
    server.mApplied = aIndex;
  } else if (aTerm == server.mServingTerm) {
    server.mApplied = std::max(server.mApplied, aIndex);
  }
  if (aTerm == mTerm && mPrimary == aServer) {
    AddSample(aIndex, aSentAt);
  }
}

void
read_router::ObserveRefusal(std::size_t aServer)
{
  mServers[aServer].mServingTerm = 0;
}

void
read_router::AddSample(std::uint64_t aIndex, time_point aSentAt)
{
  if (!mSamples.empty()) {
    auto& last = mSamples.back();
    if (aSentAt <= last.mSentAt || aIndex < last.mIndex) {
      return;
    }
    // Replacing a sample of another index by a later one only makes the age
    // of replicas between both look greater.
    const bool close =
      mSamples.size() > 1 &&
      aSentAt - mSamples[mSamples.size() - 2].mSentAt < kSampleSpacing;
    if (aIndex == last.mIndex || close) {
      last = { aSentAt, aIndex };
      return;
    }
  }
  mSamples.push_back({ aSentAt, aIndex });
  if (mSamples.size() > kSamplesMax) {
    mSamples.pop_front();
  }
}

std::optional<time_point>
read_router::MajorityTime() const
{
  std::vector<time_point> times;
  std::size_t voters = 0;
  for (const auto& server : mServers) {
    if (server.mVoter) {
      ++voters;
      if (server.mTermSeenAt) {
        times.push_back(*server.mTermSeenAt);
      }
    }
  }
  const std::size_t majority = voters / 2 + 1;
  if (times.size() < majority) {
    return std::nullopt;
  }
  std::sort(times.rbegin(), times.rend());
  return times[majority - 1];
}

std::optional<duration>
read_router::AgeOf(std::uint64_t aIndex, time_point aNow) const
{
  const auto confirmed = MajorityTime();
  if (!confirmed) {
    return std::nullopt;
  }
  const auto after = std::partition_point(
    mSamples.begin(), mSamples.end(), [&](const sample& aSample) {
      return aSample.mIndex <= aIndex;
    });
  if (after == mSamples.begin()) {
    return std::nullopt;
  }
  // The primary's log only grows: what it held when the sample was requested
  // includes all that it held when a majority confirmed its term before.
  return aNow - std::min(std::prev(after)->mSentAt, *confirmed);
}

std::optional<duration>
read_router::PrimaryAge(time_point aNow) const
{
  const auto confirmed = MajorityTime();
  if (!confirmed) {
    return std::nullopt;
  }
  return aNow - *confirmed;
}

bool
read_router::Serving(std::size_t aServer) const
{
  return mServers[aServer].mServingTerm == mTerm;
}

std::optional<std::size_t>
read_router::IndexOf(const std::string& aName) const
{
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    if (mServers[i].mName == aName) {
      return i;
    }
  }
  return std::nullopt;
}

bool
read_router::Usable(std::size_t aServer, std::uint64_t aTried) const
{
  const auto& server = mServers[aServer];
  return server.mPresent && !server.mLeaving && !server.mSuspected &&
         mPrimary != aServer && Serving(aServer) &&
         (aTried >> aServer & 1) == 0;
}

std::size_t
read_router::Cost(std::size_t aServer, std::size_t aOutstanding) const
{
  const bool near = mServers[aServer].mDataCentre == mDataCentre;
  return aOutstanding + (near ? 0 : kDistancePenalty);
}

bool
read_router::Suits(std::size_t aServer,
                   const read_request_facts& aFacts,
                   time_point aNow) const
{
  const auto& server = mServers[aServer];
  if (aFacts.mNeed == read_need::Position) {
    return server.mApplied >= aFacts.mPosition.mIndex;
  }
  const auto age = AgeOf(server.mApplied, aNow);
  return age && *age <= aFacts.mMaxAge;
}

read_router::candidates
read_router::FindCandidates(
  const read_request_facts& aFacts,
  time_point aNow,
  const std::function<bool(std::size_t)>& aFree,
  const std::function<std::size_t(std::size_t)>& aOutstanding) const
{
  candidates found;
  std::size_t least = 0;
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    if (!Usable(i, aFacts.mTried)) {
      continue;
    }
    found.mUsable = true;
    const bool free = aFree(i);
    if (Suits(i, aFacts, aNow)) {
      found.mReached = true;
      const std::size_t cost = Cost(i, aOutstanding(i));
      if (free && (!found.mBest || cost < least)) {
        found.mBest = i;
        least = cost;
      }
    } else if (free &&
               (!found.mFreshest ||
                mServers[i].mApplied > mServers[*found.mFreshest].mApplied)) {
      found.mFreshest = i;
    }
  }
  return found;
}

read_route
read_router::Route(
  const read_request_facts& aFacts,
  time_point aNow,
  const std::function<bool(std::size_t)>& aFree,
  const std::function<std::size_t(std::size_t)>& aOutstanding) const
{
  const bool position = aFacts.mNeed == read_need::Position;
  read_route route;
  route.mVerdict = route_verdict::ToPrimary;
  if (aFacts.mNeed == read_need::Primary ||
      (position && CountBits(aFacts.mTried) >= kReplicasTried)) {
    return route;
  }
  const auto found = FindCandidates(aFacts, aNow, aFree, aOutstanding);
  if (!found.mUsable) {
    return route;
  }
  // Without a server that is known to be far enough, the freshest one waits
  // for the position.
  const auto chosen =
    found.mBest || found.mReached || !position ? found.mBest : found.mFreshest;
  if (chosen) {
    route.mVerdict = route_verdict::Send;
    route.mServer = *chosen;
  } else {
    route.mVerdict =
      found.mReached || position ? route_verdict::Wait : route_verdict::Refresh;
  }
  if (position) {
    route.mMinIndex = aFacts.mPosition.mIndex;
    route.mWait = std::clamp<milliseconds>(
      std::chrono::duration_cast<milliseconds>((aFacts.mDeadline - aNow) / 2),
      milliseconds(0),
      kPositionWaitMax);
  }
  return route;
}

} // namespace snipewalk
