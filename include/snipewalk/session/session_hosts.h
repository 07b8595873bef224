// Decides which instances hold connections to a service's servers. Load
// pattern: far more instances than a server takes connections. Each instance
// would win a connection for a statement and lose it again; instead a few
// instances, the hosts of the service, divide the connections, and the others
// forward sessions to them.
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
  // "IP:port" of its port for forwarded sessions.
  std::string mAddress;

  bool operator==(const host_candidate&) const = default;
};

// How the connections of a service are divided.
struct service_hosting
{
  // Zero: between all instances.
  std::size_t mHosts = 0;
  // This instance is one of them.
  bool mOwn = false;

  // This instance has a share of the connections.
  bool HasShare() const { return mHosts == 0 || mOwn; }
};

// Number of hosts of a service whose servers take `aConnections` statement
// connections each; zero when they are enough for all instances. With more
// hosts than data centres, each data centre gets the same number.
std::size_t
HostCount(std::size_t aConnections,
          std::size_t aInstances,
          std::size_t aDataCentres);

// Hosts of a service: the same on each instance with the same candidates, in no
// more of them than needed different when candidates come or go (rendezvous
// hashing), and spread over the data centres.
std::vector<host_candidate>
ChooseHosts(const std::string& aService,
            const std::vector<host_candidate>& aCandidates,
            std::size_t aCount);

class session_hosts
{
public:
  // A host that failed gets no sessions for this long; then it is tried again
  // unless it was marked as gone meanwhile.
  static constexpr milliseconds kAvoidance{ 3'000 };

  session_hosts(std::string aInstance, std::string aDataCentre);

  // The live instances, this one included.
  void SetInstances(std::vector<host_candidate> aInstances);
  // Connections for statements that each server of the service takes.
  void SetService(const std::string& aService, std::size_t aConnections);

  service_hosting HostingOf(const std::string& aService) const;
  // Host for a new session, in the same data centre if there is one; nothing
  // when this instance serves it itself.
  std::optional<host_candidate> HostFor(const std::string& aService,
                                        time_point aNow) const;
  void OnHostFailed(const std::string& aInstance, time_point aNow);

private:
  struct service
  {
    std::size_t mConnections = 0;
    // Chosen when they are first asked for: an instance serves few of the
    // services.
    mutable std::optional<std::vector<host_candidate>> mHosts;
  };

  const std::vector<host_candidate>& HostsOf(const std::string& aName,
                                             const service& aService) const;

  std::string mInstance;
  std::string mDataCentre;
  std::vector<host_candidate> mInstances;
  std::size_t mDataCentres = 0;
  std::map<std::string, service> mServices;
  // By name of the instance.
  std::map<std::string, time_point> mAvoidedUntil;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_HOSTS_H_
