// JSON of the slots object.
#include "snipewalk/version/slot_assignment.h"

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <memory>

namespace snipewalk {

namespace {

// A record names a few holders; a larger one is not ours.
constexpr std::size_t kMaxTextBytes = 64 * 1024;
constexpr Json::ArrayIndex kMaxHolders = 1'000;

} // namespace

std::string
EncodeSlots(const slot_record& aRecord)
{
  Json::Value holders(Json::arrayValue);
  for (const auto& holder : aRecord.mHolders) {
    Json::Value entry(Json::objectValue);
    entry["instance"] = holder.mInstance;
    entry["incarnation"] = Json::UInt64(holder.mIncarnation);
    holders.append(entry);
  }
  Json::Value root(Json::objectValue);
  root["holders"] = holders;
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, root);
}

std::optional<slot_record>
DecodeSlots(const std::string& aText)
{
  if (aText.size() > kMaxTextBytes) {
    return std::nullopt;
  }
  Json::CharReaderBuilder builder;
  builder["stackLimit"] = 16;
  builder["failIfExtra"] = true;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  try {
    if (!reader->parse(
          aText.data(), aText.data() + aText.size(), &root, nullptr)) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {
    // Nesting beyond the limit.
    return std::nullopt;
  }
  if (!root.isObject() || !root["holders"].isArray() ||
      root["holders"].size() > kMaxHolders) {
    return std::nullopt;
  }
  slot_record record;
  for (const auto& entry : root["holders"]) {
    if (!entry.isObject() || !entry["instance"].isString() ||
        !entry["incarnation"].isUInt64()) {
      return std::nullopt;
    }
    record.mHolders.push_back(
      { entry["instance"].asString(), entry["incarnation"].asUInt64() });
  }
  return record;
}

} // namespace snipewalk
