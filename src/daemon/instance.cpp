// Implementation of the instance.
#include "snipewalk/daemon/instance.h"

#include "snipewalk/base/log.h"

#include <chrono>
#include <thread>
#include <utility>

namespace snipewalk {

namespace {

constexpr milliseconds kTick{ 50 };
constexpr milliseconds kExplainTimeout{ 1'000 };

} // namespace

instance::instance(instance_options aOptions, instance_hooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mTraffic(mOptions.mTraffic, Callbacks())
  , mAdmin(mOptions.mAdmin, Sources())
  , mShutdown(mOptions.mShutdown)
  , mAdminToken(mOptions.mAdminToken)
{
}

instance::~instance()
{
  Stop();
}

void
instance::Stop()
{
  // The admin threads use the traffic threads.
  mAdmin.Stop();
  mTraffic.Stop();
}

traffic_callbacks
instance::Callbacks()
{
  traffic_callbacks callbacks = mHooks.mTraffic;
  callbacks.mOnStatus = [this, next = std::move(callbacks.mOnStatus)](
                          const std::string& aService,
                          const engine_status& aStatus) {
    mBoard.SetEngine(aService, aStatus);
    if (next) {
      next(aService, aStatus);
    }
  };
  return callbacks;
}

admin_sources
instance::Sources()
{
  admin_sources sources;
  sources.mBoard = &mBoard;
  sources.mPhase = [this] {
    return std::string(NameOf(kShutdownPhaseNames, mPhase.load()));
  };
  sources.mCounts = [this] { return mTraffic.Counts(); };
  sources.mMetrics = [this] { return mTraffic.Metrics(); };
  sources.mExplain = [this](const statement_request& aRequest) {
    return mTraffic.Explain(aRequest, kExplainTimeout);
  };
  sources.mToken = [this] { return AdminToken(); };
  return sources;
}

absl::Status
instance::Start()
{
  const absl::Status traffic = mTraffic.Start();
  return traffic.ok() ? mAdmin.Start() : traffic;
}

void
instance::Publish(const std::shared_ptr<const routing_snapshot>& aSnapshot)
{
  mBoard.SetSnapshot(aSnapshot);
  mTraffic.Publish(aSnapshot);
}

void
instance::SetAdminToken(std::string aToken)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mAdminToken = std::move(aToken);
}

std::string
instance::AdminToken() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mAdminToken;
}

void
instance::Run()
{
  while (!mExit) {
    std::this_thread::sleep_for(kTick);
    Step();
  }
}

void
instance::Step()
{
  const time_point now = std::chrono::steady_clock::now();
  if (mHooks.mTick) {
    mHooks.mTick(now);
  }
  std::vector<shutdown_action> actions;
  if (mStopRequested.load()) {
    mShutdown.Request(now, actions);
  }
  if (mSlotsReleased.load()) {
    mShutdown.SlotsReleased(now);
  }
  const traffic_counts counts = mTraffic.Counts();
  mShutdown.Tick(
    now, { counts.mCallers, counts.mInFlight, counts.mTransactions }, actions);
  if (mPhase.exchange(mShutdown.Phase()) != mShutdown.Phase()) {
    Log(log_level::Info,
        "shutdown",
        "phase changed",
        { { "phase", NameOf(kShutdownPhaseNames, mShutdown.Phase()) } });
  }
  for (const shutdown_action action : actions) {
    Apply(action);
  }
}

void
instance::Apply(shutdown_action aAction)
{
  switch (aAction) {
    case shutdown_action::Announce:
      mTraffic.AnnounceShutdown();
      break;
    case shutdown_action::CloseCallers:
      mTraffic.CloseCallers();
      break;
    case shutdown_action::DrainEngines:
      mTraffic.DrainEngines();
      break;
    case shutdown_action::CloseIdleCallers:
      mTraffic.CloseIdleCallers(mOptions.mShutdown.mIdleGrace);
      break;
    case shutdown_action::ReleaseSlots:
      if (mHooks.mReleaseSlots) {
        mHooks.mReleaseSlots();
      } else {
        SlotsReleased();
      }
      break;
    case shutdown_action::SendLeave:
      if (mHooks.mSendLeave) {
        mHooks.mSendLeave();
      }
      break;
    case shutdown_action::Exit:
      mExit = true;
      break;
  }
}

} // namespace snipewalk
