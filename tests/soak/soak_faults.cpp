// The faults of a soak run, injected from outside the programs.
#include "soak/soak_run.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

namespace snipewalk::soak {

namespace {

using standins::line_server_group;
using standins::platform_store;

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

} // namespace

void
soak_run::InjectFault(const fault_step& aStep)
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

void
soak_run::LogFault(const fault_step& aStep, const std::string& aTarget)
{
  LogEvent(absl::StrCat(std::string(NameOf(kFaultKindNames, aStep.mKind)),
                        " of ",
                        aTarget,
                        " for ",
                        aStep.mDuration.count(),
                        " ms"));
}

soak_run::instance&
soak_run::TargetInstance(const fault_step& aStep)
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

std::vector<std::size_t>
soak_run::TargetLinks(const fault_step& aStep)
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

void
soak_run::DelayPromotions(const fault_step& aStep)
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

void
soak_run::InjectInstanceFault(const fault_step& aStep)
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

void
soak_run::InjectLinkFault(const fault_step& aStep)
{
  for (const std::size_t link : TargetLinks(aStep)) {
    InjectLinkFault(aStep, link);
  }
}

void
soak_run::InjectLinkFault(const fault_step& aStep, std::size_t aLink)
{
  LogFault(aStep, absl::StrCat("link ", aLink, " to ", mNetwork.Target(aLink)));
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

void
soak_run::InjectServerFault(const fault_step& aStep)
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

bool
soak_run::ReserveServerFailure(milliseconds aLength)
{
  if (Elapsed() < mServersRecoveredAt) {
    return false;
  }
  mServersRecoveredAt = Elapsed() + aLength + kServerRecovery;
  return true;
}

void
soak_run::Replace(const std::string& aId)
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

void
soak_run::SetServerFault(const std::string& aId,
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

void
soak_run::InjectStoreFault(const fault_step& aStep)
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

void
soak_run::InjectStoreReturn(const fault_step& aStep)
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
    std::shuffle(lost.begin(), lost.end(), std::minstd_rand(1 + aStep.mTarget));
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

} // namespace snipewalk::soak
