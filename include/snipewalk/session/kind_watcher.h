// Keeps a view of all objects of one kind in the store: lists them, then
// watches for changes, and starts anew when the store has dropped its history.
#ifndef SNIPEWALK_SESSION_KIND_WATCHER_H_
#define SNIPEWALK_SESSION_KIND_WATCHER_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/messages/store_client.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipewalk {

class kind_watcher
{
public:
  struct update
  {
    // Objects that are new, have another version, or are gone.
    std::vector<std::string> mChanged;
    // When the call was made: the view holds every change that the store made
    // before.
    time_point mAsOf;
    // The view holds every change up to this revision; zero after a watch,
    // which may have missed changes that the store dropped.
    std::uint64_t mCompleteTo = 0;
  };
  // Called after each answer, also when nothing changed.
  using update_handler = std::function<void(const update&, time_point aNow)>;

  // `aWait` is the longest time that a watch waits for a change.
  kind_watcher(event_loop& aLoop,
               store_client& aStore,
               std::string aKind,
               milliseconds aWait,
               update_handler aOnUpdate);

  // How long to wait after an answer before watching on, so that changes that
  // nobody waits for arrive together. Without it the watch goes on at once.
  using pause_function = std::function<duration(const store_reply&)>;
  void SetPause(pause_function aPause) { mPause = std::move(aPause); }

  void Start();
  // Lists once more, beside the watch: an answer that is not older than the
  // call, without waiting for a change.
  void Refresh();
  // Gives up the present watch, whose connection may be silent, and lists anew.
  // Another watch would not do: the store may have dropped the change that this
  // one has missed, and lets a watch from before wait on.
  void Restart();

  // By name. Empty before the first list.
  const std::map<std::string, stored_object>& Objects() const
  {
    return mObjects;
  }
  bool IsListed() const { return mListed; }
  // A refresh is under way.
  bool IsRefreshing() const { return mRefreshing > 0; }
  // The store's revision that the last answer reflects.
  std::uint64_t Revision() const { return mRevision; }
  // Newest version of an object of the kind that was seen.
  std::uint64_t NewestVersion() const { return mNewestVersion; }

  // Takes over a version that this instance wrote or learned otherwise, if it
  // is newer.
  void Learn(const stored_object& aObject);

private:
  // Pages of one list, which a watch follows unless it is a refresh.
  struct listing
  {
    bool mRefresh = false;
    time_point mAsOf;
    std::string mAfter = {};
    // Of the first page: an object of an early page may have changed since.
    std::uint64_t mRevision = 0;
    std::map<std::string, stored_object> mObjects = {};
  };

  void List(listing aListing);
  void Watch();
  // Goes on after a pause: with a list when one is needed.
  void WatchAfter(duration aPause, time_point aNow);
  void OnListed(const store_reply& aReply, listing aListing, time_point aNow);
  void OnWatched(const store_reply& aReply, time_point aAsOf, time_point aNow);
  void Retry(store_status aStatus, time_point aNow);
  bool Apply(const stored_object& aObject);

  event_loop& mLoop;
  store_client& mStore;
  std::string mKind;
  milliseconds mWait;
  update_handler mOnUpdate;
  pause_function mPause;
  std::map<std::string, stored_object> mObjects;
  // Revision that mObjects reflects; zero: a list is needed.
  std::uint64_t mRevision = 0;
  std::uint64_t mNewestVersion = 0;
  bool mListed = false;
  // Refreshes without an answer yet.
  int mRefreshing = 0;
  // Answers to earlier watches are ignored.
  std::uint64_t mWatchNumber = 0;
  // The last call failed.
  bool mFailing = false;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_KIND_WATCHER_H_
