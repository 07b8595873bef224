// Object names of the fleet records, and their JSON encoder and decoder. The
// decoder also checks that a record matches its object name. The JSON reader is
// in src/version/record_json.h.
#include "snipewalk/session/fleet_records.h"

#include "snipewalk/base/json_text.h"
#include "version/record_json.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <utility>

namespace snipewalk {

namespace {

constexpr const char* kPrimaryPrefix = "primary.";
constexpr const char* kCandidatePrefix = "candidate.";
constexpr const char* kInstancePrefix = "instance.";

struct record_name
{
  std::string operator()(const duty_record&) const { return kDutyRecordName; }
  std::string operator()(const primary_record& aRecord) const
  {
    return PrimaryRecordName(aRecord.mService);
  }
  std::string operator()(const candidate_record& aRecord) const
  {
    return kCandidatePrefix + aRecord.mService;
  }
  std::string operator()(const instance_record& aRecord) const
  {
    return InstanceRecordName(aRecord.mName);
  }
  std::string operator()(const restored_record&) const
  {
    return kRestoredRecordName;
  }
};

Json::Value
Number(std::uint64_t aValue)
{
  return Json::Value(Json::UInt64{ aValue });
}

struct encoder
{
  Json::Value operator()(const duty_record& aRecord) const
  {
    Json::Value value;
    value["holder"] = aRecord.mHolder;
    value["started"] = Number(aRecord.mStarted);
    value["fence"] = Number(aRecord.mFence);
    return value;
  }
  Json::Value operator()(const primary_record& aRecord) const
  {
    Json::Value value;
    value["service"] = aRecord.mService;
    value["primary"] = aRecord.mPrimary;
    value["term"] = Number(aRecord.mTerm);
    value["lead_term"] = Number(aRecord.mLeadTerm);
    value["phase"] = std::string(NameOf(kPrimaryPhaseNames, aRecord.mPhase));
    value["fence"] = Number(aRecord.mFence);
    return value;
  }
  Json::Value operator()(const candidate_record& aRecord) const
  {
    Json::Value value;
    value["service"] = aRecord.mService;
    value["server"] = aRecord.mServer;
    value["term"] = Number(aRecord.mTerm);
    value["started"] = Number(aRecord.mStarted);
    return value;
  }
  Json::Value operator()(const instance_record& aRecord) const
  {
    Json::Value value;
    value["name"] = aRecord.mName;
    value["data_centre"] = aRecord.mDataCentre;
    value["peer_address"] = aRecord.mPeerAddress;
    value["started"] = Number(aRecord.mStarted);
    value["state"] = std::string(NameOf(kInstanceStateNames, aRecord.mState));
    return value;
  }
  Json::Value operator()(const restored_record& aRecord) const
  {
    Json::Value value;
    value["era"] = Number(aRecord.mEra);
    return value;
  }
};

fleet_record
ReadDuty(record_reader& aReader)
{
  duty_record record;
  record.mHolder = aReader.Text("holder");
  record.mStarted = aReader.Number("started");
  record.mFence = aReader.Number("fence");
  return record;
}

fleet_record
ReadPrimary(record_reader& aReader)
{
  primary_record record;
  record.mService = aReader.Text("service");
  record.mPrimary = aReader.Text("primary");
  record.mTerm = aReader.Number("term");
  record.mLeadTerm = aReader.Number("lead_term");
  const auto phase = ValueOf(kPrimaryPhaseNames, aReader.Text("phase"));
  if (!phase) {
    aReader.Fail("unknown phase of a primary");
  }
  record.mPhase = phase.value_or(primary_phase::Changing);
  record.mFence = aReader.Number("fence");
  return record;
}

fleet_record
ReadCandidate(record_reader& aReader)
{
  candidate_record record;
  record.mService = aReader.Text("service");
  record.mServer = aReader.Text("server");
  record.mTerm = aReader.Number("term");
  record.mStarted = aReader.Number("started");
  return record;
}

fleet_record
ReadInstance(record_reader& aReader)
{
  instance_record record;
  record.mName = aReader.Text("name");
  record.mDataCentre = aReader.Text("data_centre");
  record.mPeerAddress = aReader.Text("peer_address");
  record.mStarted = aReader.Number("started");
  const auto state = ValueOf(kInstanceStateNames, aReader.Text("state"));
  if (!state) {
    aReader.Fail("unknown state of an instance");
  }
  record.mState = state.value_or(instance_state::Live);
  return record;
}

fleet_record
ReadRestored(record_reader& aReader)
{
  return restored_record{ aReader.Number("era") };
}

// Place of a phase in a change of primary.
int
OrderOf(primary_phase aPhase)
{
  switch (aPhase) {
    case primary_phase::Changing:
      return 0;
    case primary_phase::Promoting:
      return 1;
    case primary_phase::Stable:
      return 2;
  }
  return 0;
}

} // namespace

bool
IsLater(const primary_record& aRecord, const primary_record& aOther)
{
  return std::pair(aRecord.mTerm, OrderOf(aRecord.mPhase)) >
         std::pair(aOther.mTerm, OrderOf(aOther.mPhase));
}

std::string
FleetRecordName(const fleet_record& aRecord)
{
  return std::visit(record_name{}, aRecord);
}

std::string
PrimaryRecordName(const std::string& aService)
{
  return kPrimaryPrefix + aService;
}

std::string
InstanceRecordName(const std::string& aInstance)
{
  return kInstancePrefix + aInstance;
}

bool
IsInstanceRecordName(const std::string& aName)
{
  return absl::StartsWith(aName, kInstancePrefix);
}

std::string
EncodeFleetRecord(const fleet_record& aRecord)
{
  return WriteJson(std::visit(encoder{}, aRecord));
}

absl::StatusOr<fleet_record>
DecodeFleetRecord(const std::string& aName, const std::string& aValue)
{
  const auto value = ParseRecord(aValue);
  if (!value.ok()) {
    return value.status();
  }
  record_reader reader(*value);
  std::optional<fleet_record> record;
  if (aName == kDutyRecordName) {
    record = ReadDuty(reader);
  } else if (aName == kRestoredRecordName) {
    record = ReadRestored(reader);
  } else if (absl::StartsWith(aName, kPrimaryPrefix)) {
    record = ReadPrimary(reader);
  } else if (absl::StartsWith(aName, kCandidatePrefix)) {
    record = ReadCandidate(reader);
  } else if (absl::StartsWith(aName, kInstancePrefix)) {
    record = ReadInstance(reader);
  } else {
    return absl::InvalidArgumentError(
      absl::StrCat("unknown name of a fleet record: ", aName));
  }
  if (const auto status = reader.Finish(); !status.ok()) {
    return status;
  }
  if (FleetRecordName(*record) != aName) {
    return absl::InvalidArgumentError(
      absl::StrCat("fleet record does not match its object name: ", aName));
  }
  return *record;
}

} // namespace snipewalk
