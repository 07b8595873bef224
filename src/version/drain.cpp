// Implementation of the drain planner. The wait for open transactions is in
// drain_transactions.cpp.
#include "snipewalk/version/drain.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Maximum number of samples of the primary's log index. With a probe interval
// of 100 ms they cover about 6 s.
constexpr std::size_t kMaxPrimaryIndexSamples = 64;
// A wait for open transactions is reported as an obstacle only after this time,
// because the holders' first answers need some time to arrive.
constexpr milliseconds kMinReportedWait{ 500 };

} // namespace

void
drain::Configure(const service_document& aDocument, std::uint64_t aVersion)
{
  mDocument = aDocument;
  mDocumentVersion = aVersion;
}

void
drain::OnTerm(const term_record& aTerm, time_point aNow)
{
  if (!mTerm || mTerm->mTerm != aTerm.mTerm) {
    mTermSince = aNow;
    mPrimaryIndexes.clear();
    mTransactionWait.reset();
    mQueries.clear();
    mCounts.clear();
  }
  mTerm = aTerm;
}

void
drain::OnStatus(const server_status& aStatus, time_point aSentAt)
{
  position& known = mPositions[aStatus.mServer];
  const double elapsed =
    std::chrono::duration<double>(aSentAt - known.mSentAt).count();
  if (known.mStatus.mTerm == aStatus.mTerm && elapsed > 0 &&
      aStatus.mReceived >= known.mStatus.mReceived) {
    const auto entries =
      static_cast<double>(aStatus.mReceived - known.mStatus.mReceived);
    known.mEntriesPerSecond =
      (known.mEntriesPerSecond * 3 + entries / elapsed) / 4;
  }
  known.mStatus = aStatus;
  known.mSentAt = aSentAt;
  if (mTerm && aStatus.mServer == mTerm->mPrimary &&
      aStatus.mTerm == mTerm->mTerm) {
    mPrimaryIndexes.emplace_back(aSentAt, aStatus.mReceived);
    if (mPrimaryIndexes.size() > kMaxPrimaryIndexSamples) {
      mPrimaryIndexes.pop_front();
    }
  }
}

void
drain::OnSuspected(std::vector<std::string> aSuspected)
{
  mSuspected = std::move(aSuspected);
}

void
drain::OnConnections(const std::string& aServer, std::size_t aConnections)
{
  mConnections[aServer] = aConnections;
}

