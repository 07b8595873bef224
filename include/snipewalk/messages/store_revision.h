// Revisions of the store over its returns from older copies. The store counts
// its changes by numbers. When it comes back from an older copy, it has
// forgotten the newest changes and gives their numbers out again, but its era
// is higher than before. A revision combines era and number, so that revisions
// only grow: every one of a later era is greater than all of the earlier ones.
#ifndef SNIPEWALK_MESSAGES_STORE_REVISION_H_
#define SNIPEWALK_MESSAGES_STORE_REVISION_H_

#include <cstdint>

namespace snipewalk {

// Numbers that one era can count. A decimal limit keeps both parts of a
// revision readable in logs: 2'000'000'000'123 is number 123 of era 2.
inline constexpr std::uint64_t kNumbersPerEra = 1'000'000'000'000;

// Later eras and higher numbers are taken for damaged values.
inline constexpr std::uint64_t kMaxEra = 1'000'000;

constexpr bool
IsRevision(std::uint64_t aEra, std::uint64_t aNumber)
{
  return aEra <= kMaxEra && aNumber < kNumbersPerEra;
}

// Zero is no revision: the store's numbers start above it. A store without eras
// has the era zero. Requires IsRevision().
constexpr std::uint64_t
MakeRevision(std::uint64_t aEra, std::uint64_t aNumber)
{
  return aNumber == 0 ? 0 : aEra * kNumbersPerEra + aNumber;
}

constexpr std::uint64_t
EraOf(std::uint64_t aRevision)
{
  return aRevision / kNumbersPerEra;
}

// The number by which the store knows the revision in its era.
constexpr std::uint64_t
NumberOf(std::uint64_t aRevision)
{
  return aRevision % kNumbersPerEra;
}

} // namespace snipewalk

#endif // SNIPEWALK_MESSAGES_STORE_REVISION_H_
