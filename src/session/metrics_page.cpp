// Implementation of the metrics page.
#include "session/metrics_page.h"

#include <absl/strings/str_cat.h>

namespace snipewalk {

namespace {

template<typename Value>
void
AppendLine(std::string& aPage, const std::string& aName, Value aValue)
{
  absl::StrAppend(&aPage, "snipewalk_", aName, " ", aValue, "\n");
}

void
AppendSummary(std::string& aPage, const metric_summary& aSummary)
{
  const std::string name = aSummary.mName + "_" + aSummary.mUnit;
  AppendLine(aPage, name + "_count", aSummary.mCount);
  AppendLine(aPage, name + "_mean", aSummary.mMean);
  AppendLine(aPage, name + "{quantile=\"0.5\"}", aSummary.mP50);
  AppendLine(aPage, name + "{quantile=\"0.9\"}", aSummary.mP90);
  AppendLine(aPage, name + "{quantile=\"0.99\"}", aSummary.mP99);
}

} // namespace

std::string
WriteMetricsPage(const metrics_sources& aSources)
{
  std::string page;
  AppendLine(page, "sessions", aSources.mCounts.mSessions);
  AppendLine(page, "sessions_forwarded", aSources.mForwardedSessions);
  AppendLine(page, "open_transactions", aSources.mCounts.mOpenTransactions);
  AppendLine(page, "pending_statements", aSources.mCounts.mPendingStatements);
  AppendLine(page, "server_connections", aSources.mCounts.mServerConnections);
  AppendLine(page, "holds_duty", aSources.mHoldsDuty ? 1 : 0);
  AppendLine(page, "ready", aSources.mReady ? 1 : 0);
  AppendLine(page,
             "confirmation_age_ms",
             aSources.mConfirmationAge
               ? ToMilliseconds(*aSources.mConfirmationAge)
               : -1);
  AppendLine(page, "store_era", aSources.mStoreEra);
  AppendLine(page, "store_returns_total", aSources.mStoreReturns);
  AppendLine(page, "desired_state_version", aSources.mDesiredVersion);
  AppendLine(page,
             "desired_state_behind_ms",
             ToMilliseconds(aSources.mDesiredBehindFor));
  AppendLine(page, "watch_restarts_total", aSources.mWatchRestarts);
  AppendLine(page, "store_connections", aSources.mStoreConnections);
  AppendLine(page,
             "store_calls_without_connection_total",
             aSources.mStoreCallsWithoutConnection);
  AppendLine(page, "store_replies_cut_off_total", aSources.mStoreRepliesCutOff);
  AppendLine(page, "peer_states_cut_off_total", aSources.mPeerStatesCutOff);
  for (const auto& [name, count] : aSources.mRegistry.Counters()) {
    AppendLine(page, name + "_total", count);
  }
  for (const auto& summary : aSources.mRegistry.Summaries()) {
    AppendSummary(page, summary);
  }
  return page;
}

} // namespace snipewalk
