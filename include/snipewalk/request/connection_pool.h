// Connections to the backend servers of one service: how many are open, which
// are idle and what each is used for. Decides without sockets; the actions say
// what to open and close.
#ifndef SNIPEWALK_REQUEST_CONNECTION_POOL_H_
#define SNIPEWALK_REQUEST_CONNECTION_POOL_H_

#include "snipewalk/request/half_closed_connections.h"
#include "snipewalk/request/service_engine.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace snipewalk {

// A connection is checked with a status request before use after this idleness.
inline constexpr milliseconds kIdleCheckAge{ 2'000 };
// Bounds of the delay before a server that refused is tried again.
inline constexpr milliseconds kReconnectDelayMin{ 50 };
inline constexpr milliseconds kReconnectDelayMax{ 2'000 };
// A server at its connection limit accepts and closes at once. A connection
// that closes this soon without a reply therefore counts as refused.
inline constexpr milliseconds kUnprovenAge{ 1'000 };
enum class connection_use
{
  None,
  Write,
  Transaction,
  PrimaryRead,
  Read,
  Lookup,
  Acknowledgement,
  // A status request: before use, or to learn positions.
  Check
};

inline constexpr std::size_t kConnectionUses = 8;

enum class connection_phase
{
  Opening,
  Idle,
  Busy
};

struct pooled_connection
{
  connection_id mId = 0;
  std::size_t mServer = 0;
  connection_phase mPhase = connection_phase::Opening;
  // Set while busy; while opening it is Check when a status request has to
  // prove the connection, otherwise None.
  connection_use mUse = connection_use::None;
  // Number of the request or transaction that holds the connection.
  std::uint64_t mOwner = 0;
  // True while a request has no reply. At most one request is outstanding.
  bool mOutstanding = false;
  time_point mSentAt;
  // When the outstanding request counts as overdue.
  time_point mDueAt;
  // How often the outstanding request was found overdue.
  int mOverdues = 0;
  // Time of the set timer, at mDueAt or earlier; nothing without a timer.
  std::optional<time_point> mTimerAt;
  time_point mIdleSince;
  time_point mOpenedAt;
  // True once a use ended with a complete reply.
  bool mProven = false;
};

class connection_pool
{
public:
  explicit connection_pool(std::uint64_t aSeed);

  // Sets the address and the limit of server `aServer`, adding it when new.
  // Closes connections to an old address and idle ones above the limit; busy
  // ones above the limit close when they are released. Connections that were
  // busy with the old address are returned: their requests get no reply.
  std::vector<pooled_connection> SetServer(
    std::size_t aServer,
    const server_endpoint& aEndpoint,
    std::size_t aLimit,
    std::vector<engine_action>& aActions);

  // Connections to the server beyond its limit. They only replace ones that
  // were closed but that the server may still count, and carry probes of a
  // server whose reply is overdue.
  void SetReserve(std::size_t aServer, std::size_t aReserve);

  // Opens connections up to the limits, ahead of need, except while a server's
  // reconnect delay runs.
  void OpenMissing(time_point aNow, std::vector<engine_action>& aActions);

  // Opens one connection for a status probe; false when that takes more than
  // the limit and the reserve. An idle connection is not closed to make room:
  // it may be silent, too, and the server would count it still.
  bool OpenProbe(std::size_t aServer, std::vector<engine_action>& aActions);

  // Takes the most recently used idle connection that needs no check. Nothing
  // when there is none or the use has its full share.
  pooled_connection* Acquire(std::size_t aServer,
                             connection_use aUse,
                             std::uint64_t aOwner,
                             time_point aNow);

  // Takes an idle connection that must be checked before use.
  pooled_connection* AcquireForCheck(std::size_t aServer, time_point aNow);

  // Takes an idle connection that must be checked, the oldest first; nothing
  // when none needs a check.
  pooled_connection* AcquireStale(std::size_t aServer, time_point aNow);

  // Idle connections without a reply since `aSince` need a check before use.
  void ExpireIdle(std::size_t aServer, time_point aSince, time_point aNow);

  // True when Acquire would succeed.
  bool Available(std::size_t aServer,
                 connection_use aUse,
                 time_point aNow) const;

  // Returns a connection whose use ended with a complete reply.
  void Release(connection_id aId,
               time_point aNow,
               std::vector<engine_action>& aActions);

  // Closes a connection whose state is in doubt. If it was busy, the server
  // may be unreachable over it and count it on; see Ended.
  void Close(connection_id aId, std::vector<engine_action>& aActions);

  // The server closed its side of a connection, too.
  void Ended(connection_id aId);

  // The other side opened or closed it. Unknown ids are ignored.
  pooled_connection* Opened(connection_id aId, time_point aNow);
  std::optional<pooled_connection> Closed(connection_id aId,
                                          bool aRefused,
                                          time_point aNow);

  pooled_connection* Find(connection_id aId);

  // Ids of the busy connections to a server.
  std::vector<connection_id> Busy(std::size_t aServer) const;

  std::size_t Count(std::size_t aServer) const;
  std::size_t OpenCount(std::size_t aServer) const;
  std::size_t Limit(std::size_t aServer) const;
  // Connections that may be open now: the limit without closed connections
  // that the server may still count, as far as the reserve does not replace
  // them.
  std::size_t Usable(std::size_t aServer) const;
  // Connections that are closed but that the server may still count.
  std::size_t HalfClosed(std::size_t aServer) const;
  // True when there is no connection to the server and none may be opened
  // because it may still count those that went silent.
  bool IsStarved(std::size_t aServer) const;
  std::size_t InUse(std::size_t aServer, connection_use aUse) const;
  // Connections were refused since the last complete reply, and no open one
  // ever got a reply.
  bool IsRefused(std::size_t aServer) const;
  // Statements on their way to the server.
  std::size_t Outstanding(std::size_t aServer) const;
  std::size_t Total() const { return mConnections.size(); }

  // When OpenMissing has to run next because a reconnect delay ends.
  std::optional<time_point> NextOpen() const;

private:
  struct server_pool
  {
    server_endpoint mEndpoint;
    std::size_t mLimit = 0;
    std::size_t mReserve = 0;
    half_closed_connections mHalfClosed;
    std::size_t mOpening = 0;
    std::size_t mCount = 0;
    std::array<std::size_t, kConnectionUses> mUses{};
    // Most recently used last; only their ids, all of phase Idle.
    std::vector<connection_id> mIdle;
    // Consecutive refused connections; zero again after the first complete
    // reply over a new connection.
    int mRefusals = 0;
    time_point mOpenAfter;
    // The server may have reached its own limit: it closed a connection at
    // once, or may still count half-closed ones. New connections are opened one
    // at a time and proven by a status request, until all are open.
    bool mAtLimit = false;
  };

  std::size_t& Uses(const pooled_connection& aConnection);
  static std::size_t Usable(const server_pool& aServer);
  // Most connections that may be open, the whole reserve included.
  static std::size_t Most(const server_pool& aServer);
  // Stops to wait for the end of connections closed long ago.
  static void ForgetHalfClosed(server_pool& aServer,
                               time_point aNow,
                               std::vector<engine_action>& aActions);
  bool WithinShare(const server_pool& aServer, connection_use aUse) const;
  connection_id Open(std::size_t aServer,
                     connection_use aUse,
                     std::vector<engine_action>& aActions);
  void Forget(connection_id aId);
  // Starts or lengthens the reconnect delay.
  void NoteRefusal(server_pool& aServer, time_point aNow);

  std::vector<server_pool> mServers;
  absl::flat_hash_map<connection_id, std::unique_ptr<pooled_connection>>
    mConnections;
  connection_id mLastId = 0;
  std::minstd_rand mRandom;
};

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_CONNECTION_POOL_H_
