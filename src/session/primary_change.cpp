// State transitions for each event, the time limits and retry intervals of the
// steps, and the reverting of a change.
#include "snipewalk/session/primary_change.h"

#include "snipewalk/base/log.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Interval at which commands without a reply are repeated.
constexpr milliseconds kCommandRetryInterval{ 150 };
// Interval at which the promotion order is repeated. A repetition has no effect
// if an earlier order took effect.
constexpr milliseconds kPromotionRetryInterval{ 1'200 };
// Time limits for reaching all replicas. A change that exceeds them is
// reverted, so that a primary that is still running serves again, unless the
// old primary was stepped down: then a server with its log is promoted.
constexpr milliseconds kProbingTimeout{ 500 };
constexpr milliseconds kPausingTimeout{ 2'000 };
// Time limit for the old primary's confirmation that it was stepped down. After
// it the change continues without, if the replicas' logs suffice.
constexpr milliseconds kStepDownTimeout{ 300 };
// Grace period for open transactions before a planned change ends them.
constexpr milliseconds kTransactionGracePeriod{ 150 };
// Delay before the candidate is first polled: servers take several hundred
// milliseconds to take over after the order.
constexpr milliseconds kFirstPollDelay{ 200 };
// Interval at which the candidate is polled until it leads.
constexpr milliseconds kPollInterval{ 60 };
// Time limit for the candidate to become primary; after it the promotion is
// ordered again.
constexpr milliseconds kSettlingTimeout{ 3'000 };
// The same for a candidate that an earlier holder may have ordered. After it
// this holder orders the promotion.
constexpr milliseconds kResumedSettlingTimeout{ 1'000 };
// Time limit for resuming the other replicas. After it the change ends without
// their confirmation.
constexpr milliseconds kResumingTimeout{ 1'000 };

} // namespace

primary_change::primary_change(change_plan aPlan)
  : mPlan(std::move(aPlan))
{
}

void
primary_change::EnterStep(change_step aStep, time_point aNow)
{
  Log(log_level::Info,
      "primary",
      "change of primary",
      { { "service", mPlan.mService },
        { "step", NameOf(kChangeStepNames, aStep) },
        { "old", mPlan.mOldPrimary },
        { "candidate", mCandidate },
        { "term", static_cast<std::int64_t>(mTerm) },
        { "fence", static_cast<std::int64_t>(mPlan.mFence) },
        { "previous_step_ms", ToMilliseconds(aNow - mStepStartedAt) } });
  mStep = aStep;
  mStepStartedAt = aNow;
  mLastSentAt = aNow;
  mReplies.clear();
}

primary_change::actions
primary_change::SendCommand(const std::vector<std::string>& aServers,
                            const server_command& aCommand)
{
  actions commands;
  for (const auto& server : aServers) {
    if (!mReplies.contains(server)) {
      commands.emplace_back(send_command{ server, aCommand });
    }
  }
  return commands;
}

primary_change::actions
primary_change::SendToReplicas(const server_command& aCommand)
{
  std::vector<std::string> servers;
  for (const auto& replica : mPlan.mReplicas) {
    servers.push_back(replica.mId);
  }
  return SendCommand(servers, aCommand);
}

primary_change::actions
primary_change::SendToAll(const server_command& aCommand)
{
  actions all = SendToReplicas(aCommand);
  if (!mPlan.mOldPrimary.empty()) {
    const actions oldPrimary = SendCommand({ mPlan.mOldPrimary }, aCommand);
    all.insert(all.end(), oldPrimary.begin(), oldPrimary.end());
  }
  return all;
}

primary_change::actions
primary_change::MakeRecord(primary_phase aPhase,
                           const std::string& aPrimary) const
{
  return { write_primary_record{ { mPlan.mService,
                                   aPrimary,
                                   mTerm,
                                   LeadTerm(aPhase, aPrimary),
                                   aPhase,
                                   mPlan.mFence } } };
}

std::uint64_t
primary_change::LeadTerm(primary_phase aPhase,
                         const std::string& aPrimary) const
{
  // Until the candidate leads, and after a reverted change, the lead term is
  // that of the old primary.
  const bool leads = aPhase == primary_phase::Stable && aPrimary == mCandidate;
  return leads ? mCandidateTerm : mPlan.mLeadTerm;
}

bool
primary_change::AllReplicasReplied() const
{
  return std::all_of(
    mPlan.mReplicas.begin(), mPlan.mReplicas.end(), [this](const auto& aIt) {
      return mReplies.contains(aIt.mId);
    });
}

bool
primary_change::NeedsLogOf(const std::string& aServer) const
{
  return aServer == mCandidate && mStep >= change_step::Choosing &&
         mStep <= change_step::RecordingStable;
}

primary_change::actions
primary_change::Start(time_point aNow)
{
  mStepStartedAt = aNow;
  if (mPlan.mResumed && mPlan.mResumed->mPhase == primary_phase::Promoting &&
      !mPlan.mOldPrimaryLost) {
    mTerm = mPlan.mResumed->mTerm;
    mCandidate = mPlan.mResumed->mPrimary;
    mRecorded = true;
    // The order of the earlier holder may have taken effect, or be about to.
    EnterStep(change_step::Settling, aNow);
    return { send_command{ mCandidate, status_command{} } };
  }
  if (mPlan.mResumed) {
    mTerm = mPlan.mResumed->mTerm;
    mRecorded = true;
  }
  if (mPlan.mReplicas.empty()) {
    EnterStep(change_step::Failed, aNow);
    return {};
  }
  EnterStep(change_step::Probing, aNow);
  return SendToAll(status_command{});
}

bool
primary_change::IsReplica(const std::string& aServer) const
{
  return std::any_of(
    mPlan.mReplicas.begin(), mPlan.mReplicas.end(), [&](const auto& aReplica) {
      return aReplica.mId == aServer;
    });
}

bool
primary_change::IsExpected(const std::string& aServer,
                           const server_command& aCommand) const
{
  const bool replica = IsReplica(aServer);
  const bool oldPrimary = aServer == mPlan.mOldPrimary;
  const auto* stepDown = std::get_if<step_down_command>(&aCommand);
  const bool steppedDown =
    oldPrimary && stepDown != nullptr && stepDown->mTerm == mTerm;
  switch (mStep) {
    case change_step::Probing:
      return (replica || oldPrimary) &&
             std::holds_alternative<status_command>(aCommand);
    case change_step::SteppingDown:
      return steppedDown;
    case change_step::Pausing: {
      const auto* pause = std::get_if<pause_command>(&aCommand);
      const bool paused = replica && pause != nullptr && pause->mTerm == mTerm;
      return paused || steppedDown;
    }
    case change_step::Settling:
      return aServer == mCandidate &&
             std::holds_alternative<status_command>(aCommand);
    case change_step::Resuming:
      return replica && std::holds_alternative<resume_command>(aCommand);
    default:
      return false;
  }
}

primary_change::actions
primary_change::OnServerStatus(const std::string& aServer,
                               const server_command& aCommand,
                               const std::optional<server_status>& aStatus,
                               time_point aNow)
{
  if (!aStatus || !IsExpected(aServer, aCommand)) {
    return {};
  }
  mReplies[aServer] = *aStatus;
  const std::string received = aStatus->mReceived.ToString();
  Log(log_level::Info,
      "primary",
      "status during a change of primary",
      { { "service", mPlan.mService },
        { "step", NameOf(kChangeStepNames, mStep) },
        { "server", aServer },
        { "role", NameOf(kServerRoleNames, aStatus->mRole) },
        { "term", static_cast<std::int64_t>(aStatus->mTerm) },
        { "received", received } });
  if (std::holds_alternative<step_down_command>(aCommand)) {
    OnSteppedDown(*aStatus);
  }
  switch (mStep) {
    case change_step::Probing:
      return EvaluateProbes(aNow);
    case change_step::SteppingDown:
      return mFinalPosition ? BeginPausing(aNow) : actions{};
    case change_step::Pausing:
      return TryChoose(aNow);
    case change_step::Settling:
      if (aStatus->mRole == server_role::Primary) {
        mCandidateTerm = aStatus->mTerm;
        mTerm = std::max(mTerm, aStatus->mTerm);
        EnterStep(change_step::RecordingStable, aNow);
        return MakeRecord(primary_phase::Stable, mCandidate);
      }
      return {};
    case change_step::Resuming:
      if (AllReplicasReplied()) {
        EnterStep(change_step::Done, aNow);
      }
      return {};
    default:
      return {};
  }
}

primary_change::actions
primary_change::OnRecordWritten(bool aWritten, time_point aNow)
{
  if (!aWritten) {
    // Either another holder has written the record or the store does not
    // answer. The next change reads the record and continues from it.
    EnterStep(change_step::Failed, aNow);
    return {};
  }
  mRecorded = true;
  switch (mStep) {
    case change_step::Recording:
      EnterStep(change_step::Releasing, aNow);
      return { release_instances{ mPlan.mService, mTerm, !mPlan.mPlanned } };
    case change_step::Choosing:
      EnterStep(change_step::Promoting, aNow);
      mOrdered = true;
      return { order_promotion{ mPlan.mService, mCandidate } };
    case change_step::RecordingStable: {
      EnterStep(change_step::Resuming, aNow);
      mReplies[mCandidate] = {};
      actions last = SendToReplicas(resume_command{});
      if (!mPlan.mOldPrimary.empty() && mPlan.mOldPrimary != mCandidate) {
        last.emplace_back(
          send_command{ mPlan.mOldPrimary, step_down_command{ mTerm } });
      }
      if (AllReplicasReplied()) {
        EnterStep(change_step::Done, aNow);
      }
      return last;
    }
    case change_step::Reverting:
      EnterStep(change_step::Failed, aNow);
      return {};
    default:
      return {};
  }
}

primary_change::actions
primary_change::OnInstancesReleased(time_point aNow,
                                    const acknowledged_commits& aAcknowledged)
{
  if (mStep != change_step::Releasing) {
    return {};
  }
  mPlan.mAcknowledgedPosition =
    std::max(mPlan.mAcknowledgedPosition, aAcknowledged.mNewest);
  mAcknowledgedKnown = aAcknowledged.mAllKnown && !mPlan.mPlanned;
  if (mPlan.mPlanned) {
    // OnTick() sends the step-down command after the grace period.
    EnterStep(change_step::SteppingDown, aNow);
    return {};
  }
  return BeginPausing(aNow);
}

primary_change::actions
primary_change::OnServerAdded(const replica_info& aServer, time_point aNow)
{
  if (NeedsLogOf(aServer.mId)) {
    // The next change replaces the candidate, which may have led.
    EnterStep(change_step::Failed, aNow);
    return {};
  }
  if (mStep >= change_step::Choosing) {
    // No instance passes on commits of the old primary any more.
    return {};
  }
  if (aServer.mId == mPlan.mOldPrimary) {
    mPlan.mOldPrimaryLost = true;
    mFinalPosition.reset();
    mReplies.erase(aServer.mId);
    return {};
  }
  if (IsReplica(aServer.mId)) {
    // Its log may be gone.
    mPlan.mReplicasComplete = false;
  } else {
    mPlan.mReplicas.push_back(aServer);
  }
  mReplies.erase(aServer.mId);
  mLastSentAt = aNow;
  switch (mStep) {
    case change_step::Probing:
      return SendCommand({ aServer.mId }, status_command{});
    case change_step::Pausing:
      return SendCommand({ aServer.mId }, pause_command{ mTerm });
    default:
      return {};
  }
}

primary_change::actions
primary_change::OnServerRemoved(const std::string& aServer, time_point aNow)
{
  if (NeedsLogOf(aServer)) {
    // The next change replaces the candidate, which may have led.
    EnterStep(change_step::Failed, aNow);
    return {};
  }
  if (aServer == mPlan.mOldPrimary) {
    mFinalPosition.reset();
  }
  if (IsReplica(aServer)) {
    mPlan.mReplicasComplete = false;
  }
  std::erase_if(mPlan.mReplicas, [&](const replica_info& aReplica) {
    return aReplica.mId == aServer;
  });
  mReplies.erase(aServer);
  if (mPlan.mReplicas.empty() && mStep < change_step::Promoting) {
    EnterStep(change_step::Failed, aNow);
    return {};
  }
  if (mStep == change_step::Probing) {
    return EvaluateProbes(aNow);
  }
  return mStep == change_step::Pausing ? TryChoose(aNow) : actions{};
}

void
primary_change::OnServerDraining(const std::string& aServer)
{
  for (auto& replica : mPlan.mReplicas) {
    replica.mDraining = replica.mDraining || replica.mId == aServer;
  }
}

primary_change::actions
primary_change::OnReportedAsPrimary(const std::string& aServer)
{
  if (mStep != change_step::Settling || aServer != mCandidate) {
    return {};
  }
  return { send_command{ mCandidate, status_command{} } };
}

primary_change::actions
primary_change::BeginPausing(time_point aNow)
{
  EnterStep(change_step::Pausing, aNow);
  return SendPauseCommands();
}

primary_change::actions
primary_change::SendPauseCommands()
{
  actions all = SendToReplicas(pause_command{ mTerm });
  if (!mPlan.mOldPrimary.empty() && !mFinalPosition) {
    all.emplace_back(
      send_command{ mPlan.mOldPrimary, step_down_command{ mTerm } });
  }
  return all;
}

primary_change::actions
primary_change::OnPromoted(promotion_result aResult, time_point aNow)
{
  if (mStep != change_step::Promoting) {
    return {};
  }
  switch (aResult) {
    case promotion_result::Accepted:
      EnterStep(change_step::Settling, aNow);
      return {};
    case promotion_result::Rejected:
    case promotion_result::Unknown:
    case promotion_result::NotSent:
      // OnTick() repeats the order for the same candidate: it is the only
      // server known to hold every acknowledged commit, and an order without a
      // reply may still take effect.
      return {};
  }
  return {};
}

primary_change::actions
primary_change::Revert(time_point aNow)
{
  const replica_info* newest = NewestReplica();
  mLogMissing =
    newest != nullptr && AllReplicasReplied() && !IsLogRecent(*newest);
  if (!mRecorded || mPlan.mOldPrimary.empty() || mPlan.mOldPrimaryLost) {
    EnterStep(change_step::Failed, aNow);
    return {};
  }
  mReplies.clear();
  actions all = SendToReplicas(resume_command{});
  EnterStep(change_step::Reverting, aNow);
  for (auto& record : MakeRecord(primary_phase::Stable, mPlan.mOldPrimary)) {
    all.push_back(std::move(record));
  }
  return all;
}

primary_change::actions
primary_change::OnTick(time_point aNow)
{
  const duration elapsed = aNow - mStepStartedAt;
  const duration sinceSent = aNow - mLastSentAt;
  const auto retryDue = [&](duration aInterval) {
    const bool due = sinceSent >= aInterval;
    if (due) {
      mLastSentAt = aNow;
    }
    return due;
  };
  switch (mStep) {
    case change_step::Probing:
      if (elapsed >= kProbingTimeout) {
        return Revert(aNow);
      }
      if (actions next = EvaluateProbes(aNow); mStep != change_step::Probing) {
        return next;
      }
      if (!retryDue(kCommandRetryInterval)) {
        return {};
      }
      ForgetOlderReplies();
      return SendToAll(status_command{});
    case change_step::SteppingDown:
      if (elapsed >= kTransactionGracePeriod + kStepDownTimeout) {
        // The old primary may be out of reach and still running. The instances
        // have to be told in a term of its own: they have answered for this
        // one.
        mPlan.mPlanned = false;
        ++mTerm;
        EnterStep(change_step::Recording, aNow);
        return MakeRecord(primary_phase::Changing, mPlan.mOldPrimary);
      }
      if (elapsed >= kTransactionGracePeriod &&
          retryDue(kCommandRetryInterval)) {
        return SendCommand({ mPlan.mOldPrimary }, step_down_command{ mTerm });
      }
      return {};
    case change_step::Pausing: {
      const bool late =
        elapsed >= (AllReplicasReplied() ? kStepDownTimeout : kPausingTimeout);
      actions next = late ? ChooseAtTimeLimit(aNow) : TryChoose(aNow);
      if (mStep != change_step::Pausing) {
        return next;
      }
      return retryDue(kCommandRetryInterval) ? SendPauseCommands() : actions{};
    }
    case change_step::Promoting:
      return retryDue(kPromotionRetryInterval)
               ? actions{ order_promotion{ mPlan.mService, mCandidate } }
               : actions{};
    case change_step::Settling:
      if (!mOrdered && elapsed >= kResumedSettlingTimeout) {
        EnterStep(change_step::Choosing, aNow);
        return MakeRecord(primary_phase::Promoting, mCandidate);
      }
      if (elapsed >= kSettlingTimeout) {
        EnterStep(change_step::Promoting, aNow);
        return { order_promotion{ mPlan.mService, mCandidate } };
      }
      return elapsed >= kFirstPollDelay && retryDue(kPollInterval)
               ? actions{ send_command{ mCandidate, status_command{} } }
               : actions{};
    case change_step::Resuming:
      if (elapsed >= kResumingTimeout) {
        EnterStep(change_step::Done, aNow);
        return {};
      }
      return retryDue(kCommandRetryInterval) ? SendToReplicas(resume_command{})
                                             : actions{};
    default:
      return {};
  }
}

} // namespace snipewalk
