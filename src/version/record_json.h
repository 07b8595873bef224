// Strict reading of the JSON of store objects: no comments, no duplicate or
// unknown fields, each value of its type. The first fault is kept.
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

// Errors: InvalidArgument.
absl::StatusOr<Json::Value>
ParseRecord(const std::string& aText);

// The form that EncodeDrainStatus() writes.
Json::Value
DrainStatusJson(const drain_status& aStatus);

// Reads the fields of one JSON object.
class record_reader
{
public:
  explicit record_reader(const Json::Value& aValue);

  std::string Text(const char* aField);
  std::uint64_t Number(const char* aField);
  bool Flag(const char* aField);
  // Milliseconds since 1970.
  wall_time Time(const char* aField);
  std::vector<std::string> Texts(const char* aField);
  // Nothing when the field is absent.
  std::optional<std::uint64_t> OptionalNumber(const char* aField);
  std::optional<wall_time> OptionalTime(const char* aField);
  // Calls aRead for each element of an array of at most aLimit objects.
  void Each(const char* aField,
            std::size_t aLimit,
            const std::function<void(record_reader&)>& aRead);

  // Takes over the first fault of another reader or check.
  void Fail(std::string_view aFault);

  // Ok, or InvalidArgument with the first fault. Fields that were not read
  // are a fault.
  absl::Status Finish();

private:
  const Json::Value* Field(const char* aField, bool aRequired = true);

  const Json::Value& mValue;
  std::vector<std::string> mRead;
  absl::Status mStatus;
};

std::int64_t
UnixMilliseconds(wall_time aTime);

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_RECORD_JSON_H_
