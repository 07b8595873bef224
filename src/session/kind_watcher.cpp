// Paged lists, long-poll watches, and retries; a failed refresh is not retried.
// A list is merged into the view by version, because newer objects may be
// learned while it is in progress.
#include "snipewalk/session/kind_watcher.h"

#include "snipewalk/base/log.h"
#include "snipewalk/messages/store_revision.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Delay before the next call after a failed one. It doubles with each further
// failure, and a random half to whole of it is waited: a store that refuses
// calls for lack of capacity must not get more of them than at other times, and
// the instances must not return together when it serves them again.
constexpr milliseconds kFirstRetryDelay{ 100 };
constexpr milliseconds kMaxRetryDelay{ 1'000 };
// Lists that could wait take at most one part in kRefreshPause + 1 of the time.
constexpr int kRefreshPause = 3;
// A list can also have been slow because the store was.
constexpr milliseconds kMaxRefreshPause{ 2'000 };

using object_map = std::map<std::string, stored_object>;

std::vector<std::string>
ChangedNames(const object_map& aBefore, const object_map& aAfter)
{
  std::vector<std::string> changed;
  for (const auto& [name, object] : aAfter) {
    const auto before = aBefore.find(name);
    if (before == aBefore.end() || before->second.mVersion != object.mVersion) {
      changed.push_back(name);
    }
  }
  for (const auto& [name, object] : aBefore) {
    if (!aAfter.contains(name)) {
      changed.push_back(name);
    }
  }
  return changed;
}

} // namespace

kind_watcher::kind_watcher(event_loop& aLoop,
                           store_client& aStore,
                           std::string aKind,
                           milliseconds aWatchTimeout,
                           update_handler aOnUpdate)
  : mLoop(aLoop)
  , mStore(aStore)
  , mKind(std::move(aKind))
  , mWatchTimeout(aWatchTimeout)
  , mOnUpdate(std::move(aOnUpdate))
{
}

void
kind_watcher::Start()
{
  List({ false, mLoop.Now() });
}

void
kind_watcher::Refresh()
{
  ++mActiveRefreshes;
  List({ true, mLoop.Now() });
}

void
kind_watcher::Restart()
{
  if (!mListed || mRevision == 0) {
    return;
  }
  Log(log_level::Info,
      "store",
      "watch is started again",
      { { "kind", mKind },
        { "revision", static_cast<std::int64_t>(mRevision) } });
  ++mRestarts;
  AbandonWatch();
  mRevision = 0;
  List({ false, mLoop.Now() });
}

bool
kind_watcher::IsReplyArriving(time_point aNow) const
{
  return mStore.IsReplyArriving(mListCall, aNow) ||
         (mWatchCall && mStore.IsReplyArriving(*mWatchCall, aNow));
}

bool
kind_watcher::HasTimeForRefresh(time_point aNow) const
{
  return !IsRefreshing() && !IsReplyArriving(aNow) &&
         (mListedAt == time_point::min() ||
          aNow >= mListedAt + std::min<duration>(kRefreshPause * mListTime,
                                                 kMaxRefreshPause));
}

void
kind_watcher::ApplyNewer(const stored_object& aObject)
{
  Apply(aObject);
  mNewestVersion = std::max(mNewestVersion, aObject.mVersion);
}

bool
kind_watcher::Apply(const stored_object& aObject)
{
  const auto held = mObjects.find(aObject.mKey.mName);
  if (held != mObjects.end() && held->second.mVersion >= aObject.mVersion &&
      !aObject.mDeleted) {
    return false;
  }
  if (!aObject.mDeleted) {
    mObjects[aObject.mKey.mName] = aObject;
    return true;
  }
  return mObjects.erase(aObject.mKey.mName) > 0;
}

bool
kind_watcher::IsOutdated(const store_reply& aReply) const
{
  return aReply.mStatus == store_status::Ok && EraOf(aReply.mRevision) < mEra;
}

void
kind_watcher::List(listing aListing)
{
  store_watch list{ mKind, 0, milliseconds(0), aListing.mAfter };
  mListCall = mStore.Submit(
    std::move(list),
    store_priority::Watch,
    [this, listing = std::move(aListing), alive = std::weak_ptr<bool>(mAlive)](
      const store_reply& aReply, time_point aNow) mutable {
      if (!alive.expired()) {
        OnListed(aReply, std::move(listing), aNow);
      }
    });
}

void
kind_watcher::OnListed(const store_reply& aReply,
                       listing aListing,
                       time_point aNow)
{
  // Pages of two eras make no list.
  const bool mixed = aListing.mRevision != 0 &&
                     EraOf(aListing.mRevision) != EraOf(aReply.mRevision);
  const bool usable =
    aReply.mStatus == store_status::Ok && !mixed && !IsOutdated(aReply);
  const bool last = !usable || !aReply.mMore || aReply.mObjects.empty();
  if (aListing.mRefresh && last) {
    --mActiveRefreshes;
  }
  if (!usable) {
    if (!aListing.mRefresh) {
      Retry(aReply.mStatus, aNow);
    }
    return;
  }
  mEra = EraOf(aReply.mRevision);
  if (aListing.mRevision == 0) {
    aListing.mRevision = aReply.mRevision;
  }
  auto& listed = aListing.mObjects;
  for (const auto& object : aReply.mObjects) {
    listed[object.mKey.mName] = object;
    mNewestVersion = std::max(mNewestVersion, object.mVersion);
  }
  if (aReply.mMore && !aReply.mObjects.empty()) {
    aListing.mAfter = aReply.mObjects.back().mKey.mName;
    List(std::move(aListing));
    return;
  }
  // A list never replaces newer objects: versions later than the list may have
  // been learned while it was in progress.
  for (const auto& [name, held] : mObjects) {
    const auto found = listed.find(name);
    const bool newer = found == listed.end()
                         ? held.mVersion > aListing.mRevision
                         : held.mVersion > found->second.mVersion;
    if (newer) {
      listed[name] = held;
    }
  }
  const update changes{ ChangedNames(mObjects, listed),
                        aListing.mAsOf,
                        aListing.mRevision };
  mObjects = std::move(listed);
  const bool watchOutdated =
    mRevision != 0 && EraOf(mRevision) < EraOf(aListing.mRevision);
  mRevision = std::max(mRevision, aListing.mRevision);
  mListedTo = std::max(mListedTo, aListing.mRevision);
  mAsOf = std::max(mAsOf, aListing.mAsOf);
  mListTime = aNow - aListing.mAsOf;
  mListedAt = aNow;
  if (!aListing.mRefresh) {
    mContactSince = mContactSince.value_or(aNow);
    mLastCallFailed = false;
    mRetryDelay = milliseconds(0);
    mListed = true;
    Watch();
  } else if (watchOutdated) {
    // A watch from an earlier era may wait for a revision that was undone.
    Watch();
  }
  mOnUpdate(changes, aNow);
}

void
kind_watcher::Watch()
{
  AbandonWatch();
  const time_point asOf = mLoop.Now();
  mWatchCall = mStore.Submit(
    store_watch{ mKind, mRevision, mWatchTimeout },
    store_priority::Watch,
    [this, asOf, number = mWatchNumber, alive = std::weak_ptr<bool>(mAlive)](
      const store_reply& aReply, time_point aNow) {
      if (!alive.expired() && number == mWatchNumber) {
        mWatchCall.reset();
        OnWatched(aReply, asOf, aNow);
      }
    });
}

void
kind_watcher::AbandonWatch()
{
  ++mWatchNumber;
  if (const auto call = std::exchange(mWatchCall, std::nullopt)) {
    mStore.Cancel(*call);
  }
}

void
kind_watcher::OnWatched(const store_reply& aReply,
                        time_point aAsOf,
                        time_point aNow)
{
  if (IsOutdated(aReply)) {
    Retry(store_status::Unknown, aNow);
    return;
  }
  if (aReply.mStatus != store_status::Ok) {
    if (aReply.mStatus == store_status::HistoryGone) {
      mRevision = 0;
    }
    Retry(aReply.mStatus, aNow);
    return;
  }
  mRetryDelay = milliseconds(0);
  if (std::exchange(mLastCallFailed, false)) {
    Log(log_level::Info, "store", "watch goes on", { { "kind", mKind } });
  }
  update changes{ {}, aAsOf, 0 };
  for (const auto& object : aReply.mObjects) {
    if (Apply(object)) {
      changes.mChanged.push_back(object.mKey.mName);
    }
    mNewestVersion = std::max(mNewestVersion, object.mVersion);
  }
  mRevision = std::max(mRevision, aReply.mRevision);
  mContactSince = mContactSince.value_or(aNow);
  const duration pause = mPause ? mPause(aReply) : duration(0);
  if (pause == duration(0)) {
    Watch();
  } else {
    ContinueAfter(pause, aNow);
  }
  mOnUpdate(changes, aNow);
}

void
kind_watcher::Retry(store_status aStatus, time_point aNow)
{
  if (!std::exchange(mLastCallFailed, true)) {
    Log(log_level::Warning,
        "store",
        "watch interrupted",
        { { "kind", mKind },
          { "status", NameOf(kStoreStatusNames, aStatus) },
          { "revision", static_cast<std::int64_t>(mRevision) } });
  }
  if (aStatus == store_status::HistoryGone) {
    ContinueAfter(duration(0), aNow);
    return;
  }
  mContactSince.reset();
  mRetryDelay = std::clamp(2 * mRetryDelay, kFirstRetryDelay, kMaxRetryDelay);
  std::uniform_int_distribution<std::int64_t> delay(mRetryDelay.count() / 2,
                                                    mRetryDelay.count());
  ContinueAfter(milliseconds(delay(mRandom)), aNow);
}

void
kind_watcher::ContinueAfter(duration aPause, time_point aNow)
{
  const std::uint64_t number = mWatchNumber;
  mLoop.RunAt(aNow + aPause,
              [this, number, alive = std::weak_ptr<bool>(mAlive)](time_point) {
                if (alive.expired() || number != mWatchNumber) {
                  return;
                }
                if (mRevision == 0) {
                  List({ false, mLoop.Now() });
                } else {
                  Watch();
                }
              });
}

} // namespace snipewalk
