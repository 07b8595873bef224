// Implementation of the session keys' JSON.
#include "snipewalk/version/session_keys.h"

#include "snipewalk/version/document_validation.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <memory>

namespace snipewalk {

namespace {

constexpr std::size_t kMaxTextBytes = 64 * 1024;
constexpr Json::ArrayIndex kMaxKeys = 4;
constexpr std::size_t kMinSecretBytes = 32;

std::optional<session_key>
DecodeKey(const Json::Value& aEntry)
{
  if (!aEntry.isObject() || !aEntry["id"].isString() ||
      !aEntry["secret"].isString() || !aEntry["sign_after"].isString()) {
    return std::nullopt;
  }
  const std::string hex = aEntry["secret"].asString();
  const bool isHex =
    hex.size() % 2 == 0 && std::all_of(hex.begin(), hex.end(), [](char aChar) {
      return absl::ascii_isxdigit(static_cast<unsigned char>(aChar));
    });
  const auto signAfter = ParseTimestamp(aEntry["sign_after"].asString());
  if (!isHex || hex.size() / 2 < kMinSecretBytes || !signAfter ||
      aEntry["id"].asString().empty()) {
    return std::nullopt;
  }
  return session_key{ aEntry["id"].asString(),
                      absl::HexStringToBytes(hex),
                      *signAfter };
}

} // namespace

std::optional<std::vector<session_key>>
DecodeSessionKeys(const std::string& aText)
{
  if (aText.size() > kMaxTextBytes) {
    return std::nullopt;
  }
  Json::CharReaderBuilder builder;
  builder["stackLimit"] = 16;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  try {
    if (!reader->parse(
          aText.data(), aText.data() + aText.size(), &root, nullptr)) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
  if (!root.isObject() || !root["keys"].isArray() ||
      root["keys"].size() > kMaxKeys) {
    return std::nullopt;
  }
  std::vector<session_key> keys;
  for (const auto& entry : root["keys"]) {
    auto key = DecodeKey(entry);
    if (!key) {
      return std::nullopt;
    }
    keys.push_back(std::move(*key));
  }
  return keys;
}

std::string
EncodeSessionKeys(const std::vector<session_key>& aKeys)
{
  Json::Value keys(Json::arrayValue);
  for (const auto& key : aKeys) {
    Json::Value entry(Json::objectValue);
    entry["id"] = key.mId;
    entry["secret"] = absl::BytesToHexString(key.mSecret);
    entry["sign_after"] = FormatTimestamp(key.mSignAfter);
    keys.append(entry);
  }
  Json::Value root(Json::objectValue);
  root["keys"] = keys;
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, root);
}

} // namespace snipewalk
