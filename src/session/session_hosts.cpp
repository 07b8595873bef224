// Implementation of the choice of a service's hosts.
#include "snipewalk/session/session_hosts.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

namespace snipewalk {

namespace {

// Statement connections per host. Enough for a burst on one service; with
// fewer, statements would queue at one host while connections of other hosts
// are idle.
constexpr std::size_t kConnectionsPerHost = 6;
// Minimum number of hosts, so that one remains if another fails.
constexpr std::size_t kMinHosts = 2;

std::uint64_t
RendezvousWeight(const std::string& aService, const std::string& aInstance)
{
  const std::string text = absl::StrCat(aService, "/", aInstance);
  return XXH64(text.data(), text.size(), 0);
}

} // namespace

std::size_t
HostCount(std::size_t aConnections,
          std::size_t aInstances,
          std::size_t aDataCentres)
{
  if (aInstances <= aConnections) {
    return 0;
  }
  const std::size_t wanted =
    std::max(kMinHosts, aConnections / kConnectionsPerHost);
  if (wanted <= aDataCentres) {
    return wanted;
  }
  // Rounded up to the same number in each data centre, since callers use the
  // hosts of their own data centre.
  const std::size_t rounds = (wanted + aDataCentres - 1) / aDataCentres;
  return std::min(rounds * aDataCentres, aConnections);
}

std::vector<host_candidate>
ChooseHosts(const std::string& aService,
            const std::vector<host_candidate>& aCandidates,
            std::size_t aCount)
{
  // Candidates by data centre, the highest weight first.
  std::map<std::string, std::vector<std::pair<std::uint64_t, host_candidate>>>
    centres;
  for (const auto& candidate : aCandidates) {
    centres[candidate.mDataCentre].emplace_back(
      RendezvousWeight(aService, candidate.mName), candidate);
  }
  std::vector<std::vector<std::pair<std::uint64_t, host_candidate>>> ranked;
  for (auto& [name, members] : centres) {
    std::sort(members.begin(),
              members.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.first > aRight.first;
              });
    ranked.push_back(std::move(members));
  }
  // If there are fewer hosts than data centres, the data centres with the
  // highest weights get them.
  std::sort(
    ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.front().first > aRight.front().first;
    });
  std::vector<host_candidate> hosts;
  const std::size_t wanted = std::min(aCount, aCandidates.size());
  for (std::size_t round = 0; hosts.size() < wanted; ++round) {
    for (const auto& members : ranked) {
      if (round < members.size() && hosts.size() < wanted) {
        hosts.push_back(members[round].second);
      }
    }
  }
  return hosts;
}

session_hosts::session_hosts(std::string aInstance, std::string aDataCentre)
  : mInstance(std::move(aInstance))
  , mDataCentre(std::move(aDataCentre))
{
}

void
session_hosts::SetInstances(std::vector<host_candidate> aInstances)
{
  if (aInstances == mInstances) {
    return;
  }
  mInstances = std::move(aInstances);
  std::set<std::string> centres;
  for (const auto& instance : mInstances) {
    centres.insert(instance.mDataCentre);
  }
  mDataCentres = centres.size();
  for (auto& [name, known] : mServices) {
    known.mHosts.reset();
  }
}

void
session_hosts::SetService(const std::string& aService, std::size_t aConnections)
{
  service& known = mServices[aService];
  if (known.mConnections != aConnections) {
    known.mConnections = aConnections;
    known.mHosts.reset();
  }
}

const std::vector<host_candidate>&
session_hosts::HostsOf(const std::string& aName, const service& aService) const
{
  if (!aService.mHosts) {
    aService.mHosts = ChooseHosts(
      aName,
      mInstances,
      HostCount(aService.mConnections, mInstances.size(), mDataCentres));
  }
  return *aService.mHosts;
}

service_hosting
session_hosts::HostingOf(const std::string& aService) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return {};
  }
  const auto& hosts = HostsOf(aService, found->second);
  const bool isHost =
    std::any_of(hosts.begin(), hosts.end(), [this](const auto& aHost) {
      return aHost.mName == mInstance;
    });
  return { hosts.size(), isHost };
}

std::optional<host_candidate>
session_hosts::HostFor(const std::string& aService, time_point aNow) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end() || HostingOf(aService).mIsHost) {
    return std::nullopt;
  }
  std::optional<host_candidate> chosen;
  std::uint64_t bestWeight = 0;
  bool bestSameDataCentre = false;
  for (const auto& host : HostsOf(aService, found->second)) {
    if (IsAvoided(host, aNow)) {
      continue;
    }
    // The weight depends on this instance, so that the instances spread over
    // the hosts.
    const std::uint64_t weight = RendezvousWeight(mInstance, host.mName);
    const bool sameDataCentre = host.mDataCentre == mDataCentre;
    if (!chosen || std::make_pair(sameDataCentre, weight) >
                     std::make_pair(bestSameDataCentre, bestWeight)) {
      chosen = host;
      bestWeight = weight;
      bestSameDataCentre = sameDataCentre;
    }
  }
  return chosen;
}

std::optional<host_candidate>
session_hosts::HostForAccount(const std::string& aService,
                              const std::string& aAccount,
                              double aShare,
                              time_point aNow) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return std::nullopt;
  }
  const auto& hosts = HostsOf(aService, found->second);
  const double connections =
    aShare * static_cast<double>(found->second.mConnections);
  if (connections >= static_cast<double>(hosts.size())) {
    return HostFor(aService, aNow);
  }
  const bool inEachDataCentre =
    connections >= static_cast<double>(mDataCentres);
  std::optional<host_candidate> chosen;
  std::pair<bool, std::uint64_t> best;
  for (const auto& host : hosts) {
    if (IsAvoided(host, aNow)) {
      continue;
    }
    // The same on all instances, but for accounts that have a host in each data
    // centre.
    const std::pair preference{ inEachDataCentre &&
                                  host.mDataCentre == mDataCentre,
                                RendezvousWeight(aAccount, host.mName) };
    if (!chosen || preference > best) {
      chosen = host;
      best = preference;
    }
  }
  return chosen && chosen->mName == mInstance ? std::nullopt : chosen;
}

bool
session_hosts::IsAvoided(const host_candidate& aHost, time_point aNow) const
{
  const auto avoided = mAvoidedUntil.find(aHost.mName);
  return avoided != mAvoidedUntil.end() && aNow < avoided->second;
}

void
session_hosts::OnHostFailed(const std::string& aInstance, time_point aNow)
{
  mAvoidedUntil[aInstance] = aNow + kFailedHostRetryDelay;
}

} // namespace snipewalk
