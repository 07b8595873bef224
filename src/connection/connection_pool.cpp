// Implementation of the pool of connections to backend servers.
#include "snipewalk/connection/connection_pool.h"

#include <algorithm>

namespace snipewalk {

namespace {

std::size_t
IndexOf(connection_use aUse)
{
  return static_cast<std::size_t>(aUse);
}

} // namespace

connection_pool::connection_pool(std::uint64_t aSeed)
  : mRandom(static_cast<std::minstd_rand::result_type>(aSeed))
{
}

std::vector<pooled_connection>
connection_pool::SetServer(std::size_t aServer,
                           const server_endpoint& aEndpoint,
                           std::size_t aLimit,
                           std::vector<engine_action>& aActions)
{
  if (mServers.size() <= aServer) {
    mServers.resize(aServer + 1);
  }
  auto& server = mServers[aServer];
  const bool moved = server.mEndpoint.mAddress != aEndpoint.mAddress;
  server.mEndpoint = aEndpoint;
  server.mLimit = aLimit;
  std::vector<pooled_connection> lost;
  if (moved) {
    std::vector<pooled_connection> all;
    for (const auto& [id, connection] : mConnections) {
      if (connection->mServer == aServer) {
        all.push_back(*connection);
      }
    }
    for (const auto& connection : all) {
      Close(connection.mId, aActions);
      if (connection.mPhase == connection_phase::Busy) {
        lost.push_back(connection);
      }
    }
    server.mRefusals = 0;
    server.mOpenAfter = time_point{};
  }
  while (server.mCount > server.mLimit && !server.mIdle.empty()) {
    Close(server.mIdle.front(), aActions);
  }
  return lost;
}

connection_id
connection_pool::Open(std::size_t aServer,
                      connection_use aUse,
                      std::vector<engine_action>& aActions)
{
  auto connection = std::make_unique<pooled_connection>();
  connection->mId = ++mLastId;
  connection->mServer = aServer;
  connection->mUse = aUse;
  auto& server = mServers[aServer];
  ++server.mCount;
  ++server.mOpening;
  ++server.mUses[IndexOf(aUse)];
  aActions.push_back(open_connection{ mLastId, server.mEndpoint });
  mConnections.emplace(mLastId, std::move(connection));
  return mLastId;
}

void
connection_pool::OpenMissing(time_point aNow,
                             std::vector<engine_action>& aActions)
{
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    auto& server = mServers[i];
    // After a refusal a single connection tries whether the server is back.
    const std::size_t limit =
      server.mRefusals > 0 && server.mOpening > 0 ? 0 : server.mLimit;
    while (server.mCount < limit && server.mOpenAfter <= aNow) {
      Open(i, connection_use::None, aActions);
      if (server.mRefusals > 0) {
        break;
      }
    }
  }
}

bool
connection_pool::OpenProbe(std::size_t aServer,
                           std::vector<engine_action>& aActions)
{
  auto& server = mServers[aServer];
  if (server.mCount >= server.mLimit) {
    if (server.mIdle.empty() || server.mLimit == 0) {
      return false;
    }
    Close(server.mIdle.front(), aActions);
  }
  Open(aServer, connection_use::Check, aActions);
  return true;
}

bool
connection_pool::WithinShare(const server_pool& aServer,
                             connection_use aUse) const
{
  // Reads at the primary and transactions take at most half each, and at least
  // one connection stays for writes and look-ups of outcomes.
  const std::size_t half = std::max<std::size_t>(1, aServer.mLimit / 2);
  const std::size_t most =
    std::max<std::size_t>(1, aServer.mLimit > 0 ? aServer.mLimit - 1 : 0);
  const auto reads = aServer.mUses[IndexOf(connection_use::PrimaryRead)];
  const auto pinned = aServer.mUses[IndexOf(connection_use::Transaction)];
  switch (aUse) {
    case connection_use::PrimaryRead:
      return reads < half && reads + pinned < most;
    case connection_use::Transaction:
      return pinned < half && reads + pinned < most;
    default:
      return true;
  }
}

bool
connection_pool::Available(std::size_t aServer,
                           connection_use aUse,
                           time_point aNow) const
{
  const auto& server = mServers[aServer];
  if (server.mIdle.empty() || server.mCount > server.mLimit ||
      !WithinShare(server, aUse)) {
    return false;
  }
  const auto& newest = mConnections.at(server.mIdle.back());
  return aNow - newest->mIdleSince < kIdleCheckAge;
}

pooled_connection*
connection_pool::Acquire(std::size_t aServer,
                         connection_use aUse,
                         std::uint64_t aOwner,
                         time_point aNow)
{
  if (!Available(aServer, aUse, aNow)) {
    return nullptr;
  }
  auto& server = mServers[aServer];
  auto* connection = mConnections.at(server.mIdle.back()).get();
  server.mIdle.pop_back();
  connection->mPhase = connection_phase::Busy;
  connection->mUse = aUse;
  connection->mOwner = aOwner;
  ++Uses(*connection);
  return connection;
}

pooled_connection*
connection_pool::AcquireForCheck(std::size_t aServer, time_point aNow)
{
  auto& server = mServers[aServer];
  if (server.mIdle.empty() || server.mCount > server.mLimit) {
    return nullptr;
  }
  auto* connection = mConnections.at(server.mIdle.back()).get();
  connection->mIdleSince = aNow;
  return Acquire(aServer, connection_use::Check, 0, aNow);
}

