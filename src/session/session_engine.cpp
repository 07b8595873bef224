// Public interface of the session engine and its control state: desired state,
// servers and primaries.
#include "snipewalk/session/session_engine.h"

#include "session/engine_state.h"
#include "snipewalk/base/log.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

session_engine::state::state(session_engine_options aOptions,
                             session_links& aLinks)
  : mOptions(std::move(aOptions))
  , mLinks(aLinks)
{
}

void
session_engine::state::SetDesiredState(
  std::shared_ptr<const desired_state> aState,
  time_point aNow)
{
  mDesired = std::move(aState);
  for (const auto& [name, limits] : mDesired->mServices) {
    mServices[name].mLimits = limits;
  }
  mAllowances.SetLimits(HasAccounts() ? *mDesired->mAccounts
                                      : account_directory());
  for (const auto id : std::exchange(mPendingOpenings, {})) {
    if (caller_session* session = FindSession(id)) {
      OpenSession(*session, { session->mDatabase, session->mKey }, aNow);
    }
  }
  EndRevokedSessions(aNow);
  DispatchAll(aNow);
}

void
session_engine::state::PutServer(const registered_server& aServer,
                                 time_point aNow)
{
  const auto old = mServers.find(aServer.mId);
  const bool replaced =
    old != mServers.end() && (old->second.mEntry.mStarted != aServer.mStarted ||
                              old->second.mEntry.mAddress != aServer.mAddress ||
                              old->second.mEntry.mService != aServer.mService);
  if (replaced) {
    RemoveServer(aServer.mId, aNow);
  }
  mServers[aServer.mId].mEntry = aServer;
  known_service& service = mServices[aServer.mService];
  if (service.mMaxKnownServers == 0) {
    // Replicas may have left before this process knew of them.
    service.mReplicaLeftAt = aNow;
  }
  service.mServers.insert(aServer.mId);
  const std::size_t known = service.mServers.size();
  service.mMaxKnownServers = std::max(service.mMaxKnownServers, known);
  if (known >= service.mExpectedServers) {
    service.mExpectedServers = known;
    service.mLastCompleteAt = aNow;
  }
  Dispatch(aServer.mService, aNow);
}

void
session_engine::state::RemoveServer(const std::string& aServer, time_point aNow)
{
  const auto found = mServers.find(aServer);
  if (found == mServers.end()) {
    return;
  }
  const known_server removed = std::move(found->second);
  mServers.erase(found);
  known_service& service = mServices[removed.mEntry.mService];
  service.mServers.erase(aServer);
  if (removed.mEntry.mDraining) {
    --service.mExpectedServers;
  }
  if (service.mPrimary.mServer != aServer) {
    service.mReplicaLeftAt = aNow;
  }
  for (const auto connection : removed.mConnections) {
    OnServerClosed(connection, aNow);
    mLinks.CloseServerConnection(connection);
  }
  Dispatch(removed.mEntry.mService, aNow);
}

void
session_engine::state::SetPrimary(const std::string& aService,
                                  const service_primary& aPrimary,
                                  time_point aNow)
{
  known_service& service = mServices[aService];
  if (service.mPrimary.mServer != aPrimary.mServer) {
    service.mWriteGate.Reset();
  }
  ApplyPrimary(service, aPrimary, aNow);
  Dispatch(aService, aNow);
}

void
session_engine::state::ForgetTimes(time_point aNow)
{
  mAllowances.DropTokens();
  for (auto& [name, service] : mServices) {
    service.mPrimarySince = aNow;
    service.mSamples = freshness_samples();
    service.mCheck.reset();
  }
  for (auto& [id, server] : mServers) {
    server.mVerifiedAt = time_point::min();
    server.mLedAt = time_point::min();
  }
}

std::map<std::string, time_point>
session_engine::state::OldestUnconfirmedWrites() const
{
  std::map<std::string, time_point> oldest;
  const auto add = [&](const std::string& aService, time_point aSent) {
    const auto entry = oldest.try_emplace(aService, aSent).first;
    entry->second = std::min(entry->second, aSent);
  };
  for (const auto session : mActiveSessions) {
    const pending_statement& pending = *mSessions.at(session).mPending;
    const auto service = mServices.find(pending.mRoute.mService);
    if (service == mServices.end()) {
      continue;
    }
    const auto connection = mConnections.find(pending.mConnection);
    const bool inFlight =
      IsUnansweredWrite(pending) && connection != mConnections.end() &&
      connection->second.mServer == service->second.mPrimary.mServer;
    if (inFlight) {
      add(service->first, pending.mSentAt);
    }
    // While writes stall, the gate sends few of them and each has just been
    // sent, so those that have timed out count for the ones that wait.
    const bool waits = pending.mPurpose == statement_purpose::SingleWrite;
    const auto stalled = service->second.mWriteGate.StalledSince();
    if (stalled && (inFlight || waits)) {
      add(service->first, *stalled);
    }
  }
  return oldest;
}

log_position
session_engine::state::AcknowledgedPosition(const std::string& aService) const
{
  const auto service = mServices.find(aService);
  return service == mServices.end() ? log_position{}
                                    : service->second.mAcknowledged;
}

