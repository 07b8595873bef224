// Implementation of the digest of a member table.
#include "snipewalk/fleet/member_digest.h"

#include <xxhash.h>

namespace snipewalk {

std::uint64_t
HashOfName(const std::string& aName)
{
  return XXH64(aName.data(), aName.size(), 0);
}

void
member_digest::Toggle(const std::string& aName, std::uint64_t aIncarnation)
{
  const std::uint64_t digest = XXH64(aName.data(), aName.size(), aIncarnation);
  mRanges[RangeOf(HashOfName(aName))] ^= digest;
  mTotal ^= digest;
}

std::uint64_t
member_digest::Bits(std::uint64_t aSequence) const
{
  const std::size_t bit = aSequence % 64;
  std::uint64_t bits = 0;
  for (std::size_t i = 0; i < kRanges; ++i) {
    bits |= ((mRanges[i] >> bit) & 1U) << i;
  }
  return bits;
}

std::uint64_t
SomeRanges(std::uint64_t aRanges, std::size_t aCount, std::size_t aFirst)
{
  std::uint64_t chosen = 0;
  for (std::size_t i = 0; i < member_digest::kRanges && aCount > 0; ++i) {
    const std::uint64_t range = std::uint64_t{ 1 }
                                << (aFirst + i) % member_digest::kRanges;
    if ((aRanges & range) != 0) {
      chosen |= range;
      --aCount;
    }
  }
  return chosen;
}

} // namespace snipewalk
