// Implementation of the view of one kind of store objects.
#include "snipewalk/session/kind_watcher.h"

#include "snipewalk/base/log.h"

#include <utility>

namespace snipewalk {

namespace {

// Pause after a call that failed.
constexpr milliseconds kRetryPause{ 100 };

} // namespace

kind_watcher::kind_watcher(event_loop& aLoop,
                           store_client& aStore,
                           std::string aKind,
                           milliseconds aWait,
                           update_handler aOnUpdate)
  : mLoop(aLoop)
  , mStore(aStore)
  , mKind(std::move(aKind))
  , mWait(aWait)
  , mOnUpdate(std::move(aOnUpdate))
{
}

void
kind_watcher::Start()
{
  List("", {});
}

void
kind_watcher::Learn(const stored_object& aObject)
{
  Apply(aObject);
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

void
kind_watcher::List(std::string aAfter,
                   std::map<std::string, stored_object> aSoFar)
{
  const time_point asOf = mLoop.Now();
  store_watch list{ mKind, 0, milliseconds(0), std::move(aAfter) };
  mStore.Submit(std::move(list),
                store_priority::Watch,
                [this,
                 asOf,
                 soFar = std::move(aSoFar),
                 alive = std::weak_ptr<bool>(mAlive)](const store_reply& aReply,
                                                      time_point aNow) mutable {
                  if (!alive.expired()) {
                    OnListed(aReply, std::move(soFar), asOf, aNow);
                  }
                });
}

void
kind_watcher::OnListed(const store_reply& aReply,
                       std::map<std::string, stored_object> aSoFar,
                       time_point aAsOf,
                       time_point aNow)
{
  if (aReply.mStatus != store_status::Ok) {
    Retry(aReply.mStatus, aNow);
    return;
  }
  for (const auto& object : aReply.mObjects) {
    aSoFar[object.mKey.mName] = object;
  }
  if (aReply.mMore && !aReply.mObjects.empty()) {
    List(aReply.mObjects.back().mKey.mName, std::move(aSoFar));
    return;
  }
  mFailing = false;
  mListed = true;
  mRevision = aReply.mRevision;
  // A list never takes back what is known: an object of a later version than
  // the list was learned meanwhile.
  for (const auto& [name, held] : mObjects) {
    const auto listed = aSoFar.find(name);
    const bool newer = listed == aSoFar.end()
                         ? held.mVersion > mRevision
                         : held.mVersion > listed->second.mVersion;
    if (newer) {
      aSoFar[name] = held;
    }
  }
  mObjects = std::move(aSoFar);
  Watch();
  mOnUpdate(true, aAsOf, aNow);
}

void
kind_watcher::Watch()
{
  const time_point asOf = mLoop.Now();
  mStore.Submit(store_watch{ mKind, mRevision, mWait },
                store_priority::Watch,
                [this, asOf, alive = std::weak_ptr<bool>(mAlive)](
                  const store_reply& aReply, time_point aNow) {
                  if (!alive.expired()) {
                    OnWatched(aReply, asOf, aNow);
                  }
                });
}

void
kind_watcher::OnWatched(const store_reply& aReply,
                        time_point aAsOf,
                        time_point aNow)
{
  if (aReply.mStatus != store_status::Ok) {
    if (aReply.mStatus == store_status::HistoryGone) {
      mRevision = 0;
    }
    Retry(aReply.mStatus, aNow);
    return;
  }
  if (std::exchange(mFailing, false)) {
    Log(log_level::Info, "store", "watch goes on", { { "kind", mKind } });
  }
  bool changed = false;
  for (const auto& object : aReply.mObjects) {
    changed = Apply(object) || changed;
  }
  mRevision = std::max(mRevision, aReply.mRevision);
  Watch();
  mOnUpdate(changed, aAsOf, aNow);
}

void
kind_watcher::Retry(store_status aStatus, time_point aNow)
{
  if (!std::exchange(mFailing, true)) {
    Log(log_level::Warning,
        "store",
        "watch interrupted",
        { { "kind", mKind },
          { "status", NameOf(kStoreStatusNames, aStatus) },
          { "revision", static_cast<std::int64_t>(mRevision) } });
  }
  const duration pause =
    aStatus == store_status::HistoryGone ? duration(0) : duration(kRetryPause);
  mLoop.RunAt(aNow + pause,
              [this, alive = std::weak_ptr<bool>(mAlive)](time_point) {
                if (alive.expired()) {
                  return;
                }
                if (mRevision == 0) {
                  List("", {});
                } else {
                  Watch();
                }
              });
}

} // namespace snipewalk
