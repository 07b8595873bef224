// Desired state set by the operator, as used by the session front end: the
// service behind each database name, its read consistency and its limits.
#ifndef SNIPEWALK_SESSION_DESIRED_STATE_H_
#define SNIPEWALK_SESSION_DESIRED_STATE_H_

#include "snipewalk/account/account_directory.h"
#include "snipewalk/base/name_table.h"
#include "snipewalk/base/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace snipewalk {

// Minimum set of commits that a read must observe.
enum class read_consistency
{
  // All acknowledged commits.
  Primary,
  // All commits that were acknowledged more than mMaxStaleness ago.
  BoundedStaleness,
  // Like BoundedStaleness, and also all commits of the same session.
  ReadYourWrites
};

inline constexpr name_table<read_consistency, 3> kReadConsistencyNames{ {
  { read_consistency::Primary, "primary" },
  { read_consistency::BoundedStaleness, "bounded_staleness" },
  { read_consistency::ReadYourWrites, "read_your_writes" },
} };

struct database_route
{
  std::string mName;
  std::string mDatabase;
  std::string mService;
  read_consistency mConsistency = read_consistency::Primary;
  // Time limit of a single statement.
  milliseconds mStatementTimeout{ 1'000 };
  // Target response time of a whole operation.
  milliseconds mLatencyObjective{ 1'000 };
  // Priority of the route; zero is the most urgent.
  int mPriority = 0;
  // Maximum data age of bounded reads; zero on routes with primary consistency.
  milliseconds mMaxStaleness{ 0 };
  // Whether callers need no key. Their statements belong to no client account.
  bool mPublic = false;
};

// Connections to each server that are reserved for control commands.
inline constexpr int kControlConnections = 2;

struct service_limits
{
  // Maximum number of connections to each server, summed over all instances.
  int mMaxConnections = 1;
  // Number of replicas that must have received a commit before it is
  // acknowledged.
  int mSyncReplicas = 0;

  // Connections to each server that may carry statements: those that are not
  // reserved for control commands, and at least one.
  std::size_t StatementConnections() const
  {
    return static_cast<std::size_t>(
      std::max(mMaxConnections - kControlConnections, 1));
  }
};

struct desired_state
{
  std::uint64_t mVersion = 0;
  // Routes by database name.
  std::map<std::string, database_route> mRoutes;
  // Limits by service name.
  std::map<std::string, service_limits> mServices;
  // Client accounts; null if the operator has configured none.
  std::shared_ptr<const account_directory> mAccounts;
  // A transaction that has been idle for this long may be ended.
  milliseconds mTransactionIdleLimit{ 3'000 };

  // Returns the name of the client account for which a caller with this key
  // uses a route. It is empty without client accounts and on public routes;
  // std::nullopt if the key identifies no account.
  std::optional<std::string> AccountFor(const database_route& aRoute,
                                        const std::string& aKey) const;
};

// A backend server as described by its registration in the store.
struct registered_server
{
  // Unique among running servers; a server may keep its id across a restart.
  std::string mId;
  std::string mService;
  // Address in the form "IP:port".
  std::string mAddress;
  std::string mDataCentre;
  // The server is about to leave and gets no new work.
  bool mDraining = false;
  // Whether the server reports itself as primary.
  bool mPrimary = false;
  // Start time of the server process in Unix milliseconds; a new value means
  // that the server restarted and lost its in-memory state.
  std::uint64_t mStarted = 0;

  bool operator==(const registered_server&) const = default;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_DESIRED_STATE_H_
