// Many instances with membership, object cache and dissemination in one
// process: messages are delivered by a simulated network, time is stepped.
// Used by tests and benchmarks.
#ifndef SNIPEWALK_FLEET_FLEET_MODEL_H_
#define SNIPEWALK_FLEET_FLEET_MODEL_H_

#include "snipewalk/fleet/dissemination.h"
#include "snipewalk/fleet/membership.h"

#include "fleet/fleet_codec.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace snipewalk {

class fleet_model
{
public:
  struct instance
  {
    std::unique_ptr<membership> mMembership;
    std::unique_ptr<object_cache> mCache;
    std::unique_ptr<dissemination> mDissemination;
    // No events are delivered: paused or ended.
    bool mStopped = false;
    bool mStoreReachable = true;
    // False for an instance of a version that knows no ranges of members.
    bool mKnowsRanges = true;
    int mGroup = 0;
    std::uint64_t mBytesSent = 0;
    std::uint64_t mBytesReceived = 0;
    // Exchanges of the member table that this instance began.
    std::uint64_t mFetches = 0;
    std::uint64_t mDatagrams = 0;
    std::uint64_t mDeaths = 0;
    bool mDuplicate = false;
    time_point mNextCall;
  };

  explicit fleet_model(std::uint64_t aSeed = 1)
    : mRandom(aSeed)
  {
  }

