// Implementation of the transaction id: msgpack fields, HMAC, base64url.
#include "snipewalk/request/transaction_id.h"

#include "signed_token.h"

#include <absl/strings/str_cat.h>

namespace snipewalk {

namespace {

// Differs from the version of session tokens, so that neither kind of token can
// stand for the other.
constexpr std::uint8_t kIdVersion = 101;
constexpr std::size_t kIdLimitChars = 1'024;

struct id_fields
{
  std::uint8_t mVersion = kIdVersion;
  std::string mKeyId;
  std::string mHolder;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mNumber = 0;
  std::string mService;
  std::string mAccount;

  MSGPACK_DEFINE_ARRAY(mVersion,
                       mKeyId,
                       mHolder,
                       mIncarnation,
                       mNumber,
                       mService,
                       mAccount)
};

} // namespace

absl::StatusOr<std::string>
EncodeTransaction(const transaction_identity& aIdentity,
                  const std::vector<session_key>& aKeys,
                  wall_time aNow)
{
  const session_key* signer = SigningKey(aKeys, aNow);
  if (!signer) {
    return absl::FailedPreconditionError("no session key may sign yet");
  }
  const id_fields fields{ kIdVersion,        signer->mId,
                          aIdentity.mHolder, aIdentity.mIncarnation,
                          aIdentity.mNumber, aIdentity.mService,
                          aIdentity.mAccount };
  return SealToken(*signer, PackFields(fields));
}

absl::StatusOr<transaction_identity>
DecodeTransaction(const std::string& aId, const std::vector<session_key>& aKeys)
{
  const auto token = OpenToken(aId, kIdLimitChars);
  const auto fields =
    token ? UnpackFields<id_fields>(token->mFields) : std::nullopt;
  if (!fields || fields->mVersion != kIdVersion) {
    return absl::InvalidArgumentError("malformed transaction id");
  }
  const absl::Status verified = VerifyToken(*token, fields->mKeyId, aKeys);
  if (!verified.ok()) {
    return absl::Status(verified.code(),
                        absl::StrCat("transaction id ", verified.message()));
  }
  return transaction_identity{ fields->mHolder,
                               fields->mIncarnation,
                               fields->mNumber,
                               fields->mService,
                               fields->mAccount };
}

} // namespace snipewalk
