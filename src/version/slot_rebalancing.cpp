// Implementation of slot assignment: what placement asks about held slots.
#include "slot_service.h"

#include "snipewalk/version/slot_assignment.h"

namespace snipewalk {

std::size_t
slot_assignment::Load() const
{
  std::size_t claims = 0;
  for (const auto& [operation, name] : mOperations) {
    const slot_service& service = *mServices.at(name);
    claims += service.mOperationIsPut && !service.mSlot ? 1 : 0;
  }
  return HeldCount() + claims;
}

std::size_t
slot_assignment::HeldBy(const std::string& aInstance) const
{
  const auto held = mByHolder.find(aInstance);
  return held == mByHolder.end() ? 0 : held->second.size();
}

std::vector<std::string>
slot_assignment::ServerDataCentres(const std::string& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? std::vector<std::string>{}
                                  : found->second->mServerDataCentres;
}

} // namespace snipewalk
