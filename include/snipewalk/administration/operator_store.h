// Blocking access of the operators' tool to the platform's object store.
#ifndef SNIPEWALK_ADMINISTRATION_OPERATOR_STORE_H_
#define SNIPEWALK_ADMINISTRATION_OPERATOR_STORE_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/store_client.h"

#include <optional>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace snipewalk {

class operator_store
{
public:
  operator_store(std::string aAddress, milliseconds aTimeout);

  // The object, or nothing when it does not exist. Errors: Unavailable.
  absl::StatusOr<std::optional<stored_object>> Get(const object_key& aKey);

  // Conditional update; an expected version of zero creates the object. When
  // the answer is lost, reads back to find out whether the update took effect.
  // Returns the new version. Errors: Aborted when another update came first,
  // Unavailable when it did not take effect, Unknown when that is uncertain.
  absl::StatusOr<std::uint64_t> Put(const object_key& aKey,
                                    const std::string& aValue,
                                    std::uint64_t aExpectedVersion);

private:
  absl::StatusOr<std::uint64_t> SettleLostAnswer(const object_key& aKey,
                                                 const std::string& aValue,
                                                 std::uint64_t aExpected);

  std::string mAddress;
  milliseconds mTimeout;
};

} // namespace snipewalk

#endif // SNIPEWALK_ADMINISTRATION_OPERATOR_STORE_H_
