// Answers the questions of slot assignment from the membership.
#ifndef SNIPEWALK_PROCESS_MEMBERSHIP_FLEET_H_
#define SNIPEWALK_PROCESS_MEMBERSHIP_FLEET_H_

#include "snipewalk/process/membership.h"
#include "snipewalk/version/slot_assignment.h"

#include <cstdint>
#include <map>
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

  const membership& mMembership;
  // Holders asked about that the membership does not know.
  mutable std::map<std::pair<std::string, std::uint64_t>, stranger> mStrangers;
};

} // namespace snipewalk

#endif // SNIPEWALK_PROCESS_MEMBERSHIP_FLEET_H_
