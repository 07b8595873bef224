// Implementation of the range of protocol versions.
#include "snipewalk/base/protocol_version.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace snipewalk {

version_range
SupportedVersions(int aLimit)
{
  return { kOldestProtocolVersion,
           std::clamp(aLimit, kOldestProtocolVersion, kNewestProtocolVersion) };
}

absl::StatusOr<int>
NegotiateVersion(const version_range& aOwn, const version_range& aPeer)
{
  const int version = std::min(aOwn.mHighest, aPeer.mHighest);
  if (!aOwn.Contains(version) || !aPeer.Contains(version)) {
    return absl::FailedPreconditionError(
      absl::StrCat("no common protocol version: this instance supports ",
                   aOwn.mLowest,
                   " to ",
                   aOwn.mHighest,
                   ", the peer ",
                   aPeer.mLowest,
                   " to ",
                   aPeer.mHighest));
  }
  return version;
}

std::string
EncodeVersions(const version_range& aRange)
{
  return { static_cast<char>(aRange.mLowest),
           static_cast<char>(aRange.mHighest) };
}

std::optional<version_range>
DecodeVersions(std::string_view aBytes)
{
  if (aBytes.size() < kVersionsBytes) {
    return std::nullopt;
  }
  const version_range range{ static_cast<unsigned char>(aBytes[0]),
                             static_cast<unsigned char>(aBytes[1]) };
  if (range.mLowest < 1 || range.mLowest > range.mHighest) {
    return std::nullopt;
  }
  return range;
}

} // namespace snipewalk
