// Implementation of the JSON encoding of store objects.
#include "snipewalk/version/term_record.h"

#include "snipewalk/base/json_text.h"
#include "version/record_json.h"

#include <absl/strings/str_cat.h>

#include <set>

namespace snipewalk {

namespace {

constexpr std::size_t kMaxSlots = 64;
constexpr std::size_t kMaxServers = 64;

Json::Value
ToJsonArray(const std::vector<std::string>& aTexts)
{
  Json::Value array(Json::arrayValue);
  for (const auto& text : aTexts) {
    array.append(text);
  }
  return array;
}

std::string
ToJsonString(std::string_view aName)
{
  return std::string(aName);
}

void
ValidateTermRecord(const term_record& aRecord, record_reader& aReader)
{
  const std::set<std::string> unique(aRecord.mVoters.begin(),
                                     aRecord.mVoters.end());
  if (aRecord.mTerm == 0) {
    aReader.Fail("field term must be at least 1");
  }
  if (aRecord.mVoters.empty() || unique.size() != aRecord.mVoters.size() ||
      unique.count("") > 0) {
    aReader.Fail("field voters must list at least one server, without empty or "
                 "repeated names");
  }
  const bool electing = aRecord.mPhase == term_phase::Electing;
  if (electing != aRecord.mPrimary.empty() ||
      (!electing && unique.count(aRecord.mPrimary) == 0)) {
    aReader.Fail("field primary must be empty during an election and name one "
                 "of the voters in other phases");
  }
}

server_drain
ReadServerDrain(record_reader& aReader)
{
  server_drain progress;
  progress.mServer = aReader.Text("server");
  const auto state = ValueOf(kDrainStateNames, aReader.Text("state"));
  if (!state) {
    aReader.Fail("field state is not a known drain state");
  }
  progress.mState = state.value_or(drain_state::Running);
  progress.mIsPrimary = aReader.Flag("is_primary");
  progress.mIsVoter = aReader.Flag("is_voter");
  progress.mConnections = aReader.Number("connections");
  const auto remaining = aReader.OptionalNumber("remaining_ms");
  if (remaining) {
    progress.mRemaining = milliseconds(static_cast<std::int64_t>(*remaining));
  }
  progress.mLeaveBy = aReader.OptionalTime("leave_by_ms");
  progress.mBreach = aReader.Flag("breach");
  progress.mObstacles = aReader.Texts("obstacles");
  return progress;
}

Json::Value
WriteServerDrain(const server_drain& aServer)
{
  Json::Value value;
  value["server"] = aServer.mServer;
  value["state"] = ToJsonString(NameOf(kDrainStateNames, aServer.mState));
  value["is_primary"] = aServer.mIsPrimary;
  value["is_voter"] = aServer.mIsVoter;
  value["connections"] = Json::UInt64(aServer.mConnections);
  if (aServer.mRemaining) {
    value["remaining_ms"] = Json::Int64(aServer.mRemaining->count());
  }
  if (aServer.mLeaveBy) {
    value["leave_by_ms"] = Json::Int64(UnixMilliseconds(*aServer.mLeaveBy));
  }
  value["breach"] = aServer.mBreach;
  value["obstacles"] = ToJsonArray(aServer.mObstacles);
  return value;
}

} // namespace

std::string
EncodeTermRecord(const term_record& aRecord)
{
  Json::Value value;
  value["term"] = Json::UInt64(aRecord.mTerm);
  value["primary"] = aRecord.mPrimary;
  value["voters"] = ToJsonArray(aRecord.mVoters);
  value["phase"] = ToJsonString(NameOf(kTermPhaseNames, aRecord.mPhase));
  value["operation"] = aRecord.mOperation;
  value["by"] = aRecord.mOrderedBy;
  return WriteJson(value);
}

absl::StatusOr<term_record>
DecodeTermRecord(const std::string& aText)
{
  const auto value = ParseRecord(aText);
  if (!value.ok()) {
    return value.status();
  }
  record_reader reader(*value);
  term_record record;
  record.mTerm = reader.Number("term");
  record.mPrimary = reader.Text("primary");
  record.mVoters = reader.Texts("voters");
  const auto phase = ValueOf(kTermPhaseNames, reader.Text("phase"));
  if (!phase) {
    reader.Fail("field phase is not a known phase of a term");
  }
  record.mPhase = phase.value_or(term_phase::Stable);
  record.mOperation = reader.Text("operation");
  record.mOrderedBy = reader.Text("by");
  ValidateTermRecord(record, reader);
  const absl::Status status = reader.Finish();
  if (!status.ok()) {
    return status;
  }
  return record;
}

std::string
EncodeSlotRecord(const slot_record& aRecord)
{
  Json::Value value;
  value["holders"] = Json::Value(Json::arrayValue);
  for (const auto& holder : aRecord.mHolders) {
    Json::Value entry;
    entry["instance"] = holder.mInstance;
    entry["incarnation"] = Json::UInt64(holder.mIncarnation);
    value["holders"].append(entry);
  }
  if (aRecord.mInitial) {
    value["initial"] = 1;
  }
  return WriteJson(value);
}

absl::StatusOr<slot_record>
DecodeSlotRecord(const std::string& aText)
{
  const auto value = ParseRecord(aText);
  if (!value.ok()) {
    return value.status();
  }
  record_reader reader(*value);
  slot_record record;
  reader.ForEach("holders", kMaxSlots, [&](record_reader& aEntry) {
    slot_record::holder holder;
    holder.mInstance = aEntry.Text("instance");
    holder.mIncarnation = aEntry.Number("incarnation");
    record.mHolders.push_back(holder);
  });
  // The field is absent in records whose holders may have been replaced.
  record.mInitial = reader.OptionalNumber("initial").value_or(0) == 1;
  const absl::Status status = reader.Finish();
  if (!status.ok()) {
    return status;
  }
  return record;
}

Json::Value
DrainStatusJson(const drain_status& aStatus)
{
  Json::Value value;
  value["service"] = aStatus.mService;
  value["instance"] = aStatus.mInstance;
  value["term"] = Json::UInt64(aStatus.mTerm);
  value["updated_ms"] = Json::Int64(UnixMilliseconds(aStatus.mUpdated));
  value["servers"] = Json::Value(Json::arrayValue);
  for (const auto& server : aStatus.mServers) {
    value["servers"].append(WriteServerDrain(server));
  }
  return value;
}

std::string
EncodeDrainStatus(const drain_status& aStatus)
{
  return WriteJson(DrainStatusJson(aStatus));
}

absl::StatusOr<drain_status>
DecodeDrainStatus(const std::string& aText)
{
  const auto value = ParseRecord(aText);
  if (!value.ok()) {
    return value.status();
  }
  record_reader reader(*value);
  drain_status decoded;
  decoded.mService = reader.Text("service");
  decoded.mInstance = reader.Text("instance");
  decoded.mTerm = reader.Number("term");
  decoded.mUpdated = reader.Time("updated_ms");
  reader.ForEach("servers", kMaxServers, [&](record_reader& aEntry) {
    decoded.mServers.push_back(ReadServerDrain(aEntry));
  });
  const absl::Status status = reader.Finish();
  if (!status.ok()) {
    return status;
  }
  return decoded;
}

} // namespace snipewalk