void
connection_pool::Release(connection_id aId,
                         time_point aNow,
                         std::vector<engine_action>& aActions)
{
  auto* connection = Find(aId);
  if (!connection || connection->mPhase != connection_phase::Busy) {
    return;
  }
  auto& server = mServers[connection->mServer];
  --Uses(*connection);
  connection->mPhase = connection_phase::Idle;
  connection->mUse = connection_use::None;
  connection->mOwner = 0;
  connection->mOutstanding = false;
  connection->mIdleSince = aNow;
  connection->mProven = true;
  server.mRefusals = 0;
  server.mIdle.push_back(aId);
  if (server.mCount > server.mLimit) {
    Close(aId, aActions);
  }
}

void
connection_pool::Close(connection_id aId, std::vector<engine_action>& aActions)
{
  if (Find(aId)) {
    aActions.push_back(close_connection{ aId });
    Forget(aId);
  }
}

void
connection_pool::Forget(connection_id aId)
{
  const auto found = mConnections.find(aId);
  const auto& connection = *found->second;
  auto& server = mServers[connection.mServer];
  --server.mCount;
  if (connection.mPhase == connection_phase::Idle) {
    std::erase(server.mIdle, aId);
  } else {
    --Uses(connection);
  }
  if (connection.mPhase == connection_phase::Opening) {
    --server.mOpening;
  }
  mConnections.erase(found);
}

pooled_connection*
connection_pool::Opened(connection_id aId, time_point aNow)
{
  auto* connection = Find(aId);
  if (!connection || connection->mPhase != connection_phase::Opening) {
    return nullptr;
  }
  auto& server = mServers[connection->mServer];
  --server.mOpening;
  connection->mOpenedAt = aNow;
  if (connection->mUse == connection_use::Check) {
    connection->mPhase = connection_phase::Busy;
    return connection;
  }
  --Uses(*connection);
  connection->mPhase = connection_phase::Idle;
  connection->mIdleSince = aNow;
  server.mIdle.push_back(aId);
  return connection;
}

std::optional<pooled_connection>
connection_pool::Closed(connection_id aId, bool aRefused, time_point aNow)
{
  const auto* connection = Find(aId);
  if (!connection) {
    return std::nullopt;
  }
  const pooled_connection copy = *connection;
  auto& server = mServers[copy.mServer];
  Forget(aId);
  const bool unproven = !copy.mProven && aNow - copy.mOpenedAt < kUnprovenAge;
  if (aRefused || copy.mPhase == connection_phase::Opening || unproven) {
    NoteRefusal(server, aNow);
  }
  return copy;
}

void
connection_pool::NoteRefusal(server_pool& aServer, time_point aNow)
{
  if (aNow < aServer.mOpenAfter) {
    // Connections that close together are one event.
    return;
  }
  const int doublings = std::min(aServer.mRefusals, 6);
  const auto most = std::min<milliseconds>(
    kReconnectDelayMax, kReconnectDelayMin * (1 << doublings));
  std::uniform_int_distribution<std::int64_t> jitter(most.count() / 2,
                                                     most.count());
  aServer.mOpenAfter = aNow + milliseconds(jitter(mRandom));
  ++aServer.mRefusals;
}

pooled_connection*
connection_pool::Find(connection_id aId)
{
  const auto found = mConnections.find(aId);
  return found == mConnections.end() ? nullptr : found->second.get();
}

std::vector<connection_id>
connection_pool::Busy(std::size_t aServer) const
{
  std::vector<connection_id> busy;
  for (const auto& [id, connection] : mConnections) {
    if (connection->mServer == aServer &&
        connection->mPhase == connection_phase::Busy) {
      busy.push_back(id);
    }
  }
  std::sort(busy.begin(), busy.end());
  return busy;
}

std::size_t
connection_pool::Count(std::size_t aServer) const
{
  return mServers[aServer].mCount;
}

std::size_t
connection_pool::OpenCount(std::size_t aServer) const
{
  return mServers[aServer].mCount - mServers[aServer].mOpening;
}

std::size_t
connection_pool::Limit(std::size_t aServer) const
{
  return mServers[aServer].mLimit;
}

std::size_t
connection_pool::InUse(std::size_t aServer, connection_use aUse) const
{
  return mServers[aServer].mUses[IndexOf(aUse)];
}

bool
connection_pool::IsRefused(std::size_t aServer) const
{
  return mServers[aServer].mRefusals > 0 &&
         std::none_of(
           mConnections.begin(), mConnections.end(), [&](const auto& aEntry) {
             return aEntry.second->mServer == aServer && aEntry.second->mProven;
           });
}

std::size_t
connection_pool::Outstanding(std::size_t aServer) const
{
  const auto& server = mServers[aServer];
  return server.mCount - server.mOpening - server.mIdle.size() -
         server.mUses[IndexOf(connection_use::Acknowledgement)];
}

std::optional<time_point>
connection_pool::NextOpen() const
{
  std::optional<time_point> next;
  for (const auto& server : mServers) {
    if (server.mCount < server.mLimit && server.mRefusals > 0 &&
        server.mOpening == 0 && (!next || server.mOpenAfter < *next)) {
      next = server.mOpenAfter;
    }
  }
  return next;
}

std::size_t&
connection_pool::Uses(const pooled_connection& aConnection)
{
  return mServers[aConnection.mServer].mUses[IndexOf(aConnection.mUse)];
}

} // namespace snipewalk
