// All traffic threads of an instance. The control thread publishes snapshots to
// them and receives evidence and status through the callbacks.
#ifndef SNIPEWALK_TRAFFIC_TRAFFIC_GROUP_H_
#define SNIPEWALK_TRAFFIC_TRAFFIC_GROUP_H_

#include "snipewalk/messages/control_messages.h"
#include "snipewalk/traffic/traffic_thread.h"

#include <absl/status/status.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace snipewalk {

// All functions may be called from any thread once Start() returned.
class traffic_group : private thread_directory
{
public:
  traffic_group(traffic_options aOptions, traffic_callbacks aCallbacks);
  // Stops and joins the threads.
  ~traffic_group() override;
  traffic_group(const traffic_group&) = delete;
  traffic_group& operator=(const traffic_group&) = delete;

  // Binds the ports and starts the threads. Errors: Unavailable when an address
  // cannot be bound.
  absl::Status Start();
  void Stop();

  std::string CallerAddress() const { return mCallerAddress; }
  std::string PeerAddress() const { return mPeerAddress; }

  void Publish(const std::shared_ptr<const routing_snapshot>& aSnapshot);
  void Observe(const std::string& aService, const status_observed& aStatus);
  // See traffic_thread::HoldBegins(); calls back on the service's thread.
  void HoldBegins(const transactions_query& aQuery,
                  std::function<void(std::size_t aOpen)> aDone);
  // All keys verify, the first signs. Links that are open remain.
  void SetFleetKeys(const std::vector<std::string>& aFleetKeys);
  // For callers that connect from now on; open connections go on.
  void SetCallerTls(const std::shared_ptr<const tls_context>& aTls);

  // Steps of the shutdown, see shutdown.h.
  void AnnounceShutdown();
  void CloseCallers();
  void CloseIdleCallers(milliseconds aFor);
  void DrainEngines();

  // Sum over the threads; at most one round of events old.
  traffic_counts Counts() const;
  // One entry a thread; at most a second old.
  std::vector<thread_metrics> Metrics() const;

  // Asks the service's thread; an error text when it does not answer within
  // `aTimeout`.
  std::string Explain(const statement_request& aRequest, milliseconds aTimeout);

private:
  traffic_thread& OwnerOf(const std::string& aService) override;
  // Runs a task on each thread.
  template<typename Task>
  void ForEach(const Task& aTask);

  traffic_options mOptions;
  traffic_callbacks mCallbacks;
  std::string mCallerAddress;
  std::string mPeerAddress;
  std::vector<std::unique_ptr<traffic_thread>> mThreads;
  std::vector<std::thread> mRunning;
};

} // namespace snipewalk

#endif // SNIPEWALK_TRAFFIC_TRAFFIC_GROUP_H_
