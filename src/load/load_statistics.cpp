// Implementation of a load run's figures.
#include "snipewalk/load/load_statistics.h"

#include "snipewalk/base/json_text.h"

#include <absl/strings/str_format.h>
#include <json/json.h>

#include <algorithm>
#include <cmath>

namespace snipewalk {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kMicrosPerMilli = 1e3;

std::string
Text(std::string_view aText)
{
  return std::string(aText);
}

std::int64_t
Rank(const std::vector<std::int64_t>& aSorted, double aShare)
{
  const auto rank = static_cast<std::size_t>(
    std::ceil(aShare * static_cast<double>(aSorted.size())));
  return aSorted[std::clamp<std::size_t>(rank, 1, aSorted.size()) - 1];
}

// Longest distance between neighbours, with `aEnd` as the last one.
std::int64_t
LongestGap(std::vector<std::int64_t> aTimes, std::int64_t aEnd)
{
  std::sort(aTimes.begin(), aTimes.end());
  std::int64_t longest = 0;
  for (std::size_t i = 0; i < aTimes.size(); ++i) {
    const std::int64_t next = i + 1 < aTimes.size() ? aTimes[i + 1] : aEnd;
    longest = std::max(longest, next - aTimes[i]);
  }
  return longest;
}

Json::Value
CountsJson(const std::map<std::string, std::size_t>& aCounts)
{
  Json::Value object(Json::objectValue);
  for (const auto& [name, count] : aCounts) {
    object[name] = Json::UInt64(count);
  }
  return object;
}

std::size_t
CountOf(const std::map<std::string, std::size_t>& aCounts,
        const std::string& aName)
{
  const auto found = aCounts.find(aName);
  return found == aCounts.end() ? 0 : found->second;
}

} // namespace

void
load_statistics::Add(const history_record& aRecord)
{
  ++mOutcomes[aRecord.mKind][aRecord.mOutcome];
  service_figures& service = mServices[aRecord.mService];
  if (aRecord.mOutcome != statement_outcome::Done) {
    ++mReasons[aRecord.mReason.empty() ? "none" : aRecord.mReason];
    return;
  }
  mLatencies[aRecord.mKind].push_back(aRecord.mEnd - aRecord.mStart);
  const bool isSingle = aRecord.mTransaction == 0;
  if ((aRecord.mKind == history_kind::Write && isSingle) ||
      aRecord.mKind == history_kind::Commit) {
    service.mAcknowledged.push_back(aRecord.mEnd);
    if (!aRecord.mServer.empty()) {
      service.mPrimary = aRecord.mServer;
    }
  }
  if (aRecord.mKind == history_kind::Read && isSingle) {
    ++mReadsByServer[aRecord.mServer];
    ++(aRecord.mServer == service.mPrimary ? service.mReadsByPrimary
                                           : service.mReadsByReplicas);
  }
}

void
load_statistics::Merge(const load_statistics& aOther)
{
  for (const auto& [kind, values] : aOther.mLatencies) {
    auto& all = mLatencies[kind];
    all.insert(all.end(), values.begin(), values.end());
  }
  for (const auto& [kind, outcomes] : aOther.mOutcomes) {
    for (const auto& [outcome, count] : outcomes) {
      mOutcomes[kind][outcome] += count;
    }
  }
  for (const auto& [reason, count] : aOther.mReasons) {
    mReasons[reason] += count;
  }
  for (const auto& [server, count] : aOther.mReadsByServer) {
    mReadsByServer[server] += count;
  }
  for (const auto& [name, figures] : aOther.mServices) {
    service_figures& all = mServices[name];
    all.mAcknowledged.insert(all.mAcknowledged.end(),
                             figures.mAcknowledged.begin(),
                             figures.mAcknowledged.end());
    all.mReadsByPrimary += figures.mReadsByPrimary;
    all.mReadsByReplicas += figures.mReadsByReplicas;
  }
}

load_report
load_statistics::Report(std::int64_t aStart, std::int64_t aEnd) const
{
  load_report report;
  report.mSeconds = static_cast<double>(aEnd - aStart) / kMicrosPerSecond;
  report.mReasons = mReasons;
  report.mReadsByServer = mReadsByServer;
  std::size_t done = 0;
  for (const auto& [kind, outcomes] : mOutcomes) {
    const std::string name = Text(NameOf(kHistoryKindNames, kind));
    for (const auto& [outcome, count] : outcomes) {
      auto& counts = outcome == statement_outcome::Done     ? report.mDone
                     : outcome == statement_outcome::NotRun ? report.mNotRun
                                                            : report.mUnknown;
      counts[name] += count;
      done += outcome == statement_outcome::Done ? count : 0;
    }
  }
  for (const auto& [kind, values] : mLatencies) {
    auto sorted = values;
    report.mLatencies[Text(NameOf(kHistoryKindNames, kind))] =
      SummariseLatencies(sorted);
  }
  std::size_t byPrimary = 0;
  std::size_t byReplicas = 0;
  for (const auto& [name, figures] : mServices) {
    byPrimary += figures.mReadsByPrimary;
    byReplicas += figures.mReadsByReplicas;
    if (!figures.mAcknowledged.empty()) {
      report.mGapMs[name] =
        static_cast<double>(LongestGap(figures.mAcknowledged, aEnd)) /
        kMicrosPerMilli;
    }
  }
  if (byPrimary + byReplicas > 0) {
    report.mReplicaPercent = 100.0 * static_cast<double>(byReplicas) /
                             static_cast<double>(byPrimary + byReplicas);
  }
  report.mDonePerSecond =
    report.mSeconds > 0 ? static_cast<double>(done) / report.mSeconds : 0;
  return report;
}

