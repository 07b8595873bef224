// Implementation of reading and writing JSON texts.
#include "snipewalk/base/json_text.h"

#include <memory>

#include <absl/strings/str_cat.h>

namespace snipewalk {

absl::StatusOr<Json::Value>
ParseJsonObject(const std::string& aText)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["allowTrailingCommas"] = false;
  builder["stackLimit"] = kJsonDepthLimit;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string faults;
  bool parsed = false;
  try {
    parsed =
      reader->parse(aText.data(), aText.data() + aText.size(), &value, &faults);
  } catch (const Json::Exception& fault) {
    // The nesting exceeds the limit.
    faults = fault.what();
  }
  if (!parsed) {
    return absl::InvalidArgumentError(absl::StrCat("not JSON: ", faults));
  }
  if (!value.isObject()) {
    return absl::InvalidArgumentError("not a JSON object");
  }
  return value;
}

std::string
WriteJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, aValue);
}

} // namespace snipewalk
