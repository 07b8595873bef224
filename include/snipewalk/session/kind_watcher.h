// Keeps a view of all objects of one kind in the store: lists them, then
// watches for changes, and starts anew when the store has dropped its history.
#ifndef SNIPEWALK_SESSION_KIND_WATCHER_H_
#define SNIPEWALK_SESSION_KIND_WATCHER_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/process/store_client.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace snipewalk {

class kind_watcher
{
public:
  // Called after each answer, also when nothing changed. `aAsOf` is when the
  // call was made: the view holds every change that the store made before.
  using update_handler =
    std::function<void(bool aChanged, time_point aAsOf, time_point aNow)>;

  // `aWait` is the longest time that a watch waits for a change.
  kind_watcher(event_loop& aLoop,
               store_client& aStore,
               std::string aKind,
               milliseconds aWait,
               update_handler aOnUpdate);

  void Start();

  // By name. Empty before the first list.
  const std::map<std::string, stored_object>& Objects() const
  {
    return mObjects;
  }
  bool IsListed() const { return mListed; }

  // Takes over a version that this instance wrote or learned otherwise, if it
  // is newer.
  void Learn(const stored_object& aObject);

private:
  void List(std::string aAfter, std::map<std::string, stored_object> aSoFar);
  void Watch();
  void OnListed(const store_reply& aReply,
                std::map<std::string, stored_object> aSoFar,
                time_point aAsOf,
                time_point aNow);
  void OnWatched(const store_reply& aReply, time_point aAsOf, time_point aNow);
  void Retry(store_status aStatus, time_point aNow);
  bool Apply(const stored_object& aObject);

  event_loop& mLoop;
  store_client& mStore;
  std::string mKind;
  milliseconds mWait;
  update_handler mOnUpdate;
  std::map<std::string, stored_object> mObjects;
  // Revision that mObjects reflects; zero: a list is needed.
  std::uint64_t mRevision = 0;
  bool mListed = false;
  // The last call failed.
  bool mFailing = false;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_KIND_WATCHER_H_
