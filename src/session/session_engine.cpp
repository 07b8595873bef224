// Public side of the session engine and its control state.
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
  for (const auto id : std::exchange(mUnopened, {})) {
    if (caller_session* session = FindSession(id)) {
      OpenSession(*session, { session->mDatabase }, aNow);
    }
  }
  DispatchAll(aNow);
}

void
session_engine::state::SetServers(const std::vector<server_entry>& aServers,
                                  time_point aNow)
{
  std::map<std::string, known_server> previous = std::exchange(mServers, {});
  for (const auto& entry : aServers) {
    const auto old = previous.find(entry.mId);
    const bool same = old != previous.end() &&
                      old->second.mEntry.mStarted == entry.mStarted &&
                      old->second.mEntry.mAddress == entry.mAddress;
    if (same) {
      mServers[entry.mId] = std::move(old->second);
      previous.erase(old);
    }
    mServers[entry.mId].mEntry = entry;
  }
  for (const auto& [id, gone] : previous) {
    const std::set<server_connection_id> connections = gone.mConnections;
    for (const auto connection : connections) {
      OnServerClosed(connection, aNow);
      mLinks.CloseServer(connection);
    }
  }
  DispatchAll(aNow);
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
  service.mPrimary = aPrimary;
  Dispatch(aService, aNow);
}

void
session_engine::state::SetHosting(const std::string& aService,
                                  const service_hosting& aHosting)
{
  mServices[aService].mHosting = aHosting;
}

std::vector<server_observation>
session_engine::state::Observations(const std::string& aService) const
{
  std::vector<server_observation> observations;
  for (const auto& [id, server] : mServers) {
    if (server.mEntry.mService != aService) {
      continue;
    }
    server_observation observation{ id, server.mLastAnswer, {}, {}, 0 };
    observation.mFailedConnects = server.mFailedConnects;
    for (const auto connection : server.mConnections) {
      const auto& expected = mConnections.at(connection).mExpected;
      if (!expected.empty()) {
        const time_point sent = expected.front().mSent;
        auto& oldest = observation.mWaitingSince;
        oldest = std::min(oldest.value_or(sent), sent);
      }
    }
    observations.push_back(std::move(observation));
  }
  for (const auto session : mActive) {
    const auto& pending = mSessions.at(session).mPending;
    if (!IsUnansweredWrite(*pending)) {
      continue;
    }
    const auto connection = mConnections.find(pending->mConnection);
    for (auto& observation : observations) {
      if (connection != mConnections.end() &&
          connection->second.mServer == observation.mServer) {
        auto& oldest = observation.mWriteWaitingSince;
        oldest = std::min(oldest.value_or(pending->mSentAt), pending->mSentAt);
      }
    }
  }
  return observations;
}

session_engine_counts
session_engine::state::Counts() const
{
  session_engine_counts counts;
  counts.mSessions = mSessions.size();
  counts.mPendingStatements = mActive.size();
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
session_engine::SetServers(const std::vector<server_entry>& aServers,
                           time_point aNow)
{
  mState->SetServers(aServers, aNow);
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
session_engine::SetInstances(std::size_t aCount, time_point aNow)
{
  mState->mInstances = std::max<std::size_t>(1, aCount);
  mState->DispatchAll(aNow);
}

void
session_engine::SetHosting(const std::string& aService,
                           const service_hosting& aHosting)
{
  mState->SetHosting(aService, aHosting);
}

void
session_engine::OnCaller(session_id aSession,
                         const caller_message& aMessage,
                         time_point aNow)
{
  mState->OnCaller(aSession, aMessage, aNow);
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
  return !mState->mActive.empty();
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

std::vector<server_observation>
session_engine::Observations(const std::string& aService) const
{
  return mState->Observations(aService);
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
