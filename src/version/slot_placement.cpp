// Implementation of slot placement.
#include "snipewalk/version/slot_placement.h"

#include <algorithm>

#include <xxhash.h>

namespace snipewalk {

namespace {

// An instance with at most this number of slots has a normal or low load.
constexpr double kMaxNegligibleSlots = 3;
// Low is at least this number of slots below the mean; Excessive is more than
// this number of slots above the upper bound of Normal.
constexpr double kLoadMarginSlots = 2;
// Bits of a data centre's preference, one for each of the first three ordering
// rules. The first rule has the most significant bit; a set bit is worse.
constexpr std::size_t kHasHolderBit = 4;
constexpr std::size_t kNoServerBit = 2;
constexpr std::size_t kOtherRegionBit = 1;

std::uint64_t
NameHash(std::string_view aName)
{
  return XXH64(aName.data(), aName.size(), 5);
}

// Rendezvous score of a member for a service. Mixes the two name hashes with
// the finalizer of SplitMix64, which avoids hashing the names again.
std::uint64_t
Score(std::uint64_t aService, std::uint64_t aMember)
{
  std::uint64_t mixed = aService ^ aMember;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

} // namespace

slot_load
ClassifyLoad(std::size_t aHeld, double aMean)
{
  const auto held = static_cast<double>(aHeld);
  const double usual = std::max(aMean, kMaxNegligibleSlots);
  if (held + kLoadMarginSlots <= aMean) {
    return slot_load::Low;
  }
  if (held <= usual) {
    return slot_load::Normal;
  }
  return held <= usual + std::max(kLoadMarginSlots, usual / 2)
           ? slot_load::High
           : slot_load::Excessive;
}

placement_index::placement_index(const std::vector<placement_member>& aMembers)
{
  std::size_t held = 0;
  for (const auto& each : aMembers) {
    held += each.mHeld;
  }
  mMean = static_cast<double>(held) /
          static_cast<double>(std::max<std::size_t>(1, aMembers.size()));
  mMembers.reserve(aMembers.size());
  for (const auto& each : aMembers) {
    auto known = mDataCentreByName.find(each.mDataCentre);
    if (known == mDataCentreByName.end()) {
      known =
        mDataCentreByName.emplace(each.mDataCentre, mDataCentres.size()).first;
      mDataCentres.push_back({ std::string(each.mRegion), {} });
    }
    const member added{ NameHash(each.mName),
                        known->second,
                        ClassifyLoad(each.mHeld, mMean) };
    if (mMembers.try_emplace(added.mHash, added).second) {
      mDataCentres[added.mDataCentreIndex]
        .mMembers[static_cast<std::size_t>(added.mLoad)]
        .push_back(added.mHash);
    }
  }
}

const placement_index::member*
placement_index::Find(const std::string& aName) const
{
  const auto found = mMembers.find(NameHash(aName));
  return found == mMembers.end() ? nullptr : &found->second;
}

std::vector<const placement_index::member*>
placement_index::Holders(const placement_question& aQuestion,
                         const member* aExcept) const
{
  std::vector<const member*> holders;
  for (const auto& name : aQuestion.mHolders) {
    const member* holder = Find(name);
    if (holder != nullptr && holder != aExcept &&
        std::find(holders.begin(), holders.end(), holder) == holders.end()) {
      holders.push_back(holder);
    }
  }
  return holders;
}

std::vector<std::size_t>
placement_index::LocationClasses(
  const placement_question& aQuestion,
  const std::vector<const member*>& aHolders) const
{
  std::vector<std::size_t> locationClasses(mDataCentres.size(),
                                           kNoServerBit | kOtherRegionBit);
  for (const auto& name : aQuestion.mServerDataCentres) {
    const auto found = mDataCentreByName.find(name);
    if (found == mDataCentreByName.end()) {
      continue;
    }
    const std::string& region = mDataCentres[found->second].mRegion;
    for (std::size_t i = 0; i < mDataCentres.size(); ++i) {
      if (mDataCentres[i].mRegion == region) {
        locationClasses[i] &= ~kOtherRegionBit;
      }
    }
    locationClasses[found->second] &= ~kNoServerBit;
  }
  for (const member* holder : aHolders) {
    locationClasses[holder->mDataCentreIndex] |= kHasHolderBit;
  }
  return locationClasses;
}

placement_index::group_sizes
placement_index::CountGroups(const std::vector<std::size_t>& aLocationClasses,
                             const std::vector<const member*>& aHolders) const
{
  group_sizes sizes{};
  for (std::size_t i = 0; i < mDataCentres.size(); ++i) {
    for (std::size_t load = 0; load < kLoadLevels; ++load) {
      sizes[aLocationClasses[i] * kLoadLevels + load] +=
        mDataCentres[i].mMembers[load].size();
    }
  }
  for (const member* holder : aHolders) {
    --sizes[aLocationClasses[holder->mDataCentreIndex] * kLoadLevels +
            static_cast<std::size_t>(holder->mLoad)];
  }
  return sizes;
}

std::size_t
placement_index::RankAmongEquals(
  const placement_question& aQuestion,
  const std::vector<const member*>& aHolders,
  const std::vector<std::size_t>& aLocationClasses,
  const member& aSelf,
  std::size_t aSize) const
{
  const std::uint64_t service = NameHash(aQuestion.mService);
  const std::uint64_t own = Score(service, aSelf.mHash);
  std::size_t rank = 0;
  for (std::size_t i = 0; i < mDataCentres.size(); ++i) {
    if (aLocationClasses[i] != aLocationClasses[aSelf.mDataCentreIndex]) {
      continue;
    }
    for (const auto hash :
         mDataCentres[i].mMembers[static_cast<std::size_t>(aSelf.mLoad)]) {
      if (Score(service, hash) <= own ||
          std::any_of(aHolders.begin(), aHolders.end(), [&](const auto* aEach) {
            return aEach->mHash == hash;
          })) {
        continue;
      }
      if (++rank == kMaxExactRank) {
        // Scores are uniformly distributed, so the member's own score gives the
        // expected fraction of higher scores.
        const double above = 1 - static_cast<double>(own) * 0x1p-64;
        return std::max(
          rank, static_cast<std::size_t>(static_cast<double>(aSize) * above));
      }
    }
  }
  return rank;
}

std::size_t
placement_index::Rank(const placement_question& aQuestion,
                      const std::string& aSelf,
                      std::size_t aHeld) const
{
  const member* known = Find(aSelf);
  if (known == nullptr) {
    return 0;
  }
  const std::vector<const member*> holders = Holders(aQuestion, known);
  member self = *known;
  self.mLoad = ClassifyLoad(aHeld, mMean);
  const std::vector<std::size_t> locationClasses =
    LocationClasses(aQuestion, holders);
  std::vector<const member*> excluded = holders;
  excluded.push_back(known);
  const group_sizes sizes = CountGroups(locationClasses, excluded);
  const std::size_t group =
    locationClasses[self.mDataCentreIndex] * kLoadLevels +
    static_cast<std::size_t>(self.mLoad);
  std::size_t rank = 0;
  for (std::size_t i = 0; i < group; ++i) {
    rank += std::min(sizes[i], kMaxRanksPerGroup);
  }
  return rank + RankAmongEquals(
                  aQuestion, holders, locationClasses, self, sizes[group]);
}

std::optional<release_reason>
placement_index::ReasonToRelease(const placement_question& aQuestion,
                                 const std::string& aSelf,
                                 std::size_t aHeld) const
{
  const member* self = Find(aSelf);
  if (self == nullptr) {
    return std::nullopt;
  }
  std::vector<const member*> holders = Holders(aQuestion, self);
  const std::vector<std::size_t> locationClasses =
    LocationClasses(aQuestion, holders);
  const std::size_t own = locationClasses[self->mDataCentreIndex];
  const bool sharesDataCentre = (own & kHasHolderBit) != 0;
  const std::vector<const member*> bySlot = Holders(aQuestion, nullptr);
  const auto last =
    std::find_if(bySlot.rbegin(), bySlot.rend(), [&](const auto* aEach) {
      return aEach->mDataCentreIndex == self->mDataCentreIndex;
    });
  const bool hasHighestSlot = last != bySlot.rend() && *last == self;
  holders.push_back(self);
  const group_sizes sizes = CountGroups(locationClasses, holders);
  const auto first = std::find_if(
    sizes.begin(), sizes.end(), [](std::size_t aSize) { return aSize > 0; });
  if (first == sizes.end()) {
    return std::nullopt;
  }
  const auto group = static_cast<std::size_t>(first - sizes.begin());
  const std::size_t locationClass = group / kLoadLevels;
  const auto load = static_cast<slot_load>(group % kLoadLevels);
  if (sharesDataCentre && hasHighestSlot && locationClass < kHasHolderBit &&
      load != slot_load::Excessive) {
    return release_reason::Spread;
  }
  if (ClassifyLoad(aHeld, mMean) == slot_load::Excessive &&
      locationClass <= own && load <= slot_load::Normal) {
    return release_reason::Balance;
  }
  return std::nullopt;
}

} // namespace snipewalk
