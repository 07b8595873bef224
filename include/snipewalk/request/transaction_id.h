// Identifies a transaction by the instance whose connection it is pinned to.
// The id travels with the caller, so it is authenticated.
#ifndef SNIPEWALK_REQUEST_TRANSACTION_ID_H_
#define SNIPEWALK_REQUEST_TRANSACTION_ID_H_

#include "snipewalk/base/time.h"
#include "snipewalk/version/service_view.h"

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace snipewalk {

struct transaction_id
{
  // Name and incarnation of the instance that holds the connection.
  std::string mHolder;
  std::uint64_t mIncarnation = 0;
  // Unique in the holder's incarnation and service.
  std::uint64_t mNumber = 0;

  bool operator==(const transaction_id&) const = default;
};

// Encodes and signs the id with the newest key whose mSignAfter is at or before
// `aNow`; base64url. Errors: FailedPrecondition without a usable key,
// InvalidArgument when the holder's name is too long.
absl::StatusOr<std::string>
EncodeTransactionId(const transaction_id& aId,
                    const std::vector<session_key>& aKeys,
                    wall_time aNow);

// Verifies and decodes. Errors: InvalidArgument for malformed or forged ids,
// NotFound for an unknown key.
absl::StatusOr<transaction_id>
DecodeTransactionId(const std::string& aText,
                    const std::vector<session_key>& aKeys);

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_TRANSACTION_ID_H_
