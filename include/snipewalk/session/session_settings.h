// Settings of a process of the session front end: JSON with comments, checked
// as a whole.
#ifndef SNIPEWALK_SESSION_SESSION_SETTINGS_H_
#define SNIPEWALK_SESSION_SESSION_SETTINGS_H_

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
  // "IP:port" each.
  std::string mCallerAddress;
  std::string mReadyAddress;
  // Datagrams between instances.
  std::string mPeerAddress;
  // Empty: metrics are not served.
  std::string mMetricsAddress;
  std::string mStoreAddress;
  std::string mPromotionAddress;
  // Calls to the store a second that this instance may make.
  int mStoreCallsPerSecond = 40;
  // From the request to stop until the process is ended from outside.
  milliseconds mShutdownGrace{ 6'000 };
  // Log lines a second; more are dropped and counted.
  int mLogLinesPerSecond = 300;
  log_settings mLogs;
};

// Keys of the settings file whose values differ.
struct settings_difference
{
  // Take effect while the process runs.
  std::vector<std::string> mAdopted;
  // Take effect at the next start.
  std::vector<std::string> mPostponed;
};

settings_difference
CompareSettings(const session_settings& aInForce,
                const session_settings& aRead);

// Nothing after adding findings when a setting is missing or wrong.
std::optional<session_settings>
LoadSessionSettings(const std::string& aPath, findings& aFindings);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_SETTINGS_H_
