// One traffic thread: accepts callers and peers, owns the engines of its
// services and moves statements between them.
#ifndef SNIPEWALK_TRAFFIC_TRAFFIC_THREAD_H_
#define SNIPEWALK_TRAFFIC_TRAFFIC_THREAD_H_

#include "snipewalk/base/metrics.h"
#include "snipewalk/base/time.h"
#include "snipewalk/connection/address_translation.h"
#include "snipewalk/connection/caller_adapter.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/messages/service_view.h"
#include "snipewalk/request/forwarder.h"
#include "snipewalk/traffic/caller_connection.h"
#include "snipewalk/traffic/engine_host.h"
#include "snipewalk/traffic/peer_hub.h"

#include <absl/status/status.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace snipewalk {

class listener;
class tls_context;

struct traffic_options
{
  std::string mInstance;
  std::uint64_t mIncarnation = 0;
  std::string mDataCentre;
  // Authenticate peers: all verify, the first signs. An empty key is allowed
  // only where all addresses are loopback ones.
  std::vector<std::string> mFleetKeys{ "" };
  version_range mVersions = kBuildVersions;
  // "IP:port"; port 0 lets the system choose.
  std::string mCallerAddress = "127.0.0.1:0";
  std::string mPeerAddress = "127.0.0.1:0";
  std::size_t mThreads = 1;
  address_translation mAddressTranslation;
  // Callers above the limit are disconnected at once, a thread.
  std::size_t mCallerLimit = 10'000;
  // Without it callers are served in plain HTTP, and only from loopback.
  std::shared_ptr<const tls_context> mCallerTls;
};

// Called on the traffic threads; implementations pass the data on and return.
struct traffic_callbacks
{
  std::function<void(const std::string& aService, const report_evidence&)>
    mOnEvidence;
  // Each half second for each engine.
  std::function<void(const std::string& aService, const engine_status&)>
    mOnStatus;
};

// Numbers that the shutdown and the admin port read from other threads.
struct traffic_counts
{
  std::size_t mCallers = 0;
  // Requests of callers and peers that were not answered yet.
  std::size_t mInFlight = 0;
  std::size_t mTransactions = 0;
};

struct thread_metrics
{
  std::vector<metric_summary> mDistributions;
  std::map<std::string, std::uint64_t> mCounters;
};

class traffic_thread;

// The threads of the instance; lets them find the owner of a service.
class thread_directory
{
public:
  virtual ~thread_directory() = default;
  virtual traffic_thread& OwnerOf(const std::string& aService) = 0;
};

class traffic_thread : private caller_owner
{
public:
  traffic_thread(const traffic_options& aOptions,
                 const traffic_callbacks& aCallbacks,
                 thread_directory& aDirectory);
  ~traffic_thread() override;

  // Binds both ports; before Run().
  absl::Status Listen(const std::string& aCallerAddress,
                      const std::string& aPeerAddress);
  std::string CallerAddress() const;
  std::string PeerAddress() const;

  // Serves until Stop().
  void Run();

  // The functions below may be called from any thread.
  void Stop() { mLoop.Stop(); }
  void Post(event_loop::task aTask) { mLoop.Post(std::move(aTask)); }
  traffic_counts Counts() const;
  thread_metrics Metrics() const;

  // The functions below are for tasks posted to this thread.
  void SetSnapshot(std::shared_ptr<const routing_snapshot> aSnapshot);
  void SetFleetKeys(std::vector<std::string> aFleetKeys);
  // For connections accepted from now on; open ones go on.
  void SetCallerTls(std::shared_ptr<const tls_context> aTls);
  void Observe(const std::string& aService, const status_observed& aStatus);
  // Begins no transactions of the service in this term for kBeginHold; returns
  // how many are open on the server.
  std::size_t HoldBegins(const std::string& aService,
                         const std::string& aServer,
                         std::uint64_t aTerm);
  // Health turns to "shutting down".
  void AnnounceShutdown() { mServing = false; }
  // Stops accepting callers; responses tell the others to reconnect.
  void CloseCallers();
  // Closes callers without a request for `aFor` or longer.
  void CloseIdleCallers(milliseconds aFor);
  // Engines accept no new transactions.
  void DrainEngines();
  std::string Explain(const statement_request& aRequest) const;

private:
  struct caller_route
  {
    caller_id mCaller = 0;
    std::string mCallerRequestId;
    time_point mStart;
    statement_kind mKind = statement_kind::Read;
  };

  caller_context Context(time_point aNow) override;
  void OnCallerRequest(caller_id aCaller,
                       caller_request aRequest,
                       time_point aNow) override;
  void OnCallerHandshake(const std::string& aAddress,
                         const std::string& aFailure,
                         time_point aNow) override;
  void OnCallerClosed(caller_id aCaller) override;
  bool ClosesCallers() const override { return mClosing; }

  peer_hub::handlers HubHandlers();
  void AcceptCaller(const Poco::Net::StreamSocket& aSocket);
  void Respond(caller_id aCaller, http_response aResponse, time_point aNow);
  void Apply(std::vector<forwarder_action> aActions);
  void FinishRequest(const statement_response& aResponse);
  // Gives a request to the engine of this instance, on whichever thread it is.
  void Serve(forwarded_request aRequest, responder aRespond);
  void ServeHere(forwarded_request aRequest, const responder& aRespond);
  void UpdateEngine(const std::string& aService,
                    const std::shared_ptr<const service_view>& aView);
  engine_host& EngineOf(const std::string& aService);
  milliseconds TimeoutOf(const std::string& aService) const;
  void AfterRound(time_point aNow);
  void ArmForwarder();
  void Sweep(time_point aNow);
  void SweepCallers(time_point aNow);
  void PublishMetrics();
  void DropIdleEngines();

  traffic_options mOptions;
  const traffic_callbacks& mCallbacks;
  thread_directory& mDirectory;
  event_loop mLoop;
  id_source mIds;
  forwarder mForwarder;
  peer_hub mHub;
  std::unique_ptr<listener> mCallerListener;
  std::unique_ptr<listener> mPeerListener;
  std::shared_ptr<const routing_snapshot> mSnapshot;
  std::map<std::string, std::unique_ptr<engine_host>> mEngines;
  std::unordered_map<caller_id, std::unique_ptr<caller_connection>> mCallers;
  // Where responses go, by request id.
  std::unordered_map<std::string, caller_route> mRoutes;
  caller_id mNextCaller = 1;
  // Callers before the end of their TLS handshake.
  std::size_t mHandshakes = 0;
  // End of the present interval of logging, and the lines written in it.
  time_point mHandshakeLogEnd;
  int mHandshakesLogged = 0;
  std::int64_t mHandshakesUnlogged = 0;
  event_loop::timer_id mForwarderTimer = 0;
  time_point mForwarderDue;
  time_point mLastCallerSweep;
  bool mServing = true;
  bool mClosing = false;
  bool mDraining = false;
  metrics_registry mMetrics;
  std::atomic<std::size_t> mCallerCount{ 0 };
  std::atomic<std::size_t> mInFlight{ 0 };
  std::atomic<std::size_t> mTransactions{ 0 };
  mutable std::mutex mMutex;
  // Guarded by mMutex.
  thread_metrics mPublished;
};

} // namespace snipewalk

#endif // SNIPEWALK_TRAFFIC_TRAFFIC_THREAD_H_
