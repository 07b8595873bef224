// Text that callers carry and cannot change: msgpack fields, an HMAC over them
// and base64url around both. Shared by session tokens and transaction ids.
#ifndef SNIPEWALK_REQUEST_SIGNED_TOKEN_H_
#define SNIPEWALK_REQUEST_SIGNED_TOKEN_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/service_view.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <msgpack.hpp>

namespace snipewalk {

// The newest key whose mSignAfter is at or before `aNow`; null without one.
const session_key*
SigningKey(const std::vector<session_key>& aKeys, wall_time aNow);

// Appends the authentication code and encodes.
std::string
SealToken(const session_key& aKey, std::string aFields);

struct opened_token
{
  // The packed fields; not authenticated before VerifyToken().
  std::string mFields;
  std::string mCode;
};

// Nothing when the text is not the one spelling of a token within the limit.
std::optional<opened_token>
OpenToken(const std::string& aText, std::size_t aLimitChars);

// Errors: NotFound without a key of this id, InvalidArgument when the code is
// wrong.
absl::Status
VerifyToken(const opened_token& aToken,
            const std::string& aKeyId,
            const std::vector<session_key>& aKeys);

template<typename Fields>
std::string
PackFields(const Fields& aFields)
{
  msgpack::sbuffer packed;
  msgpack::pack(packed, aFields);
  return { packed.data(), packed.size() };
}

// Nothing when the bytes are not the fields; memory is bounded.
template<typename Fields>
std::optional<Fields>
UnpackFields(std::string_view aBytes)
{
  try {
    const msgpack::object_handle handle =
      msgpack::unpack(aBytes.data(),
                      aBytes.size(),
                      nullptr,
                      nullptr,
                      msgpack::unpack_limit(16, 0, 256, 0, 0, 2));
    Fields fields;
    handle.get().convert(fields);
    return fields;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_SIGNED_TOKEN_H_
