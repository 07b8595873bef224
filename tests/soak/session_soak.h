// One soak run: instances of the session front end as processes in front of the
// stand-in of the platform, callers, and a plan of faults. Checks the promises
// while it runs and that service returns after the last fault.
#ifndef SNIPEWALK_SOAK_SESSION_SOAK_H_
#define SNIPEWALK_SOAK_SESSION_SOAK_H_

#include "soak/fault_plan.h"
#include "standins/platform_standin.h"

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace snipewalk::soak {

struct soak_options
{
  fault_plan_options mPlan;
  std::size_t mInstances = 4;
  std::size_t mServers = 3;
  // Connections that each server takes. Sessions are forwarded where they are
  // fewer than the instances and the two for control.
  int mMaxConnections = standins::platform_standin::kMaxConnections;
  // Holds snipewalk-sessions.
  std::string mBinaryDir;
  // Takes settings files and the logs of the instances.
  std::string mFolder;
};

struct soak_result
{
  // Empty when all promises were kept.
  std::vector<std::string> mViolations;
  std::size_t mAcknowledged = 0;
  std::size_t mNotRun = 0;
  std::size_t mUnknown = 0;
  std::size_t mReads = 0;
  int mPromotions = 0;
};

// Writes each fault to `aLog` as it begins and ends.
soak_result
RunSoak(const soak_options& aOptions, std::ostream& aLog);

} // namespace snipewalk::soak

#endif // SNIPEWALK_SOAK_SESSION_SOAK_H_
