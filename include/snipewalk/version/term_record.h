// JSON encoding of store objects that snipewalk writes: the kinds `terms`,
// `slots` and `status`. Decoding is strict: unknown, repeated or missing
// required fields and invalid values are InvalidArgument errors.
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

// Fields: {"term", "primary", "voters", "phase", "operation", "by"}. The
// primary is empty during an election; in other phases it is one of the voters.
// There is at least one voter, and voters are unique.
std::string
EncodeTermRecord(const term_record& aRecord);
absl::StatusOr<term_record>
DecodeTermRecord(const std::string& aText);

// Fields: {"holders": [{"instance", "incarnation"}], "initial"}, with one
// holder per slot. The optional field "initial" is 1 only while no holder was
// replaced or removed by another instance.
std::string
EncodeSlotRecord(const slot_record& aRecord);
absl::StatusOr<slot_record>
DecodeSlotRecord(const std::string& aText);

// Fields: {"service", "instance", "term", "updated_ms", "servers": [...]}.
std::string
EncodeDrainStatus(const drain_status& aStatus);
absl::StatusOr<drain_status>
DecodeDrainStatus(const std::string& aText);

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_TERM_RECORD_H_
