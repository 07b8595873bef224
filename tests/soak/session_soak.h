// Soak run of the session front end: starts instances as processes in front of
// a stand-in of the platform, runs callers, and injects the faults of a plan.
// Checks the guarantees during the run, and that all instances serve again
// after the last fault.
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
  // Connections that each server accepts. Sessions are forwarded if the number,
  // without the two control connections, is smaller than the number of
  // instances.
  int mMaxConnections = standins::platform_standin::kMaxConnections;
  // Directory of the snipewalk-sessions program.
  std::string mBinaryDir;
  // Directory for the settings files and logs of the instances.
  std::string mFolder;
};

struct soak_result
{
  // Violations of the guarantees; empty if all of them held.
  std::vector<std::string> mViolations;
  std::size_t mAcknowledged = 0;
  std::size_t mNotRun = 0;
  std::size_t mUnknown = 0;
  std::size_t mReads = 0;
  int mPromotions = 0;
};

// Runs the soak test. Writes each fault when it begins, the end of all faults
// and errors of the final check to `aLog`, with their times.
soak_result
RunSoak(const soak_options& aOptions, std::ostream& aLog);

} // namespace snipewalk::soak

#endif // SNIPEWALK_SOAK_SESSION_SOAK_H_
