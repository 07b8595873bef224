// Implementation of the dissemination.
#include "snipewalk/fleet/dissemination.h"

#include <xxhash.h>

#include <algorithm>

namespace snipewalk {

namespace {

constexpr std::uint64_t kWatcherHashSeed = 16;
// Bounds the hashing over all members while the fleet changes quickly.
constexpr milliseconds kChoiceInterval{ 1'000 };
constexpr milliseconds kEmptyStoreInterval{ 500 };
constexpr milliseconds kMaxBackoff{ 20'000 };
// Ages of watches beyond this are not told apart.
constexpr milliseconds kMaxWatchAge{ 3'600'000 };

std::uint64_t
WatcherHash(const std::string& aName)
{
  return XXH64(aName.data(), aName.size(), kWatcherHashSeed);
}

std::size_t
BytesOf(const std::vector<stored_object>& aObjects)
{
  std::size_t bytes = 0;
  for (const auto& object : aObjects) {
    bytes += object.mValue.size() + object.mKey.mName.size() + 32;
  }
  return bytes;
}

} // namespace

dissemination::dissemination(const dissemination_options& aOptions,
                             object_cache& aCache,
                             membership& aMembership,
                             time_point aNow)
  : mOptions(aOptions)
  , mCache(aCache)
  , mMembership(aMembership)
  , mRandom(aOptions.mSeed)
  , mStarted(aNow)
  , mFreshest(aNow)
  , mNextChoice(aNow)
{
}

void
dissemination::Handle(const dissemination_event& aEvent,
                      time_point aNow,
                      std::vector<dissemination_action>& aActions)
{
  std::visit([&](const auto& aKnown) { On(aKnown, aNow, aActions); }, aEvent);
}

time_point
dissemination::NextTimer() const
{
  time_point next = mNextChoice;
  if (mPull) {
    next = std::min(next, mPull->mDeadline);
  } else if (mAhead) {
    next = std::min(next, mAhead->mPullAt);
  }
  return next;
}

carried_state
dissemination::Carried(time_point aNow) const
{
  const milliseconds age(ToMilliseconds(aNow - mFreshest));
  return { mCache.Heads(), std::min(age, kMaxWatchAge) };
}

void
dissemination::On(const watch_answered& aEvent,
                  time_point aNow,
                  actions& aActions)
{
  watch_state& watch = mWatches[aEvent.mKind];
  const store_reply& reply = aEvent.mReply;
  watch.mOutstanding = false;
  if (reply.mStatus != store_status::Ok) {
    NoteWatchFailure(watch, reply.mStatus, aNow);
    return;
  }
  NoteWatchAnswer(watch, aNow);
  std::uint64_t head = watch.mFrom == 0 ? reply.mRevision : 0;
  for (const auto& object : reply.mObjects) {
    head = std::max(head, object.mVersion);
  }
  watch.mCovered = std::max({ watch.mCovered, reply.mRevision, head });
  if (head == 0 && watch.mFrom == 0) {
    // A watch from zero does not wait, and an empty store has nothing to tell.
    watch.mNotBefore = aNow + kEmptyStoreInterval;
  }
  const std::string kind(kObjectKinds[aEvent.mKind]);
  if (head != 0) {
    objects_changed changed;
    const object_range range{ kind,
                              watch.mHeadAtRequest,
                              head,
                              watch.mFrom == 0 ? head : 0,
                              reply.mObjects };
    mCache.ApplyRange(range, changed.mKeys);
    // What others already passed on needs no second wave.
    if (!changed.mKeys.empty()) {
      Push({ kind, watch.mHeadAtRequest, head, reply.mObjects }, "", aActions);
      aActions.push_back(std::move(changed));
    }
  }
  StartWatches(aNow, aActions);
}

void
dissemination::NoteWatchAnswer(watch_state& aWatch, time_point aNow)
{
  aWatch.mBackoff = milliseconds(0);
  aWatch.mNotBefore = aNow;
  mFreshest = aNow;
  mFailedSince.reset();
}

void
dissemination::NoteWatchFailure(watch_state& aWatch,
                                store_status aStatus,
                                time_point aNow)
{
  if (!mFailedSince) {
    mFailedSince = aNow;
  }
  // A store that refuses for its load is called ever less often; one that is
  // down is tried steadily, so that changes spread soon after its return.
  aWatch.mBackoff =
    aStatus == store_status::RateLimited
      ? std::clamp(aWatch.mBackoff * 2, mOptions.mWatchRetry, kMaxBackoff)
      : mOptions.mWatchRetry;
  const auto range = static_cast<std::uint64_t>(aWatch.mBackoff.count()) + 1;
  aWatch.mNotBefore = aNow + milliseconds(mRandom() % range);
  mNextChoice = std::min(mNextChoice, aWatch.mNotBefore);
}

void
dissemination::On(const push_received& aEvent,
                  time_point aNow,
                  actions& aActions)
{
  const change_push& push = aEvent.mPush;
  const auto kind = KindIndex(push.mKind);
  if (!kind) {
    return;
  }
  objects_changed changed;
  const object_range range{
    push.mKind, push.mSince, push.mHead, push.mHead, push.mObjects
  };
  // A range from zero may only replace the whole kind if it is the whole kind;
  // watchers never push one.
  const bool complete =
    push.mSince != 0 && mCache.ApplyRange(range, changed.mKeys);
  if (!complete && mCache.Heads()[*kind] < push.mHead) {
    object_heads heads{};
    heads[*kind] = push.mHead;
    NoteAhead(aEvent.mFrom, heads, aNow + mOptions.mPullDelay);
  }
  if (!changed.mKeys.empty()) {
    Push(push, aEvent.mSender, aActions);
    aActions.push_back(std::move(changed));
  }
}

void
dissemination::Push(const change_push& aPush,
                    const std::string& aExcept,
                    actions& aActions)
{
  if (aPush.mSince == 0 || BytesOf(aPush.mObjects) > mOptions.mMaxPushBytes) {
    return;
  }
  for (const auto* member :
       mMembership.RandomLive(mOptions.mPushFanOut, aExcept)) {
    aActions.push_back(send_push{ member->mInfo.mControlAddress, aPush });
  }
}

void
dissemination::On(const peer_seen& aEvent, time_point aNow, actions&)
{
  mFreshest = std::max(mFreshest, aNow - aEvent.mWatchAge);
  for (std::size_t i = 0; i < aEvent.mHeads.size(); ++i) {
    if (aEvent.mHeads[i] > mCache.Heads()[i]) {
      NoteAhead(aEvent.mAddress,
                aEvent.mHeads,
                mCache.Heads()[i] == 0 ? aNow : aNow + mOptions.mPullDelay);
      return;
    }
  }
}

void
dissemination::NoteAhead(const std::string& aAddress,
                         const object_heads& aHeads,
                         time_point aPullAt)
{
  if (!mAhead) {
    mAhead = ahead_peer{ aAddress, aHeads, aPullAt };
  }
}

void
dissemination::StartPull(time_point aNow, actions& aActions)
{
  if (mPull || !mAhead || aNow < mAhead->mPullAt) {
    return;
  }
  for (std::size_t i = 0; i < kObjectKinds.size(); ++i) {
    if (mAhead->mHeads[i] <= mCache.Heads()[i]) {
      continue;
    }
    mPull = pull_state{ mNextSequence++,
                        mAhead->mAddress,
                        i,
                        mCache.Heads()[i],
                        {},
                        aNow + mOptions.mPullTimeout };
    aActions.push_back(send_pull{
      mPull->mFrom,
      { mPull->mSequence, std::string(kObjectKinds[i]), mPull->mSince, 0 } });
    return;
  }
  mAhead.reset();
}

void
dissemination::On(const pull_answered& aEvent,
                  time_point aNow,
                  actions& aActions)
{
  if (!mPull || aEvent.mReply.mSequence != mPull->mSequence) {
    return;
  }
  const object_chunk& chunk = aEvent.mReply.mChunk;
  const bool first = mPull->mObjects.empty();
  if (first) {
    mPull->mSince = chunk.mSince;
  }
  auto& objects = mPull->mObjects;
  objects.insert(objects.end(), chunk.mObjects.begin(), chunk.mObjects.end());
  const std::string kind(kObjectKinds[mPull->mKind]);
  if (chunk.mSince != mPull->mSince) {
    // The peer dropped tombstones meanwhile: what it sent so far is no range.
    mPull.reset();
    mAhead.reset();
    return;
  }
  if (chunk.mMore) {
    mPull->mSequence = mNextSequence++;
    mPull->mDeadline = aNow + mOptions.mPullTimeout;
    aActions.push_back(send_pull{
      mPull->mFrom, { mPull->mSequence, kind, mPull->mSince, chunk.mCursor } });
    return;
  }
  objects_changed changed;
  const object_range range{
    kind, mPull->mSince, chunk.mHead, chunk.mFloor, objects
  };
  mCache.ApplyRange(range, changed.mKeys);
  if (!changed.mKeys.empty()) {
    aActions.push_back(std::move(changed));
  }
  const bool caughtUp =
    mCache.Heads()[mPull->mKind] >= mAhead->mHeads[mPull->mKind];
  mPull.reset();
  if (!caughtUp) {
    mAhead.reset();
    return;
  }
  StartPull(aNow, aActions);
}

// The watchers may lose the store before they see the change, and the others
// need it all the same.
void
dissemination::On(const object_written& aEvent, time_point, actions& aActions)
{
  const stored_object& object = aEvent.mObject;
  const std::string& kind = object.mKey.mKind;
  if (object.mVersion < 2) {
    return;
  }
  // A version is a revision of the whole store: it has this change only.
  const std::uint64_t since = object.mVersion - 1;
  objects_changed changed;
  mCache.ApplyRange({ kind, since, object.mVersion, 0, { object } },
                    changed.mKeys);
  if (!changed.mKeys.empty()) {
    Push({ kind, since, object.mVersion, { object } }, "", aActions);
    aActions.push_back(std::move(changed));
  }
}

void
dissemination::On(const fleet_changed&, time_point, actions&)
{
  mFleetChanged = true;
}

void
dissemination::On(const dissemination_timer&,
                  time_point aNow,
                  actions& aActions)
{
  if (mPull && aNow >= mPull->mDeadline) {
    mPull.reset();
    mAhead.reset();
  }
  StartPull(aNow, aActions);
  if (aNow >= mNextChoice) {
    mNextChoice = aNow + kChoiceInterval;
    ChooseWatchers(aNow);
    StartWatches(aNow, aActions);
  }
}

std::size_t
dissemination::WatcherCount(time_point aNow) const
{
  const duration silence = aNow - mFreshest - mOptions.mWatchSilence;
  if (silence < duration::zero()) {
    return mOptions.mWatchersPerRegion;
  }
  const auto extra =
    1 + static_cast<std::size_t>(silence / duration(mOptions.mWatcherStep));
  return mOptions.mWatchersPerRegion +
         std::min(extra, mOptions.mMaxExtraWatchers);
}

void
dissemination::ChooseWatchers(time_point aNow)
{
  const std::size_t count = WatcherCount(aNow);
  if (!mFleetChanged && count == mChosenCount) {
    return;
  }
  mFleetChanged = false;
  mChosenCount = count;
  const std::uint64_t own = WatcherHash(mMembership.Self().mName);
  std::size_t ahead = 0;
  for (const auto& member : mMembership.Members()) {
    if (IsLive(member.mInfo.mState) &&
        member.mInfo.mRegion == mMembership.Self().mRegion &&
        WatcherHash(member.mInfo.mName) > own) {
      ++ahead;
    }
  }
  mIsWatcher = ahead < count;
}

void
dissemination::StartWatches(time_point aNow, actions& aActions)
{
  if (!mIsWatcher) {
    return;
  }
  const bool mayPull =
    mMembership.LiveCount() > 1 && aNow - mStarted < mOptions.mSnapshotGrace;
  for (std::size_t i = 0; i < kObjectKinds.size(); ++i) {
    watch_state& watch = mWatches[i];
    const std::uint64_t head = mCache.Heads()[i];
    if (watch.mOutstanding || aNow < watch.mNotBefore ||
        (head == 0 && mayPull)) {
      continue;
    }
    watch.mOutstanding = true;
    watch.mHeadAtRequest = head;
    watch.mFrom = head == 0 ? 0 : std::max(head, watch.mCovered);
    aActions.push_back(start_watch{
      i, { std::string(kObjectKinds[i]), watch.mFrom, mOptions.mWatchWait } });
  }
}

} // namespace snipewalk
