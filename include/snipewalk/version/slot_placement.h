// Ranks the candidates for a slot, using an index of the live members; no I/O
// and no clock. Instances may rank differently, because their membership views
// differ. Placement only reduces contention between claimants: the conditional
// update of `slots/<service>` determines the holder.
//
// Candidates are ordered by
//   1. data centres without a live holder of the service,
//   2. data centres of the service's backend servers,
//   3. data centres in the regions of the backend servers,
//   4. fewer held slots, in the four levels of slot_load,
//   5. the rendezvous hash of (service, instance).
// Numbers of held slots are compared by level, because with exact numbers the
// instance with the fewest slots would be the first candidate of a thousand
// services at once.
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

// Number of slots that an instance holds, compared with the mean of the live
// instances.
enum class slot_load
{
  // At least two slots below the mean.
  Low,
  // Not above the mean, or at most three slots, which are a negligible load.
  Normal,
  // Between Normal and Excessive.
  High,
  // Above the upper bound of Normal by more than two slots and by more than
  // half of that bound. The instance releases slots.
  Excessive
};

slot_load
ClassifyLoad(std::size_t aHeld, double aMean);

// Reason why an instance releases a slot to a better candidate.
enum class release_reason
{
  // Another holder of the service is in the same data centre, while some other
  // data centre has no holder.
  Spread,
  // The instance has an excessive load.
  Balance
};

// A live member. The referenced names must remain valid only while the index is
// constructed.
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
  // Names of the holders in the order of the slots, including dead holders;
  // empty for a vacant slot.
  std::vector<std::string> mHolders;
};

class placement_index
{
public:
  explicit placement_index(const std::vector<placement_member>& aMembers);

  // Mean number of slots that a live member holds.
  double Mean() const { return mMean; }

  // Number of candidates that precede `aSelf`, which holds `aHeld` slots. A
  // group consists of the candidates that are equal under the first four rules.
  // Within the group of `aSelf` the number is exact up to kMaxExactRank and
  // estimated beyond. Each preceding group counts for at most kMaxRanksPerGroup
  // candidates: otherwise a data centre of 278 instances that cannot reach the
  // store would delay the claims of all others by 278 steps. Zero for an
  // instance that is not a member.
  std::size_t Rank(const placement_question& aQuestion,
                   const std::string& aSelf,
                   std::size_t aHeld) const;

  // Returns why the holder `aSelf`, which holds `aHeld` slots in total, should
  // release its slot, or nothing if it should keep the slot. Moves terminate: a
  // release for Spread reduces the number of holders that share a data centre,
  // and a release for Balance never increases that number and moves a slot from
  // an excessively loaded instance to one of normal or low load, which one more
  // slot does not make excessively loaded. Of the holders in the same data
  // centre only the one with the highest slot releases for Spread.
  std::optional<release_reason> ReasonToRelease(
    const placement_question& aQuestion,
    const std::string& aSelf,
    std::size_t aHeld) const;

  // Highest rank within a group that is counted exactly.
  static constexpr std::size_t kMaxExactRank = 16;
  // Maximum number of ranks by which one group precedes the next ones.
  static constexpr std::size_t kMaxRanksPerGroup = 3;

private:
  // Number of levels of slot_load.
  static constexpr std::size_t kLoadLevels = 4;
  // Number of combinations of the first three ordering rules.
  static constexpr std::size_t kLocationClasses = 8;

  struct member
  {
    std::uint64_t mHash = 0;
    std::size_t mDataCentreIndex = 0;
    slot_load mLoad = slot_load::Normal;
  };
  struct data_centre
  {
    std::string mRegion;
    // Hashes of the names of the members in this data centre, by load level.
    std::array<std::vector<std::uint64_t>, kLoadLevels> mMembers;
  };
  // Number of candidates in each group, in the order of preference.
  using group_sizes = std::array<std::size_t, kLocationClasses * kLoadLevels>;

  const member* Find(const std::string& aName) const;
  // The holders that are live members, excluding `aExcept`.
  std::vector<const member*> Holders(const placement_question& aQuestion,
                                     const member* aExcept) const;
  // Preference of each data centre under the first three rules; 0 is the best.
  std::vector<std::size_t> LocationClasses(
    const placement_question& aQuestion,
    const std::vector<const member*>& aHolders) const;
  group_sizes CountGroups(const std::vector<std::size_t>& aLocationClasses,
                          const std::vector<const member*>& aHolders) const;
  std::size_t RankAmongEquals(const placement_question& aQuestion,
                              const std::vector<const member*>& aHolders,
                              const std::vector<std::size_t>& aLocationClasses,
                              const member& aSelf,
                              std::size_t aSize) const;

  double mMean = 0;
  std::vector<data_centre> mDataCentres;
  std::map<std::string, std::size_t, std::less<>> mDataCentreByName;
  // Members by the hash of their names.
  absl::flat_hash_map<std::uint64_t, member> mMembers;
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_SLOT_PLACEMENT_H_
