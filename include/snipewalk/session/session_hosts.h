// Chooses the instances that hold connections to the servers of a service.
// There may be far more instances than a server accepts connections. If all of
// them competed for connections, each would open one for a statement and lose
// it again. Instead a few instances, the hosts of the service, divide the
// connections, and the others forward sessions to the hosts.
#ifndef SNIPEWALK_SESSION_SESSION_HOSTS_H_
#define SNIPEWALK_SESSION_SESSION_HOSTS_H_

#include "snipewalk/base/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipewalk {

struct host_candidate
{
  std::string mName;
  std::string mDataCentre;
  // "IP:port" at which the instance accepts forwarded sessions.
  std::string mAddress;

  bool operator==(const host_candidate&) const = default;
};

// Division of the connections of a service between instances.
struct service_hosting
{
  // Number of hosts; zero if all instances divide the connections.
  std::size_t mHostCount = 0;
  // This instance is one of the hosts.
  bool mIsHost = false;

  // Returns whether this instance holds connections to the service's servers.
  bool HasConnectionShare() const { return mHostCount == 0 || mIsHost; }
};

// Returns the number of hosts of a service whose servers accept `aConnections`
// statement connections each; zero if these suffice for all instances. If there
// are more hosts than data centres, each data centre gets the same number.
std::size_t
HostCount(std::size_t aConnections,
          std::size_t aInstances,
          std::size_t aDataCentres);

// Returns the hosts of a service, spread over the data centres. The result is
// the same on all instances with the same candidates, and changes as little as
// possible when candidates are added or removed (rendezvous hashing).
std::vector<host_candidate>
ChooseHosts(const std::string& aService,
            const std::vector<host_candidate>& aCandidates,
            std::size_t aCount);

class session_hosts
{
public:
  // Time during which a host that failed gets no sessions. It is tried again
  // afterwards unless the instance has been marked as gone.
  static constexpr milliseconds kFailedHostRetryDelay{ 3'000 };

  session_hosts(std::string aInstance, std::string aDataCentre);

  // Sets the live instances, including this one.
  void SetInstances(std::vector<host_candidate> aInstances);
  // Sets the number of statement connections that each server of the service
  // accepts.
  void SetService(const std::string& aService, std::size_t aConnections);

  service_hosting HostingOf(const std::string& aService) const;
  // Returns the host for a new session, preferably in the same data centre;
  // std::nullopt if this instance serves the session itself.
  std::optional<host_candidate> HostFor(const std::string& aService,
                                        time_point aNow) const;
  // The same for a session of a client account. Connections belong to accounts,
  // so the hosts of a service divide the accounts: a small one is served by one
  // host, one that can use as many connections as there are data centres by a
  // host in each, and one that can use as many as there are hosts by all.
  // `aShare` is the account's part of the load, from 0 to 1.
  std::optional<host_candidate> HostForAccount(const std::string& aService,
                                               const std::string& aAccount,
                                               double aShare,
                                               time_point aNow) const;
  void OnHostFailed(const std::string& aInstance, time_point aNow);

private:
  struct service
  {
    std::size_t mConnections = 0;
    // Computed on first use, since an instance serves few of the services.
    mutable std::optional<std::vector<host_candidate>> mHosts;
  };

  const std::vector<host_candidate>& HostsOf(const std::string& aName,
                                             const service& aService) const;
  bool IsAvoided(const host_candidate& aHost, time_point aNow) const;

  std::string mInstance;
  std::string mDataCentre;
  std::vector<host_candidate> mInstances;
  std::size_t mDataCentres = 0;
  std::map<std::string, service> mServices;
  // Failed hosts and when they may be used again, by name of the instance.
  std::map<std::string, time_point> mAvoidedUntil;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_HOSTS_H_
