// Implementation of the JSON answers of the admin port.
#include "admin_pages.h"

#include "snipewalk/base/hmac.h"
#include "snipewalk/base/json_text.h"
#include "snipewalk/connection/http_codec.h"
#include "snipewalk/control/control_loop.h"
#include "version/record_json.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <json/json.h>

namespace snipewalk {

namespace {

template<typename Enum, std::size_t Count>
std::string
Name(const name_table<Enum, Count>& aTable, Enum aValue)
{
  return std::string(NameOf(aTable, aValue));
}

Json::Value
VersionsJson(const version_range& aVersions)
{
  Json::Value value(Json::objectValue);
  value["lowest"] = aVersions.mLowest;
  value["highest"] = aVersions.mHighest;
  return value;
}

Json::Value
ServiceSummary(const service_view& aView)
{
  Json::Value value(Json::objectValue);
  value["service"] = aView.mDocument.mService;
  value["term"] = Json::UInt64(aView.mTerm.mTerm);
  value["primary"] = aView.mTerm.mPrimary;
  value["phase"] = Name(kTermPhaseNames, aView.mTerm.mPhase);
  value["connection_share"] = aView.mConnectionShare;
  value["holders"] = Json::Value(Json::arrayValue);
  for (const auto& holder : aView.mSlots.mHolders) {
    value["holders"].append(holder.mInstance);
  }
  value["suspected"] = Json::Value(Json::arrayValue);
  for (const auto& name : aView.mSuspected) {
    value["suspected"].append(name);
  }
  value["primary_reached_by"] = Json::Value(Json::arrayValue);
  for (const auto& name : aView.mPrimaryReachedBy) {
    value["primary_reached_by"].append(name);
  }
  return value;
}

Json::Value
EngineJson(const engine_status& aStatus)
{
  Json::Value value(Json::objectValue);
  value["queued"] = Json::UInt64(aStatus.mQueued);
  value["in_flight"] = Json::UInt64(aStatus.mInFlight);
  value["transactions"] = Json::UInt64(aStatus.mTransactions);
  value["connections"] = Json::UInt64(aStatus.mConnections);
  value["reads_by_replicas"] = Json::UInt64(aStatus.mReadsByReplicas);
  value["reads_by_primary"] = Json::UInt64(aStatus.mReadsByPrimary);
  value["writes_done"] = Json::UInt64(aStatus.mWritesDone);
  value["refused"] = Json::UInt64(aStatus.mRefused);
  value["unknown"] = Json::UInt64(aStatus.mUnknown);
  value["retries"] = Json::UInt64(aStatus.mRetries);
  value["servers"] = Json::Value(Json::arrayValue);
  for (const auto& server : aStatus.mServers) {
    Json::Value entry(Json::objectValue);
    entry["server"] = server.mName;
    entry["connections"] = Json::UInt64(server.mConnections);
    entry["transactions"] = Json::UInt64(server.mTransactions);
    entry["applied"] = Json::UInt64(server.mAppliedIndex);
    value["servers"].append(entry);
  }
  return value;
}

Json::Value
ServiceDetail(const service_view& aView, const status_board& aBoard)
{
  Json::Value value = ServiceSummary(aView);
  value["servers"] = Json::Value(Json::arrayValue);
  for (const auto& server : aView.mDocument.mServers) {
    Json::Value entry(Json::objectValue);
    entry["server"] = server.mName;
    entry["address"] = server.mAddress;
    entry["data_centre"] = server.mDataCentre;
    entry["state"] = Name(kServerStateNames, server.mState);
    value["servers"].append(entry);
  }
  value["voters"] = Json::Value(Json::arrayValue);
  for (const auto& voter : aView.mTerm.mVoters) {
    value["voters"].append(voter);
  }
  const auto engines = aBoard.Engines();
  const auto engine = engines.find(aView.mDocument.mService);
  if (engine != engines.end()) {
    value["engine"] = EngineJson(engine->second);
  }
  return value;
}

// State of the control thread: versions in force, findings of documents that
// were not taken over, and drains.
void
AddControl(const control_status& aControl, Json::Value& aValue)
{
  aValue["live_members"] = Json::UInt64(aControl.mLiveMembers);
  aValue["protocol_versions"] = VersionsJson(aControl.mVersions);
  aValue["fleet_protocol_version"] = aControl.mFleetVersion;
  aValue["slots_held"] = Json::UInt64(aControl.mSlotsHeld);
  aValue["slots_moved"] = Json::UInt64(aControl.mSlotsMoved);
  aValue["control_bytes_sent"] = Json::UInt64(aControl.mControlBytesSent);
  aValue["is_watcher"] = aControl.mIsWatcher;
  aValue["watch_age_ms"] = Json::Int64(aControl.mWatchAge.count());
  aValue["store_unreachable_for_ms"] = Json::Int64(
    aControl.mStoreUnreachableFor.value_or(milliseconds(0)).count());
  aValue["services"] = Json::Value(Json::arrayValue);
  for (const auto& service : aControl.mServices) {
    Json::Value entry(Json::objectValue);
    entry["service"] = service.mService;
    entry["document_version"] = Json::UInt64(service.mDocumentVersion);
    entry["invalid_document"] = service.mInvalidDocument;
    entry["share"] = service.mShare;
    if (service.mDrain) {
      entry["drain"] = DrainStatusJson(*service.mDrain);
    }
    aValue["services"].append(entry);
  }
}

Json::Value
StatePage(const admin_sources& aSources, const std::string& aInstance)
{
  const traffic_counts counts = aSources.mCounts();
  const auto snapshot = aSources.mBoard->Snapshot();
  Json::Value value(Json::objectValue);
  value["instance"] = aInstance;
  value["phase"] = aSources.mPhase();
  value["revision"] = Json::UInt64(snapshot ? snapshot->mRevision : 0);
  value["callers"] = Json::UInt64(counts.mCallers);
  value["in_flight"] = Json::UInt64(counts.mInFlight);
  value["transactions"] = Json::UInt64(counts.mTransactions);
  if (const auto control = aSources.mBoard->Control()) {
    AddControl(*control, value);
  }
  return value;
}

Json::Value
ServicesPage(const routing_snapshot& aSnapshot)
{
  Json::Value value(Json::objectValue);
  value["services"] = Json::Value(Json::arrayValue);
  for (const auto& [name, view] : aSnapshot.mServices) {
    value["services"].append(ServiceSummary(*view));
  }
  return value;
}

Json::Value
MembersPage(const routing_snapshot& aSnapshot)
{
  Json::Value value(Json::objectValue);
  value["members"] = Json::Value(Json::arrayValue);
  for (const auto& [name, member] : aSnapshot.mMembers) {
    Json::Value entry(Json::objectValue);
    entry["instance"] = name;
    entry["incarnation"] = Json::UInt64(member.mIncarnation);
    entry["data_centre"] = member.mDataCentre;
    entry["region"] = member.mRegion;
    entry["peer_address"] = member.mPeerAddress;
    entry["control_address"] = member.mControlAddress;
    entry["state"] = Name(kMemberStateNames, member.mState);
    entry["protocol_versions"] = VersionsJson(member.mVersions);
    value["members"].append(entry);
  }
  return value;
}

Json::Value
MetricsPage(const std::vector<thread_metrics>& aThreads)
{
  Json::Value value(Json::objectValue);
  value["threads"] = Json::Value(Json::arrayValue);
  for (const auto& thread : aThreads) {
    Json::Value entry(Json::objectValue);
    entry["distributions"] = Json::Value(Json::arrayValue);
    for (const auto& summary : thread.mDistributions) {
      Json::Value metric(Json::objectValue);
      metric["name"] = summary.mName;
      metric["unit"] = summary.mUnit;
      metric["count"] = Json::UInt64(summary.mCount);
      metric["mean"] = summary.mMean;
      metric["p50"] = summary.mP50;
      metric["p90"] = summary.mP90;
      metric["p99"] = summary.mP99;
      entry["distributions"].append(metric);
    }
    entry["counters"] = Json::Value(Json::objectValue);
    for (const auto& [name, count] : thread.mCounters) {
      entry["counters"][name] = Json::UInt64(count);
    }
    value["threads"].append(entry);
  }
  return value;
}

Json::Value
ExplainPage(const admin_sources& aSources, const std::string& aTarget)
{
  const auto text = [&](const char* aName) {
    return QueryValue(aTarget, aName).value_or("");
  };
  statement_request request;
  request.mRequestId = "explain";
  request.mService = text("service");
  request.mAccount = text("account");
  request.mSession = text("session");
  request.mTransaction = text("transaction");
  request.mKind =
    ValueOf(kStatementKindNames, text("kind")).value_or(statement_kind::Read);
  std::int64_t age = 0;
  if (absl::SimpleAtoi(text("max_age_ms"), &age) && age >= 0) {
    request.mMaxAge = milliseconds(age);
  }
  Json::Value value(Json::objectValue);
  value["service"] = request.mService;
  value["kind"] = Name(kStatementKindNames, request.mKind);
  value["text"] = aSources.mExplain(request);
  return value;
}

admin_answer
Error(int aStatus, const std::string& aMessage)
{
  Json::Value value(Json::objectValue);
  value["message"] = aMessage;
  return { aStatus, WriteJson(value) };
}

bool
IsAuthorized(const admin_sources& aSources, const std::string& aAuthorization)
{
  const std::string token = aSources.mToken();
  return token.empty() ||
         EqualInConstantTime(aAuthorization, absl::StrCat("Bearer ", token));
}

admin_answer
AnswerSnapshotPage(const admin_sources& aSources,
                   const std::vector<std::string>& aPath)
{
  const auto snapshot = aSources.mBoard->Snapshot();
  if (!snapshot) {
    return Error(503, "no configuration is in force yet");
  }
  if (aPath[1] == "members" && aPath.size() == 2) {
    return { 200, WriteJson(MembersPage(*snapshot)) };
  }
  if (aPath[1] != "services" || aPath.size() > 3) {
    return Error(404, "no such page");
  }
  if (aPath.size() == 2) {
    return { 200, WriteJson(ServicesPage(*snapshot)) };
  }
  const auto service = snapshot->mServices.find(aPath[2]);
  if (service == snapshot->mServices.end()) {
    return Error(404, "no document describes this service");
  }
  return { 200, WriteJson(ServiceDetail(*service->second, *aSources.mBoard)) };
}

} // namespace

admin_answer
AnswerAdmin(const admin_sources& aSources,
            const std::string& aInstance,
            const std::string& aTarget,
            const std::string& aAuthorization)
{
  const auto path = SplitPath(aTarget);
  if (!path.ok() || path->size() < 2 || (*path)[0] != "v1") {
    return Error(404, "no such page");
  }
  const std::string& page = (*path)[1];
  if (page == "health") {
    const std::string phase = aSources.mPhase();
    Json::Value value(Json::objectValue);
    value["state"] = phase;
    return { phase == "serving" ? 200 : 503, WriteJson(value) };
  }
  if (!IsAuthorized(aSources, aAuthorization)) {
    return Error(401, "a bearer token is required");
  }
  if (page == "state") {
    return { 200, WriteJson(StatePage(aSources, aInstance)) };
  }
  if (page == "metrics") {
    return { 200, WriteJson(MetricsPage(aSources.mMetrics())) };
  }
  if (page == "explain") {
    return { 200, WriteJson(ExplainPage(aSources, aTarget)) };
  }
  return AnswerSnapshotPage(aSources, *path);
}

} // namespace snipewalk
