// Implementation of the session token: msgpack fields, HMAC, base64url.
#include "snipewalk/request/session_token.h"

#include "signed_token.h"

#include <absl/strings/str_cat.h>

namespace snipewalk {

namespace {

constexpr std::uint8_t kTokenVersion = 1;
constexpr std::size_t kTokenLimitChars = 256;

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
  std::string token = SealToken(*key, PackFields(fields));
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
  const auto token = OpenToken(aToken, kTokenLimitChars);
  const auto fields =
    token ? UnpackFields<token_fields>(token->mFields) : std::nullopt;
  if (!fields || fields->mVersion != kTokenVersion) {
    return absl::InvalidArgumentError("malformed session token");
  }
  const absl::Status verified = VerifyToken(*token, fields->mKeyId, aKeys);
  if (!verified.ok()) {
    return absl::Status(verified.code(),
                        absl::StrCat("session token ", verified.message()));
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
