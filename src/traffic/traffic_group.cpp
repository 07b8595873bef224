// Implementation of the group of traffic threads.
#include "snipewalk/traffic/traffic_group.h"

#include <xxhash.h>

#include <future>
#include <utility>

namespace snipewalk {

traffic_group::traffic_group(traffic_options aOptions,
                             traffic_callbacks aCallbacks)
  : mOptions(std::move(aOptions))
  , mCallbacks(std::move(aCallbacks))
{
}

traffic_group::~traffic_group()
{
  Stop();
}

absl::Status
traffic_group::Start()
{
  mCallerAddress = mOptions.mCallerAddress;
  mPeerAddress = mOptions.mPeerAddress;
  thread_directory& directory = *this;
  for (std::size_t i = 0; i < mOptions.mThreads; ++i) {
    auto thread =
      std::make_unique<traffic_thread>(mOptions, mCallbacks, directory);
    absl::Status status = thread->Listen(mCallerAddress, mPeerAddress);
    if (!status.ok()) {
      mThreads.clear();
      return status;
    }
    // Further threads share the port that the first one got.
    mCallerAddress = thread->CallerAddress();
    mPeerAddress = thread->PeerAddress();
    mThreads.push_back(std::move(thread));
  }
  for (auto& thread : mThreads) {
    mRunning.emplace_back([&thread = *thread] { thread.Run(); });
  }
  return absl::OkStatus();
}

void
traffic_group::Stop()
{
  for (auto& thread : mThreads) {
    thread->Stop();
  }
  for (auto& running : mRunning) {
    running.join();
  }
  mRunning.clear();
}

traffic_thread&
traffic_group::OwnerOf(const std::string& aService)
{
  const auto hash = XXH64(aService.data(), aService.size(), 0);
  return *mThreads[hash % mThreads.size()];
}

template<typename Task>
void
traffic_group::ForEach(const Task& aTask)
{
  for (auto& thread : mThreads) {
    thread->Post([&thread = *thread, aTask] { aTask(thread); });
  }
}

void
traffic_group::Publish(const std::shared_ptr<const routing_snapshot>& aSnapshot)
{
  ForEach(
    [aSnapshot](traffic_thread& aThread) { aThread.SetSnapshot(aSnapshot); });
}

void
traffic_group::Observe(const std::string& aService,
                       const status_observed& aStatus)
{
  traffic_thread& owner = OwnerOf(aService);
  owner.Post([&owner, aService, aStatus] { owner.Observe(aService, aStatus); });
}

void
traffic_group::HoldBegins(const transactions_query& aQuery,
                          std::function<void(std::size_t aOpen)> aDone)
{
  traffic_thread& owner = OwnerOf(aQuery.mService);
  owner.Post([&owner, aQuery, done = std::move(aDone)] {
    done(owner.HoldBegins(aQuery.mService, aQuery.mServer, aQuery.mTerm));
  });
}

void
traffic_group::SetFleetKeys(const std::vector<std::string>& aFleetKeys)
{
  ForEach([aFleetKeys](traffic_thread& aThread) {
    aThread.SetFleetKeys(aFleetKeys);
  });
}

void
traffic_group::SetCallerTls(const std::shared_ptr<const tls_context>& aTls)
{
  ForEach([aTls](traffic_thread& aThread) { aThread.SetCallerTls(aTls); });
}

void
traffic_group::AnnounceShutdown()
{
  ForEach([](traffic_thread& aThread) { aThread.AnnounceShutdown(); });
}

void
traffic_group::CloseCallers()
{
  ForEach([](traffic_thread& aThread) { aThread.CloseCallers(); });
}

void
traffic_group::CloseIdleCallers(milliseconds aFor)
{
  ForEach([aFor](traffic_thread& aThread) { aThread.CloseIdleCallers(aFor); });
}

void
traffic_group::DrainEngines()
{
  ForEach([](traffic_thread& aThread) { aThread.DrainEngines(); });
}

traffic_counts
traffic_group::Counts() const
{
  traffic_counts sum;
  for (const auto& thread : mThreads) {
    const traffic_counts counts = thread->Counts();
    sum.mCallers += counts.mCallers;
    sum.mInFlight += counts.mInFlight;
    sum.mTransactions += counts.mTransactions;
  }
  return sum;
}

std::vector<thread_metrics>
traffic_group::Metrics() const
{
  std::vector<thread_metrics> metrics;
  metrics.reserve(mThreads.size());
  for (const auto& thread : mThreads) {
    metrics.push_back(thread->Metrics());
  }
  return metrics;
}

std::string
traffic_group::Explain(const statement_request& aRequest, milliseconds aTimeout)
{
  traffic_thread& owner = OwnerOf(aRequest.mService);
  // Shared with the task, which may run after this function gave up.
  auto answer = std::make_shared<std::promise<std::string>>();
  auto future = answer->get_future();
  owner.Post(
    [&owner, aRequest, answer] { answer->set_value(owner.Explain(aRequest)); });
  if (future.wait_for(aTimeout) != std::future_status::ready) {
    return "the traffic thread does not answer";
  }
  return future.get();
}

} // namespace snipewalk
