// Implementation of the signed text.
#include "signed_token.h"

#include "snipewalk/base/hmac.h"

#include <absl/strings/escaping.h>

namespace snipewalk {

namespace {

// The code is cut to 128 bits to keep tokens short (RFC 2104, section 5).
constexpr std::size_t kCodeBytes = 16;

std::string
CodeOf(const session_key& aKey, std::string_view aFields)
{
  return HmacSha256(aKey.mSecret, aFields).substr(0, kCodeBytes);
}

} // namespace

const session_key*
SigningKey(const std::vector<session_key>& aKeys, wall_time aNow)
{
  const session_key* newest = nullptr;
  for (const auto& key : aKeys) {
    const bool usable = key.mSignAfter <= aNow;
    if (usable && (!newest || key.mSignAfter > newest->mSignAfter)) {
      newest = &key;
    }
  }
  return newest;
}

std::string
SealToken(const session_key& aKey, std::string aFields)
{
  aFields += CodeOf(aKey, aFields);
  return absl::WebSafeBase64Escape(aFields);
}

std::optional<opened_token>
OpenToken(const std::string& aText, std::size_t aLimitChars)
{
  std::string bytes;
  if (aText.size() > aLimitChars ||
      !absl::WebSafeBase64Unescape(aText, &bytes) ||
      bytes.size() <= kCodeBytes) {
    return std::nullopt;
  }
  // Base64 has several spellings of the same bytes; only one is accepted.
  if (absl::WebSafeBase64Escape(bytes) != aText) {
    return std::nullopt;
  }
  const std::size_t length = bytes.size() - kCodeBytes;
  return opened_token{ bytes.substr(0, length), bytes.substr(length) };
}

absl::Status
VerifyToken(const opened_token& aToken,
            const std::string& aKeyId,
            const std::vector<session_key>& aKeys)
{
  for (const auto& key : aKeys) {
    if (key.mId != aKeyId) {
      continue;
    }
    return EqualInConstantTime(CodeOf(key, aToken.mFields), aToken.mCode)
             ? absl::OkStatus()
             : absl::InvalidArgumentError("has a wrong signature");
  }
  return absl::NotFoundError("is signed by an unknown key");
}

} // namespace snipewalk
