// In-memory object store behind the interface of the store client, with
// linearizable calls, long-polling watches, and fault injection.
#ifndef SNIPEWALK_TESTS_SESSION_FAKE_STORE_H_
#define SNIPEWALK_TESTS_SESSION_FAKE_STORE_H_

#include "snipewalk/connection/event_loop.h"
#include "snipewalk/messages/store_client.h"
#include "snipewalk/messages/store_revision.h"

#include <list>
#include <map>
#include <string>
#include <utility>

namespace snipewalk {

class fake_store : public store_client
{
public:
  explicit fake_store(event_loop& aLoop)
    : mLoop(aLoop)
  {
  }

  store_call_id Submit(store_request aRequest,
                       store_priority,
                       reply_handler aOnReply) override
  {
    const store_call_id id = ++mLastCall;
    mLoop.Post(
      [this, id, request = std::move(aRequest), onReply = std::move(aOnReply)] {
        Execute(id, request, onReply);
      });
    return id;
  }

  // Only watches that wait can be cancelled.
  void Cancel(store_call_id aCall) override
  {
    mWatches.remove_if(
      [aCall](const watch& aWatch) { return aWatch.mId == aCall; });
  }

  // Number of watches that wait for a change.
  std::size_t WaitingWatches() const { return mWatches.size(); }

  // Writes an object, as the operator or a server would.
  void Write(const std::string& aKind,
             const std::string& aName,
             const std::string& aValue)
  {
    mObjects[{ aKind, aName }] = {
      { aKind, aName }, ++mRevision, false, aValue
    };
    if (!mWatchesMissChanges) {
      AnswerWatches();
    }
  }

  // Removes an object. Watches are not notified, as when they are not listening
  // at the time.
  void Remove(const std::string& aKind, const std::string& aName)
  {
    mObjects.erase({ aKind, aName });
    ++mRevision;
  }

  // Remembers the present state for ReturnFromCopy().
  void TakeCopy()
  {
    mCopy = mObjects;
    mCopyRevision = mRevision;
  }

  // The store has the state of the copy again, in a new era.
  void ReturnFromCopy()
  {
    const std::uint64_t era = EraOf(mRevision) + 1;
    mObjects = mCopy;
    for (auto& [key, object] : mObjects) {
      object.mVersion = MakeRevision(era, NumberOf(object.mVersion));
    }
    mRevision = MakeRevision(era, NumberOf(mCopyRevision));
    for (const auto& watch : std::exchange(mWatches, {})) {
      AnswerLater(watch.mOnReply, { store_status::HistoryGone });
    }
  }

  // Value of an object; empty if there is none.
  std::string Value(const std::string& aKind, const std::string& aName) const
  {
    const auto found = mObjects.find({ aKind, aName });
    return found == mObjects.end() ? std::string() : found->second.mValue;
  }

  // Waiting watches are not notified of changes, as when the store drops its
  // history.
  bool mWatchesMissChanges = false;
  // All calls are answered with Refused.
  bool mRefusesCalls = false;
  int mCalls = 0;

private:
  struct watch
  {
    store_call_id mId = 0;
    store_watch mRequest;
    reply_handler mOnReply;
  };

  void Execute(store_call_id aId,
               const store_request& aRequest,
               const reply_handler& aOnReply)
  {
    ++mCalls;
    if (mRefusesCalls) {
      store_reply refused;
      refused.mStatus = store_status::Refused;
      aOnReply(refused, mLoop.Now());
    } else if (const auto* put = std::get_if<store_put>(&aRequest)) {
      aOnReply(Put(*put), mLoop.Now());
    } else if (const auto* watched = std::get_if<store_watch>(&aRequest)) {
      if (watched->mFrom == 0) {
        aOnReply(Changes(*watched), mLoop.Now());
      } else if (EraOf(watched->mFrom) != EraOf(mRevision)) {
        aOnReply({ store_status::HistoryGone }, mLoop.Now());
      } else {
        mWatches.push_back({ aId, *watched, aOnReply });
        if (!mWatchesMissChanges) {
          AnswerWatches();
        }
      }
    }
  }

  store_reply Put(const store_put& aPut)
  {
    const auto held = mObjects.find(aPut.mKey);
    const std::uint64_t version =
      held == mObjects.end() ? 0 : held->second.mVersion;
    store_reply reply;
    reply.mStatus = store_status::Conflict;
    // The store compares numbers; the client knows the era of the condition.
    if (NumberOf(version) == NumberOf(aPut.mExpectedVersion)) {
      Write(aPut.mKey.mKind, aPut.mKey.mName, aPut.mValue);
      reply.mStatus = store_status::Ok;
    }
    if (aPut.mExpectedVersion != 0 &&
        EraOf(aPut.mExpectedVersion) != EraOf(mRevision)) {
      return {};
    }
    if (!mObjects.contains(aPut.mKey)) {
      return { store_status::NotFound };
    }
    reply.mObjects = { mObjects.at(aPut.mKey) };
    reply.mRevision = mRevision;
    return reply;
  }

  store_reply Changes(const store_watch& aWatch) const
  {
    store_reply reply;
    reply.mStatus = store_status::Ok;
    reply.mRevision = mRevision;
    for (const auto& [key, object] : mObjects) {
      if (key.mKind == aWatch.mKind && object.mVersion > aWatch.mFrom) {
        reply.mObjects.push_back(object);
      }
    }
    return reply;
  }

  void AnswerLater(const reply_handler& aOnReply, const store_reply& aReply)
  {
    mLoop.Post([this, aOnReply, aReply] { aOnReply(aReply, mLoop.Now()); });
  }

  void AnswerWatches()
  {
    for (auto it = mWatches.begin(); it != mWatches.end();) {
      const store_reply reply = Changes(it->mRequest);
      if (reply.mObjects.empty()) {
        ++it;
        continue;
      }
      AnswerLater(it->mOnReply, reply);
      it = mWatches.erase(it);
    }
  }

  event_loop& mLoop;
  std::map<object_key, stored_object> mObjects;
  std::uint64_t mRevision = 1;
  std::map<object_key, stored_object> mCopy;
  std::uint64_t mCopyRevision = 0;
  std::list<watch> mWatches;
  store_call_id mLastCall = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_TESTS_SESSION_FAKE_STORE_H_
