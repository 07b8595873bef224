// Records that the instances of the session front end keep in the store, and
// their JSON encoding. They are objects of a single kind, so that one watch
// delivers them in the order of their changes.
#ifndef SNIPEWALK_SESSION_FLEET_RECORDS_H_
#define SNIPEWALK_SESSION_FLEET_RECORDS_H_

#include "snipewalk/base/name_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include <absl/status/statusor.h>

namespace snipewalk {

// Store kind of all fleet records.
inline constexpr const char* kFleetKind = "snipewalk-fleet";

// Holder of the failover duty: the instance that may order changes of primary.
struct duty_record
{
  // Instance name of the holder; empty if there is none.
  std::string mHolder;
  // Start time of the holder's process in Unix milliseconds; distinguishes two
  // processes with the same instance name.
  std::uint64_t mStarted = 0;
  // Fence number (fencing token): increases with each claim of the duty and
  // never decreases.
  std::uint64_t mFence = 0;

  bool operator==(const duty_record&) const = default;
};

enum class primary_phase
{
  // mPrimary is the primary.
  Stable,
  // The old primary gets no new work. mPrimary still names the old primary.
  Changing,
  // mPrimary names the server that is being promoted.
  Promoting
};

inline constexpr name_table<primary_phase, 3> kPrimaryPhaseNames{ {
  { primary_phase::Stable, "stable" },
  { primary_phase::Changing, "changing" },
  { primary_phase::Promoting, "promoting" },
} };

// Primary of a service. If a service has no record, no change was ever ordered,
// and the server that reports itself as primary is the primary.
struct primary_record
{
  std::string mService;
  std::string mPrimary;
  // Term of the change. Instances stop using primaries of lower terms.
  std::uint64_t mTerm = 0;
  // Term in which the last stable primary leads; zero before the first change.
  // A log without an entry of this term may lack commits of earlier terms.
  std::uint64_t mLeadTerm = 0;
  primary_phase mPhase = primary_phase::Stable;
  // Fence number of the duty holder that wrote the record.
  std::uint64_t mFence = 0;

  bool operator==(const primary_record&) const = default;
};

// Process of a server that a change of primary has chosen for promotion. The
// server may start again under its id without its log. It is a record of its
// own because earlier builds refuse a primary's record with further fields.
struct candidate_record
{
  std::string mService;
  std::string mServer;
  // Term of the change.
  std::uint64_t mTerm = 0;
  // Start time of the server process in Unix milliseconds; zero if unknown.
  std::uint64_t mStarted = 0;

  bool operator==(const candidate_record&) const = default;
};

// Whether the state of a service's primary in `aRecord` follows the one in
// `aOther`: terms never go back, nor do the phases of one term.
bool
IsLater(const primary_record& aRecord, const primary_record& aOther);

enum class instance_state
{
  Live,
  // The instance has shut down or was marked as gone after its reports stopped.
  // It must register again before it serves.
  Gone
};

inline constexpr name_table<instance_state, 2> kInstanceStateNames{ {
  { instance_state::Live, "live" },
  { instance_state::Gone, "gone" },
} };

struct instance_record
{
  std::string mName;
  std::string mDataCentre;
  // Address in the form "IP:port" for datagrams of other instances (UDP) and
  // for sessions that they forward (TCP).
  std::string mPeerAddress;
  std::uint64_t mStarted = 0;
  instance_state mState = instance_state::Live;

  bool operator==(const instance_record&) const = default;
};

// Latest era of the store for which the instances have written again what it
// had forgotten. The duty holder writes the record. Until then, a primary's
// record may be older than one that was carried out.
struct restored_record
{
  std::uint64_t mEra = 0;

  bool operator==(const restored_record&) const = default;
};

using fleet_record = std::variant<duty_record,
                                  primary_record,
                                  candidate_record,
                                  instance_record,
                                  restored_record>;

// Name of the store object that contains a record.
std::string
FleetRecordName(const fleet_record& aRecord);
std::string
PrimaryRecordName(const std::string& aService);
std::string
InstanceRecordName(const std::string& aInstance);
bool
IsInstanceRecordName(const std::string& aName);
inline constexpr const char* kDutyRecordName = "duty";
inline constexpr const char* kRestoredRecordName = "restored";

std::string
EncodeFleetRecord(const fleet_record& aRecord);

// Errors: InvalidArgument for an unknown name or a malformed value.
absl::StatusOr<fleet_record>
DecodeFleetRecord(const std::string& aName, const std::string& aValue);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_FLEET_RECORDS_H_
