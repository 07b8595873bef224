// Checks of a primary: status requests to the servers that establish, without
// the store or the primary, a log position that covers every acknowledged
// commit.
//
// A commit is acknowledged once its primary and k replicas have received it,
// where k is the service's number of synchronous replicas. Two proofs follow:
// - At least all but k servers, the known primary among them, are still in the
//   primary's term. Then no newer primary had acknowledged a commit before they
//   were asked, and the primary's log contains all acknowledged commits.
// - All servers except the last primary report that they are replicas. With k
//   of at least 1, every commit that the last primary acknowledged is in one of
//   their logs, or in that of a replica that has left or is not known yet: one
//   confirms commits before its entry is in the store. What such a replica may
//   have confirmed is shown by the positions that the primary told, which their
//   newest log must contain; one of them must be from after a replica left.
//   Commits of earlier terms are in one of their logs as well, once one of them
//   has an entry of the last primary's term. This proves a position only, and
//   nothing about the last primary: a server that is not known yet may have
//   replaced it.
//
// Both proofs count all servers of the service, including those whose entries
// are missing although they were never marked as draining: the entry of a
// server that cannot reach the store also expires. A newly started process does
// not know all servers then. It therefore accepts no proof before it has known
// a primary, k replicas and one more server at the same time. If the service
// has more servers, one of them may still be unknown.
#include "session/engine_state.h"
#include "snipewalk/base/log.h"

#include <algorithm>

