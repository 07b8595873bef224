// Implementation of the session front end process.
#include "snipewalk/session/session_daemon.h"

#include "session/connection_table.h"
#include "session/desired_state_request.h"
#include "session/http_responder.h"
#include "session/metrics_page.h"
#include "session/peer_socket.h"
#include "session/server_control.h"
#include "snipewalk/base/log.h"
#include "snipewalk/session/state_request_pace.h"

#include <absl/hash/hash.h>
#include <absl/strings/str_join.h>

#include <atomic>
#include <ctime>
#include <optional>
#include <utility>

namespace snipewalk {

namespace {

// Tick interval while statements are pending: the resolution of statement
// timeouts.
constexpr milliseconds kBusyTickInterval{ 20 };
// Tick interval while no statement is pending.
constexpr milliseconds kIdleTickInterval{ 60 };
// Time during which new sessions are still accepted after the process stopped
// reporting ready. The load balancer removes the instance after two failed
// probes, which it sends once a second.
constexpr milliseconds kLoadBalancerDelay{ 2'300 };
// Part of the grace period that is reserved for the last writes to the store,
// before the process is killed from outside. The process waits kFinalWritesTime
// for them and then exits; the rest is a margin.
constexpr milliseconds kFinalWritesReserve{ 600 };
constexpr milliseconds kFinalWritesTime{ 150 };
// Minimum change of the suspended time that counts as a suspension. Smaller
// changes result from the time between reading the two clocks.
constexpr std::chrono::nanoseconds kMinSuspension{ milliseconds(20) };
constexpr milliseconds kStoreCallTimeout{ 1'000 };
constexpr milliseconds kStoreWatchMargin{ 700 };
constexpr milliseconds kMaxStoreBackoff{ 200 };

std::chrono::nanoseconds
ReadClock(clockid_t aClock)
{
  timespec now{};
  ::clock_gettime(aClock, &now);
  return seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

// Returns how long the machine has been suspended since it was booted, which
// the steady clock does not include.
std::chrono::nanoseconds
SuspendedTime()
{
  return ReadClock(CLOCK_BOOTTIME) - ReadClock(CLOCK_MONOTONIC);
}

store_client_options
StoreOptions(const session_settings& aSettings, store_dialect aDialect)
{
  store_client_options options;
  options.mAddresses = { aSettings.mStoreAddress };
  options.mCallTimeout = kStoreCallTimeout;
  options.mWatchMargin = kStoreWatchMargin;
  options.mLongestBackoff = kMaxStoreBackoff;
  options.mCallsPerSecond = aSettings.mStoreCallsPerSecond;
  options.mSeed = absl::HashOf(aSettings.mInstance);
  options.mDialect = std::move(aDialect);
  return options;
}

enum class daemon_phase
{
  Serving,
  // The readiness probe fails; new sessions are still accepted.
  LeavingRotation,
  // Sessions are closed as soon as they are idle.
  Draining,
  // Open transactions are aborted.
  Aborting,
  Exiting
};

inline constexpr name_table<daemon_phase, 5> kDaemonPhaseNames{ {
  { daemon_phase::Serving, "serving" },
  { daemon_phase::LeavingRotation, "leaving_rotation" },
  { daemon_phase::Draining, "draining" },
  { daemon_phase::Aborting, "aborting" },
  { daemon_phase::Exiting, "exiting" },
} };

} // namespace

class session_daemon::impl
  : public control_links
  , public forwarding_links
{
public:
  impl(session_settings aSettings,
       settings_reader aReadSettings,
       session_adapter aAdapter,
       std::uint64_t aStarted)
    : mSettings(std::move(aSettings))
    , mReadSettings(std::move(aReadSettings))
    , mAdapter(std::move(aAdapter))
    , mStore(mLoop, StoreOptions(mSettings, mAdapter.mStoreDialect))
    , mTable(mLoop, *mAdapter.mProtocol, *this)
    , mStateRequest(mLoop, *this)
    , mEngine(EngineOptions(), mTable)
    , mServerControl(mLoop,
                     *mAdapter.mProtocol,
                     [this](const std::string& aServer, time_point aNow) {
                       mController.OnControlConnectionRefused(aServer, aNow);
                     })
    , mPromotion(
        mAdapter.mMakePromotionClient(mLoop, mSettings.mPromotionAddress))
    , mPeerSocket(mLoop,
                  [this](const std::string& aFrom,
                         const peer_datagram& aDatagram,
                         time_point aNow) {
                    CheckSuspension(aNow);
                    mController.OnDatagram(aFrom, aDatagram, aNow);
                  })
    , mReadinessServer(mLoop,
                       [this](const http_request& aRequest) {
                         return ReadinessResponse(aRequest);
                       })
    , mMetricsServer(mLoop,
                     [this](const http_request&) { return MetricsPage(); })
    , mController(mLoop,
                  mStore,
                  mEngine,
                  *this,
                  mAdapter.mObjects,
                  { mSettings.mInstance,
                    aStarted,
                    mSettings.mDataCentre,
                    mSettings.mPeerAddress,
                    duty_lease::StaggerOf(mSettings.mInstance),
                    mSettings.mRateLimitTolerance })
    , mSuspendedTime(SuspendedTime())
  {
    mTable.SetEngine(mEngine);
    mTable.SetBeforeInput([this](time_point aNow) { CheckSuspension(aNow); });
    mTable.SetAfterInput([this](time_point aNow) {
      if (mEngine.NeedsAllowances()) {
        mController.RequestAllowances(aNow);
      }
    });
    mController.SetOnDesiredState([this] { mTable.OnDesiredState(); });
    mController.SetOnInstanceReply(
      [this](const std::string& aInstance, time_point aNow) {
        mTable.Forwarder().OnHostHeard(aInstance, aNow);
      });
  }

  absl::Status Start()
  {
    absl::Status status = mTable.Listen(mSettings.mCallerAddress);
    status.Update(mReadinessServer.Listen(mSettings.mReadyAddress));
    status.Update(mPeerSocket.Open(mSettings.mPeerAddress));
    status.Update(mTable.ListenForPeers(mSettings.mPeerAddress));
    if (!mSettings.mMetricsAddress.empty()) {
      status.Update(mMetricsServer.Listen(mSettings.mMetricsAddress));
    }
    return status;
  }

  void Run()
  {
    Log(log_level::Info,
        "process",
        "started",
        { { "data_centre", mSettings.mDataCentre },
          { "callers", mSettings.mCallerAddress },
          { "store", mSettings.mStoreAddress } });
    mController.Start();
    Tick(mLoop.Now());
    mLoop.Run();
    Log(log_level::Info, "process", "stopped");
  }

  void RequestShutdown() { mShutdownRequested.store(true); }
  void RequestReload() { mReloadRequested.store(true); }

  // Implements control_links.
  void RunCommand(const registered_server& aServer,
                  const server_command& aCommand,
                  milliseconds aTimeout,
                  status_handler aOnStatus) override
  {
    mServerControl.RunCommand(
      aServer, aCommand, aTimeout, std::move(aOnStatus));
  }
  void KeepControlConnection(const registered_server& aServer) override
  {
    mServerControl.KeepControlConnection(aServer);
  }
  void CloseControlConnections() override { mServerControl.CloseAll(); }
  void OrderPromotion(const order_promotion& aOrder,
                      promotion_authority aAuthority,
                      promotion_handler aOnResult) override
  {
    aAuthority.mIsValid =
      [this, isValid = std::move(aAuthority.mIsValid)](time_point aNow) {
        CheckSuspension(aNow);
        return isValid(aNow);
      };
    mPromotion->OrderPromotion(
      aOrder, std::move(aAuthority), std::move(aOnResult));
  }
  void SendDatagram(const std::string& aAddress,
                    const peer_datagram& aDatagram) override
  {
    mPeerSocket.Send(aAddress, aDatagram);
  }

  void RequestDesiredState(const std::string& aPeerAddress) override
  {
    mStateRequest.Send(aPeerAddress, mLoop.Now());
  }

  // Implements forwarding_links.
  std::optional<host_candidate> HostFor(const open_session& aOpen,
                                        time_point aNow) override
  {
    return mController.HostFor(aOpen, aNow);
  }
  void OnHostFailed(const std::string& aHost, time_point aNow) override
  {
    mController.OnHostFailed(aHost, aNow);
  }
  void ProbeHost(const host_candidate& aHost, time_point aNow) override
  {
    mController.ProbeInstance(aHost.mAddress, aNow);
  }
  std::uint64_t DesiredRevision() const override
  {
    return mController.DesiredRevision();
  }
  void RequestDesiredRevision(std::uint64_t aRevision, time_point aNow) override
  {
    mController.RequestDesiredRevision(aRevision, aNow);
  }
  relayed_desired_state DesiredState() const override
  {
    return mController.DesiredState();
  }
  bool TakeStateRequest(time_point aNow) override
  {
    return !mStateRequest.IsReplyArriving() &&
           !mController.IsDesiredStateArriving(aNow) &&
           mStatePace.TakeRequest(mController.DesiredStateBytes(), aNow);
  }
  void AdoptDesiredState(const relayed_desired_state& aState,
                         time_point aNow) override
  {
    mStatePace.OnReply();
    mController.AdoptDesiredState(aState, aNow);
  }

private:
  session_engine_options EngineOptions()
  {
    session_engine_options options;
    options.mDataCentre = mSettings.mDataCentre;
    options.mParseStatus = [this](const statement_reply& aReply) {
      return mAdapter.mProtocol->ParseStatus(aReply);
    };
    options.mHostingOf = [this](const std::string& aService) {
      return mController.HostingOf(aService);
    };
    return options;
  }

  http_response ReadinessResponse(const http_request& aRequest) const
  {
    http_response response;
    const bool known = aRequest.mTarget == mAdapter.mReadyPath;
    const bool ready = mPhase == daemon_phase::Serving && mController.IsReady();
    response.mStatus = !known ? 404 : ready ? 200 : 503;
    return response;
  }

  http_response MetricsPage()
  {
    http_response response;
    response.mHeaders.Add("Content-Type", "text/plain; version=0.0.4");
    response.mBody =
      WriteMetricsPage({ mEngine.Metrics(),
                         mEngine.Counts(),
                         mTable.Forwarder().SessionCount(),
                         mController.HoldsDuty(mLoop.Now()),
                         mController.IsReady(),
                         mController.ConfirmationAge(mLoop.Now()),
                         mController.StoreEra(),
                         mController.StoreReturns(),
                         mController.DesiredVersion(),
                         mController.DesiredStateBehindFor(mLoop.Now()),
                         mController.WatchRestarts(),
                         mStore.ConnectionCount(),
                         mStore.CallsWithoutConnection(),
                         mStore.RepliesCutOff(),
                         mStateRequest.RepliesCutOff() });
    return response;
  }

  void CheckSuspension(time_point aNow)
  {
    const auto suspended = SuspendedTime();
    if (suspended > mSuspendedTime + kMinSuspension) {
      mController.OnSuspended(aNow);
    }
    mSuspendedTime = suspended;
  }

  void Tick(time_point aNow)
  {
    CheckSuspension(aNow);
    mEngine.OnTick(aNow);
    mTable.OnTick(aNow);
    mController.OnTick(aNow);
    if (mReloadRequested.exchange(false)) {
      Reload();
    }
    if (mShutdownRequested.load()) {
      AdvanceShutdown(aNow);
    }
    const duration next =
      mEngine.HasWork() ? kBusyTickInterval : kIdleTickInterval;
    mLoop.RunAt(aNow + next, [this](time_point aThen) { Tick(aThen); });
  }

  void Reload()
  {
    findings found;
    const auto read = mReadSettings(found);
    if (!read) {
      Log(log_level::Error,
          "process",
          "settings are not valid; keeping the previous ones",
          { { "findings", found.ToString() } });
      return;
    }
    const settings_difference difference = CompareSettings(mSettings, *read);
    mSettings.mShutdownGrace = read->mShutdownGrace;
    mSettings.mLogs.mLevel = read->mLogs.mLevel;
    SetLogLevel(mSettings.mLogs.mLevel);
    Log(log_level::Info,
        "process",
        "settings read again",
        { { "adopted", absl::StrJoin(difference.mAppliedAtOnce, ",") },
          { "at_next_start",
            absl::StrJoin(difference.mAppliedAtNextStart, ",") } });
  }

  void EnterPhase(daemon_phase aPhase)
  {
    mPhase = aPhase;
    const auto counts = mEngine.Counts();
    Log(log_level::Info,
        "process",
        "shutdown",
        { { "phase", NameOf(kDaemonPhaseNames, aPhase) },
          { "sessions", static_cast<std::int64_t>(counts.mSessions) },
          { "forwarded",
            static_cast<std::int64_t>(mTable.Forwarder().SessionCount()) },
          { "transactions",
            static_cast<std::int64_t>(counts.mOpenTransactions) } });
  }

  void AdvanceShutdown(time_point aNow)
  {
    const milliseconds grace = mSettings.mShutdownGrace;
    switch (mPhase) {
      case daemon_phase::Serving:
        mShutdownStartedAt = aNow;
        mController.Resign(aNow);
        // Closed at once, so that other instances immediately choose another
        // host.
        mTable.StopListeningForPeers(aNow);
        EnterPhase(daemon_phase::LeavingRotation);
        return;
      case daemon_phase::LeavingRotation:
        if (aNow >=
            mShutdownStartedAt + std::min(kLoadBalancerDelay, grace / 2)) {
          EnterPhase(daemon_phase::Draining);
          mTable.StopListening(aNow);
          mEngine.CloseIdleSessions(aNow);
          mTable.Forwarder().CloseIdleSessions();
        }
        return;
      case daemon_phase::Draining:
      case daemon_phase::Aborting: {
        const bool graceEnding =
          aNow >= mShutdownStartedAt + grace - kFinalWritesReserve;
        const bool empty = mTable.StoppedListening() &&
                           mEngine.Counts().mSessions == 0 &&
                           mTable.Forwarder().SessionCount() == 0;
        if (empty || graceEnding) {
          EnterPhase(daemon_phase::Exiting);
          mController.Unregister(aNow);
          mLoop.RunAt(aNow + kFinalWritesTime,
                      [this](time_point) { mLoop.Stop(); });
        } else if (mPhase == daemon_phase::Draining &&
                   aNow >= mShutdownStartedAt + grace / 2) {
          // Open transactions may use the first half of the grace period to
          // finish.
          EnterPhase(daemon_phase::Aborting);
          mEngine.AbortTransactions(aNow);
          mTable.Forwarder().AbortTransactions();
        }
        return;
      }
      case daemon_phase::Exiting:
        return;
    }
  }

  session_settings mSettings;
  settings_reader mReadSettings;
  session_adapter mAdapter;
  event_loop mLoop;
  store_http_client mStore;
  connection_table mTable;
  desired_state_request mStateRequest;
  state_request_pace mStatePace;
  session_engine mEngine;
  server_control mServerControl;
  std::unique_ptr<promotion_client> mPromotion;
  peer_socket mPeerSocket;
  http_responder mReadinessServer;
  http_responder mMetricsServer;
  session_controller mController;
  std::chrono::nanoseconds mSuspendedTime;
  daemon_phase mPhase = daemon_phase::Serving;
  time_point mShutdownStartedAt;
  std::atomic<bool> mShutdownRequested{ false };
  std::atomic<bool> mReloadRequested{ false };
};

session_daemon::session_daemon(session_settings aSettings,
                               settings_reader aReadSettings,
                               session_adapter aAdapter,
                               std::uint64_t aStartedMs)
  : mImpl(std::make_unique<impl>(std::move(aSettings),
                                 std::move(aReadSettings),
                                 std::move(aAdapter),
                                 aStartedMs))
{
}

session_daemon::~session_daemon() = default;

absl::Status
session_daemon::Start()
{
  return mImpl->Start();
}

void
session_daemon::Run()
{
  mImpl->Run();
}

void
session_daemon::RequestShutdown()
{
  mImpl->RequestShutdown();
}

void
session_daemon::RequestReload()
{
  mImpl->RequestReload();
}

} // namespace snipewalk
