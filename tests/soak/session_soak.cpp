// Implementation of a soak run: its processes, its tasks and its checks.
#include "soak/session_soak.h"

#include "soak/soak_callers.h"
#include "soak/soak_run.h"
#include "standins/session_caller.h"

#include <Poco/Exception.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <thread>
#include <utility>

namespace snipewalk::soak {

namespace {

using standins::line_server_group;
using standins::platform_store;

constexpr milliseconds kPollInterval{ 10 };
// Delay after which the platform restarts a process.
constexpr milliseconds kRestartDelay{ 200 };
// Additional time allowed for a shutdown beyond the grace period, for a loaded
// machine.
constexpr milliseconds kExitMargin{ 1'000 };
// Time after the last fault within which all services must be available again;
// see docs/platform.md.
constexpr milliseconds kRecoveryTimeout{ 12'000 };
constexpr int kFinalWrites = 20;
constexpr milliseconds kFinalAnswerTimeout{ 8'000 };
constexpr seconds kReadyTimeout{ 10 };

} // namespace

soak_run::soak_run(const soak_options& aOptions, std::ostream& aLog)
  : mOptions(aOptions)
  , mLog(aLog)
  , mNetwork(aOptions.mPlan.mSeed)
  , mPlatform(static_cast<int>(aOptions.mServers),
              aOptions.mMaxConnections,
              [this](const std::string& aAddress) {
                return absl::StrCat("127.0.0.1:", mNetwork.FindOrAdd(aAddress));
              })
  , mFleet(aOptions.mBinaryDir, aOptions.mFolder)
{
}

soak_result
soak_run::Run()
{
  const auto ports = StartInstances();
  mStart = std::chrono::steady_clock::now();
  mPlatform.ChangePromotions([this](standins::promotion_service& aService) {
    aService.SetOnOrder([this](const standins::promotion_order& aOrder) {
      const std::lock_guard lock(mOrdersMutex);
      mNewOrders.push_back(aOrder);
    });
  });
  {
    soak_callers callers(
      { mOptions.mPlan.mSeed, 10, ports, mOptions.mPlan.mPlannedWorkOnly },
      mChecks);
    for (const auto& step : DrawFaults(mOptions.mPlan)) {
      ScheduleAt(step.mStartOffset, [this, step] {
        if (step.mAwaitsOrder) {
          mAwaitingOrder.push_back(step);
        } else {
          InjectFault(step);
        }
      });
    }
    RunUntilIdle();
    CheckRecovery();
    callers.Stop();
  }
  return Finish();
}

milliseconds
soak_run::Elapsed() const
{
  return std::chrono::duration_cast<milliseconds>(
    std::chrono::steady_clock::now() - mStart);
}

void
soak_run::ScheduleAt(milliseconds aWhen, std::function<void()> aTask)
{
  mTasks.emplace(aWhen, std::move(aTask));
}

void
soak_run::ScheduleAfter(milliseconds aDelay, std::function<void()> aTask)
{
  ScheduleAt(Elapsed() + aDelay, std::move(aTask));
}

void
soak_run::LogEvent(const std::string& aWhat)
{
  mLog << Elapsed().count() << " ms: " << aWhat << std::endl;
}

std::vector<std::uint16_t>
soak_run::StartInstances()
{
  std::vector<std::uint16_t> callers;
  for (std::size_t i = 1; i <= mOptions.mInstances; ++i) {
    auto& added = mInstances.emplace_back();
    added.mName = absl::StrCat("i", i);
    added.mStoreLink = mNetwork.Size();
    const std::string store =
      absl::StrCat("127.0.0.1:", mNetwork.Add(mPlatform.StoreAddress()));
    std::string promotions = store;
    added.mPromotionLink = added.mStoreLink;
    if (mOptions.mPlan.mHandovers) {
      added.mPromotionLink = mNetwork.Size();
      promotions =
        absl::StrCat("127.0.0.1:", mNetwork.Add(mPlatform.StoreAddress()));
    }
    const auto& ports = mFleet.Configure(added.mName, store, promotions);
    added.mCallerPort =
      mNetwork.Add(absl::StrCat("127.0.0.1:", ports.mCallers));
    added.mOutput.open(
      absl::StrCat(mOptions.mFolder, "/", added.mName, ".log"));
    Start(added);
    callers.push_back(added.mCallerPort);
  }
  for (const auto& one : mInstances) {
    const bool ready = standins::WaitFor(
      [&] { return mFleet.IsReady(one.mName); }, kReadyTimeout);
    if (!ready) {
      mChecks.AddViolation(one.mName + " did not become ready");
    }
  }
  return callers;
}

void
soak_run::Start(instance& aInstance)
{
  const auto started = mFleet.Start(aInstance.mName);
  if (!started.ok()) {
    mChecks.AddViolation(
      absl::StrCat(aInstance.mName, " cannot start: ", started.message()));
  }
  aInstance.mPhase = process_phase::Running;
  aInstance.mGraceExempt = false;
  aInstance.mPaused = false;
}

void
soak_run::RunUntilIdle()
{
  while (!mTasks.empty() || IsAnyNotRunning()) {
    RunOnce();
  }
}

bool
soak_run::IsAnyNotRunning() const
{
  for (const auto& one : mInstances) {
    if (one.mPhase != process_phase::Running) {
      return true;
    }
  }
  return false;
}

void
soak_run::RunOnce()
{
  while (!mTasks.empty() && mTasks.begin()->first <= Elapsed()) {
    const auto task = std::move(mTasks.begin()->second);
    mTasks.erase(mTasks.begin());
    task();
  }
  HandleOrders();
  for (auto& one : mInstances) {
    PollProcess(one);
  }
  std::this_thread::sleep_for(kPollInterval);
}

void
soak_run::HandleOrders()
{
  std::vector<standins::promotion_order> orders;
  {
    const std::lock_guard lock(mOrdersMutex);
    orders.swap(mNewOrders);
  }
  for (const auto& order : orders) {
    LogEvent(absl::StrCat("order of ",
                          order.mServer,
                          " by ",
                          order.mHolder,
                          " with fence ",
                          order.mFence));
    for (const auto& step : std::exchange(mAwaitingOrder, {})) {
      InjectFault(step);
    }
  }
}

void
soak_run::PollProcess(instance& aInstance)
{
  if (aInstance.mPhase == process_phase::Down) {
    return;
  }
  auto& process = mFleet.At(aInstance.mName);
  while (const auto line = process.ReadLine(milliseconds(0))) {
    aInstance.mOutput << *line << "\n";
  }
  const auto code = process.Wait(milliseconds(0));
  const bool terminating = aInstance.mPhase == process_phase::Terminating;
  const bool late =
    terminating && Elapsed() > aInstance.mTerminatedAt +
                                 standins::session_fleet::kGrace + kExitMargin;
  if (!code && late && !aInstance.mGraceExempt) {
    mChecks.AddViolation(aInstance.mName +
                         " did not exit within its grace period");
    aInstance.mGraceExempt = true;
  }
  if (!code && late) {
    process.Kill();
    Restart(aInstance);
  }
  if (!code) {
    return;
  }
  if (!terminating || *code != 0) {
    mChecks.AddViolation(
      absl::StrCat(aInstance.mName, " exited unexpectedly with code ", *code));
  }
  Restart(aInstance);
}

void
soak_run::Restart(instance& aInstance)
{
  aInstance.mPhase = process_phase::Down;
  ScheduleAfter(kRestartDelay, [this, &aInstance] { Start(aInstance); });
}

void
soak_run::CheckRecovery()
{
  LogEvent("all faults have ended");
  const milliseconds until = Elapsed() + kRecoveryTimeout;
  while (Elapsed() < until) {
    RunOnce();
  }
  for (const auto& one : mInstances) {
    int served = 0;
    try {
      standins::session_caller session(
        one.mCallerPort, kFinalAnswerTimeout, "final." + one.mName + ".");
      session.Start("main");
      for (int i = 0; i < kFinalWrites; ++i) {
        const std::string text =
          absl::StrCat("WRITE final.", one.mName, " value.", one.mName, i);
        mChecks.BeginStatement(session.NextId(), text, {});
        served += session.Query(text).mCompleted ? 1 : 0;
      }
    } catch (const Poco::Exception& error) {
      LogEvent(absl::StrCat(one.mName, ": ", error.displayText()));
    }
    if (served < kFinalWrites) {
      mChecks.AddViolation(absl::StrCat(one.mName,
                                        " served ",
                                        served,
                                        " of ",
                                        kFinalWrites,
                                        " writes after the last fault"));
    }
  }
}

soak_result
soak_run::Finish()
{
  soak_result result;
  mPlatform.Change([&](const line_server_group& aServers, platform_store&) {
    mChecks.CheckFinalState(aServers.Items(), aServers.Commits());
    mChecks.CheckLog(aServers.LoggedValues());
    mChecks.CheckExecuted(aServers.Executed());
    result.mPromotions = aServers.Promotions();
  });
  mPlatform.ChangePromotions([&](standins::promotion_service& aService) {
    for (const auto& violation : aService.Violations()) {
      mChecks.AddViolation(violation);
    }
    aService.SetOnOrder({});
  });
  result.mViolations = mChecks.Violations();
  result.mAcknowledged = mChecks.Count(write_outcome::Acknowledged);
  result.mNotRun = mChecks.Count(write_outcome::NotRun);
  result.mUnknown = mChecks.Count(write_outcome::Unknown);
  result.mReads = mChecks.Reads();
  return result;
}

soak_result
RunSoak(const soak_options& aOptions, std::ostream& aLog)
{
  return soak_run(aOptions, aLog).Run();
}

} // namespace snipewalk::soak
