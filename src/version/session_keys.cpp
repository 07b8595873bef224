// Implementation of the session keys.
#include "snipewalk/version/session_keys.h"

#include "record_json.h"
#include "snipewalk/base/json_text.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <json/value.h>
#include <openssl/rand.h>

#include <algorithm>
#include <set>
#include <utility>

namespace snipewalk {

namespace {

// Maximum number of keys in the object.
constexpr std::size_t kMaxKeys = 4;
constexpr std::size_t kSecretBytes = 32;
// Time from the first signing of the newest key until it is replaced. A token
// stays valid for at least three of these periods.
constexpr std::chrono::hours kRotationInterval{ 24 };
// Delay before a new key signs, in which it reaches every instance.
// Configuration reaches every instance within 8 s; the longer delay allows for
// paused instances.
constexpr seconds kPropagationDelay{ 120 };

} // namespace

std::string
EncodeSessionKeys(const std::vector<session_key>& aKeys)
{
  Json::Value value;
  value["keys"] = Json::Value(Json::arrayValue);
  for (const auto& key : aKeys) {
    Json::Value entry;
    entry["id"] = key.mId;
    entry["secret"] = absl::Base64Escape(key.mSecret);
    entry["sign_after_ms"] = Json::Int64(UnixMilliseconds(key.mSignAfter));
    value["keys"].append(entry);
  }
  return WriteJson(value);
}

absl::StatusOr<std::vector<session_key>>
DecodeSessionKeys(const std::string& aText)
{
  const auto value = ParseRecord(aText);
  if (!value.ok()) {
    return value.status();
  }
  record_reader reader(*value);
  std::vector<session_key> keys;
  std::set<std::string> ids;
  reader.ForEach("keys", kMaxKeys, [&](record_reader& aEntry) {
    session_key key;
    key.mId = aEntry.Text("id");
    if (!absl::Base64Unescape(aEntry.Text("secret"), &key.mSecret) ||
        key.mSecret.empty()) {
      aEntry.Fail("the secret of a session key is empty or not valid base64");
    }
    key.mSignAfter = aEntry.Time("sign_after_ms");
    if (key.mId.empty() || !ids.insert(key.mId).second) {
      aEntry.Fail("the id of a session key is empty or not unique");
    }
    keys.push_back(key);
  });
  if (keys.empty()) {
    reader.Fail("the list of session keys is empty");
  }
  const absl::Status status = reader.Finish();
  if (!status.ok()) {
    return status;
  }
  return keys;
}

std::optional<std::vector<session_key>>
RotateSessionKeys(const std::vector<session_key>& aCurrent,
                  wall_time aNow,
                  const std::string& aSecret)
{
  const auto newest =
    std::max_element(aCurrent.begin(),
                     aCurrent.end(),
                     [](const session_key& aLeft, const session_key& aRight) {
                       return aLeft.mSignAfter < aRight.mSignAfter;
                     });
  if (newest != aCurrent.end() &&
      aNow < newest->mSignAfter + kRotationInterval) {
    return std::nullopt;
  }
  const bool isFirstKey = aCurrent.empty();
  session_key added;
  added.mSecret = aSecret;
  added.mSignAfter = isFirstKey ? aNow : aNow + kPropagationDelay;
  added.mId = absl::StrCat("k", UnixMilliseconds(added.mSignAfter));
  std::vector<session_key> keys = aCurrent;
  keys.push_back(std::move(added));
  std::sort(keys.begin(),
            keys.end(),
            [](const session_key& aLeft, const session_key& aRight) {
              return aLeft.mSignAfter < aRight.mSignAfter;
            });
  if (keys.size() > kMaxKeys) {
    keys.erase(keys.begin(), keys.end() - kMaxKeys);
  }
  return keys;
}

std::string
GenerateSecret()
{
  std::string secret(kSecretBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(secret.data()),
             static_cast<int>(secret.size()));
  return secret;
}

} // namespace snipewalk
