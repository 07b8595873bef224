// Implementation of the desired state.
#include "snipewalk/session/desired_state.h"

namespace snipewalk {

std::optional<std::string>
desired_state::AccountFor(const database_route& aRoute,
                          const std::string& aKey) const
{
  if (!mAccounts || aRoute.mPublic) {
    return std::string();
  }
  const client_account* account = mAccounts->FindByKey(aKey);
  return account == nullptr ? std::nullopt : std::optional(account->mName);
}

} // namespace snipewalk
