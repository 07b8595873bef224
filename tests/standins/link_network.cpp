// Implementation of the fault-injecting links of a test.
#include "standins/link_network.h"

#include <future>

namespace snipewalk::standins {

link_network::link_network(std::uint64_t aSeed)
  : mSeed(aSeed)
  , mThread([this] { mLoop.Run(); })
{
}

link_network::~link_network()
{
  // Links must be removed from the event loop on the thread that runs it.
  RunOnLoop([this] { mLinks.clear(); });
  mLoop.Stop();
  mThread.join();
}

void
link_network::RunOnLoop(const std::function<void()>& aTask)
{
  std::promise<void> done;
  mLoop.Post([&] {
    aTask();
    done.set_value();
  });
  done.get_future().wait();
}

std::uint16_t
link_network::AddLink(const std::string& aAddress)
{
  mLinks.push_back(std::make_unique<fault_link>(
    mLoop, aAddress, std::uint16_t{ 0 }, mSeed + mLinks.size()));
  return mLinks.back()->Port();
}

std::uint16_t
link_network::FindOrAdd(const std::string& aAddress)
{
  std::uint16_t port = 0;
  RunOnLoop([&] {
    for (const auto& link : mLinks) {
      if (link->Target() == aAddress) {
        port = link->Port();
        return;
      }
    }
    port = AddLink(aAddress);
  });
  return port;
}

std::uint16_t
link_network::Add(const std::string& aAddress)
{
  std::uint16_t port = 0;
  RunOnLoop([&] { port = AddLink(aAddress); });
  return port;
}

std::size_t
link_network::Size()
{
  std::size_t size = 0;
  RunOnLoop([&] { size = mLinks.size(); });
  return size;
}

void
link_network::SetFaults(std::size_t aLink, const link_faults& aFaults)
{
  RunOnLoop([&] { mLinks.at(aLink)->SetFaults(aFaults, mLoop.Now()); });
}

void
link_network::Reset(std::size_t aLink)
{
  RunOnLoop([&] { mLinks.at(aLink)->Reset(); });
}

void
link_network::Silence(std::size_t aLink)
{
  RunOnLoop([&] { mLinks.at(aLink)->SilenceEstablished(); });
}

void
link_network::DropSilencedAtTarget(std::size_t aLink)
{
  RunOnLoop([&] { mLinks.at(aLink)->DropSilencedAtTarget(); });
}

link_counts
link_network::Counts(std::size_t aLink)
{
  link_counts counts;
  RunOnLoop([&] { counts = mLinks.at(aLink)->Counts(); });
  return counts;
}

std::string
link_network::Target(std::size_t aLink)
{
  std::string target;
  RunOnLoop([&] { target = mLinks.at(aLink)->Target(); });
  return target;
}

} // namespace snipewalk::standins
