// Implementation of the history's JSON lines.
#include "snipewalk/load/history.h"

#include "snipewalk/base/json_text.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <json/json.h>

#include <algorithm>

namespace snipewalk {

namespace {

constexpr std::size_t kReportedLines = 20;

std::string
Text(std::string_view aText)
{
  return std::string(aText);
}

std::optional<std::int64_t>
OptionalNumber(const Json::Value& aObject, const char* aField)
{
  return aObject.isMember(aField) ? std::optional(aObject[aField].asInt64())
                                  : std::nullopt;
}

// Throws Json::Exception for a field of the wrong type.
std::optional<history_record>
RecordOf(const Json::Value& aObject)
{
  const auto kind = ValueOf(kHistoryKindNames, aObject["kind"].asString());
  const auto outcome =
    ValueOf(kStatementOutcomeNames, aObject["outcome"].asString());
  if (!kind || !outcome || !aObject["start"].isInt64() ||
      !aObject["end"].isInt64() || !aObject["session"].isString() ||
      !aObject["service"].isString()) {
    return std::nullopt;
  }
  history_record record;
  record.mStart = aObject["start"].asInt64();
  record.mEnd = aObject["end"].asInt64();
  record.mSession = aObject["session"].asString();
  record.mAccount = aObject["account"].asString();
  record.mService = aObject["service"].asString();
  record.mKind = *kind;
  record.mKey = aObject["key"].asString();
  record.mToken = aObject["token"].asString();
  record.mValue = aObject["value"].asString();
  record.mOutcome = *outcome;
  record.mReason = aObject["reason"].asString();
  record.mServer = aObject["server"].asString();
  record.mInstance = aObject["instance"].asString();
  record.mIdempotencyKey = aObject["idempotency_key"].asString();
  record.mMaxAgeMs = OptionalNumber(aObject, "max_age_ms");
  record.mDataAgeMs = OptionalNumber(aObject, "data_age_ms");
  record.mTransaction = aObject["transaction"].asUInt64();
  record.mIdMatched = aObject.get("id_matched", true).asBool();
  return record;
}

final_log_entry
EntryOf(const Json::Value& aObject)
{
  final_log_entry entry;
  entry.mTerm = aObject["term"].asUInt64();
  entry.mIndex = aObject["index"].asUInt64();
  entry.mIdempotencyKey = aObject["key"].asString();
  for (const Json::Value& effect : aObject["effects"]) {
    entry.mEffects[effect["key"].asString()] = effect["value"].asString();
  }
  return entry;
}

// Reads each line that is not empty; collects the numbers of malformed ones.
template<typename Function>
absl::Status
ForEachLine(std::istream& aInput, Function aFunction)
{
  std::vector<std::size_t> malformed;
  std::string line;
  for (std::size_t number = 1; std::getline(aInput, line); ++number) {
    if (line.empty()) {
      continue;
    }
    bool taken = false;
    try {
      const auto object = ParseJsonObject(line);
      taken = object.ok() && aFunction(*object);
    } catch (const Json::Exception&) {
      taken = false;
    }
    if (!taken && malformed.size() < kReportedLines) {
      malformed.push_back(number);
    }
  }
  if (malformed.empty()) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(
    absl::StrCat("malformed lines: ", absl::StrJoin(malformed, ", ")));
}

} // namespace

std::string
WriteHistoryLine(const history_record& aRecord)
{
  Json::Value object;
  object["start"] = Json::Int64(aRecord.mStart);
  object["end"] = Json::Int64(aRecord.mEnd);
  object["session"] = aRecord.mSession;
  object["account"] = aRecord.mAccount;
  object["service"] = aRecord.mService;
  object["kind"] = Text(NameOf(kHistoryKindNames, aRecord.mKind));
  object["outcome"] = Text(NameOf(kStatementOutcomeNames, aRecord.mOutcome));
  object["instance"] = aRecord.mInstance;
  const auto addText = [&](const char* aField, const std::string& aText) {
    if (!aText.empty()) {
      object[aField] = aText;
    }
  };
  addText("key", aRecord.mKey);
  addText("token", aRecord.mToken);
  addText("value", aRecord.mValue);
  addText("reason", aRecord.mReason);
  addText("server", aRecord.mServer);
  addText("idempotency_key", aRecord.mIdempotencyKey);
  if (aRecord.mMaxAgeMs) {
    object["max_age_ms"] = Json::Int64(*aRecord.mMaxAgeMs);
  }
  if (aRecord.mDataAgeMs) {
    object["data_age_ms"] = Json::Int64(*aRecord.mDataAgeMs);
  }
  if (aRecord.mTransaction != 0) {
    object["transaction"] = Json::UInt64(aRecord.mTransaction);
  }
  if (!aRecord.mIdMatched) {
    object["id_matched"] = false;
  }
  return WriteJson(object);
}

absl::StatusOr<std::vector<history_record>>
ReadHistory(std::istream& aInput)
{
  std::vector<history_record> records;
  const absl::Status status =
    ForEachLine(aInput, [&](const Json::Value& aObject) {
      auto record = RecordOf(aObject);
      if (!record) {
        return false;
      }
      records.push_back(*std::move(record));
      return true;
    });
  if (!status.ok()) {
    return status;
  }
  return records;
}

absl::StatusOr<std::vector<final_log_entry>>
ReadFinalLog(std::istream& aInput)
{
  std::vector<final_log_entry> entries;
  const absl::Status status =
    ForEachLine(aInput, [&](const Json::Value& aObject) {
      if (!aObject["entries"].isArray()) {
        return false;
      }
      for (const Json::Value& entry : aObject["entries"]) {
        entries.push_back(EntryOf(entry));
      }
      return true;
    });
  if (!status.ok()) {
    return status;
  }
  return entries;
}

std::string
MakeToken(const std::string& aKey,
          const std::string& aSession,
          std::uint64_t aNumber)
{
  return absl::StrCat(aKey, "/", aSession, "/", aNumber, ";");
}

std::vector<std::string>
SplitTokens(const std::string& aValue)
{
  std::vector<std::string> tokens;
  for (std::size_t begin = 0; begin < aValue.size();) {
    const std::size_t end = aValue.find(';', begin);
    const std::size_t next = end == std::string::npos ? aValue.size() : end + 1;
    tokens.push_back(aValue.substr(begin, next - begin));
    begin = next;
  }
  return tokens;
}

std::string
KeyOfToken(const std::string& aToken)
{
  const bool isToken = !aToken.empty() && aToken.back() == ';' &&
                       std::count(aToken.begin(), aToken.end(), '/') == 2;
  return isToken ? aToken.substr(0, aToken.find('/')) : std::string();
}

} // namespace snipewalk
