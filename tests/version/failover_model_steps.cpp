// Random faults and ordinary operations of the failover model.
#include "version/failover_model.h"

#include <algorithm>

namespace snipewalk {

void
failover_model::Probe()
{
  for (std::size_t i = 0; i < mInstances.size(); ++i) {
    for (const auto& [name, server] : mServers) {
      if (server.mUp && mUnreachable.count({ i, name }) == 0 &&
          !RandomChance(mLossPercent)) {
        const server_observed seen{ server.Status(name), mNow };
        Schedule(Jittered(mDelay), [=, this] { Deliver(i, seen); });
      }
    }
  }
}

void
failover_model::DetectFailures()
{
  for (std::size_t i = 0; i < mInstances.size(); ++i) {
    const auto record = mInstances[i]->Term();
    if (record && !record->mPrimary.empty()) {
      const bool failed = !mServers[record->mPrimary].mUp ||
                          mUnreachable.count({ i, record->mPrimary }) > 0;
      Deliver(i, primary_failed{ record->mTerm, failed });
    }
  }
}

void
failover_model::Replicate()
{
  for (auto& [name, server] : mServers) {
    const auto primary = mServers.find(server.mPrimary);
    if (!server.mUp || server.mRole != server_role::Replica ||
        primary == mServers.end() || !primary->second.mUp || RandomChance(30)) {
      continue;
    }
    // A primary that was fenced for a later term still sends its log to the
    // replicas that had started to follow it.
    const auto& source = primary->second;
    const bool serves =
      (source.mRole == server_role::Primary && source.mTerm == server.mTerm) ||
      (source.mRole == server_role::Fenced && source.mTerm > server.mTerm &&
       server.mMatched && mPromoted[server.mTerm] == server.mPrimary);
    if (serves) {
      server.ReplicateFrom(source, 1 + RandomBelow(4));
    }
  }
}

void
failover_model::Write(std::size_t aInstance)
{
  const auto record = mInstances[aInstance]->Term();
  if (!record || record->mPhase != term_phase::Stable) {
    return;
  }
  model_server& primary = mServers[record->mPrimary];
  if (!primary.mUp || primary.mTerm != record->mTerm ||
      primary.mRole != server_role::Primary) {
    return;
  }
  const model_entry entry{ record->mTerm, mNextId++ };
  primary.mLog.push_back(entry);
  mWrites.push_back({ aInstance,
                      record->mTerm,
                      record->mPrimary,
                      record->mVoters,
                      primary.mLog.size(),
                      entry,
                      { record->mPrimary } });
}

void
failover_model::ConfirmWrites()
{
  for (auto& write : mWrites) {
    for (const auto& voter : write.mVoters) {
      const model_server& server = mServers[voter];
      if (server.mUp && server.mTerm == write.mTerm && server.mMatched &&
          server.mRole == server_role::Replica &&
          server.mLog.size() >= write.mIndex && RandomChance(50)) {
        write.mConfirmed.insert(voter);
      }
    }
  }
  std::erase_if(mWrites, [this](const model_write& aWrite) {
    const auto confirmed = std::count_if(
      aWrite.mVoters.begin(), aWrite.mVoters.end(), [&](const auto& aVoter) {
        return aWrite.mConfirmed.count(aVoter) > 0;
      });
    if (2 * static_cast<std::size_t>(confirmed) <= aWrite.mVoters.size()) {
      // A write that no voter can confirm any more is removed.
      return std::all_of(
        aWrite.mVoters.begin(), aWrite.mVoters.end(), [&](const auto& aVoter) {
          return mServers[aVoter].mTerm > aWrite.mTerm;
        });
    }
    mAcknowledged.emplace_back(aWrite.mIndex, aWrite.mEntry);
    return true;
  });
}

void
failover_model::RandomServerStep()
{
  auto server =
    std::next(mServers.begin(),
              static_cast<std::ptrdiff_t>(RandomBelow(mServers.size())));
  switch (RandomBelow(3)) {
    case 0:
      server->second.mUp = RandomChance(70);
      return;
    case 1:
      if (RandomChance(40)) {
        mUnreachable.insert({ RandomBelow(mInstances.size()), server->first });
      } else if (!mUnreachable.empty()) {
        mUnreachable.erase(mUnreachable.begin());
      }
      return;
    default:
      mLossPercent = RandomChance(20) ? 20 : 0;
      return;
  }
}

void
failover_model::RandomStoreStep()
{
  switch (RandomBelow(4)) {
    case 0:
      mStoreUp = RandomChance(75);
      return;
    case 1:
      mLostAnswerPercent = RandomChance(30) ? 40 : 0;
      return;
    case 2:
      mRefusedPercent = RandomChance(20) ? 40 : 0;
      return;
    default:
      mStoreNotificationsLost = RandomChance(20);
      return;
  }
}

void
failover_model::RandomFailoverEvent()
{
  const std::size_t instance = RandomBelow(mInstances.size());
  const auto record = mInstances[instance]->Term();
  if (!record) {
    return;
  }
  if (RandomChance(50)) {
    // A false verdict may cause a change of primary but no lost write.
    Deliver(instance, primary_failed{ record->mTerm, true });
    return;
  }
  std::vector<std::string> names;
  for (const auto& [name, server] : mServers) {
    names.push_back(name);
  }
  std::shuffle(names.begin(), names.end(), mRandom);
  names.resize(std::min<std::size_t>(names.size(), 3));
  Deliver(instance,
          change_requested{ record->mTerm,
                            { names.front(), names, "random change" } });
}

void
failover_model::RandomStep()
{
  const std::size_t kind = RandomBelow(100);
  if (kind < 4) {
    RandomServerStep();
  } else if (kind < 7) {
    RandomStoreStep();
  } else if (kind < 9) {
    const std::size_t instance = RandomBelow(mInstances.size());
    mPaused[instance] = RandomChance(30);
  } else if (kind < 10) {
    RandomFailoverEvent();
  } else if (kind < 30) {
    DetectFailures();
  } else {
    Write(RandomBelow(mInstances.size()));
    Replicate();
    ConfirmWrites();
  }
  Run(milliseconds(1 + RandomBelow(20)));
}

void
failover_model::RemoveFaults()
{
  for (auto& [name, server] : mServers) {
    server.mUp = true;
  }
  std::fill(mPaused.begin(), mPaused.end(), false);
  mUnreachable.clear();
  mStoreUp = true;
  mStoreNotificationsLost = false;
  mLostAnswerPercent = mRefusedPercent = mLossPercent = 0;
}

} // namespace snipewalk
