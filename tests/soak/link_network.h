// Fault-injecting links of a soak run, on a thread of their own.
#ifndef SNIPEWALK_SOAK_LINK_NETWORK_H_
#define SNIPEWALK_SOAK_LINK_NETWORK_H_

#include "snipewalk/connection/event_loop.h"
#include "standins/fault_link.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace snipewalk::soak {

// All functions may be called from any thread; each waits until it is done.
class link_network
{
public:
  explicit link_network(std::uint64_t aSeed);
  ~link_network();
  link_network(const link_network&) = delete;
  link_network& operator=(const link_network&) = delete;

  // Port of a link to the address: the present one, or a new one.
  std::uint16_t LinkTo(const std::string& aAddress);
  // A further link to an address.
  std::uint16_t Add(const std::string& aAddress);
  std::size_t Size();
  void SetFaults(std::size_t aLink, const standins::link_faults& aFaults);
  void Reset(std::size_t aLink);
  // Present connections carry nothing any more; new ones work.
  void Silence(std::size_t aLink);
  // The target drops the silenced connections.
  void DropSilencedAtTarget(std::size_t aLink);
  // Target of a link, for logs.
  std::string Target(std::size_t aLink);

private:
  void Run(const std::function<void()>& aTask);
  std::uint16_t Open(const std::string& aAddress);

  std::uint64_t mSeed;
  event_loop mLoop;
  std::vector<std::unique_ptr<standins::fault_link>> mLinks;
  std::thread mThread;
};

} // namespace snipewalk::soak

#endif // SNIPEWALK_SOAK_LINK_NETWORK_H_
