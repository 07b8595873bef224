// Implementation of a soak run.
#include "soak/session_soak.h"

#include "soak/promise_checks.h"
#include "soak/soak_callers.h"
#include "standins/link_network.h"
#include "standins/platform_standin.h"
#include "standins/session_caller.h"
#include "standins/session_fleet.h"

#include <Poco/Exception.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
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
// Time that a server that is being removed continues to serve.
constexpr milliseconds kDrainTime{ 5'000 };
// Time that a failed server needs after its restart to receive all commits; no
// other server fails before.
constexpr milliseconds kServerRecovery{ 1'500 };
// Time after which the platform's servers close a connection whose peer is
// unreachable.
constexpr milliseconds kUnreachableDropDelay{ 3'000 };
constexpr milliseconds kMaxLinkDelay{ 300 };
// For which the store is away before it comes back from a copy.
constexpr milliseconds kStoreAwayTime{ 400 };
// Between two objects that their writers write again afterwards.
constexpr milliseconds kWriteAgainInterval{ 150 };
constexpr milliseconds kMaxReplicaLag{ 1'500 };
// How long the platform carries out promotions late.
constexpr milliseconds kPromotionDelayTime{ 4'000 };
constexpr int kLostAnswerPercent = 5;
constexpr int kFailedRequestPercent = 40;
constexpr int kLostWritePercent = 30;
constexpr int kFinalWrites = 20;
constexpr milliseconds kFinalAnswerTimeout{ 8'000 };
constexpr seconds kReadyTimeout{ 10 };

// State of an instance's process as the platform sees it.
enum class process_phase
{
  Running,
  Terminating,
  Down
};

class soak_run
{
public:
  soak_run(const soak_options& aOptions, std::ostream& aLog)
    : mOptions(aOptions)
    , mLog(aLog)
    , mNetwork(aOptions.mPlan.mSeed)
    , mPlatform(static_cast<int>(aOptions.mServers),
                aOptions.mMaxConnections,
                [this](const std::string& aAddress) {
                  return absl::StrCat("127.0.0.1:",
                                      mNetwork.FindOrAdd(aAddress));
                })
    , mFleet(aOptions.mBinaryDir, aOptions.mFolder)
  {
  }

  soak_result Run()
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

private:
  struct instance
  {
    std::string mName;
    std::uint16_t mCallerPort = 0;
    // Links to the store and, in plans of hand-overs, to the promotion call.
    std::size_t mStoreLink = 0;
    std::size_t mPromotionLink = 0;
    process_phase mPhase = process_phase::Running;
    milliseconds mTerminatedAt{ 0 };
    // The process was paused during its shutdown, so it need not end within the
    // grace period.
    bool mGraceExempt = false;
    bool mPaused = false;
    std::ofstream mOutput;
  };

  milliseconds Elapsed() const
  {
    return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - mStart);
  }

  void ScheduleAt(milliseconds aWhen, std::function<void()> aTask)
  {
    mTasks.emplace(aWhen, std::move(aTask));
  }
  void ScheduleAfter(milliseconds aDelay, std::function<void()> aTask)
  {
    ScheduleAt(Elapsed() + aDelay, std::move(aTask));
  }

  void LogEvent(const std::string& aWhat)
  {
    mLog << Elapsed().count() << " ms: " << aWhat << std::endl;
  }

  std::vector<std::uint16_t> StartInstances()
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

  void Start(instance& aInstance)
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

  void RunUntilIdle()
  {
    while (!mTasks.empty() || IsAnyNotRunning()) {
      RunOnce();
    }
  }

  bool IsAnyNotRunning() const
  {
    for (const auto& one : mInstances) {
      if (one.mPhase != process_phase::Running) {
        return true;
      }
    }
    return false;
  }

  void RunOnce()
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

  // Logs the promotion orders that arrived, and begins the faults that waited
  // for one.
  void HandleOrders()
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

  // Copies the output of a process to its log file, checks the time limit of a
  // shutdown, and restarts a process that has ended.
  void PollProcess(instance& aInstance)
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
                                   standins::session_fleet::kGrace +
                                   kExitMargin;
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
      mChecks.AddViolation(absl::StrCat(
        aInstance.mName, " exited unexpectedly with code ", *code));
    }
    Restart(aInstance);
  }

  void Restart(instance& aInstance)
  {
    aInstance.mPhase = process_phase::Down;
    ScheduleAfter(kRestartDelay, [this, &aInstance] { Start(aInstance); });
  }

  void InjectFault(const fault_step& aStep)
  {
    switch (aStep.mKind) {
      case fault_kind::DelayPromotions:
        DelayPromotions(aStep);
        return;
      case fault_kind::Kill:
      case fault_kind::Pause:
      case fault_kind::Terminate:
      case fault_kind::HangUp:
        InjectInstanceFault(aStep);
        return;
      case fault_kind::Cut:
      case fault_kind::Freeze:
      case fault_kind::Delay:
      case fault_kind::Reset:
      case fault_kind::Silence:
        InjectLinkFault(aStep);
        return;
      case fault_kind::Crash:
      case fault_kind::Replace:
      case fault_kind::Lag:
      case fault_kind::LoseAnswers:
      case fault_kind::FailRequests:
      case fault_kind::Deaf:
        InjectServerFault(aStep);
        return;
      case fault_kind::StoreDown:
      case fault_kind::StoreLosesAnswers:
      case fault_kind::StoreCompacts:
        InjectStoreFault(aStep);
        return;
      case fault_kind::StoreReturns:
        InjectStoreReturn(aStep);
        return;
    }
  }

  void LogFault(const fault_step& aStep, const std::string& aTarget)
  {
    LogEvent(absl::StrCat(std::string(NameOf(kFaultKindNames, aStep.mKind)),
                          " of ",
                          aTarget,
                          " for ",
                          aStep.mDuration.count(),
                          " ms"));
  }

  instance& TargetInstance(const fault_step& aStep)
  {
    if (aStep.mHits != fault_target::Selected) {
      const std::string holder = mPlatform.DutyHolder();
      for (auto& one : mInstances) {
        if (one.mName == holder) {
          return one;
        }
      }
    }
    return mInstances[aStep.mTarget % mInstances.size()];
  }

  std::vector<std::size_t> TargetLinks(const fault_step& aStep)
  {
    if (aStep.mHits == fault_target::Selected) {
      return { aStep.mTarget % mNetwork.Size() };
    }
    const instance& holder = TargetInstance(aStep);
    if (aStep.mHits == fault_target::HolderPromotions) {
      return { holder.mPromotionLink };
    }
    return { holder.mStoreLink, holder.mPromotionLink };
  }

  void DelayPromotions(const fault_step& aStep)
  {
    LogFault(aStep, "the platform");
    const auto set = [this](milliseconds aDelay) {
      mPlatform.ChangePromotions([&](standins::promotion_service& aService) {
        aService.SetDelay(aDelay);
      });
    };
    set(aStep.mDuration);
    ScheduleAfter(kPromotionDelayTime, [set] { set(milliseconds(0)); });
  }

  void InjectInstanceFault(const fault_step& aStep)
  {
    instance& target = TargetInstance(aStep);
    if (target.mPhase == process_phase::Down) {
      return;
    }
    LogFault(aStep, target.mName);
    auto& process = mFleet.At(target.mName);
    if (aStep.mKind == fault_kind::Kill) {
      process.Kill();
      Restart(target);
    } else if (aStep.mKind == fault_kind::Pause) {
      process.Pause();
      target.mPaused = true;
      target.mGraceExempt = true;
      ScheduleAfter(aStep.mDuration, [this, &target] {
        if (target.mPhase != process_phase::Down) {
          mFleet.At(target.mName).Resume();
        }
        target.mPaused = false;
      });
    } else if (aStep.mKind == fault_kind::HangUp) {
      process.Signal(SIGHUP);
    } else if (target.mPhase == process_phase::Running) {
      process.Terminate();
      target.mPhase = process_phase::Terminating;
      target.mTerminatedAt = Elapsed();
      target.mGraceExempt = target.mPaused;
    }
  }

  void InjectLinkFault(const fault_step& aStep)
  {
    for (const std::size_t link : TargetLinks(aStep)) {
      InjectLinkFault(aStep, link);
    }
  }

  void InjectLinkFault(const fault_step& aStep, std::size_t aLink)
  {
    LogFault(aStep,
             absl::StrCat("link ", aLink, " to ", mNetwork.Target(aLink)));
    standins::link_faults faults;
    switch (aStep.mKind) {
      case fault_kind::Reset:
        mNetwork.Reset(aLink);
        return;
      case fault_kind::Silence:
        mNetwork.Silence(aLink);
        ScheduleAfter(kUnreachableDropDelay,
                      [this, aLink] { mNetwork.DropSilencedAtTarget(aLink); });
        return;
      case fault_kind::Cut:
        faults.mCut = aStep.mCut;
        break;
      case fault_kind::Freeze:
        faults.mFrozen = true;
        break;
      default:
        faults.mDelay = std::min(aStep.mDuration, kMaxLinkDelay);
        break;
    }
    mNetwork.SetFaults(aLink, faults);
    ScheduleAfter(aStep.mDuration,
                  [this, aLink] { mNetwork.SetFaults(aLink, {}); });
  }

  void InjectServerFault(const fault_step& aStep)
  {
    std::vector<std::string> running;
    mPlatform.Change([&](const line_server_group& aServers, platform_store&) {
      running = aServers.Running();
    });
    std::string id = running[aStep.mTarget % running.size()];
    const std::string primary = mPlatform.Primary();
    if (aStep.mHits == fault_target::Primary && !primary.empty()) {
      id = primary;
    }
    if (aStep.mKind == fault_kind::Crash) {
      if (ReserveServerFailure(aStep.mDuration) && !mLeaving.contains(id)) {
        LogFault(aStep, id);
        mPlatform.Crash(id);
        ScheduleAfter(aStep.mDuration, [this, id] {
          mPlatform.Change([&](line_server_group& aServers, platform_store&) {
            aServers.Restart(id);
          });
        });
      }
    } else if (aStep.mKind == fault_kind::Replace) {
      const bool allowed = mOptions.mPlan.mHandovers
                             ? mLeaving.empty()
                             : ReserveServerFailure(kDrainTime);
      if (allowed) {
        LogFault(aStep, id);
        Replace(id);
      }
    } else {
      LogFault(aStep, id);
      const fault_kind kind = aStep.mKind;
      SetServerFault(id, kind, true, aStep.mDuration);
      ScheduleAfter(aStep.mDuration, [this, id, kind] {
        SetServerFault(id, kind, false, milliseconds(0));
      });
    }
  }

  // Reserves the time of a server failure; returns false if another server is
  // failing or recovering. Only one server of the group may fail at a time,
  // because a commit that only failed servers received would be lost on the
  // real platform as well.
  bool ReserveServerFailure(milliseconds aLength)
  {
    if (Elapsed() < mServersRecoveredAt) {
      return false;
    }
    mServersRecoveredAt = Elapsed() + aLength + kServerRecovery;
    return true;
  }

  void Replace(const std::string& aId)
  {
    mLeaving.insert(aId);
    mPlatform.Change([&](line_server_group& aServers, platform_store&) {
      aServers.Add();
      aServers.Drain(aId);
    });
    ScheduleAfter(kDrainTime, [this, aId] {
      mLeaving.erase(aId);
      mPlatform.Change([&](line_server_group& aServers, platform_store&) {
        aServers.Remove(aId);
      });
    });
  }

  void SetServerFault(const std::string& aId,
                      fault_kind aKind,
                      bool aFaulty,
                      milliseconds aDuration)
  {
    mPlatform.Change([&](line_server_group& aServers, platform_store&) {
      if (aKind == fault_kind::Lag) {
        aServers.SetLag(aId, std::min(aDuration, kMaxReplicaLag));
      } else if (aKind == fault_kind::Deaf) {
        aServers.SetDeaf(aId, aFaulty);
      } else if (aKind == fault_kind::FailRequests) {
        aServers.SetFailedRequests(aId, aFaulty ? kFailedRequestPercent : 0);
      } else {
        aServers.SetLostAnswers(aId, aFaulty ? kLostAnswerPercent : 0);
      }
    });
  }

  void InjectStoreFault(const fault_step& aStep)
  {
    LogFault(aStep, "the store");
    if (aStep.mKind == fault_kind::StoreDown) {
      mPlatform.SetStoreDown(true);
      ScheduleAfter(aStep.mDuration, [this] { mPlatform.SetStoreDown(false); });
      return;
    }
    if (aStep.mKind == fault_kind::StoreCompacts) {
      mPlatform.Change(
        [](line_server_group&, platform_store& aStore) { aStore.Compact(); });
      return;
    }
    const auto lose = [this](int aPercent) {
      mPlatform.Change([&](line_server_group&, platform_store& aStore) {
        aStore.SetLostAnswers(aPercent);
      });
    };
    lose(kLostWritePercent);
    ScheduleAfter(aStep.mDuration, [lose] { lose(0); });
  }

  // What others than the instances wrote is written again one by one, in an
  // order that the step selects.
  void InjectStoreReturn(const fault_step& aStep)
  {
    LogFault(aStep, "the store");
    mPlatform.Change(
      [](line_server_group&, platform_store& aStore) { aStore.TakeCopy(); });
    ScheduleAfter(aStep.mDuration, [this] { mPlatform.SetStoreDown(true); });
    ScheduleAfter(aStep.mDuration + kStoreAwayTime, [this, aStep] {
      LogEvent("store returns");
      std::vector<std::pair<std::string, std::string>> lost;
      mPlatform.Change([&](line_server_group&, platform_store& aStore) {
        aStore.ReturnFromCopy();
        aStore.SetDown(false);
        lost = aStore.LostWrites();
      });
      std::shuffle(
        lost.begin(), lost.end(), std::minstd_rand(1 + aStep.mTarget));
      milliseconds delay{ 0 };
      for (const auto& object : lost) {
        delay += kWriteAgainInterval;
        ScheduleAfter(delay, [this, object] {
          mPlatform.Change([&](line_server_group&, platform_store& aStore) {
            aStore.WriteLostAgain(object.first, object.second);
          });
        });
      }
    });
  }

  // Checks that each instance serves writes again after the last fault.
  void CheckRecovery()
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

  soak_result Finish()
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

  soak_options mOptions;
  std::ostream& mLog;
  promise_checks mChecks;
  standins::link_network mNetwork;
  standins::platform_standin mPlatform;
  standins::session_fleet mFleet;
  // A deque, since callbacks keep references to its elements.
  std::deque<instance> mInstances;
  time_point mStart;
  std::multimap<milliseconds, std::function<void()>> mTasks;
  // Faults that begin when the next promotion order arrives.
  std::vector<fault_step> mAwaitingOrder;
  std::mutex mOrdersMutex;
  // Orders that arrived since the last look; guarded by mOrdersMutex.
  std::vector<standins::promotion_order> mNewOrders;
  // Servers that are being replaced.
  std::set<std::string> mLeaving;
  // Time at which the servers will have recovered from the last server failure.
  milliseconds mServersRecoveredAt{ 0 };
};

} // namespace

soak_result
RunSoak(const soak_options& aOptions, std::ostream& aLog)
{
  return soak_run(aOptions, aLog).Run();
}

} // namespace snipewalk::soak
