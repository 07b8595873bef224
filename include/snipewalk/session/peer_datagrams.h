// Datagrams between instances of the session front end, in msgpack. They speed
// up what the store says and never replace it: a lost one costs time only.
#ifndef SNIPEWALK_SESSION_PEER_DATAGRAMS_H_
#define SNIPEWALK_SESSION_PEER_DATAGRAMS_H_

#include "snipewalk/session/fleet_records.h"
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

// To the holder of the duty.
struct health_report
{
  std::string mInstance;
  std::vector<health_report_entry> mEntries;
};

// From the holder: stop using the service's primary of a term below `mTerm`.
struct release_request
{
  std::string mService;
  std::uint64_t mTerm = 0;
};

// The sender uses no primary of a lower term any more.
struct release_answer
{
  std::string mInstance;
  // Of the sender's process.
  std::uint64_t mStarted = 0;
  std::string mService;
  std::uint64_t mTerm = 0;
};

// Which primaries are recorded? Instances ask the holder of the duty, and
// others when it is silent, instead of the store.
struct confirmation_request
{
  std::string mInstance;
  std::uint64_t mStarted = 0;
  // Names one request of the sender.
  std::uint64_t mNumber = 0;
  // The sender knows every record of a primary up to this store revision.
  std::uint64_t mKnownRevision = 0;
};

struct confirmed_primary
{
  primary_record mRecord;
  std::uint64_t mVersion = 0;
};

struct confirmation_answer
{
  std::uint64_t mNumber = 0;
  // Age of the sender's own confirmation by the store when it answered.
  std::uint64_t mAgeMs = 0;
  // The sender's view of the store holds the asking process as live.
  bool mRegistered = false;
  std::string mInstance;
  // Holder of the duty and the age of its last sign of life, as the sender
  // knows them.
  std::string mHolder;
  std::uint64_t mHolderAgeMs = 0;
  // Newest versions of the desired state and of a server's entry that the
  // sender has seen: a watch of the receiver may be silent.
  std::uint64_t mDesiredVersion = 0;
  std::uint64_t mServerVersion = 0;
  // Those of a later version than the request's known revision.
  std::vector<confirmed_primary> mPrimaries;
  // The sender knows every record of a primary up to this store revision.
  std::uint64_t mKnownRevision = 0;
};

using peer_datagram = std::variant<health_report,
                                   release_request,
                                   release_answer,
                                   confirmation_request,
                                   confirmation_answer>;

// Largest datagram in bytes; a larger answer is not sent.
inline constexpr std::size_t kMaxDatagramBytes = 60'000;

std::string
EncodeDatagram(const peer_datagram& aDatagram);

// Errors: InvalidArgument.
absl::StatusOr<peer_datagram>
DecodeDatagram(std::string_view aBytes);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_PEER_DATAGRAMS_H_
