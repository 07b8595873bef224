// Choice of the server to promote, by the logs that the servers have reported,
// and the check beforehand whether one can be.
#include "snipewalk/session/primary_change.h"

#include "snipewalk/base/log.h"

#include <algorithm>

namespace snipewalk {

namespace {

// How long a change waits for the old primary if no log is proved to contain
// every acknowledged commit: longer than a server takes to start again.
constexpr milliseconds kWitnessTimeout{ 10'000 };
// How long replicas that do not reply are waited for if the old primary's log
// shows which of the others can be promoted.
constexpr milliseconds kSilentReplicaTimeout{ 300 };

} // namespace

void
primary_change::OnSteppedDown(const server_status& aStatus)
{
  // A server that has started again without its log says nothing about what it
  // acknowledged before.
  const bool keptLog = aStatus.mReceived != log_position{} &&
                       aStatus.mReceived >= mProbedPosition &&
                       aStatus.mReceived >= mPlan.mAcknowledgedPosition &&
                       IsRecent(aStatus.mReceived);
  if (aStatus.mRole == server_role::Replica && keptLog) {
    mFinalPosition = aStatus.mReceived;
  }
}

const replica_info*
primary_change::NewestReplica() const
{
  const replica_info* newest = nullptr;
  for (const auto& replica : mPlan.mReplicas) {
    const auto reply = mReplies.find(replica.mId);
    if (reply == mReplies.end()) {
      continue;
    }
    if (newest == nullptr) {
      newest = &replica;
      continue;
    }
    const log_position received = reply->second.mReceived;
    const log_position newestReceived = mReplies.at(newest->mId).mReceived;
    if (received > newestReceived ||
        (received == newestReceived && newest->mDraining &&
         !replica.mDraining)) {
      newest = &replica;
    }
  }
  return newest;
}

bool
primary_change::IsRecent(const log_position& aReceived) const
{
  const bool hasAcknowledged =
    mPlan.mReplicasComplete || aReceived >= mPlan.mAcknowledgedPosition;
  return aReceived.mTerm >= mPlan.mLeadTerm &&
         aReceived >= mPlan.mRequiredPosition && hasAcknowledged;
}

bool
primary_change::IsLogRecent(const replica_info& aReplica) const
{
  return IsRecent(mReplies.at(aReplica.mId).mReceived);
}

bool
primary_change::ContainsFinalLog(const replica_info& aReplica) const
{
  return mFinalPosition &&
         mReplies.at(aReplica.mId).mReceived >= *mFinalPosition &&
         IsLogRecent(aReplica);
}

bool
primary_change::IsProved(const replica_info& aNewest) const
{
  return ContainsFinalLog(aNewest) ||
         (IsLogRecent(aNewest) &&
          (mPlan.mReplicasComplete || mAcknowledgedKnown));
}

primary_change::actions
primary_change::EvaluateProbes(time_point aNow)
{
  const replica_info* newest = NewestReplica();
  if (newest == nullptr ||
      (!AllReplicasReplied() && !CanSkipSilentReplicas(*newest, aNow))) {
    return {};
  }
  const auto oldPrimary = mReplies.find(mPlan.mOldPrimary);
  const bool known = oldPrimary != mReplies.end();
  const bool lostRole =
    known && oldPrimary->second.mRole == server_role::Replica;
  if (!IsLogRecent(*newest) && !lostRole) {
    if (known) {
      // The old primary serves on until a replica has caught up with it.
      EnterStep(change_step::Failed, aNow);
    }
    return {};
  }
  if (known) {
    mProbedPosition = oldPrimary->second.mReceived;
  }
  std::uint64_t highest = mPlan.mKnownTerm;
  for (const auto& [server, status] : mReplies) {
    highest = std::max({ highest, status.mTerm, status.mReceived.mTerm });
  }
  mTerm = highest + 1;
  EnterStep(change_step::Recording, aNow);
  return MakeRecord(primary_phase::Changing, mPlan.mOldPrimary);
}

bool
primary_change::CanSkipSilentReplicas(const replica_info& aNewest,
                                      time_point aNow) const
{
  const auto oldPrimary = mReplies.find(mPlan.mOldPrimary);
  if (oldPrimary == mReplies.end() || aNewest.mDraining ||
      aNow < mStepStartedAt + kSilentReplicaTimeout) {
    return false;
  }
  const log_position told = oldPrimary->second.mReceived;
  return told != log_position{} && IsRecent(told) &&
         mReplies.at(aNewest.mId).mReceived >= told;
}

void
primary_change::ForgetOlderReplies()
{
  const auto oldPrimary = mReplies.find(mPlan.mOldPrimary);
  if (oldPrimary == mReplies.end()) {
    return;
  }
  const log_position told = oldPrimary->second.mReceived;
  std::erase_if(mReplies,
                [&](const auto& aIt) { return aIt.second.mReceived < told; });
}

primary_change::actions
primary_change::TryChoose(time_point aNow)
{
  const replica_info* newest = NewestReplica();
  if (newest == nullptr) {
    return {};
  }
  if (!AllReplicasReplied()) {
    // A leaving server is chosen only if no other has its log.
    const bool chosen = ContainsFinalLog(*newest) && !newest->mDraining &&
                        aNow >= mStepStartedAt + kSilentReplicaTimeout;
    return chosen ? Promote(newest->mId, aNow) : actions{};
  }
  if (IsProved(*newest)) {
    return Promote(newest->mId, aNow);
  }
  // Without a reply of the old primary, its time limit decides.
  return mFinalPosition ? Promote(mPlan.mOldPrimary, aNow) : actions{};
}

primary_change::actions
primary_change::ChooseAtTimeLimit(time_point aNow)
{
  const replica_info* newest = NewestReplica();
  if (newest != nullptr && ContainsFinalLog(*newest)) {
    return Promote(newest->mId, aNow);
  }
  if (mFinalPosition) {
    return Promote(mPlan.mOldPrimary, aNow);
  }
  if (newest == nullptr || !IsLogRecent(*newest) || !AllReplicasReplied()) {
    return Revert(aNow);
  }
  if (aNow < mStepStartedAt + kWitnessTimeout) {
    return {};
  }
  Log(log_level::Error,
      "primary",
      "old primary does not return; its last commits may be lost",
      { { "service", mPlan.mService }, { "old", mPlan.mOldPrimary } });
  return Promote(newest->mId, aNow);
}

primary_change::actions
primary_change::Promote(const std::string& aCandidate, time_point aNow)
{
  mCandidate = aCandidate;
  for (const auto& [server, status] : mReplies) {
    const std::string received = status.mReceived.ToString();
    Log(log_level::Info,
        "primary",
        "candidate",
        { { "service", mPlan.mService },
          { "server", server },
          { "received", received },
          { "chosen", server == mCandidate } });
  }
  EnterStep(change_step::Choosing, aNow);
  return MakeRecord(primary_phase::Promoting, mCandidate);
}

} // namespace snipewalk
