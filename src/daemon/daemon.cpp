// Implementation of the whole instance.
#include "snipewalk/daemon/daemon.h"

#include "snipewalk/base/log.h"
#include "snipewalk/store/store_http_client.h"

#include <utility>

namespace snipewalk {

namespace {

// Time for the other holders to confirm the release of slots.
constexpr milliseconds kReleaseLimit{ 3'000 };

} // namespace

daemon::daemon(const instance_settings& aSettings,
               const daemon_secrets& aSecrets,
               std::uint64_t aStartMs)
  : mSettings(aSettings)
  , mSecrets(aSecrets.mFleetKey, aSecrets.mAdminToken)
  , mInstance(OptionsOf(aSettings, aSecrets, aStartMs, CheckTls()), Hooks())
  , mControl(ControlOptionsOf(aSettings, aSecrets, aStartMs),
             ControlCallbacks(),
             [settings = aSettings, aStartMs](event_loop& aLoop) {
               store_client_options options;
               options.mAddresses = settings.mStoreAddresses;
               options.mCallsPerSecond = settings.mStoreCallsPerSecond;
               options.mSeed = aStartMs;
               return std::make_unique<store_http_client>(aLoop, options);
             })
{
}

daemon::~daemon()
{
  mControl.Stop();
  // The threads of the instance call the control loop until they end.
  mInstance.Stop();
}

instance_options
daemon::OptionsOf(const instance_settings& aSettings,
                  const daemon_secrets& aSecrets,
                  std::uint64_t aStartMs,
                  std::shared_ptr<const tls_context> aTls)
{
  instance_options options;
  traffic_options& traffic = options.mTraffic;
  traffic.mInstance = aSettings.mInstance;
  traffic.mIncarnation = aStartMs;
  traffic.mDataCentre = aSettings.mDataCentre;
  traffic.mFleetKeys = { aSecrets.mFleetKey };
  traffic.mVersions = SupportedVersions(aSettings.mProtocolVersionLimit);
  traffic.mCallerAddress = aSettings.mCallerAddress;
  traffic.mPeerAddress = aSettings.mPeerAddress;
  traffic.mThreads = static_cast<std::size_t>(aSettings.mTrafficThreads);
  traffic.mCallerLimit =
    static_cast<std::size_t>(aSettings.mCallerConnectionLimit);
  traffic.mCallerTls = std::move(aTls);
  traffic.mAddressTranslation = aSettings.mAddressTranslation;
  options.mAdmin = { aSettings.mInstance, aSettings.mAdminAddress };
  options.mAdminToken = aSecrets.mAdminToken;
  options.mShutdown.mNotice = aSettings.mShutdownNotice;
  options.mShutdown.mTransactions = aSettings.mShutdownTransactionLimit;
  return options;
}

control_loop_options
daemon::ControlOptionsOf(const instance_settings& aSettings,
                         const daemon_secrets& aSecrets,
                         std::uint64_t aStartMs)
{
  control_loop_options options;
  options.mSettings = aSettings;
  // The settings allow an empty key only where all addresses are loopback.
  options.mFleetKeys = { aSecrets.mFleetKey };
  options.mStartMs = aStartMs;
  options.mSeed = aStartMs ^ std::hash<std::string>{}(aSettings.mInstance);
  return options;
}

instance_hooks
daemon::Hooks()
{
  instance_hooks hooks;
  hooks.mTraffic.mOnEvidence = [this](const std::string& aService,
                                      const report_evidence& aEvidence) {
    mControl.ReportEvidence(aService, aEvidence);
  };
  hooks.mTraffic.mOnStatus = [this](const std::string& aService,
                                    const engine_status& aStatus) {
    mControl.ReportUse(aService, aStatus.mConnections, aStatus.mTransactions);
    for (const auto& server : aStatus.mServers) {
      mControl.ReportConnections(aService, server.mName, server.mConnections);
    }
  };
  hooks.mReleaseSlots = [this] {
    mControl.ReleaseSlots(kReleaseLimit, [this] { mInstance.SlotsReleased(); });
  };
  hooks.mSendLeave = [this] { mControl.Leave(); };
  hooks.mTick = [this](time_point aNow) { CheckSecrets(aNow); };
  return hooks;
}

control_loop_callbacks
daemon::ControlCallbacks()
{
  control_loop_callbacks callbacks;
  callbacks.mPublish =
    [this](const std::shared_ptr<const routing_snapshot>& aSnapshot) {
      mInstance.Publish(aSnapshot);
    };
  callbacks.mObserved = [this](const std::string& aService,
                               const status_observed& aObserved) {
    mInstance.Traffic().Observe(aService, aObserved);
  };
  callbacks.mHoldBegins = [this](const std::string& aAsker,
                                 const transactions_query& aQuery) {
    mInstance.Traffic().HoldBegins(
      aQuery, [this, aAsker, aQuery](std::size_t aOpen) {
        mControl.ReportTransactions(aAsker, aQuery, aOpen);
      });
  };
  callbacks.mStatus = [this](std::shared_ptr<const control_status> aStatus) {
    mInstance.Board().SetControl(std::move(aStatus));
  };
  callbacks.mDuplicateName = [this](const std::string& aAddress) {
    Log(log_level::Error,
        "daemon",
        "a newer instance has this name; shutting down",
        { { "address", std::string_view(aAddress) } });
    mReplaced.store(true);
    mInstance.RequestShutdown();
  };
  return callbacks;
}

void
daemon::CheckSecrets(time_point aNow)
{
  if (aNow < mNextSecretCheck) {
    return;
  }
  mNextSecretCheck = aNow + kSecretCheckInterval;
  const secret_contents contents{ ReadSecretFile(mSettings.mFleetKeyFile),
                                  ReadSecretFile(mSettings.mAdminTokenFile) };
  if (!contents.mFleetKey || !contents.mAdminToken) {
    Log(log_level::Warning,
        "daemon",
        "cannot read a file of secrets; the present ones stay in force");
  }
  const secret_changes changes = mSecrets.Update(contents, aNow);
  if (changes.mFleetKeys) {
    mControl.SetFleetKeys(*changes.mFleetKeys);
    mInstance.Traffic().SetFleetKeys(*changes.mFleetKeys);
    Log(log_level::Info,
        "daemon",
        "fleet keys changed",
        { { "keys", static_cast<std::int64_t>(changes.mFleetKeys->size()) } });
  }
  if (changes.mAdminToken) {
    mInstance.SetAdminToken(*changes.mAdminToken);
    Log(log_level::Info, "daemon", "admin token changed");
  }
  if (const auto context = CheckTls()) {
    mInstance.Traffic().SetCallerTls(context);
  }
}

std::shared_ptr<const tls_context>
daemon::CheckTls()
{
  if (!mSettings.mCallerTls.IsSet()) {
    return nullptr;
  }
  const wall_time now = std::chrono::system_clock::now();
  tls_change change = mTls.Update(
    ReadTlsFiles(mSettings.mCallerTls), mSecrets.FleetKeys().front(), now);
  if (!change.mFault.empty()) {
    Log(log_level::Error,
        "daemon",
        "cannot use the TLS files; the present ones stay in force",
        { { "reason", std::string_view(change.mFault) } });
  }
  if (change.mContext) {
    mTlsReady = true;
    Log(log_level::Info, "daemon", "TLS files are in force");
  }
  if (const auto end = mTls.ExpiryToReport(now)) {
    Log(log_level::Warning,
        "daemon",
        "the TLS certificate expires soon",
        { { "expires_in_s",
            static_cast<std::int64_t>(
              std::chrono::duration_cast<seconds>(*end - now).count()) } });
  }
  return std::move(change.mContext);
}

absl::Status
daemon::Start()
{
  // Callers that expect TLS are never served without it.
  if (mSettings.mCallerTls.IsSet() && !mTlsReady) {
    return absl::FailedPreconditionError("cannot use the TLS files");
  }
  const absl::Status traffic = mInstance.Start();
  return traffic.ok() ? mControl.Start() : traffic;
}

bool
daemon::Run()
{
  mInstance.Run();
  return !mReplaced.load();
}

} // namespace snipewalk
