// Records that the instances of the session front end keep in the store, and
// their JSON form. All are objects of one kind, so that one watch shows them in
// the order of their changes.
#ifndef SNIPEWALK_SESSION_FLEET_RECORDS_H_
#define SNIPEWALK_SESSION_FLEET_RECORDS_H_

#include "snipewalk/base/name_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include <absl/status/statusor.h>

namespace snipewalk {

// Kind of the records in the store.
inline constexpr const char* kFleetKind = "snipewalk-fleet";

// Who may order changes of primary.
struct duty_record
{
  // Empty when nobody holds the duty.
  std::string mHolder;
  // Start of the holder's process in Unix milliseconds: tells two processes of
  // the same instance name apart.
  std::uint64_t mStarted = 0;
  // Grows whenever the holder changes; never decreases.
  std::uint64_t mFence = 0;

  bool operator==(const duty_record&) const = default;
};

enum class primary_phase
{
  // mPrimary serves.
  Stable,
  // The old primary gets no new work; mPrimary still names it.
  Changing,
  // mPrimary names the server that is being promoted.
  Promoting
};

inline constexpr name_table<primary_phase, 3> kPrimaryPhaseNames{ {
  { primary_phase::Stable, "stable" },
  { primary_phase::Changing, "changing" },
  { primary_phase::Promoting, "promoting" },
} };

// Primary of a service. Without a record no change was ever ordered, and the
// server that calls itself primary is the primary.
struct primary_record
{
  std::string mService;
  std::string mPrimary;
  // Term of the change. Instances let go of primaries of lower terms.
  std::uint64_t mTerm = 0;
  // Term in which the last stable primary leads; zero before the first change.
  // A log without an entry of this term may lack commits of earlier ones.
  std::uint64_t mLeadTerm = 0;
  primary_phase mPhase = primary_phase::Stable;
  // Fence number of the duty that wrote the record.
  std::uint64_t mFence = 0;

  bool operator==(const primary_record&) const = default;
};

enum class instance_state
{
  Live,
  // Shut down, or taken for dead: it must register again before it serves.
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
  // "IP:port" for datagrams of other instances (UDP) and for the sessions that
  // they forward (TCP).
  std::string mPeerAddress;
  std::uint64_t mStarted = 0;
  instance_state mState = instance_state::Live;

  bool operator==(const instance_record&) const = default;
};

using fleet_record = std::variant<duty_record, primary_record, instance_record>;

// Name of the object that holds a record.
std::string
FleetRecordName(const fleet_record& aRecord);
std::string
PrimaryRecordName(const std::string& aService);
std::string
InstanceRecordName(const std::string& aInstance);
bool
IsInstanceRecordName(const std::string& aName);
inline constexpr const char* kDutyRecordName = "duty";

std::string
EncodeFleetRecord(const fleet_record& aRecord);

// Errors: InvalidArgument for an unknown name or a malformed value.
absl::StatusOr<fleet_record>
DecodeFleetRecord(const std::string& aName, const std::string& aValue);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_FLEET_RECORDS_H_
