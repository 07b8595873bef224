// Digest of a member table in ranges by the hash of the names, so that two
// instances that differ transfer only the ranges that do.
#ifndef SNIPEWALK_FLEET_MEMBER_DIGEST_H_
#define SNIPEWALK_FLEET_MEMBER_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace snipewalk {

std::uint64_t
HashOfName(const std::string& aName);

class member_digest
{
public:
  // As many as an integer has bits, so that a set of ranges is one integer.
  static constexpr std::size_t kRanges = 64;

  static std::size_t RangeOf(std::uint64_t aNameHash)
  {
    return aNameHash % kRanges;
  }
  static bool Contains(std::uint64_t aRanges, std::uint64_t aNameHash)
  {
    return ((aRanges >> RangeOf(aNameHash)) & 1U) != 0;
  }

  // Adds a live member, or removes one that was added.
  void Toggle(const std::string& aName, std::uint64_t aIncarnation);

  // XOR over all ranges.
  std::uint64_t Total() const { return mTotal; }

  // One bit of the digest of each range. Two tables that differ in a range have
  // different bits in half of the cases; another sequence chooses another bit,
  // so that repeated comparisons find each range that differs.
  std::uint64_t Bits(std::uint64_t aSequence) const;

private:
  std::array<std::uint64_t, kRanges> mRanges{};
  std::uint64_t mTotal = 0;
};

// Up to `aCount` of the ranges in the set, from the one at `aFirst` on.
std::uint64_t
SomeRanges(std::uint64_t aRanges, std::size_t aCount, std::size_t aFirst);

} // namespace snipewalk

#endif // SNIPEWALK_FLEET_MEMBER_DIGEST_H_
