// JSON objects as text between processes and in files. Settings and documents,
// whose faults are reported with their places, are read by json_reader.
#ifndef SNIPEWALK_BASE_JSON_TEXT_H_
#define SNIPEWALK_BASE_JSON_TEXT_H_

#include <string>

#include <absl/status/statusor.h>
#include <json/json.h>

namespace snipewalk {

// Levels of nesting that a text from outside may have.
inline constexpr int kJsonDepthLimit = 16;

// Parses one object by the strict rules: no trailing commas, no duplicate keys,
// nothing after the end. InvalidArgument says what is wrong.
absl::StatusOr<Json::Value>
ParseJsonObject(const std::string& aText);

// UTF-8 without line breaks, so that one line holds one value.
std::string
WriteJson(const Json::Value& aValue);

} // namespace snipewalk

#endif // SNIPEWALK_BASE_JSON_TEXT_H_
