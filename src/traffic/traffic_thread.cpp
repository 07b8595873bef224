// Implementation of the traffic thread: callers, routes and rounds.
#include "snipewalk/traffic/traffic_thread.h"

#include "snipewalk/base/log.h"
#include "snipewalk/connection/listener.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <chrono>
#include <optional>
#include <utility>

namespace snipewalk {

namespace {

constexpr milliseconds kSweepInterval{ 500 };
constexpr milliseconds kCallerSweepInterval{ 1'000 };
// Handshakes of one thread at a time. Each holds about 50 KB, and a flood of
// unfinished ones must not take the memory of the instance.
constexpr std::size_t kConcurrentHandshakeLimit = 512;
// So many refused handshakes are logged in an interval; the others are counted.
constexpr int kHandshakeLogLimit = 10;
constexpr milliseconds kHandshakeLogInterval{ 1'000 };

// Nothing when the caller is gone already.
std::optional<Poco::Net::SocketAddress>
PeerOf(const Poco::Net::StreamSocket& aSocket)
{
  try {
    return aSocket.peerAddress();
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

double
MillisecondsSince(time_point aStart)
{
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - aStart)
    .count();
}

const char*
LatencyNameOf(statement_kind aKind)
{
  if (aKind == statement_kind::Read) {
    return "read_latency";
  }
  return aKind == statement_kind::Write ? "write_latency"
                                        : "transaction_latency";
}

} // namespace

traffic_thread::traffic_thread(const traffic_options& aOptions,
                               const traffic_callbacks& aCallbacks,
                               thread_directory& aDirectory)
  : mOptions(aOptions)
  , mCallbacks(aCallbacks)
  , mDirectory(aDirectory)
  , mForwarder({ aOptions.mInstance, aOptions.mDataCentre })
  , mHub(mLoop,
         { aOptions.mInstance, aOptions.mFleetKeys, aOptions.mVersions },
         HubHandlers())
{
  mLoop.SetAfterRound([this](time_point aNow) { AfterRound(aNow); });
  mLoop.RunAt(mLoop.Now() + kSweepInterval,
              [this](time_point aNow) { Sweep(aNow); });
}

traffic_thread::~traffic_thread() = default;

absl::Status
traffic_thread::Listen(const std::string& aCallerAddress,
                       const std::string& aPeerAddress)
{
  auto callers = listener::Open(mLoop,
                                aCallerAddress,
                                [this](const Poco::Net::StreamSocket& aSocket,
                                       time_point) { AcceptCaller(aSocket); });
  if (!callers.ok()) {
    return callers.status();
  }
  auto peers = listener::Open(mLoop,
                              aPeerAddress,
                              [this](const Poco::Net::StreamSocket& aSocket,
                                     time_point) { mHub.Adopt(aSocket); });
  if (!peers.ok()) {
    return peers.status();
  }
  mCallerListener = *std::move(callers);
  mPeerListener = *std::move(peers);
  return absl::OkStatus();
}

std::string
traffic_thread::CallerAddress() const
{
  return mCallerListener->Address();
}

std::string
traffic_thread::PeerAddress() const
{
  return mPeerListener->Address();
}

void
traffic_thread::Run()
{
  mLoop.Run();
}

peer_hub::handlers
traffic_thread::HubHandlers()
{
  peer_hub::handlers handlers;
  handlers.mOnReady = [this](const std::string& aPeer) {
    mForwarder.OnPeerReady(aPeer);
  };
  handlers.mOnClosed =
    [this](const std::string& aPeer, bool aWasReady, time_point aNow) {
      std::vector<forwarder_action> actions;
      mForwarder.OnPeerClosed(aPeer, aWasReady, aNow, actions);
      Apply(std::move(actions));
    };
  handlers.mOnResponse = [this](statement_response aResponse, time_point aNow) {
    std::vector<forwarder_action> actions;
    mForwarder.OnResponse(std::move(aResponse), aNow, actions);
    Apply(std::move(actions));
  };
  handlers.mOnRequest =
    [this](forwarded_request aRequest, responder aRespond, time_point) {
      mMetrics.Count("requests_from_peers");
      Serve(std::move(aRequest), std::move(aRespond));
    };
  return handlers;
}

void
traffic_thread::AcceptCaller(const Poco::Net::StreamSocket& aSocket)
{
  const auto peer = PeerOf(aSocket);
  if (!peer) {
    return;
  }
  const bool allowed = mOptions.mCallerTls
                         ? mHandshakes < kConcurrentHandshakeLimit
                         : peer->host().isLoopback();
  if (mCallers.size() >= mOptions.mCallerLimit || !allowed) {
    mMetrics.Count("callers_refused");
    return;
  }
  caller_tls tls;
  if (mOptions.mCallerTls) {
    tls = { tls_session::Server(mOptions.mCallerTls), peer->toString() };
  }
  const bool handshakes = tls.mSession != nullptr;
  caller_owner& owner = *this;
  const caller_id id = mNextCaller++;
  mCallers.emplace(id,
                   std::make_unique<caller_connection>(
                     mLoop, aSocket, id, owner, std::move(tls)));
  mHandshakes += handshakes ? 1 : 0;
}

void
traffic_thread::SetCallerTls(std::shared_ptr<const tls_context> aTls)
{
  mOptions.mCallerTls = std::move(aTls);
}

void
traffic_thread::OnCallerHandshake(const std::string& aAddress,
                                  const std::string& aFailure,
                                  time_point aNow)
{
  --mHandshakes;
  if (aFailure.empty()) {
    mMetrics.Count("tls_handshakes");
    return;
  }
  mMetrics.Count("tls_handshakes_refused");
  if (aNow >= mHandshakeLogEnd) {
    mHandshakeLogEnd = aNow + kHandshakeLogInterval;
    mHandshakesLogged = 0;
  }
  if (++mHandshakesLogged > kHandshakeLogLimit) {
    ++mHandshakesUnlogged;
    return;
  }
  Log(log_level::Warning,
      "callers",
      "TLS handshake refused",
      { { "address", std::string_view(aAddress) },
        { "reason", std::string_view(aFailure) },
        { "not_logged", std::exchange(mHandshakesUnlogged, 0) } });
}

caller_context
traffic_thread::Context(time_point aNow)
{
  return { aNow, mIds, [this](const std::string& aService) {
            return TimeoutOf(aService);
          } };
}

milliseconds
traffic_thread::TimeoutOf(const std::string& aService) const
{
  if (mSnapshot) {
    const auto found = mSnapshot->mServices.find(aService);
    if (found != mSnapshot->mServices.end()) {
      return std::min(found->second->mDocument.mStatementTimeout,
                      kStatementTimeoutLimit);
    }
  }
  return kDefaultStatementTimeout;
}

void
traffic_thread::OnCallerRequest(caller_id aCaller,
                                caller_request aRequest,
                                time_point aNow)
{
  if (std::holds_alternative<health_query>(aRequest.mBody)) {
    Respond(aCaller, EncodeHealth(mServing), aNow);
    return;
  }
  forwarded_request request;
  caller_route route{ aCaller, std::move(aRequest.mCallerRequestId), aNow };
  if (auto* statement = std::get_if<statement_request>(&aRequest.mBody)) {
    route.mKind = statement->mKind;
    request = std::move(*statement);
  } else {
    request = std::get<outcome_request>(std::move(aRequest.mBody));
  }
  mRoutes.emplace(RequestIdOf(request), std::move(route));
  std::vector<forwarder_action> actions;
  mForwarder.Submit(std::move(request), aNow, actions);
  Apply(std::move(actions));
}

void
traffic_thread::OnCallerClosed(caller_id aCaller)
{
  auto found = mCallers.extract(aCaller);
  if (found.empty()) {
    return;
  }
  // The connection is on the stack; it is destroyed in a later task.
  mLoop.Post([caller = std::shared_ptr<caller_connection>(
                std::move(found.mapped()))] {});
}

void
traffic_thread::Respond(caller_id aCaller,
                        http_response aResponse,
                        time_point aNow)
{
  const auto found = mCallers.find(aCaller);
  if (found != mCallers.end()) {
    found->second->Respond(std::move(aResponse), aNow);
  }
}

void
traffic_thread::Apply(std::vector<forwarder_action> aActions)
{
  for (auto& action : aActions) {
    if (auto* serve = std::get_if<serve_here>(&action)) {
      Serve(std::move(serve->mRequest),
            [this](statement_response aResponse, time_point aNow) {
              std::vector<forwarder_action> actions;
              mForwarder.OnResponse(std::move(aResponse), aNow, actions);
              Apply(std::move(actions));
            });
    } else if (auto* send = std::get_if<send_to_peer>(&action)) {
      mMetrics.Count("requests_to_peers");
      mHub.Send(send->mPeer, send->mAddress, std::move(send->mRequest));
    } else {
      FinishRequest(std::get<finish_request>(action).mResponse);
    }
  }
}

void
traffic_thread::FinishRequest(const statement_response& aResponse)
{
  auto found = mRoutes.extract(aResponse.mRequestId);
  if (found.empty()) {
    return;
  }
  const caller_route& route = found.mapped();
  mMetrics.Get(LatencyNameOf(route.mKind), "ms")
    .Record(MillisecondsSince(route.mStart));
  if (aResponse.mOutcome != statement_outcome::Done) {
    mMetrics.Count("responses_" +
                   std::string(NameOf(kRefusalReasonNames, aResponse.mReason)));
  }
  Respond(route.mCaller,
          EncodeCallerResponse(aResponse, route.mCallerRequestId),
          mLoop.Now());
}

void
traffic_thread::AfterRound(time_point)
{
  for (auto& [name, engine] : mEngines) {
    engine->ArmTimer();
  }
  ArmForwarder();
  mHub.Flush();
  // A listener that still closes may hold a caller's connection.
  const bool accepts =
    mClosing && mCallerListener && !mCallerListener->IsClosed();
  mCallerCount.store(mCallers.size() + (accepts ? 1 : 0),
                     std::memory_order_relaxed);
  mInFlight.store(mRoutes.size() + mHub.Incoming(), std::memory_order_relaxed);
}

void
traffic_thread::ArmForwarder()
{
  const auto due = mForwarder.NextTimer();
  if (mForwarderTimer != 0 && due && *due == mForwarderDue) {
    return;
  }
  mLoop.Cancel(mForwarderTimer);
  mForwarderTimer = 0;
  if (!due) {
    return;
  }
  mForwarderDue = *due;
  mForwarderTimer = mLoop.RunAt(*due, [this](time_point aNow) {
    mForwarderTimer = 0;
    std::vector<forwarder_action> actions;
    mForwarder.OnTimer(aNow, actions);
    Apply(std::move(actions));
  });
}

void
traffic_thread::Sweep(time_point aNow)
{
  std::size_t transactions = 0;
  for (const auto& [service, engine] : mEngines) {
    const engine_status status = engine->Status();
    transactions += status.mTransactions;
    if (mCallbacks.mOnStatus) {
      mCallbacks.mOnStatus(service, status);
    }
  }
  mTransactions.store(transactions, std::memory_order_relaxed);
  if (aNow - mLastCallerSweep >= kCallerSweepInterval) {
    mLastCallerSweep = aNow;
    SweepCallers(aNow);
    mHub.CloseIdle(aNow);
    DropIdleEngines();
    PublishMetrics();
  }
  mLoop.RunAt(aNow + kSweepInterval,
              [this](time_point aLater) { Sweep(aLater); });
}

void
traffic_thread::SweepCallers(time_point aNow)
{
  for (auto entry = mCallers.begin(); entry != mCallers.end();) {
    // The call may take this entry out of the map.
    const auto current = entry++;
    current->second->CloseIfOverdue(aNow);
  }
}

void
traffic_thread::PublishMetrics()
{
  thread_metrics metrics;
  metrics.mDistributions = mMetrics.Summaries();
  metrics.mCounters = mMetrics.Counters();
  const std::lock_guard<std::mutex> lock(mMutex);
  mPublished = std::move(metrics);
}

thread_metrics
traffic_thread::Metrics() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mPublished;
}

traffic_counts
traffic_thread::Counts() const
{
  return { mCallerCount.load(), mInFlight.load(), mTransactions.load() };
}

} // namespace snipewalk
