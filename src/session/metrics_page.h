// Text of the metrics page: counters, gauges and latency distributions.
#ifndef SNIPEWALK_SESSION_METRICS_PAGE_H_
#define SNIPEWALK_SESSION_METRICS_PAGE_H_

#include "snipewalk/base/metrics.h"
#include "snipewalk/base/time.h"
#include "snipewalk/session/session_engine.h"

#include <cstdint>
#include <optional>
#include <string>

namespace snipewalk {

struct metrics_sources
{
  const metrics_registry& mRegistry;
  session_engine_counts mCounts;
  // Number of sessions that were accepted here and are served by other
  // instances.
  std::size_t mForwardedSessions = 0;
  bool mHoldsDuty = false;
  bool mReady = false;
  std::optional<duration> mConfirmationAge;
  // Zero for a store without eras.
  std::uint64_t mStoreEra = 0;
  // Times that the store came back from an older copy.
  std::uint64_t mStoreReturns = 0;
  // Operator's version of the desired state in force.
  std::uint64_t mDesiredVersion = 0;
  // How long another instance has been known to have a newer one.
  duration mDesiredBehindFor{ 0 };
  std::uint64_t mWatchRestarts = 0;
  std::size_t mStoreConnections = 0;
  std::uint64_t mStoreCallsWithoutConnection = 0;
  // Replies of the store, and desired states of other instances, that were
  // given up while they arrived.
  std::uint64_t mStoreRepliesCutOff = 0;
  std::uint64_t mPeerStatesCutOff = 0;
};

// Returns one line for each value: `name{labels} value`.
std::string
WriteMetricsPage(const metrics_sources& aSources);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_METRICS_PAGE_H_
