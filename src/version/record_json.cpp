// Implementation of the strict JSON reader.
#include "version/record_json.h"

#include "snipewalk/base/json_text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace snipewalk {

namespace {

// Returns whether the JSON text contains a comment. Checked separately, because
// jsoncpp accepts comments between the members of an object even if comments
// are disabled.
bool
HasComment(const std::string& aText)
{
  bool inString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (inString && aText[i] == '\\') {
      ++i;
    } else if (aText[i] == '"') {
      inString = !inString;
    } else if (!inString && aText[i] == '/') {
      return true;
    }
  }
  return false;
}

} // namespace

absl::StatusOr<Json::Value>
ParseRecord(const std::string& aText)
{
  if (HasComment(aText)) {
    return absl::InvalidArgumentError("invalid JSON: comments are not allowed");
  }
  return ParseJsonObject(aText);
}

record_reader::record_reader(const Json::Value& aValue)
  : mValue(aValue)
{
  if (!aValue.isObject()) {
    Fail("the value is not a JSON object");
  }
}

const Json::Value*
record_reader::Field(const char* aField, bool aRequired)
{
  mReadFields.emplace_back(aField);
  if (!mValue.isObject() || !mValue.isMember(aField)) {
    if (aRequired) {
      Fail(absl::StrCat("field ", aField, " is missing"));
    }
    return nullptr;
  }
  return &mValue[aField];
}

std::string
record_reader::Text(const char* aField)
{
  const Json::Value* value = Field(aField);
  if (value == nullptr) {
    return {};
  }
  if (!value->isString()) {
    Fail(absl::StrCat("field ", aField, " is not a string"));
    return {};
  }
  return value->asString();
}

std::uint64_t
record_reader::Number(const char* aField)
{
  return Field(aField) != nullptr ? OptionalNumber(aField).value_or(0) : 0;
}

std::optional<std::uint64_t>
record_reader::OptionalNumber(const char* aField)
{
  const Json::Value* value = Field(aField, false);
  if (value == nullptr) {
    return std::nullopt;
  }
  // isUInt64() also accepts whole floating point numbers such as 1.0.
  if (!value->isUInt64() || value->type() == Json::realValue) {
    Fail(absl::StrCat("field ", aField, " is not a non-negative integer"));
    return std::nullopt;
  }
  return value->asUInt64();
}

bool
record_reader::Flag(const char* aField)
{
  const Json::Value* value = Field(aField);
  if (value == nullptr) {
    return false;
  }
  if (!value->isBool()) {
    Fail(absl::StrCat("field ", aField, " is not a boolean"));
    return false;
  }
  return value->asBool();
}

wall_time
record_reader::Time(const char* aField)
{
  return Field(aField) != nullptr ? OptionalTime(aField).value_or(wall_time())
                                  : wall_time();
}

std::optional<wall_time>
record_reader::OptionalTime(const char* aField)
{
  // In the year 2255. A signed 64-bit count of nanoseconds since 1970 ends in
  // the year 2262.
  constexpr std::uint64_t kMaxTimeMs = 9'000'000'000'000;
  const auto number = OptionalNumber(aField);
  if (!number) {
    return std::nullopt;
  }
  if (*number > kMaxTimeMs) {
    Fail(absl::StrCat("field ", aField, " is too far in the future"));
    return std::nullopt;
  }
  return wall_time(milliseconds(static_cast<std::int64_t>(*number)));
}

std::vector<std::string>
record_reader::Texts(const char* aField)
{
  std::vector<std::string> texts;
  const Json::Value* value = Field(aField);
  if (value == nullptr) {
    return texts;
  }
  if (!value->isArray()) {
    Fail(absl::StrCat("field ", aField, " is not an array"));
    return texts;
  }
  for (const auto& element : *value) {
    if (!element.isString()) {
      Fail(absl::StrCat(
        "field ", aField, " contains an element that is not a string"));
      return {};
    }
    texts.push_back(element.asString());
  }
  return texts;
}

void
record_reader::ForEach(const char* aField,
                       std::size_t aLimit,
                       const std::function<void(record_reader&)>& aRead)
{
  const Json::Value* value = Field(aField);
  if (value == nullptr) {
    return;
  }
  if (!value->isArray() || value->size() > aLimit) {
    Fail(absl::StrCat(
      "field ", aField, " is not an array or has too many elements"));
    return;
  }
  for (const auto& element : *value) {
    record_reader reader(element);
    aRead(reader);
    const absl::Status status = reader.Finish();
    if (!status.ok()) {
      Fail(absl::StrCat(aField, ": ", status.message()));
      return;
    }
  }
}

void
record_reader::Fail(std::string_view aError)
{
  if (mStatus.ok()) {
    mStatus = absl::InvalidArgumentError(std::string(aError));
  }
}

absl::Status
record_reader::Finish()
{
  if (mStatus.ok() && mValue.isObject()) {
    for (const auto& name : mValue.getMemberNames()) {
      if (std::find(mReadFields.begin(), mReadFields.end(), name) ==
          mReadFields.end()) {
        Fail(absl::StrCat("unknown field ", name));
      }
    }
  }
  return mStatus;
}

std::int64_t
UnixMilliseconds(wall_time aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime.time_since_epoch())
    .count();
}

} // namespace snipewalk
