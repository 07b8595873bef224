// Answers the questions of slot assignment from the membership.
#ifndef SNIPEWALK_FLEET_MEMBERSHIP_FLEET_H_
#define SNIPEWALK_FLEET_MEMBERSHIP_FLEET_H_

#include "snipewalk/fleet/membership.h"
#include "snipewalk/version/slot_assignment.h"
#include "snipewalk/version/slot_placement.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipewalk {

class membership_fleet : public slot_fleet
{
public:
  // `aMembership` outlives this object.
  explicit membership_fleet(const membership& aMembership)
    : mMembership(aMembership)
  {
  }

  holder_liveness Liveness(const slot_record::holder& aHolder) const override;
  std::size_t Rank(const std::string& aService,
                   const std::vector<std::string>& aExcluded) const override;
  fleet_losses Losses() const override;
  std::optional<release_reason> ReasonToRelease(
    const std::string& aService,
    const std::vector<std::string>& aHolders) const override;
  std::optional<time_point> StableSince() const override { return mStable; }
  // Held slots and the services' data centres are taken from `aSlots`, which
  // outlives this object; without it all instances count as equally loaded.
  void SetSlots(const slot_assignment& aSlots) { mSlots = &aSlots; }
  std::string AddressOf(const std::string& aInstance) const override;

  // Call about once a second: holders that neither the membership nor the
  // platform's list knows for `aLag` are gone. The names whose liveness changed
  // by that are returned.
  std::vector<std::string> Tick(time_point aNow, milliseconds aLag);

private:
  struct stranger
  {
    // Nothing until the next Tick().
    std::optional<time_point> mSince;
    bool mGone = false;
  };

  // The index of live members, at most about a second old. It is rebuilt on
  // demand only: most instances claim nothing most of the time.
  const placement_index& Index() const;
  placement_question Question(const std::string& aService,
                              std::vector<std::string> aHolders) const;

  const membership& mMembership;
  const slot_assignment* mSlots = nullptr;
  mutable std::unique_ptr<placement_index> mIndex;
  std::optional<time_point> mStable;
  // Live members at the last Tick(); one that leaves in the same second as
  // another joins is not noticed, which only starts a move early.
  std::size_t mLive = 0;
  // Live members when the index was built.
  mutable std::size_t mIndexed = 0;
  // Holders asked about that the membership does not know.
  mutable std::map<std::pair<std::string, std::uint64_t>, stranger> mStrangers;
};

} // namespace snipewalk

#endif // SNIPEWALK_FLEET_MEMBERSHIP_FLEET_H_
