// Cuts the regions of a simulated fleet from each other, reconnects them and
// measures how the fleet recovers. Used by tests and the benchmark.
#ifndef SNIPEWALK_FLEET_PARTITION_TRIAL_H_
#define SNIPEWALK_FLEET_PARTITION_TRIAL_H_

#include "fleet/fleet_model.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace snipewalk {

struct partition_figures
{
  // Seconds after the reconnection; negative if not within the time limit.
  double mAllKnownS = -1;
  double mDocumentS = -1;
  // Largest mean of ten seconds of any instance, sent and received, from the
  // cut to the end; and after the reconnection only.
  double mWorstBytesPerS = 0;
  double mWorstHealBytesPerS = 0;
  // Per instance, after the reconnection.
  double mMeanHealBytes = 0;
  std::uint64_t mFetches = 0;
  std::uint64_t mDeathsAfterHeal = 0;
  bool mReverted = false;
};

class partition_trial
{
public:
  partition_trial(std::size_t aCount, std::size_t aRegions, std::uint64_t aSeed)
    : mFleet(aSeed)
  {
    mFleet.mRegions = aRegions;
    mFleet.mCountBytes = true;
    mFleet.StartJoined(aCount);
    mFleet.Put("services", "a", "1");
    mHeads.resize(aCount);
    mBytes.resize(aCount);
    Observe(seconds(30));
  }

  // Each region becomes a group; only the first one reaches the store.
  void Cut()
  {
    for (std::size_t i = 0; i < mFleet.Size(); ++i) {
      mFleet.At(i).mGroup = static_cast<int>(i % mFleet.mRegions);
      mFleet.At(i).mStoreReachable = mFleet.At(i).mGroup == 0;
    }
    mFigures.mWorstBytesPerS = 0;
  }

  void Reconnect()
  {
    for (std::size_t i = 0; i < mFleet.Size(); ++i) {
      mFleet.At(i).mGroup = 0;
      mFleet.At(i).mStoreReachable = true;
    }
  }

  // Runs in steps of a second and keeps the worst rate.
  void Observe(duration aTime)
  {
    for (const time_point end = mFleet.Now() + aTime; mFleet.Now() < end;) {
      mFleet.Run(seconds(1));
      NoteSecond();
    }
  }

  // Reconnects and measures until all live members know each other and have
  // the newest document, at most `aLimit`.
  partition_figures Heal(duration aLimit)
  {
    const auto before = Totals();
    const time_point start = mFleet.Now();
    const double worst = mFigures.mWorstBytesPerS;
    mFigures.mWorstBytesPerS = 0;
    for (auto& bytes : mBytes) {
      bytes.clear();
    }
    Reconnect();
    while (mFleet.Now() - start < aLimit) {
      Observe(seconds(1));
      const double after =
        std::chrono::duration<double>(mFleet.Now() - start).count();
      if (mFigures.mDocumentS < 0 && AllHaveDocument()) {
        mFigures.mDocumentS = after;
      }
      if (mFigures.mAllKnownS < 0 && AllKnown()) {
        mFigures.mAllKnownS = after;
      }
      // The cost of what is still on its way belongs to the figure.
      if (mFigures.mAllKnownS >= 0 && mFigures.mDocumentS >= 0 &&
          after >= mFigures.mAllKnownS + 15) {
        break;
      }
    }
    const auto total = Totals();
    mFigures.mWorstHealBytesPerS = mFigures.mWorstBytesPerS;
    mFigures.mWorstBytesPerS = std::max(worst, mFigures.mWorstBytesPerS);
    mFigures.mMeanHealBytes =
      static_cast<double>(total.mBytes - before.mBytes) /
      static_cast<double>(mFleet.Size());
    mFigures.mFetches = total.mFetches - before.mFetches;
    mFigures.mDeathsAfterHeal = total.mDeaths - before.mDeaths;
    return mFigures;
  }

  // Whether each instance held each other one alive at some observed second
  // after the first call. With heavy loss some live member is always suspected
  // wrongly by someone, also without a partition.
  bool EachWasKnown()
  {
    mKnown.resize(mFleet.Size());
    bool all = true;
    for (std::size_t i = 0; i < mFleet.Size(); ++i) {
      for (const auto& member : mFleet.At(i).mMembership->Members()) {
        if (member.mInfo.mState == member_state::Alive) {
          mKnown[i].insert(member.mInfo.mName);
        }
      }
      all = all && mKnown[i].size() + 1 == mFleet.Size();
    }
    return all;
  }

  bool AllKnown()
  {
    std::size_t live = 0;
    for (std::size_t i = 0; i < mFleet.Size(); ++i) {
      live += mFleet.At(i).mStopped ? 0 : 1;
    }
    for (std::size_t i = 0; i < mFleet.Size(); ++i) {
      if (!mFleet.At(i).mStopped &&
          mFleet.At(i).mMembership->LiveCount() < live) {
        return false;
      }
    }
    return true;
  }

  bool AllHaveDocument()
  {
    for (std::size_t i = 0; i < mFleet.Size(); ++i) {
      if (!mFleet.At(i).mStopped && HeadOf(i) < mFleet.Revision()) {
        return false;
      }
    }
    return true;
  }

  fleet_model& Fleet() { return mFleet; }
  const partition_figures& Figures() const { return mFigures; }

private:
  struct totals
  {
    std::uint64_t mBytes = 0;
    std::uint64_t mFetches = 0;
    std::uint64_t mDeaths = 0;
  };

  std::uint64_t HeadOf(std::size_t aIndex)
  {
    return mFleet.At(aIndex).mCache->Heads()[*KindIndex("services")];
  }

  static std::uint64_t BytesOf(const fleet_model::instance& aInstance)
  {
    return aInstance.mBytesSent + aInstance.mBytesReceived;
  }

  void NoteSecond()
  {
    constexpr std::size_t kWindow = 10;
    for (std::size_t i = 0; i < mFleet.Size(); ++i) {
      auto& bytes = mBytes[i];
      bytes.push_back(BytesOf(mFleet.At(i)));
      if (bytes.size() > kWindow) {
        const double rate =
          static_cast<double>(bytes.back() - bytes.front()) / kWindow;
        mFigures.mWorstBytesPerS = std::max(mFigures.mWorstBytesPerS, rate);
        bytes.pop_front();
      }
      mFigures.mReverted = mFigures.mReverted || HeadOf(i) < mHeads[i];
      mHeads[i] = HeadOf(i);
    }
  }

  totals Totals()
  {
    totals sum;
    for (std::size_t i = 0; i < mFleet.Size(); ++i) {
      sum.mBytes += BytesOf(mFleet.At(i));
      sum.mFetches += mFleet.At(i).mFetches;
      sum.mDeaths += mFleet.At(i).mDeaths;
    }
    return sum;
  }

  fleet_model mFleet;
  partition_figures mFigures;
  std::vector<std::uint64_t> mHeads;
  std::vector<std::set<std::string>> mKnown;
  std::vector<std::deque<std::uint64_t>> mBytes;
};

} // namespace snipewalk

#endif // SNIPEWALK_FLEET_PARTITION_TRIAL_H_
