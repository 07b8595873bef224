// Implementation of the choice of the instances that issue tokens.
#include "snipewalk/account/allowance_owners.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace snipewalk {

namespace {

std::uint64_t
RendezvousWeight(const std::string& aAccount, const std::string& aInstance)
{
  const std::string text = absl::StrCat("allowance/", aAccount, "/", aInstance);
  return XXH64(text.data(), text.size(), 0);
}

std::vector<std::string>
Difference(const std::set<std::string>& aOne, const std::set<std::string>& aTwo)
{
  std::vector<std::string> names;
  std::set_difference(aOne.begin(),
                      aOne.end(),
                      aTwo.begin(),
                      aTwo.end(),
                      std::back_inserter(names));
  return names;
}

} // namespace

allowance_owners::allowance_owners(std::string aInstance)
  : mInstance(std::move(aInstance))
{
}

void
allowance_owners::SetAccounts(const account_directory& aAccounts)
{
  std::map<std::string, ownership> ownerships;
  for (const auto& [name, account] : aAccounts.All()) {
    if (!account.mLimit) {
      continue;
    }
    const auto known = mOwnerships.find(name);
    ownerships[name] =
      known == mOwnerships.end() ? Choose(name, mChangedAt) : known->second;
  }
  mOwnerships = std::move(ownerships);
}

bool
allowance_owners::SetInstances(const std::set<std::string>& aInstances,
                               time_point aNow)
{
  if (aInstances == mInstances) {
    return false;
  }
  mChangedAt = aNow;
  const auto joined = Difference(aInstances, mInstances);
  mInstances = aInstances;
  for (auto& [account, known] : mOwnerships) {
    if (!mInstances.contains(known.mOwner)) {
      known = Choose(account, aNow);
      continue;
    }
    for (const auto& instance : joined) {
      Offer(account, instance, aNow, known);
    }
  }
  return true;
}

void
allowance_owners::Restart(time_point aNow)
{
  mChangedAt = aNow;
  for (auto& [account, known] : mOwnerships) {
    known.mSince = aNow;
  }
}

allowance_owners::ownership
allowance_owners::Choose(const std::string& aAccount, time_point aNow) const
{
  ownership chosen;
  for (const auto& instance : mInstances) {
    Offer(aAccount, instance, aNow, chosen);
  }
  return chosen;
}

void
allowance_owners::Offer(const std::string& aAccount,
                        const std::string& aInstance,
                        time_point aNow,
                        ownership& aOwnership)
{
  const std::uint64_t weight = RendezvousWeight(aAccount, aInstance);
  if (aOwnership.mOwner.empty() || weight > aOwnership.mWeight) {
    aOwnership = { aInstance, weight, aNow };
  }
}

std::string
allowance_owners::OwnerOf(const std::string& aAccount) const
{
  const auto found = mOwnerships.find(aAccount);
  return found == mOwnerships.end() ? std::string() : found->second.mOwner;
}

std::optional<time_point>
allowance_owners::OwnedSince(const std::string& aAccount) const
{
  const auto found = mOwnerships.find(aAccount);
  if (found == mOwnerships.end() || found->second.mOwner != mInstance) {
    return std::nullopt;
  }
  return found->second.mSince;
}

} // namespace snipewalk
