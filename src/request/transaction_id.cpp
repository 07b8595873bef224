// Implementation of the transaction id: msgpack fields, HMAC, base64url.
#include "snipewalk/request/transaction_id.h"

#include "snipewalk/base/hmac.h"

#include <absl/strings/escaping.h>
#include <msgpack.hpp>

#include <optional>

namespace snipewalk {

namespace {

constexpr std::uint8_t kIdVersion = 1;
constexpr std::size_t kIdLimitChars = 256;
// The code is cut to 128 bits to keep the id short (RFC 2104, section 5).
constexpr std::size_t kCodeBytes = 16;
// Session keys also sign session tokens; the prefix separates the two uses.
constexpr std::string_view kPurpose = "transaction:";

// Fields of the id in their order.
struct id_fields
{
  std::uint8_t mVersion = kIdVersion;
  std::string mKeyId;
  std::string mHolder;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mNumber = 0;

  MSGPACK_DEFINE_ARRAY(mVersion, mKeyId, mHolder, mIncarnation, mNumber)
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
  return HmacSha256(aKey.mSecret, std::string(kPurpose) + std::string(aFields))
    .substr(0, kCodeBytes);
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
                      msgpack::unpack_limit(8, 0, 256, 0, 0, 2));
    id_fields fields;
    handle.get().convert(fields);
    return fields;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace

absl::StatusOr<std::string>
EncodeTransactionId(const transaction_id& aId,
                    const std::vector<session_key>& aKeys,
                    wall_time aNow)
{
  const session_key* key = SigningKey(aKeys, aNow);
  if (!key) {
    return absl::FailedPreconditionError("no session key may sign yet");
  }
  id_fields fields;
  fields.mKeyId = key->mId;
  fields.mHolder = aId.mHolder;
  fields.mIncarnation = aId.mIncarnation;
  fields.mNumber = aId.mNumber;
  msgpack::sbuffer packed;
  msgpack::pack(packed, fields);
  std::string bytes(packed.data(), packed.size());
  bytes += CodeOf(*key, bytes);
  std::string text = absl::WebSafeBase64Escape(bytes);
  if (text.size() > kIdLimitChars) {
    return absl::InvalidArgumentError(
      "instance name is too long for a transaction id");
  }
  return text;
}

absl::StatusOr<transaction_id>
DecodeTransactionId(const std::string& aText,
                    const std::vector<session_key>& aKeys)
{
  std::string bytes;
  if (aText.size() > kIdLimitChars ||
      !absl::WebSafeBase64Unescape(aText, &bytes) ||
      bytes.size() <= kCodeBytes) {
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
    return transaction_id{ fields->mHolder,
                           fields->mIncarnation,
                           fields->mNumber };
  }
  return absl::NotFoundError("transaction id is signed by an unknown key");
}

} // namespace snipewalk
