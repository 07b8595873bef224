// Implementation of the session token: msgpack fields, HMAC, base64url.
#include "snipewalk/request/session_token.h"

#include "snipewalk/base/hmac.h"

#include <absl/strings/escaping.h>
#include <msgpack.hpp>

#include <optional>

namespace snipewalk {

namespace {

constexpr std::uint8_t kTokenVersion = 1;
constexpr std::size_t kTokenLimitChars = 256;
// The code is cut to 128 bits to keep the token short (RFC 2104, section 5).
constexpr std::size_t kCodeBytes = 16;

// Fields of the token in their order.
struct token_fields
{
  std::uint8_t mVersion = kTokenVersion;
  std::string mKeyId;
  std::string mService;
  std::string mAccount;
  std::uint64_t mTerm = 0;
  std::uint64_t mIndex = 0;
  std::int64_t mIssuedAt = 0;

  MSGPACK_DEFINE_ARRAY(mVersion,
                       mKeyId,
                       mService,
                       mAccount,
                       mTerm,
                       mIndex,
                       mIssuedAt)
};

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
CodeOf(const session_key& aKey, std::string_view aFields)
{
  return HmacSha256(aKey.mSecret, aFields).substr(0, kCodeBytes);
}

std::optional<token_fields>
UnpackFields(std::string_view aBytes)
{
  try {
    const msgpack::object_handle handle =
      msgpack::unpack(aBytes.data(),
                      aBytes.size(),
                      nullptr,
                      nullptr,
                      msgpack::unpack_limit(16, 0, 256, 0, 0, 2));
    token_fields fields;
    handle.get().convert(fields);
    return fields;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace

absl::StatusOr<std::string>
EncodeSession(const session_state& aState,
              const std::vector<session_key>& aKeys,
              wall_time aNow)
{
  const session_key* key = SigningKey(aKeys, aNow);
  if (!key) {
    return absl::FailedPreconditionError("no session key may sign yet");
  }
  token_fields fields;
  fields.mKeyId = key->mId;
  fields.mService = aState.mService;
  fields.mAccount = aState.mAccount;
  fields.mTerm = aState.mPosition.mTerm;
  fields.mIndex = aState.mPosition.mIndex;
  fields.mIssuedAt =
    std::chrono::duration_cast<seconds>(aNow.time_since_epoch()).count();
  msgpack::sbuffer packed;
  msgpack::pack(packed, fields);
  std::string bytes(packed.data(), packed.size());
  bytes += CodeOf(*key, bytes);
  std::string token = absl::WebSafeBase64Escape(bytes);
  if (token.size() > kTokenLimitChars) {
    return absl::InvalidArgumentError(
      "service and client account names are too long for a session token");
  }
  return token;
}

absl::StatusOr<session_state>
DecodeSession(const std::string& aToken,
              const std::vector<session_key>& aKeys,
              const std::string& aService,
              const std::string& aAccount)
{
  std::string bytes;
  if (aToken.size() > kTokenLimitChars ||
      !absl::WebSafeBase64Unescape(aToken, &bytes) ||
      bytes.size() <= kCodeBytes) {
    return absl::InvalidArgumentError("malformed session token");
  }
  const std::string_view all(bytes);
  const std::string_view body = all.substr(0, all.size() - kCodeBytes);
  const std::string_view code = all.substr(body.size());
  const auto fields = UnpackFields(body);
  if (!fields || fields->mVersion != kTokenVersion) {
    return absl::InvalidArgumentError("malformed session token");
  }
  const session_key* signer = nullptr;
  for (const auto& key : aKeys) {
    if (key.mId == fields->mKeyId) {
      signer = &key;
    }
  }
  if (!signer) {
    return absl::NotFoundError("session token is signed by an unknown key");
  }
  if (!EqualInConstantTime(CodeOf(*signer, body), code)) {
    return absl::InvalidArgumentError("session token has a wrong signature");
  }
  if (fields->mService != aService || fields->mAccount != aAccount) {
    return absl::PermissionDeniedError(
      "session token belongs to another service or client account");
  }
  return session_state{ fields->mService,
                        fields->mAccount,
                        { fields->mTerm, fields->mIndex } };
}

} // namespace snipewalk
