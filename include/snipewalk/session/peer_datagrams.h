// Datagrams between instances of the session front end, encoded in msgpack.
// They deliver information earlier than the store does and never replace the
// store: a lost datagram only causes a delay.
#ifndef SNIPEWALK_SESSION_PEER_DATAGRAMS_H_
#define SNIPEWALK_SESSION_PEER_DATAGRAMS_H_

#include "snipewalk/account/allowance_messages.h"
#include "snipewalk/session/fleet_records.h"
#include "snipewalk/session/log_position.h"
#include "snipewalk/session/primary_monitor.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

namespace snipewalk {

struct health_report_entry
{
  std::string mService;
  std::string mServer;
  primary_health mHealth = primary_health::NoTraffic;
};

// Sent to the instance that holds the duty: the state of the primaries as the
// sender observes them.
struct health_report
{
  std::string mInstance;
  std::vector<health_report_entry> mEntries;
};

// Sent by the holder of the duty: requests the receiver to stop using the
// service's primary of any term below `mTerm`.
struct release_request
{
  std::string mService;
  std::uint64_t mTerm = 0;
  // The receiver must not acknowledge commits of that primary any more.
  bool mEndsWrites = false;
};

// Reply to a release_request: the sender no longer uses a primary of the
// service of a term below `mTerm`.
struct release_answer
{
  std::string mInstance;
  // Start time of the sender's process, which distinguishes it from earlier
  // processes of the same instance.
  std::uint64_t mStarted = 0;
  std::string mService;
  std::uint64_t mTerm = 0;
  // Newest position of a commit of the service that the sender's process has
  // acknowledged to a caller. If the request ended writes, it acknowledges none
  // after it.
  log_position mAcknowledged;
  // How long the sender's process has been running.
  std::uint64_t mUptimeMs = 0;
};

// Requests the recorded primaries. Instances send it to the holder of the duty,
// or to other instances while the holder does not respond, instead of reading
// the store.
struct confirmation_request
{
  std::string mInstance;
  // Start time of the sender's process, which distinguishes it from earlier
  // processes of the same instance.
  std::uint64_t mStarted = 0;
  // Sequence number that identifies a request of the sender.
  std::uint64_t mSequenceNumber = 0;
  // The sender knows every record of a primary or an instance up to this store
  // revision.
  std::uint64_t mKnownRevision = 0;
};

struct confirmed_primary
{
  primary_record mRecord;
  std::uint64_t mVersion = 0;
};

struct confirmed_instance
{
  instance_record mRecord;
  std::uint64_t mVersion = 0;
};

// Which of the instance records that are newer than the revision stated in a
// request its answer contains.
enum class instance_coverage
{
  // None; the sender is of an earlier version.
  None,
  // The oldest ones, up to the revision stated in the answer. A datagram has no
  // room for more.
  Partial,
  All
};

// Limit of instance records in a confirmation_answer, so that it stays within
// kMaxDatagramBytes.
inline constexpr std::size_t kMaxConfirmedInstances = 200;

struct confirmation_answer
{
  std::uint64_t mSequenceNumber = 0;
  // Age of the sender's own confirmation by the store when it replied. Its view
  // of the primaries and of the instances was up to date then.
  std::uint64_t mConfirmationAgeMs = 0;
  // The sender's view of the store lists the requesting process as live.
  bool mRequesterRegistered = false;
  std::string mInstance;
  // Holder of the duty as far as the sender knows.
  std::string mDutyHolder;
  // Time since the last sign that the holder of the duty is alive, as far as
  // the sender knows.
  std::uint64_t mDutyHolderSeenAgeMs = 0;
  // Newest version of the desired state that the sender has seen. The receiver
  // compares it with its own because its watch of the store may have stopped
  // delivering.
  std::uint64_t mDesiredVersion = 0;
  // Newest version of a server's entry that the sender has seen; compared like
  // the version of the desired state.
  std::uint64_t mServerVersion = 0;
  // Recorded primaries of a later version than the request's `mKnownRevision`.
  std::vector<confirmed_primary> mPrimaries;
  // The sender knows every record of a primary or an instance up to this store
  // revision, and the answer contains all that are newer than the request's
  // `mKnownRevision`.
  std::uint64_t mKnownRevision = 0;
  // Records of instances of a later version than the request's
  // `mKnownRevision`, in the order of their versions. An instance that the
  // store refuses learns from them which processes it must not confirm.
  std::vector<confirmed_instance> mInstances;
  instance_coverage mInstanceCoverage = instance_coverage::None;
};

// Sent by the holder of the duty while the server refuses its control
// connection because all connections are in use: requests the receiver to keep
// to its share of the server's connections for a while.
struct connection_yield_request
{
  std::string mServer;
};

// Sent to the owners of client accounts: requests tokens of their rate limits.
// The answer is an allowance_grant.
struct allowance_datagram
{
  std::string mInstance;
  // Start time of the sender's process, which distinguishes it from earlier
  // processes of the same instance.
  std::uint64_t mStarted = 0;
  allowance_request mRequest;
};

using peer_datagram = std::variant<health_report,
                                   release_request,
                                   release_answer,
                                   confirmation_request,
                                   confirmation_answer,
                                   connection_yield_request,
                                   allowance_datagram,
                                   allowance_grant>;

// Size limit of a datagram in bytes; larger ones are not sent.
inline constexpr std::size_t kMaxDatagramBytes = 60'000;

std::string
EncodeDatagram(const peer_datagram& aDatagram);

// Errors: InvalidArgument.
absl::StatusOr<peer_datagram>
DecodeDatagram(std::string_view aBytes);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_PEER_DATAGRAMS_H_