latency_summary
SummariseLatencies(std::vector<std::int64_t>& aValues)
{
  latency_summary summary;
  summary.mCount = aValues.size();
  if (aValues.empty()) {
    return summary;
  }
  std::sort(aValues.begin(), aValues.end());
  summary.mP50 = Rank(aValues, 0.5);
  summary.mP90 = Rank(aValues, 0.9);
  summary.mP99 = Rank(aValues, 0.99);
  summary.mP999 = Rank(aValues, 0.999);
  summary.mMax = aValues.back();
  return summary;
}

std::string
WriteReportTable(const load_report& aReport)
{
  std::string out = absl::StrFormat("%-9s %9s %9s %9s %9s %9s %9s %9s %9s\n",
                                    "kind",
                                    "done",
                                    "not_run",
                                    "unknown",
                                    "p50_ms",
                                    "p90_ms",
                                    "p99_ms",
                                    "p99.9_ms",
                                    "max_ms");
  for (const auto& entry : kHistoryKindNames) {
    const std::string name = Text(entry.mName);
    const auto found = aReport.mLatencies.find(name);
    const latency_summary latency =
      found == aReport.mLatencies.end() ? latency_summary{} : found->second;
    const std::size_t done = CountOf(aReport.mDone, name);
    const std::size_t notRun = CountOf(aReport.mNotRun, name);
    const std::size_t unknown = CountOf(aReport.mUnknown, name);
    if (done + notRun + unknown == 0) {
      continue;
    }
    absl::StrAppendFormat(&out,
                          "%-9s %9d %9d %9d %9.3f %9.3f %9.3f %9.3f %9.3f\n",
                          name,
                          done,
                          notRun,
                          unknown,
                          latency.mP50 / kMicrosPerMilli,
                          latency.mP90 / kMicrosPerMilli,
                          latency.mP99 / kMicrosPerMilli,
                          latency.mP999 / kMicrosPerMilli,
                          latency.mMax / kMicrosPerMilli);
  }
  absl::StrAppendFormat(&out,
                        "seconds %.1f, done per second %.0f\n",
                        aReport.mSeconds,
                        aReport.mDonePerSecond);
  if (aReport.mReplicaPercent >= 0) {
    absl::StrAppendFormat(
      &out, "reads by replicas %.1f %%\n", aReport.mReplicaPercent);
  }
  for (const auto& [service, gap] : aReport.mGapMs) {
    absl::StrAppendFormat(
      &out, "longest time without a write, %s: %.1f ms\n", service, gap);
  }
  for (const auto& [reason, count] : aReport.mReasons) {
    absl::StrAppendFormat(&out, "reason %s: %d\n", reason, count);
  }
  return out;
}

std::string
WriteReportJson(const load_report& aReport)
{
  Json::Value root;
  root["seconds"] = aReport.mSeconds;
  root["done_per_second"] = aReport.mDonePerSecond;
  root["done"] = CountsJson(aReport.mDone);
  root["not_run"] = CountsJson(aReport.mNotRun);
  root["unknown"] = CountsJson(aReport.mUnknown);
  root["reasons"] = CountsJson(aReport.mReasons);
  root["reads_by_server"] = CountsJson(aReport.mReadsByServer);
  root["replica_percent"] = aReport.mReplicaPercent;
  root["gap_ms"] = Json::Value(Json::objectValue);
  for (const auto& [service, gap] : aReport.mGapMs) {
    root["gap_ms"][service] = gap;
  }
  root["latency_us"] = Json::Value(Json::objectValue);
  for (const auto& [kind, latency] : aReport.mLatencies) {
    Json::Value& entry = root["latency_us"][kind];
    entry["count"] = Json::UInt64(latency.mCount);
    entry["p50"] = Json::Int64(latency.mP50);
    entry["p90"] = Json::Int64(latency.mP90);
    entry["p99"] = Json::Int64(latency.mP99);
    entry["p999"] = Json::Int64(latency.mP999);
    entry["max"] = Json::Int64(latency.mMax);
  }
  return WriteJson(root);
}

} // namespace snipewalk
