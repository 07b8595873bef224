// The id of a transaction travels with the caller. Any instance can read the
// holder from it; only the instances of the fleet can make one.
#ifndef SNIPEWALK_REQUEST_TRANSACTION_ID_H_
#define SNIPEWALK_REQUEST_TRANSACTION_ID_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/service_view.h"

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace snipewalk {

struct transaction_identity
{
  // Instance whose connection the transaction is pinned to.
  std::string mHolder;
  std::uint64_t mIncarnation = 0;
  // Unique within the holder's incarnation and the service.
  std::uint64_t mNumber = 0;
  std::string mService;
  std::string mAccount;
};

// Encodes and signs with the newest key whose mSignAfter is at or before
// `aNow`, as base64url. Error: FailedPrecondition without a usable key.
absl::StatusOr<std::string>
EncodeTransaction(const transaction_identity& aIdentity,
                  const std::vector<session_key>& aKeys,
                  wall_time aNow);

// Verifies and decodes an id. Errors: InvalidArgument for malformed or forged
// ids, NotFound for an unknown key.
absl::StatusOr<transaction_identity>
DecodeTransaction(const std::string& aId,
                  const std::vector<session_key>& aKeys);

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_TRANSACTION_ID_H_
