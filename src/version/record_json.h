// Strict reader for the JSON of store objects: rejects comments, duplicate and
// unknown fields and values of a wrong type. Reports the first error.
#ifndef SNIPEWALK_VERSION_RECORD_JSON_H_
#define SNIPEWALK_VERSION_RECORD_JSON_H_

#include "snipewalk/base/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <json/value.h>

namespace snipewalk {

struct drain_status;

// Parses the JSON object of a store object. Returns InvalidArgument if the text
// is not a JSON object, contains a comment or repeats a field.
absl::StatusOr<Json::Value>
ParseRecord(const std::string& aText);

// JSON form of a drain status, as EncodeDrainStatus() writes it.
Json::Value
DrainStatusJson(const drain_status& aStatus);

// Reads the fields of one JSON object. A field that is missing or has a wrong
// type is an error, which Finish() returns.
class record_reader
{
public:
  explicit record_reader(const Json::Value& aValue);

  std::string Text(const char* aField);
  std::uint64_t Number(const char* aField);
  bool Flag(const char* aField);
  // Reads a time in milliseconds since 1970.
  wall_time Time(const char* aField);
  std::vector<std::string> Texts(const char* aField);
  // Optional fields: return nothing if the field is absent.
  std::optional<std::uint64_t> OptionalNumber(const char* aField);
  std::optional<wall_time> OptionalTime(const char* aField);
  // Calls `aRead` for each element of an array of at most `aLimit` objects.
  void ForEach(const char* aField,
               std::size_t aLimit,
               const std::function<void(record_reader&)>& aRead);

  // Records an error found by the caller or by another reader; only the first
  // error is kept.
  void Fail(std::string_view aError);

  // Returns Ok, or InvalidArgument with the first error. A field that was not
  // read is an error.
  absl::Status Finish();

private:
  const Json::Value* Field(const char* aField, bool aRequired = true);

  const Json::Value& mValue;
  std::vector<std::string> mReadFields;
  absl::Status mStatus;
};

std::int64_t
UnixMilliseconds(wall_time aTime);

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_RECORD_JSON_H_
