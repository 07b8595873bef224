// Plans how the primary and the voters of a service move off its leaving
// servers, and reports the progress. Questions 18 of the design.
#ifndef SNIPEWALK_VERSION_DRAIN_H_
#define SNIPEWALK_VERSION_DRAIN_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipewalk {

enum class drain_state
{
  // Work remains and is possible.
  Running,
  // An obstacle stands in the way.
  Blocked,
  // Neither primary nor voter, and this instance has no connection to it.
  Complete
};

inline constexpr name_table<drain_state, 3> kDrainStateNames{ {
  { drain_state::Running, "running" },
  { drain_state::Blocked, "blocked" },
  { drain_state::Complete, "complete" },
} };

// Progress of one leaving server.
struct server_drain
{
  std::string mServer;
  drain_state mState = drain_state::Running;
  bool mIsPrimary = false;
  bool mIsVoter = false;
  std::size_t mConnections = 0;
  // Time until the server is neither primary nor voter; nothing when unknown.
  std::optional<milliseconds> mRemaining;
  std::optional<wall_time> mLeaveBy;
  // True when the deadline has passed or the estimate lies after it.
  bool mBreach = false;
  // Texts for people, empty unless blocked or late.
  std::vector<std::string> mObstacles;
};

// The object `status/<service>`.
struct drain_status
{
  std::string mService;
  // Instance that wrote the status.
  std::string mInstance;
  std::uint64_t mTerm = 0;
  wall_time mUpdated;
  std::vector<server_drain> mServers;
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_DRAIN_H_
