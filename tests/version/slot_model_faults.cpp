// Implementation of the slot model: faults and differing membership views.
#include "version/slot_model.h"

#include "version/slot_model_nodes.h"

#include <algorithm>

namespace snipewalk {

holder_liveness
slot_model::fleet_view::Liveness(const slot_record::holder& aHolder) const
{
  if (mEnded.contains(aHolder.mIncarnation)) {
    return holder_liveness::Gone;
  }
  const std::size_t other = NodeOf(aHolder.mInstance);
  if (other == mSelf) {
    return aHolder.mIncarnation == mModel.mNodes[mSelf]->mIncarnation
             ? holder_liveness::Live
             : holder_liveness::Gone;
  }
  return mBelievedDead.contains(other) ? holder_liveness::Dead
                                       : holder_liveness::Live;
}

std::size_t
slot_model::fleet_view::Rank(const std::string& aService,
                             const std::vector<std::string>& aExcluded) const
{
  if (mModel.mOptions.mDataCentres > 0) {
    return mModel.Index(mSelf).Rank({ aService, {}, aExcluded },
                                    NodeName(mSelf),
                                    mModel.mNodes[mSelf]->mSlots->Load());
  }
  const auto hash = [&](std::size_t aNode) {
    return std::hash<std::string>{}(aService + NodeName(aNode));
  };
  std::size_t rank = 0;
  for (std::size_t i = 0; i < mModel.mNodes.size(); ++i) {
    if (i != mSelf && !mBelievedDead.contains(i) && hash(i) > hash(mSelf) &&
        std::find(aExcluded.begin(), aExcluded.end(), NodeName(i)) ==
          aExcluded.end()) {
      ++rank;
    }
  }
  return rank;
}

void
slot_model::InjectFaults()
{
  if (Chance(0.002)) {
    // Divides the network into up to three partitions, or reunites it.
    const int partitions = static_cast<int>(1 + mRandom() % 3);
    for (auto& partition : mPartitions) {
      partition =
        static_cast<int>(mRandom() % static_cast<unsigned>(partitions));
    }
    mStorePartition =
      static_cast<int>(mRandom() % static_cast<unsigned>(partitions));
  }
  if (Chance(0.001)) {
    mStoreDown = !mStoreDown;
    if (!mStoreDown) {
      for (std::size_t i = 0; i < mNodes.size(); ++i) {
        Deliver(i, slot_store_recovered{});
      }
    }
  }
  if (Chance(0.003)) {
    mFalselySuspected = mRandom() % mNodes.size();
    mFalseSuspicionUntil = mNow + seconds(20);
  }
  const std::size_t victim = mRandom() % mNodes.size();
  if (mNodes[victim]->mRunning) {
    if (Chance(0.002)) {
      Crash(victim);
    } else if (Chance(0.001)) {
      Deliver(victim, slots_released{});
      Schedule(milliseconds(8'000) + RandomDelay(8'000), [this, victim] {
        if (mNodes[victim]->mRunning) {
          Crash(victim);
        }
      });
    }
  } else if (Chance(0.02)) {
    Start(victim);
  }
  if (mOptions.mChangeDocuments && Chance(0.003)) {
    document& changed = mDocuments[mRandom() % mDocuments.size()];
    changed = { static_cast<int>(1 + mRandom() % 4),
                static_cast<int>(4 + mRandom() % 30),
                ++mRevision };
  }
}

void
slot_model::FailFrom(std::size_t aFirst)
{
  for (std::size_t failed = aFirst; failed < mNodes.size(); ++failed) {
    mNodes[failed]->mRunning = false;
    for (std::size_t i = 0; i < aFirst; ++i) {
      mNodes[i]->mView->mBelievedDead.insert(failed);
      mNodes[i]->mView->mEnded.insert(mNodes[failed]->mIncarnation);
    }
  }
  for (std::size_t i = 0; i < aFirst; ++i) {
    for (std::size_t failed = aFirst; failed < mNodes.size(); ++failed) {
      Deliver(i, slot_member_changed{ NodeName(failed) });
    }
  }
}

void
slot_model::ChangeViews()
{
  const std::size_t i = mRandom() % mNodes.size();
  const std::size_t j = mRandom() % mNodes.size();
  auto& dead = mNodes[i]->mView->mBelievedDead;
  const bool reachable = mNodes[j]->mRunning && Connected(i, j);
  // A reachable member is believed dead at random times.
  const bool falselySuspected =
    j == mFalselySuspected && mNow < mFalseSuspicionUntil;
  const bool believedDead = !reachable || (mFaultInjection && i != j &&
                                           (falselySuspected || Chance(0.03)));
  if (believedDead ? dead.insert(j).second : dead.erase(j) > 0) {
    mNodes[i]->mView->mStableSince = mNow;
    Deliver(i, slot_member_changed{ NodeName(j) });
  }
}

void
slot_model::PropagateUpdates()
{
  const std::size_t i = mRandom() % mNodes.size();
  const std::size_t from = mRandom() % mNodes.size();
  const bool hasStore = mPartitions[i] == mStorePartition && !mStoreDown;
  node& receiver = *mNodes[i];
  if (!receiver.mRunning) {
    return;
  }
  for (std::size_t service = 0; service < mDocuments.size(); ++service) {
    document next = mDocuments[service];
    if (!hasStore) {
      if (!Connected(i, from) || !mNodes[from]->mRunning) {
        return;
      }
      next = mNodes[from]->mDocuments[service];
    }
    if (next.mVersion > receiver.mDocuments[service].mVersion) {
      receiver.mDocuments[service] = next;
      Deliver(i,
              slots_configured{ ServiceName(service),
                                next.mSlots,
                                next.mConnections,
                                next.mVersion });
    }
    const auto object = mStore.find(ServiceName(service));
    if (hasStore && object != mStore.end() &&
        object->second.mVersion > receiver.mRecords[object->first]) {
      receiver.mRecords[object->first] = object->second.mVersion;
      Deliver(i, slots_recorded{ object->second });
    }
  }
}

} // namespace snipewalk
