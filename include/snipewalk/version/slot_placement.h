// Decides which instance should hold a slot. Pure decisions over an index of
// the live members; no I/O and no clock. Views of the members may diverge:
// placement only reduces contention; the conditional update of
// `slots/<service>` decides.
//
// Candidates are ordered by
//   1. data centres without a live holder of the service,
//   2. data centres of the service's backend servers,
//   3. the regions of those,
//   4. fewer held slots, in the four levels of slot_load,
//   5. the rendezvous hash of (service, instance).
// Held slots are compared in levels, because with exact numbers one instance
// would be the first candidate of each of a thousand services at once.
#ifndef SNIPEWALK_VERSION_SLOT_PLACEMENT_H_
#define SNIPEWALK_VERSION_SLOT_PLACEMENT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace snipewalk {

// Slots that an instance holds, compared with the mean of the live instances.
enum class slot_load
{
  // At least two below the mean.
  Low,
  // Not above the mean, or at most three slots: a few slots are no load.
  Normal,
  High,
  // More than the above by half of it and by two slots; gives slots away.
  Excessive
};

slot_load
LoadOf(std::size_t aHeld, double aMean);

// Why an instance gives a slot to a better candidate.
enum class release_reason
{
  // Another holder is in its data centre, and some other data centre has none.
  Spread,
  // It holds clearly more slots than the mean.
  Balance
};

// A live member; the names need to live during construction only.
struct placement_member
{
  std::string_view mName;
  std::string_view mDataCentre;
  std::string_view mRegion;
  std::size_t mHeld = 0;
};

struct placement_question
{
  std::string mService;
  // Data centres of the service's backend servers.
  std::vector<std::string> mServerDataCentres;
  // Holders by slot, also dead ones; vacant slots are empty.
  std::vector<std::string> mHolders;
};

class placement_index
{
public:
  explicit placement_index(const std::vector<placement_member>& aMembers);

  // Mean number of slots of a live member.
  double Mean() const { return mMean; }

  // Number of candidates before `aSelf`, which holds `aHeld` slots. Exact
  // within a group of equals up to kExactRanks, estimated beyond. A group that
  // is preferred as a whole counts for at most kGroupLead candidates: else a
  // data centre of 278 instances that cannot reach the store would delay all
  // others by as many steps. Zero for an instance that is not a member.
  std::size_t Rank(const placement_question& aQuestion,
                   const std::string& aSelf,
                   std::size_t aHeld) const;

  // Whether the holder `aSelf`, which holds `aHeld` slots in all, should
  // release its slot. Each release for spread lowers the number of holders that
  // share a data centre; one for balance never raises it and lowers an
  // excessive load for one that is normal or low afterwards. So moves come to
  // an end. Of the holders in one data centre only the one of the highest slot
  // releases.
  std::optional<release_reason> ReasonToRelease(
    const placement_question& aQuestion,
    const std::string& aSelf,
    std::size_t aHeld) const;

  static constexpr std::size_t kExactRanks = 16;
  static constexpr std::size_t kGroupLead = 3;

private:
  static constexpr std::size_t kLoads = 4;
  // Combinations of the first three rules.
  static constexpr std::size_t kPlaces = 8;

  struct member
  {
    std::uint64_t mHash = 0;
    std::size_t mCentre = 0;
    slot_load mLoad = slot_load::Normal;
  };
  struct centre
  {
    std::string mRegion;
    // Hashes of the names of its members.
    std::array<std::vector<std::uint64_t>, kLoads> mMembers;
  };
  using group_sizes = std::array<std::size_t, kPlaces * kLoads>;

  const member* Find(const std::string& aName) const;
  // The members among the holders, without `aExcept`.
  std::vector<const member*> Holders(const placement_question& aQuestion,
                                     const member* aExcept) const;
  // Place of each data centre, 0 being the best one.
  std::vector<std::size_t> Places(
    const placement_question& aQuestion,
    const std::vector<const member*>& aHolders) const;
  group_sizes CountGroups(const std::vector<std::size_t>& aPlaces,
                          const std::vector<const member*>& aHolders) const;
  std::size_t RankAmongEquals(const placement_question& aQuestion,
                              const std::vector<const member*>& aHolders,
                              const std::vector<std::size_t>& aPlaces,
                              const member& aSelf,
                              std::size_t aSize) const;

  double mMean = 0;
  std::vector<centre> mCentres;
  std::map<std::string, std::size_t, std::less<>> mCentreByName;
  // By the hash of the name.
  absl::flat_hash_map<std::uint64_t, member> mMembers;
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_SLOT_PLACEMENT_H_
