// Versions of the messages between instances. Each instance supports a range;
// a connection uses the highest version that both ends support, and a datagram
// a version that its receiver supports.
//
// A release supports its own version and the previous one, so that a fleet is
// upgraded instance by instance. A later version may add fields at the end of
// an array: decoders ignore up to kMaxExtraFields fields that they do not know.
#ifndef SNIPEWALK_BASE_PROTOCOL_VERSION_H_
#define SNIPEWALK_BASE_PROTOCOL_VERSION_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace snipewalk {

// Version 1: nothing names a version. On the peer port its decoder refuses an
// array with additional fields; on the control port it ignores them.
// Version 2: handshakes, member entries and membership messages state a range,
// datagrams their version; decoders ignore additional fields.
inline constexpr int kOldestProtocolVersion = 1;
inline constexpr int kNewestProtocolVersion = 2;
// From this version on a datagram states its version, and a member entry the
// range of the member.
inline constexpr int kStatedVersion = 2;

// Far more than a release adds; a bound for faulty peers.
inline constexpr std::size_t kMaxExtraFields = 16;

// Both ends are included; 1 <= mLowest <= mHighest.
struct version_range
{
  int mLowest = kOldestProtocolVersion;
  int mHighest = kOldestProtocolVersion;

  bool Contains(int aVersion) const
  {
    return mLowest <= aVersion && aVersion <= mHighest;
  }
  bool operator==(const version_range&) const = default;
};

// Range of an instance that announces none.
inline constexpr version_range kUnannouncedVersions{};
inline constexpr version_range kBuildVersions{ kOldestProtocolVersion,
                                               kNewestProtocolVersion };

// The versions of this build that are not above `aLimit`.
version_range
SupportedVersions(int aLimit);

// The highest common version. FailedPrecondition when there is none; the
// message names both ranges.
absl::StatusOr<int>
NegotiateVersion(const version_range& aOwn, const version_range& aPeer);

inline constexpr std::size_t kVersionsBytes = 2;

// The range in kVersionsBytes bytes.
std::string
EncodeVersions(const version_range& aRange);
// Nothing unless the text starts with a valid range.
std::optional<version_range>
DecodeVersions(std::string_view aBytes);

} // namespace snipewalk

#endif // SNIPEWALK_BASE_PROTOCOL_VERSION_H_
