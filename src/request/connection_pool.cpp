// Implementation of the pool of connections to backend servers.
#include "snipewalk/request/connection_pool.h"

#include <algorithm>
#include <utility>

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
    for (const auto id : server.mHalfClosed.TakeAll()) {
      aActions.push_back(close_connection{ id, false });
    }
    server.mRefusals = 0;
    server.mOpenAfter = time_point{};
  }
  while (server.mCount > server.mLimit && !server.mIdle.empty()) {
    Close(server.mIdle.front(), aActions);
  }
  return lost;
}

void
connection_pool::SetReserve(std::size_t aServer, std::size_t aReserve)
{
  mServers[aServer].mReserve = aReserve;
}

std::size_t
connection_pool::Most(const server_pool& aServer)
{
  const std::size_t most =
    aServer.mLimit > 0 ? aServer.mLimit + aServer.mReserve : 0;
  return most - std::min(most, aServer.mHalfClosed.size());
}

std::size_t
connection_pool::Usable(const server_pool& aServer)
{
  return std::min(aServer.mLimit, Most(aServer));
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
    ForgetHalfClosed(server, aNow, aActions);
    // After a refusal a single connection tries whether the server is back.
    const bool single = server.mRefusals > 0 || server.mAtLimit;
    const bool tried =
      server.mOpening > 0 ||
      (server.mAtLimit && server.mUses[IndexOf(connection_use::Check)] > 0);
    const std::size_t limit = single && tried ? 0 : Usable(server);
    const bool prove = server.mAtLimit || !server.mHalfClosed.empty();
    while (server.mCount < limit && server.mOpenAfter <= aNow) {
      Open(i, prove ? connection_use::Check : connection_use::None, aActions);
      if (single) {
        break;
      }
    }
  }
}

void
connection_pool::ForgetHalfClosed(server_pool& aServer,
                                  time_point aNow,
                                  std::vector<engine_action>& aActions)
{
  for (const auto id : aServer.mHalfClosed.TakeExpired(aNow)) {
    aActions.push_back(close_connection{ id, false });
    aServer.mAtLimit = true;
  }
}

bool
connection_pool::OpenProbe(std::size_t aServer,
                           std::vector<engine_action>& aActions)
{
  if (mServers[aServer].mCount >= Most(mServers[aServer])) {
    return false;
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
  const std::size_t usable = Usable(aServer);
  const std::size_t half = std::max<std::size_t>(1, usable / 2);
  const std::size_t most =
    std::max<std::size_t>(1, usable > 0 ? usable - 1 : 0);
  const auto reads = aServer.mUses[IndexOf(connection_use::PrimaryRead)];
  const auto pinned = aServer.mUses[IndexOf(connection_use::Transaction)];
  switch (aUse) {
    case connection_use::PrimaryRead:
      return reads < half && reads + pinned < most;
    case connection_use::Transaction:
      // A last replacement serves writes, not one transaction for its length.
      return pinned < half && reads + pinned < most &&
             (usable > 1 || aServer.mHalfClosed.empty());
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
  if (server.mIdle.empty() || server.mCount > Most(server) ||
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
  if (server.mIdle.empty() || server.mCount > Most(server)) {
    return nullptr;
  }
  auto* connection = mConnections.at(server.mIdle.back()).get();
  connection->mIdleSince = aNow;
  return Acquire(aServer, connection_use::Check, 0, aNow);
}

pooled_connection*
connection_pool::AcquireStale(std::size_t aServer, time_point aNow)
{
  auto& idle = mServers[aServer].mIdle;
  if (idle.empty() ||
      aNow - mConnections.at(idle.front())->mIdleSince < kIdleCheckAge) {
    return nullptr;
  }
  std::rotate(idle.begin(), idle.begin() + 1, idle.end());
  return AcquireForCheck(aServer, aNow);
}

void
connection_pool::ExpireIdle(std::size_t aServer,
                            time_point aSince,
                            time_point aNow)
{
  for (const auto id : mServers[aServer].mIdle) {
    auto& connection = *mConnections.at(id);
    if (connection.mIdleSince < aSince) {
      connection.mIdleSince =
        std::min(connection.mIdleSince, aNow - kIdleCheckAge);
    }
  }
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
  if (!std::exchange(connection->mProven, true)) {
    server.mRefusals = 0;
    server.mOpenAfter = time_point{};
  }
  server.mIdle.push_back(aId);
  if (server.mCount >= Usable(server) && server.mHalfClosed.empty()) {
    server.mAtLimit = false;
  }
  if (server.mCount > Usable(server)) {
    Close(aId, aActions);
  }
}

void
connection_pool::Close(connection_id aId, std::vector<engine_action>& aActions)
{
  const auto* connection = Find(aId);
  if (!connection) {
    return;
  }
  const bool busy = connection->mPhase == connection_phase::Busy;
  if (busy) {
    mServers[connection->mServer].mHalfClosed.Add(aId);
  }
  aActions.push_back(close_connection{ aId, busy });
  Forget(aId);
}

void
connection_pool::Ended(connection_id aId)
{
  for (auto& server : mServers) {
    server.mHalfClosed.Ended(aId);
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
  if (unproven && copy.mPhase != connection_phase::Opening) {
    server.mAtLimit = true;
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
connection_pool::Usable(std::size_t aServer) const
{
  return Usable(mServers[aServer]);
}

std::size_t
connection_pool::HalfClosed(std::size_t aServer) const
{
  return mServers[aServer].mHalfClosed.size();
}

bool
connection_pool::IsStarved(std::size_t aServer) const
{
  const auto& server = mServers[aServer];
  return server.mLimit > 0 && server.mCount == 0 && Usable(server) == 0;
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
    if (server.mCount < Usable(server) && server.mRefusals > 0 &&
        server.mOpening == 0 && (!next || server.mOpenAfter < *next)) {
      next = server.mOpenAfter;
    }
    const auto expiry = server.mHalfClosed.NextExpiry();
    if (expiry && (!next || *expiry < *next)) {
      next = expiry;
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
