// JSON of the store objects that the project writes: kinds `terms`, `slots`
// and `status`. Decoding is strict; errors are InvalidArgument.
#ifndef SNIPEWALK_VERSION_TERM_RECORD_H_
#define SNIPEWALK_VERSION_TERM_RECORD_H_

#include "snipewalk/messages/service_view.h"
#include "snipewalk/version/drain.h"

#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace snipewalk {

inline constexpr char kTermsKind[] = "terms";
inline constexpr char kSlotsKind[] = "slots";
inline constexpr char kKeysKind[] = "keys";
inline constexpr char kAuditKind[] = "audit";
inline constexpr char kStatusKind[] = "status";

// {"term", "primary", "voters", "phase", "operation", "by"}. The primary is
// empty exactly while electing; otherwise it is a voter. Voters are unique and
// at least one.
std::string
EncodeTermRecord(const term_record& aRecord);
absl::StatusOr<term_record>
DecodeTermRecord(const std::string& aText);

// {"holders": [{"instance", "incarnation"}]}, one a slot.
std::string
EncodeSlotRecord(const slot_record& aRecord);
absl::StatusOr<slot_record>
DecodeSlotRecord(const std::string& aText);

// {"service", "instance", "term", "updated_ms", "servers": [...]}.
std::string
EncodeDrainStatus(const drain_status& aStatus);
absl::StatusOr<drain_status>
DecodeDrainStatus(const std::string& aText);

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_TERM_RECORD_H_