std::vector<std::string>
drain::MissingVoters() const
{
  std::vector<std::string> names;
  for (const auto& name : StayingServers(mDocument)) {
    if (!Contains(mTerm->mVoters, name)) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string>
drain::ExcessVoters() const
{
  const auto staying = StayingServers(mDocument);
  std::vector<std::string> names;
  for (const auto& name : mTerm->mVoters) {
    if (!Contains(staying, name)) {
      names.push_back(name);
    }
  }
  return names;
}

bool
drain::IsNeeded() const
{
  return mTerm && !StayingServers(mDocument).empty() &&
         (!MissingVoters().empty() || !ExcessVoters().empty());
}

std::optional<duration>
drain::LagOf(const std::string& aServer, time_point aNow) const
{
  const auto found = mPositions.find(aServer);
  if (found == mPositions.end() ||
      found->second.mStatus.mTerm != mTerm->mTerm ||
      found->second.mStatus.mRole == server_role::Fenced) {
    return std::nullopt;
  }
  const std::uint64_t received = found->second.mStatus.mReceived;
  for (auto sample = mPrimaryIndexes.rbegin(); sample != mPrimaryIndexes.rend();
       ++sample) {
    if (sample->second <= received) {
      return aNow - sample->first;
    }
  }
  return std::nullopt;
}

bool
drain::IsCaughtUp(const std::string& aServer, time_point aNow) const
{
  const auto lag = LagOf(aServer, aNow);
  return lag && *lag <= kMaxCaughtUpLag && !Contains(mSuspected, aServer);
}

std::string
drain::NextPrimary(time_point aNow) const
{
  const server_entry* old = mDocument.Find(mTerm->mPrimary);
  std::string best;
  bool bestInSameDataCentre = false;
  for (const auto& name : StayingServers(mDocument)) {
    if (!Contains(mTerm->mVoters, name) || !IsCaughtUp(name, aNow)) {
      continue;
    }
    const bool sameDataCentre =
      old != nullptr && mDocument.Find(name)->mDataCentre == old->mDataCentre;
    if (best.empty() || (sameDataCentre && !bestInSameDataCentre)) {
      best = name;
      bestInSameDataCentre = sameDataCentre;
    }
  }
  return best;
}

// Returns the current voters with one excess voter replaced by a caught-up
// staying server. Without an excess voter, the server is only added. Without a
// caught-up server, the excess voter is removed only if none remains to be
// added. `aPrimary` is never removed.
std::vector<std::string>
drain::NextVoters(const std::string& aPrimary, time_point aNow) const
{
  std::vector<std::string> voters = mTerm->mVoters;
  std::string added;
  for (const auto& name : MissingVoters()) {
    if (IsCaughtUp(name, aNow)) {
      added = name;
      break;
    }
  }
  std::string removed;
  for (const auto& name : ExcessVoters()) {
    // The current primary is removed only if no other voter has to be removed.
    if (name != aPrimary && (removed.empty() || removed == mTerm->mPrimary)) {
      removed = name;
    }
  }
  // Without a replacement, an excess voter is kept until no voter is missing,
  // so that the number of voters does not fall in the meantime.
  const bool mayRemove = !added.empty() || MissingVoters().empty();
  if (!removed.empty() && mayRemove) {
    std::erase(voters, removed);
  }
  if (!added.empty()) {
    voters.push_back(added);
  }
  return voters;
}

std::optional<planned_change>
drain::NextChange(time_point aNow, milliseconds aDelay) const
{
  const bool mayWait = mTransactionWait && aNow < mTransactionWait->mUntil;
  if (!mTerm || aNow - mTermSince < kMinChangeInterval + aDelay ||
      (!mHolders.empty() && !mTransactionWait) ||
      (mayWait && !HasNoTransactions(aNow))) {
    return std::nullopt;
  }
  return PossibleChange(aNow);
}

std::optional<planned_change>
drain::PossibleChange(time_point aNow) const
{
  if (!IsNeeded() || mTerm->mPhase != term_phase::Stable ||
      Contains(mSuspected, mTerm->mPrimary)) {
    return std::nullopt;
  }
  std::string primary = mTerm->mPrimary;
  std::string reason = "voters move to the staying servers";
  if (!PrimaryStays()) {
    const std::string next = NextPrimary(aNow);
    if (!next.empty()) {
      primary = next;
      reason = absl::StrCat(mTerm->mPrimary, " is leaving");
    }
  }
  const auto voters = NextVoters(primary, aNow);
  if (primary == mTerm->mPrimary && voters == mTerm->mVoters) {
    return std::nullopt;
  }
  // A majority of the new voters must be able to hold the whole log when the
  // change takes place.
  const auto ready =
    std::count_if(voters.begin(), voters.end(), [&](const auto& aVoter) {
      return aVoter == mTerm->mPrimary || IsCaughtUp(aVoter, aNow);
    });
  if (2 * static_cast<std::size_t>(ready) <= voters.size()) {
    return std::nullopt;
  }
  return planned_change{ primary, voters, reason };
}

std::vector<std::string>
drain::Obstacles(time_point aNow) const
{
  std::vector<std::string> texts;
  if (StayingServers(mDocument).empty()) {
    texts.emplace_back("no server stays");
    return texts;
  }
  if (!mTerm || mTerm->mPrimary.empty()) {
    texts.emplace_back("the service has no primary");
    return texts;
  }
  if (Contains(mSuspected, mTerm->mPrimary)) {
    texts.push_back(
      absl::StrCat("the primary ", mTerm->mPrimary, " does not answer"));
  }
  for (const auto& name : StayingServers(mDocument)) {
    if (Contains(mSuspected, name)) {
      texts.push_back(absl::StrCat(name, " does not answer"));
    } else if (name != mTerm->mPrimary && !IsCaughtUp(name, aNow)) {
      texts.push_back(absl::StrCat(name, " is behind the primary"));
    }
  }
  return texts;
}

std::optional<milliseconds>
drain::CatchUpTime(const std::string& aServer) const
{
  const auto server = mPositions.find(aServer);
  if (server == mPositions.end() || mPrimaryIndexes.empty()) {
    return std::nullopt;
  }
  const std::uint64_t last = mPrimaryIndexes.back().second;
  if (server->second.mStatus.mReceived >= last) {
    return milliseconds(0);
  }
  const auto missing =
    static_cast<double>(last - server->second.mStatus.mReceived);
  const auto primary = mPositions.find(mTerm->mPrimary);
  const double gain =
    server->second.mEntriesPerSecond -
    (primary != mPositions.end() ? primary->second.mEntriesPerSecond : 0);
  if (gain <= 0) {
    return std::nullopt;
  }
  return milliseconds(static_cast<std::int64_t>(missing / gain * 1'000));
}

std::optional<milliseconds>
drain::Remaining(time_point aNow) const
{
  if (!mTerm) {
    return std::nullopt;
  }
  if (!IsNeeded()) {
    return milliseconds(0);
  }
  // A change of primary and a change of voters take place in the same term,
  // unless the candidate has to become a voter first. The primary therefore
  // needs no additional change in this estimate.
  const std::size_t changes = std::max(
    { MissingVoters().size(), ExcessVoters().size(), std::size_t{ 1 } });
  milliseconds slowest(0);
  for (const auto& name : MissingVoters()) {
    if (IsCaughtUp(name, aNow)) {
      continue;
    }
    const auto time = CatchUpTime(name);
    if (!time) {
      return std::nullopt;
    }
    slowest = std::max(slowest, *time);
  }
  return slowest + static_cast<std::int64_t>(changes) * kEstimatedChangeTime;
}

server_drain
drain::DescribeServer(const server_entry& aServer,
                      time_point aNow,
                      wall_time aWallNow) const
{
  server_drain progress;
  progress.mServer = aServer.mName;
  progress.mLeaveBy = aServer.mLeaveBy;
  progress.mIsPrimary = mTerm && mTerm->mPrimary == aServer.mName;
  progress.mIsVoter = mTerm && Contains(mTerm->mVoters, aServer.mName);
  const auto open = mConnections.find(aServer.mName);
  progress.mConnections = open != mConnections.end() ? open->second : 0;
  if (mTerm && !progress.mIsPrimary && !progress.mIsVoter) {
    progress.mRemaining = milliseconds(0);
    progress.mState =
      progress.mConnections == 0 ? drain_state::Complete : drain_state::Running;
  } else {
    progress.mRemaining = Remaining(aNow);
    const bool isTooEarly = aNow - mTermSince < kMinChangeInterval;
    const bool isWaitReported =
      mTransactionWait && aNow - mTransactionWait->mSince >= kMinReportedWait &&
      aNow < mTransactionWait->mUntil;
    if (!isTooEarly && !PossibleChange(aNow)) {
      progress.mState = drain_state::Blocked;
      progress.mObstacles = Obstacles(aNow);
    } else if (isWaitReported && !HasNoTransactions(aNow)) {
      progress.mState = drain_state::Blocked;
      progress.mObstacles.push_back(TransactionWaitObstacle(aNow));
    }
  }
  if (progress.mState != drain_state::Complete && progress.mLeaveBy) {
    const wall_time end =
      aWallNow + progress.mRemaining.value_or(milliseconds(0));
    progress.mBreach = end > *progress.mLeaveBy;
    if (progress.mBreach) {
      progress.mObstacles.emplace_back("the deadline cannot be kept");
    }
  }
  return progress;
}

drain_status
drain::Status(time_point aNow, wall_time aWallNow) const
{
  drain_status status;
  status.mService = mDocument.mService;
  status.mTerm = mTerm ? mTerm->mTerm : 0;
  status.mUpdated = aWallNow;
  for (const auto& server : mDocument.mServers) {
    if (server.mState == server_state::Leaving) {
      status.mServers.push_back(DescribeServer(server, aNow, aWallNow));
    }
  }
  return status;
}

} // namespace snipewalk
