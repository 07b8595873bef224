// Which instance issues the tokens of each account's rate limit. Each account
// has one owner, the live instance of the highest rendezvous weight, so that
// the loss of an instance affects few accounts. Instances may learn of the same
// change at different times; an owner therefore waits, after it has become one,
// until the former owner must have noticed.
#ifndef SNIPEWALK_ACCOUNT_ALLOWANCE_OWNERS_H_
#define SNIPEWALK_ACCOUNT_ALLOWANCE_OWNERS_H_

#include "snipewalk/account/account_directory.h"
#include "snipewalk/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace snipewalk {

class allowance_owners
{
public:
  // An instance may issue tokens for this long after the time as of which its
  // view of the live instances was confirmed, and a new owner waits as long.
  static constexpr milliseconds kLease{ 3'000 };

  explicit allowance_owners(std::string aInstance);

  // Sets the accounts with a limit. The owner of a new one is determined by the
  // live instances alone, and counts as owner since they changed.
  void SetAccounts(const account_directory& aAccounts);
  // Sets the names of the live instances. Returns whether they differ from the
  // former ones.
  bool SetInstances(const std::set<std::string>& aInstances, time_point aNow);
  // Called when this instance may have missed changes of the live instances.
  // What it owns counts as owned since now.
  void Restart(time_point aNow);

  // Name of the instance that issues the account's tokens; empty if there is
  // none.
  std::string OwnerOf(const std::string& aAccount) const;
  // Since when this instance has been the owner of the account without an
  // interruption; std::nullopt if it is not.
  std::optional<time_point> OwnedSince(const std::string& aAccount) const;

private:
  struct ownership
  {
    std::string mOwner;
    std::uint64_t mWeight = 0;
    time_point mSince;
  };

  // Chooses among all live instances.
  ownership Choose(const std::string& aAccount, time_point aNow) const;
  static void Offer(const std::string& aAccount,
                    const std::string& aInstance,
                    time_point aNow,
                    ownership& aOwnership);

  std::string mInstance;
  std::set<std::string> mInstances;
  time_point mChangedAt = time_point::min();
  // By name of the account.
  std::map<std::string, ownership> mOwnerships;
};

} // namespace snipewalk

#endif // SNIPEWALK_ACCOUNT_ALLOWANCE_OWNERS_H_