std::vector<primary_observation>
session_engine::state::ObservePrimaries() const
{
  const auto oldestWrites = OldestUnconfirmedWrites();
  std::vector<primary_observation> observations;
  for (const auto& [name, service] : mServices) {
    const auto server = mServers.find(service.mPrimary.mServer);
    if (server == mServers.end()) {
      continue;
    }
    const known_server& primary = server->second;
    if (primary.mConnections.empty() && primary.mFailedConnects == 0) {
      continue;
    }
    server_observation observation{
      server->first, primary.mLastAnswer, {}, {}, primary.mFailedConnects
    };
    for (const auto connection : primary.mConnections) {
      const auto& expected = mConnections.at(connection).mExpectedReplies;
      if (!expected.empty()) {
        const time_point sent = expected.front().mSent;
        auto& oldest = observation.mWaitingSince;
        oldest = std::min(oldest.value_or(sent), sent);
      }
    }
    if (const auto write = oldestWrites.find(name);
        write != oldestWrites.end()) {
      observation.mWriteWaitingSince = write->second;
    }
    observations.push_back({ name, std::move(observation) });
  }
  return observations;
}

session_engine_counts
session_engine::state::Counts() const
{
  session_engine_counts counts;
  counts.mSessions = mSessions.size();
  counts.mPendingStatements = mActiveSessions.size();
  counts.mServerConnections = mConnections.size();
  counts.mOpenTransactions = static_cast<std::size_t>(
    std::count_if(mSessions.begin(), mSessions.end(), [](const auto& aEntry) {
      return aEntry.second.mTransaction.has_value();
    }));
  return counts;
}

caller_session*
session_engine::state::FindSession(session_id aId)
{
  const auto found = mSessions.find(aId);
  return found == mSessions.end() ? nullptr : &found->second;
}

server_connection*
session_engine::state::FindConnection(server_connection_id aId)
{
  const auto found = mConnections.find(aId);
  return found == mConnections.end() ? nullptr : &found->second;
}

session_engine::session_engine(session_engine_options aOptions,
                               session_links& aLinks)
  : mState(std::make_unique<state>(std::move(aOptions), aLinks))
{
}

session_engine::~session_engine() = default;

void
session_engine::SetDesiredState(std::shared_ptr<const desired_state> aState,
                                time_point aNow)
{
  mState->SetDesiredState(std::move(aState), aNow);
}

void
session_engine::PutServer(const registered_server& aServer, time_point aNow)
{
  mState->PutServer(aServer, aNow);
}

void
session_engine::RemoveServer(const std::string& aServer, time_point aNow)
{
  mState->RemoveServer(aServer, aNow);
}

void
session_engine::SetPrimary(const std::string& aService,
                           const service_primary& aPrimary,
                           time_point aNow)
{
  mState->SetPrimary(aService, aPrimary, aNow);
}

void
session_engine::SetPrimariesConfirmed(time_point aUntil, time_point aNow)
{
  const bool lapsed = mState->mConfirmedUntil <= aNow;
  mState->mConfirmedUntil = aUntil;
  if (lapsed && aUntil > aNow) {
    mState->DispatchAll(aNow);
  }
}

void
session_engine::OnSuspended(time_point aNow)
{
  SetPrimariesConfirmed(time_point::min(), aNow);
  mState->ForgetTimes(aNow);
}

void
session_engine::SetInstanceCount(std::size_t aCount, time_point aNow)
{
  const std::size_t count = std::max<std::size_t>(1, aCount);
  if (std::exchange(mState->mInstances, count) != count) {
    mState->DispatchAll(aNow);
  }
}

std::optional<allowance_request>
session_engine::AllowanceRequestIfDue(time_point aNow)
{
  return mState->AllowanceRequestIfDue(aNow);
}

bool
session_engine::NeedsAllowances() const
{
  return mState->NeedsAllowances();
}

void
session_engine::OnAllowanceGrant(const allowance_grant& aGrant, time_point aNow)
{
  mState->OnAllowanceGrant(aGrant, aNow);
}

void
session_engine::YieldConnections(const std::string& aServer, time_point aNow)
{
  mState->YieldConnections(aServer, aNow);
}

void
session_engine::OnCallerMessage(session_id aSession,
                                const caller_message& aMessage,
                                time_point aNow)
{
  mState->OnCallerMessage(aSession, aMessage, aNow);
}

void
session_engine::OnCallerClosed(session_id aSession, time_point aNow)
{
  mState->OnCallerClosed(aSession, aNow);
}

void
session_engine::OnServerReply(server_connection_id aConnection,
                              const statement_reply& aReply,
                              time_point aNow)
{
  mState->OnServerReply(aConnection, aReply, aNow);
}

void
session_engine::OnServerClosed(server_connection_id aConnection,
                               time_point aNow)
{
  mState->OnServerClosed(aConnection, aNow);
}

void
session_engine::OnTick(time_point aNow)
{
  mState->OnTick(aNow);
}

bool
session_engine::HasWork() const
{
  return !mState->mActiveSessions.empty();
}

void
session_engine::CloseIdleSessions(time_point aNow)
{
  mState->CloseIdleSessions(aNow);
}

void
session_engine::AbortTransactions(time_point aNow)
{
  mState->AbortTransactions(aNow);
}

log_position
session_engine::AcknowledgedPosition(const std::string& aService) const
{
  return mState->AcknowledgedPosition(aService);
}

std::vector<primary_observation>
session_engine::ObservePrimaries() const
{
  return mState->ObservePrimaries();
}

session_engine_counts
session_engine::Counts() const
{
  return mState->Counts();
}

const metrics_registry&
session_engine::Metrics() const
{
  return mState->mMetrics;
}

} // namespace snipewalk
