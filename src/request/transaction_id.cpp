// Implementation of the transaction id: msgpack fields, HMAC, base64url.
#include "snipewalk/request/transaction_id.h"

#include "snipewalk/base/hmac.h"

#include <absl/strings/escaping.h>
#include <msgpack.hpp>

#include <optional>

namespace snipewalk {

namespace {

// Differs from the version of session tokens, so that neither kind of token can
// stand for the other.
constexpr std::uint8_t kIdVersion = 101;
constexpr std::size_t kIdLimitChars = 1'024;
// The code is cut to 128 bits (RFC 2104, section 5).
constexpr std::size_t kCodeBytes = 16;

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

std::string
CodeOf(const session_key& aKey, std::string_view aFields)
{
  return HmacSha256(aKey.mSecret, aFields).substr(0, kCodeBytes);
}

std::optional<id_fields>
UnpackFields(std::string_view aBytes)
{
  try {
    const msgpack::object_handle handle =
      msgpack::unpack(aBytes.data(),
                      aBytes.size(),
                      nullptr,
                      nullptr,
                      msgpack::unpack_limit(16, 0, 256, 0, 0, 2));
    id_fields fields;
    handle.get().convert(fields);
    return fields;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace

absl::StatusOr<std::string>
EncodeTransaction(const transaction_identity& aIdentity,
                  const std::vector<session_key>& aKeys,
                  wall_time aNow)
{
  const session_key* signer = nullptr;
  for (const auto& key : aKeys) {
    if (key.mSignAfter <= aNow &&
        (!signer || key.mSignAfter > signer->mSignAfter)) {
      signer = &key;
    }
  }
  if (!signer) {
    return absl::FailedPreconditionError("no session key may sign yet");
  }
  const id_fields fields{ kIdVersion,        signer->mId,
                          aIdentity.mHolder, aIdentity.mIncarnation,
                          aIdentity.mNumber, aIdentity.mService,
                          aIdentity.mAccount };
  msgpack::sbuffer packed;
  msgpack::pack(packed, fields);
  std::string bytes(packed.data(), packed.size());
  bytes += CodeOf(*signer, bytes);
  return absl::WebSafeBase64Escape(bytes);
}

absl::StatusOr<transaction_identity>
DecodeTransaction(const std::string& aId, const std::vector<session_key>& aKeys)
{
  std::string bytes;
  if (aId.size() > kIdLimitChars || !absl::WebSafeBase64Unescape(aId, &bytes) ||
      bytes.size() <= kCodeBytes) {
    return absl::InvalidArgumentError("malformed transaction id");
  }
  // Base64 may have several spellings of the same bytes; only one is an id.
  if (absl::WebSafeBase64Escape(bytes) != aId) {
    return absl::InvalidArgumentError("malformed transaction id");
  }
  const std::string_view all(bytes);
  const std::string_view body = all.substr(0, all.size() - kCodeBytes);
  const auto fields = UnpackFields(body);
  if (!fields || fields->mVersion != kIdVersion) {
    return absl::InvalidArgumentError("malformed transaction id");
  }
  for (const auto& key : aKeys) {
    if (key.mId != fields->mKeyId) {
      continue;
    }
    if (!EqualInConstantTime(CodeOf(key, body), all.substr(body.size()))) {
      return absl::InvalidArgumentError("transaction id has a wrong signature");
    }
    return transaction_identity{ fields->mHolder,
                                 fields->mIncarnation,
                                 fields->mNumber,
                                 fields->mService,
                                 fields->mAccount };
  }
  return absl::NotFoundError("transaction id is signed by an unknown key");
}

} // namespace snipewalk
