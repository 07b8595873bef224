// Implementation of the settings of the session front end.
#include "snipewalk/session/session_settings.h"

#include "snipewalk/base/json_reader.h"

#include <fstream>
#include <sstream>

namespace snipewalk {

namespace {

constexpr integer_range kCallsRange{ 1, 10'000 };
constexpr double kLongestGraceSeconds = 600;
constexpr integer_range kLogLinesRange{ 1, 100'000 };

session_settings
Read(object_reader& aRoot)
{
  session_settings settings;
  settings.mInstance = aRoot.RequiredString("instance");
  settings.mDataCentre = aRoot.RequiredString("data_centre");
  settings.mCallerAddress = aRoot.RequiredAddress("caller_address");
  settings.mReadyAddress = aRoot.RequiredAddress("ready_address");
  settings.mPeerAddress = aRoot.RequiredAddress("peer_address");
  settings.mMetricsAddress = aRoot.OptionalString("metrics_address", "");
  settings.mStoreAddress = aRoot.RequiredAddress("store_address");
  settings.mPromotionAddress = aRoot.RequiredAddress("promotion_address");
  settings.mStoreCallsPerSecond = static_cast<int>(aRoot.OptionalInteger(
    "store_calls_per_second", settings.mStoreCallsPerSecond, kCallsRange));
  const double grace = aRoot.OptionalNumber(
    "shutdown_grace_seconds",
    std::chrono::duration<double>(settings.mShutdownGrace).count(),
    0,
    kLongestGraceSeconds);
  settings.mShutdownGrace = std::chrono::duration_cast<milliseconds>(
    std::chrono::duration<double>(grace));
  settings.mLogLinesPerSecond = static_cast<int>(aRoot.OptionalInteger(
    "log_lines_per_second", settings.mLogLinesPerSecond, kLogLinesRange));
  settings.mLogs.mInstance = settings.mInstance;
  settings.mLogs.mLevel =
    aRoot.OptionalEnum("log_level", kLogLevelNames, log_level::Info);
  aRoot.Finish();
  return settings;
}

} // namespace

std::optional<session_settings>
LoadSessionSettings(const std::string& aPath, findings& aFindings)
{
  std::ifstream file(aPath);
  if (!file) {
    finding missing;
    missing.mSource = aPath;
    missing.mName = "unreadable";
    missing.mMessage = "cannot be read";
    aFindings.Add(std::move(missing));
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  const auto parsed = json_text::Parse(text.str(), aPath, aFindings);
  if (!parsed) {
    return std::nullopt;
  }
  object_reader root(*parsed, parsed->Root(), "", aFindings);
  session_settings settings = Read(root);
  const bool badMetrics =
    !settings.mMetricsAddress.empty() && !IsAddress(settings.mMetricsAddress);
  if (badMetrics) {
    root.ReportHere("metrics_address", "bad_address", "must be IP:port");
  }
  if (!aFindings.empty()) {
    return std::nullopt;
  }
  return settings;
}

} // namespace snipewalk
