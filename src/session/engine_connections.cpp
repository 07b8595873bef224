// Connections to backend servers: how many this instance may open, and when
// they are opened and closed.
#include "session/engine_state.h"
#include "snipewalk/account/connection_eviction.h"

#include <algorithm>

namespace snipewalk {

namespace {

// Surplus connections are closed after this idle time, so that one connection
// to each server remains. After a power failure of all instances, servers keep
// the old connections for seconds, and the restarted instances need free
// connections in addition.
constexpr milliseconds kSurplusIdleTimeout{ 400 };
// Idle time of connections that belong to client accounts. Each serves one
// account only, and is closed earlier if another account needs its place.
constexpr milliseconds kAccountIdleTimeout{ 5'000 };
// An instance that does not host the service closes all its connections after
// this idle time, to leave them to the hosts.
constexpr milliseconds kNonHostIdleTimeout{ 60 };
// How long the share stays rounded down after a request to yield connections.
// A transaction may hold a connection for some time before it is released.
constexpr milliseconds kYieldDuration{ 2'000 };

// A connection whose opening, rollback or status request has not been answered
// for this long is closed.
constexpr milliseconds kUnansweredConnectionTimeout{ 600 };

} // namespace

service_hosting
session_engine::state::HostingOf(const std::string& aService) const
{
  return mOptions.mHostingOf ? mOptions.mHostingOf(aService)
                             : service_hosting{};
}

std::size_t
session_engine::state::ConnectionShareOf(const known_server& aServer,
                                         time_point aNow) const
{
  const std::string& name = aServer.mEntry.mService;
  const auto service = mServices.find(name);
  const service_hosting hosting = HostingOf(name);
  if (service == mServices.end() || !hosting.HasConnectionShare()) {
    return 1;
  }
  const std::size_t total = service->second.mLimits.StatementConnections();
  const std::size_t sharing =
    hosting.mHostCount > 0 ? hosting.mHostCount : mInstances;
  // Rounded up, because the sharing instances do not all use their full shares
  // at the same time. Where they do, the server has no connection left for the
  // duty holder, which then asks all to yield some.
  const std::size_t rounding = aNow < aServer.mYieldsUntil ? 0 : sharing - 1;
  return std::max<std::size_t>(1, (total + rounding) / sharing);
}

bool
session_engine::state::ExceedsShare(const known_server& aServer,
                                    time_point aNow) const
{
  return aServer.mConnections.size() > ConnectionShareOf(aServer, aNow);
}

void
session_engine::state::YieldConnections(const std::string& aServer,
                                        time_point aNow)
{
  const auto server = mServers.find(aServer);
  if (server != mServers.end()) {
    server->second.mYieldsUntil = aNow + kYieldDuration;
    mMetrics.Count("connection_yield_requests");
    CloseSurplusConnections(aNow);
  }
}

bool
session_engine::state::MustDelayOpening(const known_server& aServer,
                                        time_point aNow) const
{
  if (aNow < aServer.mOpenAfter) {
    return true;
  }
  // Only one opening at a time per server: an existing connection may become
  // idle before another one is needed.
  return std::any_of(
    aServer.mConnections.begin(),
    aServer.mConnections.end(),
    [this](server_connection_id aId) {
      const auto& expected = mConnections.at(aId).mExpectedReplies;
      return !expected.empty() &&
             expected.front().mKind == expected_reply_kind::Opening;
    });
}

bool
session_engine::state::CanOpen(const known_server& aServer,
                               time_point aNow) const
{
  return !MustDelayOpening(aServer, aNow) &&
         aServer.mConnections.size() < ConnectionShareOf(aServer, aNow);
}

std::optional<server_connection_id>
session_engine::state::EvictionFor(const caller_session& aSession,
                                   const known_server& aServer,
                                   time_point aNow) const
{
  std::vector<server_connection_id> ids;
  std::vector<account_connection> connections;
  for (const auto id : aServer.mConnections) {
    const server_connection& connection = mConnections.at(id);
    ids.push_back(id);
    connections.push_back({ connection.mAccount,
                            connection.IsIdle()
                              ? std::optional(connection.mIdleSince)
                              : std::nullopt });
  }
  const auto chosen = ChooseEviction(
    connections, aSession.mAccount, aSession.mPending->mReceived, aNow);
  return chosen ? std::optional(ids[*chosen]) : std::nullopt;
}

bool
session_engine::state::CanOpenFor(const caller_session& aSession,
                                  const known_server& aServer,
                                  time_point aNow) const
{
  if (CanOpen(aServer, aNow)) {
    return true;
  }
  return HasAccounts() && !MustDelayOpening(aServer, aNow) &&
         EvictionFor(aSession, aServer, aNow);
}

void
session_engine::state::OpenConnectionFor(const caller_session& aSession,
                                         known_server& aServer,
                                         time_point aNow)
{
  if (!CanOpen(aServer, aNow)) {
    const auto evicted = EvictionFor(aSession, aServer, aNow);
    if (!evicted) {
      return;
    }
    mMetrics.Count("server_connections_evicted");
    DiscardConnection(*evicted);
  }
  OpenConnection(aServer, aSession.mAccount, aNow);
}

void
session_engine::state::OpenConnection(known_server& aServer,
                                      const std::string& aAccount,
                                      time_point aNow)
{
  const server_connection_id id = mNextConnection++;
  server_connection& connection = mConnections[id];
  connection.mId = id;
  connection.mServer = aServer.mEntry.mId;
  connection.mService = aServer.mEntry.mService;
  connection.mAccount = aAccount;
  connection.mExpectedReplies.push_back({ expected_reply_kind::Opening, aNow });
  connection.mIdleSince = aNow;
  aServer.mConnections.insert(id);
  aServer.mOpenAfter = aNow;
  mMetrics.Count("server_connections_opened");
  mLinks.OpenServerConnection(id, aServer.mEntry, aAccount);
}

bool
session_engine::state::KeepsIdleConnection(const known_server& aServer) const
{
  return HostingOf(aServer.mEntry.mService).HasConnectionShare();
}

void
session_engine::state::CloseSurplusConnections(time_point aNow)
{
  std::set<std::string> connected;
  for (const auto& [id, connection] : mConnections) {
    connected.insert(connection.mServer);
  }
  for (const auto& name : connected) {
    const auto found = mServers.find(name);
    if (found == mServers.end()) {
      continue;
    }
    const known_server& server = found->second;
    const bool keeps = KeepsIdleConnection(server);
    const milliseconds surplusLimit =
      HasAccounts() ? kAccountIdleTimeout : kSurplusIdleTimeout;
    const milliseconds limit = keeps ? surplusLimit : kNonHostIdleTimeout;
    const std::size_t kept = keeps ? 1 : 0;
    const std::set<server_connection_id> connections = server.mConnections;
    for (const auto connection : connections) {
      const server_connection& candidate = mConnections.at(connection);
      const bool unused = server.mConnections.size() > kept &&
                          aNow >= candidate.mIdleSince + limit;
      const bool surplus =
        unused || (aNow < server.mYieldsUntil && ExceedsShare(server, aNow));
      if (candidate.IsIdle() && (surplus || server.mEntry.mDraining)) {
        DiscardConnection(connection);
      }
    }
  }
}

void
session_engine::state::CloseUnansweredConnections(time_point aNow)
{
  std::vector<server_connection_id> unanswered;
  for (const auto& [id, connection] : mConnections) {
    // Openings, rollbacks and checks belong to no session; pending statements
    // are timed out by OnTick().
    const bool waits = !connection.mExpectedReplies.empty() &&
                       connection.mSession == 0 &&
                       aNow >= connection.mExpectedReplies.front().mSent +
                                 kUnansweredConnectionTimeout;
    if (waits) {
      unanswered.push_back(id);
    }
  }
  for (const auto id : unanswered) {
    OnServerClosed(id, aNow);
    mLinks.CloseServerConnection(id);
  }
}

} // namespace snipewalk
