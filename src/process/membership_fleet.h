// Answers the questions of slot assignment from the membership.
#ifndef SNIPEWALK_PROCESS_MEMBERSHIP_FLEET_H_
#define SNIPEWALK_PROCESS_MEMBERSHIP_FLEET_H_

#include "snipewalk/process/membership.h"
#include "snipewalk/version/slot_assignment.h"

#include <string>
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
  std::string AddressOf(const std::string& aInstance) const override;

private:
  const membership& mMembership;
};

} // namespace snipewalk

#endif // SNIPEWALK_PROCESS_MEMBERSHIP_FLEET_H_
