// Implementation of the settings of the session front end.
#include "snipewalk/session/session_settings.h"

#include "snipewalk/base/json_reader.h"

#include <array>
#include <fstream>
#include <sstream>

namespace snipewalk {

namespace {

constexpr integer_range kStoreCallsPerSecondRange{ 1, 10'000 };
constexpr double kMaxShutdownGraceSeconds = 600;
constexpr double kMinRateLimitWindowSeconds = 1;
constexpr double kMaxRateLimitWindowSeconds = 3'600;
constexpr double kMaxRateLimitOverage = 1;
constexpr double kMaxRateLimitSlack = 1'000'000;
constexpr integer_range kLogLinesPerSecondRange{ 1, 100'000 };

milliseconds
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<milliseconds>(
    std::chrono::duration<double>(aSeconds));
}

allowance_rules
ReadRateLimitTolerance(object_reader& aRoot)
{
  allowance_rules rules;
  rules.mWindow = FromSeconds(
    aRoot.OptionalNumber("rate_limit_window_seconds",
                         std::chrono::duration<double>(rules.mWindow).count(),
                         kMinRateLimitWindowSeconds,
                         kMaxRateLimitWindowSeconds));
  rules.mOverage = aRoot.OptionalNumber(
    "rate_limit_overage", rules.mOverage, 0, kMaxRateLimitOverage);
  rules.mSlack = aRoot.OptionalNumber(
    "rate_limit_slack", rules.mSlack, 0, kMaxRateLimitSlack);
  return rules;
}

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
  settings.mStoreCallsPerSecond =
    static_cast<int>(aRoot.OptionalInteger("store_calls_per_second",
                                           settings.mStoreCallsPerSecond,
                                           kStoreCallsPerSecondRange));
  const double grace = aRoot.OptionalNumber(
    "shutdown_grace_seconds",
    std::chrono::duration<double>(settings.mShutdownGrace).count(),
    0,
    kMaxShutdownGraceSeconds);
  settings.mShutdownGrace = FromSeconds(grace);
  settings.mRateLimitTolerance = ReadRateLimitTolerance(aRoot);
  settings.mLogLinesPerSecond =
    static_cast<int>(aRoot.OptionalInteger("log_lines_per_second",
                                           settings.mLogLinesPerSecond,
                                           kLogLinesPerSecondRange));
  settings.mLogs.mInstance = settings.mInstance;
  settings.mLogs.mLevel =
    aRoot.OptionalEnum("log_level", kLogLevelNames, log_level::Info);
  aRoot.Finish();
  return settings;
}

struct text_setting
{
  const char* mKey;
  std::string session_settings::*mValue;
};

// Text settings that take effect at the next start only, since sockets are
// bound and the store is watched with these values.
constexpr std::array<text_setting, 8> kTextSettingsOfNextStart{ {
  { "instance", &session_settings::mInstance },
  { "data_centre", &session_settings::mDataCentre },
  { "caller_address", &session_settings::mCallerAddress },
  { "ready_address", &session_settings::mReadyAddress },
  { "peer_address", &session_settings::mPeerAddress },
  { "metrics_address", &session_settings::mMetricsAddress },
  { "store_address", &session_settings::mStoreAddress },
  { "promotion_address", &session_settings::mPromotionAddress },
} };

} // namespace

settings_difference
CompareSettings(const session_settings& aCurrent, const session_settings& aNew)
{
  settings_difference difference;
  if (aCurrent.mShutdownGrace != aNew.mShutdownGrace) {
    difference.mAppliedAtOnce.emplace_back("shutdown_grace_seconds");
  }
  if (aCurrent.mLogs.mLevel != aNew.mLogs.mLevel) {
    difference.mAppliedAtOnce.emplace_back("log_level");
  }
  for (const auto& setting : kTextSettingsOfNextStart) {
    if (aCurrent.*setting.mValue != aNew.*setting.mValue) {
      difference.mAppliedAtNextStart.emplace_back(setting.mKey);
    }
  }
  if (aCurrent.mStoreCallsPerSecond != aNew.mStoreCallsPerSecond) {
    difference.mAppliedAtNextStart.emplace_back("store_calls_per_second");
  }
  if (aCurrent.mLogLinesPerSecond != aNew.mLogLinesPerSecond) {
    difference.mAppliedAtNextStart.emplace_back("log_lines_per_second");
  }
  const allowance_rules& current = aCurrent.mRateLimitTolerance;
  const allowance_rules& next = aNew.mRateLimitTolerance;
  if (current.mWindow != next.mWindow) {
    difference.mAppliedAtNextStart.emplace_back("rate_limit_window_seconds");
  }
  if (current.mOverage != next.mOverage) {
    difference.mAppliedAtNextStart.emplace_back("rate_limit_overage");
  }
  if (current.mSlack != next.mSlack) {
    difference.mAppliedAtNextStart.emplace_back("rate_limit_slack");
  }
  return difference;
}

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