  static std::string Address(std::size_t aIndex)
  {
    return "10." + std::to_string(aIndex / 65'536) + "." +
           std::to_string(aIndex / 256 % 256) + "." +
           std::to_string(aIndex % 256) + ":7100";
  }

  member_info InfoOf(std::size_t aIndex) const
  {
    return { "instance-" + std::to_string(aIndex),
             static_cast<std::uint64_t>(
               mNow.time_since_epoch().count() / 1'000'000 + 1)
               << kRefutationBits,
             "centre-" + std::to_string(aIndex % 18),
             "region-" + std::to_string(aIndex % mRegions),
             Address(aIndex),
             Address(aIndex),
             member_state::Alive,
             kBuildVersions };
  }

  // Starts or replaces the instance at this index.
  instance& Start(std::size_t aIndex)
  {
    if (aIndex >= mInstances.size()) {
      mInstances.resize(aIndex + 1);
    }
    auto fresh = std::make_unique<instance>();
    membership_options options;
    options.mSelf = InfoOf(aIndex);
    options.mSeeds = { Address(0), Address(1) };
    options.mSeed = mRandom();
    fresh->mMembership = std::make_unique<membership>(options, mNow);
    fresh->mCache = std::make_unique<object_cache>();
    dissemination_options spread;
    spread.mSeed = mRandom();
    fresh->mDissemination = std::make_unique<dissemination>(
      spread, *fresh->mCache, *fresh->mMembership, mNow);
    fresh->mNextCall = mNow;
    if (mInstances[aIndex]) {
      fresh->mBytesSent = mInstances[aIndex]->mBytesSent;
      fresh->mBytesReceived = mInstances[aIndex]->mBytesReceived;
    }
    mByAddress[options.mSelf.mControlAddress] = aIndex;
    mInstances[aIndex] = std::move(fresh);
    return *mInstances[aIndex];
  }

  // Starts instances that already know each other.
  void StartJoined(std::size_t aCount)
  {
    std::vector<member_info> table;
    for (std::size_t i = 0; i < aCount; ++i) {
      Start(i);
      table.push_back(mInstances[i]->mMembership->Self());
    }
    for (std::size_t i = 0; i < aCount; ++i) {
      std::vector<membership_action> ignored;
      mInstances[i]->mMembership->Handle(
        members_received{ table }, mNow, ignored);
    }
  }

  void Put(std::string aKind, std::string aName, std::string aValue)
  {
    const stored_object object{ { std::move(aKind), std::move(aName) },
                                ++mRevision,
                                false,
                                std::move(aValue) };
    mStore[object.mKey] = object;
    WakeWatches();
  }

  void Remove(const object_key& aKey)
  {
    mStore[aKey] = { aKey, ++mRevision, true, "" };
    WakeWatches();
  }

  // Advances by `aTime` in steps of `aStep`.
  void Run(duration aTime, duration aStep = milliseconds(50))
  {
    const time_point end = mNow + aTime;
    while (mNow < end) {
      mNow += aStep;
      Deliver();
      for (std::size_t i = 0; i < mInstances.size(); ++i) {
        if (!mInstances[i]->mStopped && mNow >= mInstances[i]->mNextCall) {
          CallTimers(i);
        }
      }
    }
  }

  void Deliver()
  {
    while (!mLater.empty() && mLater.begin()->first <= mNow) {
      auto task = std::move(mLater.begin()->second);
      mLater.erase(mLater.begin());
      task();
    }
  }

  void Give(std::size_t aTo, const membership_event& aEvent)
  {
    instance& to = *mInstances[aTo];
    to.mMembership->SetCarried(to.mDissemination->Carried(mNow));
    std::vector<membership_action> actions;
    to.mMembership->Handle(aEvent, mNow, actions);
    for (const auto& action : actions) {
      std::visit([&](const auto& aKnown) { Do(aTo, aKnown); }, action);
    }
    to.mNextCall = mNow;
  }

  void Give(std::size_t aTo, const dissemination_event& aEvent)
  {
    instance& to = *mInstances[aTo];
    std::vector<dissemination_action> actions;
    to.mDissemination->Handle(aEvent, mNow, actions);
    for (const auto& action : actions) {
      std::visit([&](const auto& aKnown) { Do(aTo, aKnown); }, action);
    }
    to.mNextCall = mNow;
  }

  instance& At(std::size_t aIndex) { return *mInstances[aIndex]; }
  std::size_t Size() const { return mInstances.size(); }
  time_point Now() const { return mNow; }
  std::uint64_t Revision() const { return mRevision; }
  const std::map<object_key, stored_object>& Store() const { return mStore; }

  // Share of datagrams and frames that are lost.
  double mLoss = 0;
  // False for frames that TCP repeats.
  bool mLoseFrames = true;
  // Members of the first group reach those of the second one even though
  // their groups differ: a cut of one direction only.
  std::optional<std::pair<int, int>> mOneWay;
  bool mStoreDown = false;
  std::size_t mRegions = 1;
  // Every datagram is encoded to count its bytes.
  bool mCountBytes = false;
  std::uint64_t mLargestDatagram = 0;

private:
  struct waiting_watch
  {
    std::size_t mInstance;
    const instance* mProcess;
    start_watch mWatch;
    time_point mUntil;
  };

  void CallTimers(std::size_t aIndex)
  {
    instance& each = *mInstances[aIndex];
    if (mNow >= each.mMembership->NextTimer()) {
      Give(aIndex, membership_event(membership_timer{}));
    }
    if (mNow >= each.mDissemination->NextTimer()) {
      Give(aIndex, dissemination_event(dissemination_timer{}));
    }
    each.mNextCall =
      std::min(each.mMembership->NextTimer(), each.mDissemination->NextTimer());
    EndWatches();
  }

  bool Reaches(std::size_t aFrom, std::size_t aTo)
  {
    const int from = mInstances[aFrom]->mGroup;
    const int to = mInstances[aTo]->mGroup;
    return !mInstances[aTo]->mStopped &&
           (from == to || mOneWay == std::pair(from, to));
  }

  // Delivers over the network unless the message is lost.
  void Send(std::size_t aFrom,
            const std::string& aTo,
            const std::function<void(std::size_t)>& aTask,
            bool aDatagram = false)
  {
    const auto to = mByAddress.find(aTo);
    const bool mayLose = aDatagram || mLoseFrames;
    const bool lost =
      mayLose && static_cast<double>(mRandom() % 1'000'000) < mLoss * 1'000'000;
    if (to == mByAddress.end() || lost) {
      return;
    }
    const milliseconds delay(1 + mRandom() % 5);
    mLater.emplace(mNow + delay, [this, aFrom, target = to->second, aTask] {
      if (Reaches(aFrom, target)) {
        aTask(target);
      }
    });
  }

  void Do(std::size_t aFrom, const send_membership& aAction)
  {
    instance& from = *mInstances[aFrom];
    ++from.mDatagrams;
    std::size_t bytes = 0;
    membership_message sent = aAction.mMessage;
    sent.mRangeBits = from.mKnowsRanges ? sent.mRangeBits : 0;
    if (mCountBytes) {
      bytes = EncodeDatagram(sent, "key", aAction.mVersion).size();
      from.mBytesSent += bytes;
      mLargestDatagram = std::max<std::uint64_t>(mLargestDatagram, bytes);
    }
    Send(
      aFrom,
      aAction.mTo,
      [this, aFrom, bytes, message = std::move(sent)](std::size_t aTo) mutable {
        mInstances[aTo]->mBytesReceived += bytes;
        if (!mInstances[aTo]->mKnowsRanges) {
          message.mRangeBits = 0;
        }
        Give(aTo,
             membership_event(membership_received{ Address(aFrom), message }));
      },
      true);
  }
  void Do(std::size_t aFrom, const member_changed& aAction)
  {
    mInstances[aFrom]->mDeaths += aAction.mState == member_state::Dead ? 1 : 0;
    Give(aFrom, dissemination_event(fleet_changed{}));
  }
  void Do(std::size_t aFrom, const fetch_members& aAction)
  {
    ++mInstances[aFrom]->mFetches;
    const member_query query{ 1, "", aAction.mRanges, aAction.mWanted };
    const std::size_t asked = Count(aFrom, query);
    Send(aFrom, aAction.mFrom, [this, aFrom, asked, query](std::size_t aTo) {
      mInstances[aTo]->mBytesReceived += asked;
      const member_query known =
        mInstances[aTo]->mKnowsRanges ? query : member_query{ 1, "" };
      const member_reply reply =
        mInstances[aTo]->mMembership->Answer(known, 64 * 1024 * 1024, mNow);
      const std::size_t bytes = Count(aTo, reply);
      Send(aTo,
           Address(aFrom),
           [this, bytes, from = Address(aTo), reply](std::size_t aBack) {
             mInstances[aBack]->mBytesReceived += bytes;
             Give(aBack,
                  membership_event(
                    members_received{ reply.mMembers, reply.mBriefs, from }));
           });
    });
  }
  void Do(std::size_t aFrom, const peer_seen& aAction)
  {
    Give(aFrom, dissemination_event(aAction));
  }
  void Do(std::size_t aFrom, const duplicate_name_found&)
  {
    mInstances[aFrom]->mDuplicate = true;
  }
  void Do(std::size_t aFrom, const send_push& aAction)
  {
    const std::size_t bytes = Count(aFrom, aAction.mPush);
    Send(aFrom,
         aAction.mTo,
         [this, aFrom, bytes, push = aAction.mPush](std::size_t aTo) {
           mInstances[aTo]->mBytesReceived += bytes;
           Give(aTo,
                dissemination_event(push_received{ Address(aFrom), "", push }));
         });
  }
  void Do(std::size_t aFrom, const send_pull& aAction)
  {
    Count(aFrom, aAction.mQuery);
    Send(aFrom,
         aAction.mTo,
         [this, aFrom, query = aAction.mQuery](std::size_t aTo) {
           const pull_reply reply{
             query.mSequence,
             query.mKind,
             mInstances[aTo]->mCache->Delta(
               query.mKind, query.mSince, query.mCursor, kChunkBytes)
           };
           const std::size_t bytes = Count(aTo, reply);
           Send(aTo, Address(aFrom), [this, bytes, reply](std::size_t aBack) {
             mInstances[aBack]->mBytesReceived += bytes;
             Give(aBack, dissemination_event(pull_answered{ reply }));
           });
         });
  }
  void Do(std::size_t, const objects_changed&) {}
  void Do(std::size_t aFrom, const start_watch& aAction)
  {
    mWatches.push_back(
      { aFrom, mInstances[aFrom].get(), aAction, mNow + aAction.mWatch.mWait });
    if (aAction.mWatch.mFrom == 0 || mStoreDown ||
        !mInstances[aFrom]->mStoreReachable) {
      mWatches.back().mUntil = mNow;
    }
    WakeWatches();
  }

  std::size_t Count(std::size_t aFrom, const fleet_message& aMessage)
  {
    if (!mCountBytes) {
      return 0;
    }
    const std::size_t bytes = EncodeFleetMessage(aMessage).size() + 4;
    mInstances[aFrom]->mBytesSent += bytes;
    return bytes;
  }

  void WakeWatches()
  {
    mLater.emplace(mNow + milliseconds(2), [this] { EndWatches(); });
  }

  void EndWatches()
  {
    std::vector<waiting_watch> watches = std::exchange(mWatches, {});
    for (auto& watch : watches) {
      if (mInstances[watch.mInstance].get() != watch.mProcess) {
        continue;
      }
      const bool reachable = !mStoreDown && watch.mProcess->mStoreReachable;
      store_reply reply;
      if (reachable) {
        reply = Answer(watch.mWatch.mWatch);
      }
      if (watch.mProcess->mStopped ||
          (mNow < watch.mUntil && reply.mObjects.empty())) {
        mWatches.push_back(std::move(watch));
        continue;
      }
      mLater.emplace(mNow + milliseconds(2), [this, watch, reply] {
        if (mInstances[watch.mInstance].get() == watch.mProcess) {
          Give(
            watch.mInstance,
            dissemination_event(watch_answered{ watch.mWatch.mKind, reply }));
        }
      });
    }
  }

  store_reply Answer(const store_watch& aWatch) const
  {
    store_reply reply{ store_status::Ok, {}, mRevision, {} };
    for (const auto& [key, object] : mStore) {
      if (key.mKind == aWatch.mKind && object.mVersion > aWatch.mFrom &&
          !(aWatch.mFrom == 0 && object.mDeleted)) {
        reply.mObjects.push_back(object);
      }
    }
    return reply;
  }

  static constexpr std::size_t kChunkBytes = 4'096;
  std::mt19937_64 mRandom;
  time_point mNow{ std::chrono::hours(1) };
  std::vector<std::unique_ptr<instance>> mInstances;
  std::map<std::string, std::size_t> mByAddress;
  std::multimap<time_point, std::function<void()>> mLater;
  std::vector<waiting_watch> mWatches;
  std::map<object_key, stored_object> mStore;
  std::uint64_t mRevision = 10;
};

} // namespace snipewalk

#endif // SNIPEWALK_FLEET_FLEET_MODEL_H_
