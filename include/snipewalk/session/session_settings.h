// Settings of a session front end process: JSON with comments, validated as a
// whole.
#ifndef SNIPEWALK_SESSION_SESSION_SETTINGS_H_
#define SNIPEWALK_SESSION_SESSION_SETTINGS_H_

#include "snipewalk/account/allowance_allocator.h"
#include "snipewalk/base/findings.h"
#include "snipewalk/base/log.h"
#include "snipewalk/base/time.h"

#include <optional>
#include <string>
#include <vector>

namespace snipewalk {

struct session_settings
{
  std::string mInstance;
  std::string mDataCentre;
  // "IP:port" of the listener for callers.
  std::string mCallerAddress;
  // "IP:port" of the readiness probe.
  std::string mReadyAddress;
  // "IP:port" for datagrams and forwarded sessions between instances.
  std::string mPeerAddress;
  // "IP:port" of the metrics page; empty if metrics are not served.
  std::string mMetricsAddress;
  // "IP:port" of the store.
  std::string mStoreAddress;
  // "IP:port" to which promotions of servers are requested.
  std::string mPromotionAddress;
  // Limit of calls to the store per second by this instance.
  int mStoreCallsPerSecond = 40;
  // By how much the operations of a client account may exceed its rate limit.
  allowance_rules mRateLimitTolerance;
  // Time from the shutdown request until the process is killed from outside.
  milliseconds mShutdownGrace{ 6'000 };
  // Limit of log lines per second; further lines are dropped and counted.
  int mLogLinesPerSecond = 300;
  log_settings mLogs;
};

// Keys of the settings file whose values differ, by when the new values take
// effect.
struct settings_difference
{
  // Keys whose new values take effect at once.
  std::vector<std::string> mAppliedAtOnce;
  // Keys whose new values take effect at the next start.
  std::vector<std::string> mAppliedAtNextStart;
};

settings_difference
CompareSettings(const session_settings& aCurrent, const session_settings& aNew);

// Returns std::nullopt after adding findings if a setting is missing or
// invalid.
std::optional<session_settings>
LoadSessionSettings(const std::string& aPath, findings& aFindings);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_SETTINGS_H_
