// Maintains a view of all objects of one kind in the store: lists them, watches
// for changes, and lists again when the store has dropped the history that the
// watch needs. Once the store has come back from an older copy, the first list
// replaces the view, and replies from before are dropped.
#ifndef SNIPEWALK_SESSION_KIND_WATCHER_H_
#define SNIPEWALK_SESSION_KIND_WATCHER_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/messages/store_client.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace snipewalk {

class kind_watcher
{
public:
  struct update
  {
    // Names of objects that were added, changed or removed.
    std::vector<std::string> mChanged;
    // When the store call was made. The view includes every change that the
    // store made before.
    time_point mAsOf;
    // The view includes every change up to this revision. Zero after a watch,
    // which may have missed changes whose history the store dropped.
    std::uint64_t mCompleteTo = 0;
  };
  // Called after each successful reply, even if nothing changed.
  using update_handler = std::function<void(const update&, time_point aNow)>;

  // `aWatchTimeout` is the longest time for which a watch waits for a change.
  kind_watcher(event_loop& aLoop,
               store_client& aStore,
               std::string aKind,
               milliseconds aWatchTimeout,
               update_handler aOnUpdate);

  // Returns how long to wait after a reply before the next watch, so that
  // changes that are not urgent arrive in one batch. Without this function the
  // next watch starts at once.
  using pause_function = std::function<duration(const store_reply&)>;
  void SetPause(pause_function aPause) { mPause = std::move(aPause); }

  // Seeds the random part of the delays after failures. Instances need
  // different seeds.
  void SetSeed(std::uint64_t aSeed) { mRandom.seed(aSeed); }

  void Start();
  // Lists the objects in addition to the running watch. The reply is at least
  // as recent as this call and does not wait for a change.
  void Refresh();
  // Abandons the present watch, whose connection may be stalled, and lists
  // again. A new watch from the same revision would not be enough: the store
  // may have dropped the change that was missed, and would let such a watch
  // wait.
  void Restart();

  // Objects by name. Empty before the first list is complete.
  const std::map<std::string, stored_object>& Objects() const
  {
    return mObjects;
  }
  bool IsListed() const { return mListed; }
  // Whether a list started by Refresh() is in progress.
  bool IsRefreshing() const { return mActiveRefreshes > 0; }
  // Whether the reply to the present watch, or to the latest list, is arriving.
  // Further calls would compete with it for the link.
  bool IsReplyArriving(time_point aNow) const;
  // Whether a further list may be sent: none is in progress, and lists take a
  // small part of the time even if the objects are large and the link is slow.
  bool HasTimeForRefresh(time_point aNow) const;
  // Store revision reflected by the view; zero if a new list is needed.
  std::uint64_t Revision() const { return mRevision; }
  // When the first call succeeded after the start, or after the last call that
  // failed; std::nullopt if none did or the last call failed.
  std::optional<time_point> ContactSince() const { return mContactSince; }
  // The view includes every change that the store made before this time, as
  // shown by the latest list; watches do not advance it.
  time_point AsOf() const { return mAsOf; }
  // Latest era of the store that a reply was from.
  std::uint64_t Era() const { return mEra; }
  // Newest version of any object of the kind that a reply contained or that was
  // obtained in another way.
  std::uint64_t NewestVersion() const { return mNewestVersion; }
  // Whether the view is not older than the given version of some object. That
  // object may have been removed since, so no list needs to contain it.
  bool HasSeen(std::uint64_t aVersion) const
  {
    return aVersion <= std::max(mNewestVersion, mListedTo);
  }
  // How often Restart() has abandoned a watch.
  std::uint64_t Restarts() const { return mRestarts; }

  // Applies an object that was obtained in another way, if it is newer than the
  // known one.
  void ApplyNewer(const stored_object& aObject);

private:
  // State of a paged list. A watch follows unless the list is a refresh.
  struct listing
  {
    bool mRefresh = false;
    time_point mAsOf;
    std::string mAfter = {};
    // Revision of the first page, as objects of early pages may have changed
    // since.
    std::uint64_t mRevision = 0;
    std::map<std::string, stored_object> mObjects = {};
  };

  void List(listing aListing);
  void Watch();
  // Cancels the present watch, which would hold a connection of the store
  // client until the store answers it.
  void AbandonWatch();
  // Continues after a pause: with a list if one is needed, otherwise with a
  // watch.
  void ContinueAfter(duration aPause, time_point aNow);
  void OnListed(const store_reply& aReply, listing aListing, time_point aNow);
  void OnWatched(const store_reply& aReply, time_point aAsOf, time_point aNow);
  void Retry(store_status aStatus, time_point aNow);
  bool Apply(const stored_object& aObject);
  // Whether a reply is from an earlier era of the store than a former one.
  bool IsOutdated(const store_reply& aReply) const;

  event_loop& mLoop;
  store_client& mStore;
  std::string mKind;
  milliseconds mWatchTimeout;
  update_handler mOnUpdate;
  pause_function mPause;
  std::map<std::string, stored_object> mObjects;
  // Revision reflected by mObjects; zero if a new list is needed.
  std::uint64_t mRevision = 0;
  std::uint64_t mNewestVersion = 0;
  // The latest list contained every change up to this revision.
  std::uint64_t mListedTo = 0;
  std::uint64_t mRestarts = 0;
  std::uint64_t mEra = 0;
  bool mListed = false;
  // Number of refreshes in progress.
  int mActiveRefreshes = 0;
  // Number of the present watch. Replies to earlier watches are ignored.
  std::uint64_t mWatchNumber = 0;
  // Call of the present watch while it waits for its reply.
  std::optional<store_call_id> mWatchCall;
  // Call of the latest page of a list, which may have been answered; zero
  // before the first.
  store_call_id mListCall = 0;
  // How long the latest list took, and when it ended.
  duration mListTime{ 0 };
  time_point mListedAt = time_point::min();
  // Longest delay of the present retry; zero if the last call succeeded.
  milliseconds mRetryDelay{ 0 };
  std::mt19937_64 mRandom;
  // Whether the last list or watch failed, except for refreshes.
  bool mLastCallFailed = false;
  std::optional<time_point> mContactSince;
  time_point mAsOf = time_point::min();
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_KIND_WATCHER_H_