namespace snipewalk {

namespace {

// Minimum interval between two checks of a service by one instance, since each
// check briefly occupies a slot on every server.
constexpr milliseconds kMinCheckInterval{ 250 };
// A server whose entry has been missing for this long, with the recorded
// primaries confirmed throughout, is regarded as removed.
constexpr milliseconds kMissingServerTimeout{ 30'000 };

} // namespace

bool
session_engine::state::IsPrimaryKnown(const known_service& aService,
                                      time_point aMoment) const
{
  const auto primary = mServers.find(aService.mPrimary.mServer);
  const bool verified =
    primary != mServers.end() && primary->second.mVerifiedAt >= aMoment;
  return mConfirmedUntil > aMoment || verified;
}

bool
session_engine::state::KnowsEnoughServers(const known_service& aService)
{
  const std::size_t syncReplicas = aService.mLimits.mSyncReplicas;
  return aService.mMaxKnownServers >= syncReplicas + 2;
}

void
session_engine::state::UpdateExpectedServers(time_point aNow)
{
  for (auto& [name, service] : mServices) {
    const bool missing = service.mServers.size() < service.mExpectedServers;
    if (!missing || mConfirmedUntil <= aNow) {
      service.mLastCompleteAt = aNow;
    } else if (aNow >= service.mLastCompleteAt + kMissingServerTimeout) {
      service.mExpectedServers = service.mServers.size();
    }
  }
}

void
session_engine::state::AddPrimarySample(known_service& aService,
                                        time_point aSent,
                                        const log_position& aPosition)
{
  aService.mSamples.Add(aSent, aPosition);
  aService.mToldPosition = std::max(aService.mToldPosition, aPosition);
  if (aService.mReplicaLeftAt && aSent >= *aService.mReplicaLeftAt) {
    aService.mReplicaLeftAt.reset();
  }
}

bool
session_engine::state::CoversOtherReplicas(const known_service& aService,
                                           const log_position& aNewest) const
{
  const bool witnessGone = aService.mReplicaLeftAt &&
                           aService.mCheck->mStarted <
                             *aService.mReplicaLeftAt + kMissingServerTimeout;
  return !witnessGone && aNewest >= aService.mToldPosition &&
         aNewest >= aService.mAcknowledged;
}

void
session_engine::state::StartCheck(const std::string& aService, time_point aNow)
{
  known_service& service = mServices[aService];
  if (!KnowsEnoughServers(service) ||
      (service.mCheck && aNow < service.mCheck->mStarted + kMinCheckInterval)) {
    return;
  }
  service.mCheck = primary_check{ aNow };
  for (const auto& id : service.mServers) {
    known_server& server = mServers.at(id);
    if (server_connection* idle = FindIdleConnection(server)) {
      SendCommands(
        *idle, { status_command{} }, expected_reply_kind::Check, aNow);
    } else if (CanOpen(server, aNow)) {
      OpenConnection(server, std::string(), aNow);
    }
  }
  mMetrics.Count("primary_checks");
}

void
session_engine::state::OnCheckReply(const server_connection& aConnection,
                                    const statement_reply& aReply,
                                    time_point aSent)
{
  known_service& service = mServices[aConnection.mService];
  const auto status = mOptions.mParseStatus(aReply);
  if (!status.ok() || !service.mCheck || aSent < service.mCheck->mStarted) {
    return;
  }
  service.mCheck->mAnswers[aConnection.mServer] = *status;
  const auto primary = service.mCheck->mAnswers.find(service.mPrimary.mServer);
  if (primary != service.mCheck->mAnswers.end() &&
      primary->second.mRole == server_role::Primary) {
    CheckLeadingPrimary(service, aConnection.mService, primary->second);
  } else if (!service.mCheck->mPassed) {
    CheckReplicas(service, aConnection.mService);
  }
}

void
session_engine::state::CheckLeadingPrimary(known_service& aService,
                                           const std::string& aName,
                                           const server_status& aStatus)
{
  const auto& answers = aService.mCheck->mAnswers;
  const auto expected = static_cast<std::int64_t>(aService.mExpectedServers);
  const auto inTerm =
    std::count_if(answers.begin(), answers.end(), [&](const auto& aEntry) {
      return aEntry.second.mTerm <= aStatus.mTerm &&
             aEntry.second.mReceived.mTerm <= aStatus.mTerm;
    });
  const int syncReplicas = aService.mLimits.mSyncReplicas;
  const auto primary = mServers.find(aService.mPrimary.mServer);
  if (primary == mServers.end() ||
      inTerm < std::max<std::int64_t>(1, expected - syncReplicas)) {
    return;
  }
  const time_point started = aService.mCheck->mStarted;
  if (primary->second.mVerifiedAt >= started) {
    return;
  }
  primary->second.mVerifiedAt = started;
  primary->second.mLedAt = started;
  AddPrimarySample(aService, started, aStatus.mReceived);
  OnCheckPassed(aService, aName, aStatus.mReceived, "primary in its term");
}

void
session_engine::state::CheckReplicas(known_service& aService,
                                     const std::string& aName)
{
  const std::string lastPrimary =
    aService.mPrimary.mHasLed ? aService.mPrimary.mServer : std::string();
  log_position newest;
  std::int64_t replicas = 0;
  for (const auto& [id, answer] : aService.mCheck->mAnswers) {
    newest = std::max(newest, answer.mReceived);
    replicas +=
      id != lastPrimary && answer.mRole == server_role::Replica ? 1 : 0;
  }
  const auto servers = static_cast<std::int64_t>(aService.mServers.size());
  const auto expected = static_cast<std::int64_t>(aService.mExpectedServers);
  // A missing server may be the last primary.
  const std::int64_t needed =
    std::max(servers - (mServers.contains(lastPrimary) ? 1 : 0), expected - 1);
  if (aService.mLimits.mSyncReplicas < 1 || replicas < needed ||
      newest.mTerm < aService.mPrimary.mLeadTerm ||
      !CoversOtherReplicas(aService, newest)) {
    return;
  }
  OnCheckPassed(aService, aName, newest, "all replicas");
}

void
session_engine::state::OnCheckPassed(known_service& aService,
                                     const std::string& aName,
                                     log_position aPosition,
                                     const char* aProof)
{
  aService.mCheck->mPassed = true;
  aService.mSamples.Add(aService.mCheck->mStarted, aPosition);
  const std::string position = aPosition.ToString();
  Log(log_level::Info,
      "session",
      "check of the primary confirmed a log position",
      { { "service", aName },
        { "primary", aService.mPrimary.mServer },
        { "proof", aProof },
        { "position", position } });
}

} // namespace snipewalk
