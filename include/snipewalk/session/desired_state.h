// The operator's desired state as the session front end uses it: which database
// name leads to which service, with which guarantees and limits.
#ifndef SNIPEWALK_SESSION_DESIRED_STATE_H_
#define SNIPEWALK_SESSION_DESIRED_STATE_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/base/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace snipewalk {

// What a read must have seen.
enum class read_consistency
{
  // Every acknowledged commit.
  Primary,
  // Every commit acknowledged longer ago than the stated age.
  BoundedStaleness,
  // Likewise, and the session's own commits.
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
  // Limit of one statement.
  milliseconds mTimeout{ 1'000 };
  // Response time goal of a whole operation.
  milliseconds mLatencyObjective{ 1'000 };
  // Zero is the most urgent.
  int mPriority = 0;
  // Stated age; zero on primary routes.
  milliseconds mMaxStaleness{ 0 };
};

// Connections to each server that are left to control connections.
inline constexpr int kControlConnections = 2;

struct service_limits
{
  // Connections to each server from all instances together.
  int mMaxConnections = 1;
  // Replicas that must have received a commit before it is acknowledged.
  int mSyncReplicas = 0;

  // Connections to each server for statements.
  std::size_t StatementConnections() const
  {
    return static_cast<std::size_t>(
      std::max(mMaxConnections - kControlConnections, 1));
  }
};

struct desired_state
{
  std::uint64_t mVersion = 0;
  // By database name.
  std::map<std::string, database_route> mRoutes;
  // By service name.
  std::map<std::string, service_limits> mServices;
  // A transaction without a statement for this long may be ended.
  milliseconds mTransactionIdle{ 3'000 };
};

// One backend server as it registered itself.
struct server_entry
{
  // Unique while the server lives; a restart may keep it.
  std::string mId;
  std::string mService;
  // "IP:port".
  std::string mAddress;
  std::string mDataCentre;
  // No new work; the server leaves soon.
  bool mDraining = false;
  // How the server sees itself.
  bool mPrimary = false;
  // Unix milliseconds of its start; a change means that it forgot everything.
  std::uint64_t mStarted = 0;

  bool operator==(const server_entry&) const = default;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_DESIRED_STATE_H_
