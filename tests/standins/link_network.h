// Fault-injecting links of a test, which run on a separate thread.
#ifndef SNIPEWALK_STANDINS_LINK_NETWORK_H_
#define SNIPEWALK_STANDINS_LINK_NETWORK_H_

#include "snipewalk/connection/event_loop.h"
#include "standins/fault_link.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace snipewalk::standins {

// Thread-safe set of links. Each function blocks until the link thread has
// performed it.
class link_network
{
public:
  explicit link_network(std::uint64_t aSeed);
  ~link_network();
  link_network(const link_network&) = delete;
  link_network& operator=(const link_network&) = delete;

  // Returns the port of the first link to the address, which is added if there
  // is none.
  std::uint16_t FindOrAdd(const std::string& aAddress);
  // Adds a link to an address, even if there is one already, and returns its
  // port.
  std::uint16_t Add(const std::string& aAddress);
  std::size_t Size();
  void SetFaults(std::size_t aLink, const link_faults& aFaults);
  void Reset(std::size_t aLink);
  // Stops all traffic on established connections without closing them; new
  // connections work.
  void Silence(std::size_t aLink);
  // Closes the silenced connections on the side of the target.
  void DropSilencedAtTarget(std::size_t aLink);
  link_counts Counts(std::size_t aLink);
  // Returns the address of a link's target, for logs.
  std::string Target(std::size_t aLink);

private:
  void RunOnLoop(const std::function<void()>& aTask);
  std::uint16_t AddLink(const std::string& aAddress);

  std::uint64_t mSeed;
  event_loop mLoop;
  std::vector<std::unique_ptr<fault_link>> mLinks;
  std::thread mThread;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_LINK_NETWORK_H_
