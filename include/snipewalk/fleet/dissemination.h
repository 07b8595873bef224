// Spreads changes of the store's objects over the fleet: store watches by a few
// instances of each region, pushes to random members, and pulls by instances
// that see a peer ahead of them. A state machine without sockets, threads or
// clocks.
//
// Soundness of the revisions: only object_cache::ApplyRange() raises a head,
// and each range used here is a true statement about the store:
// - A watch that starts at `from` returns all changes in (from, revision]. The
//   head at the request lies at or below `from` without a change in between,
//   so the answer covers (head at request, newest version in the answer].
// - A push repeats such a range unchanged, whoever passes it on. An instance
//   whose head is below its start takes the objects, keeps its head and pulls.
// - A pull covers (asked start, head of the peer] once its last chunk is here
//   (see object_cache.h); chunks of different peers are never mixed.
// By induction over the ranges that an instance applied, its head never covers
// a change that its cache lacks, in whatever order messages arrive.
#ifndef SNIPEWALK_FLEET_DISSEMINATION_H_
#define SNIPEWALK_FLEET_DISSEMINATION_H_

#include "snipewalk/base/time.h"
#include "snipewalk/fleet/membership.h"
#include "snipewalk/messages/store_client.h"
#include "snipewalk/version/fleet_messages.h"
#include "snipewalk/version/object_cache.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace snipewalk {

struct dissemination_options
{
  std::size_t mPushFanOut = 4;
  std::size_t mWatchersPerRegion = 2;
  milliseconds mWatchWait{ 20'000 };
  // A push may overtake the pull that a probe suggests.
  milliseconds mPullDelay{ 200 };
  milliseconds mPullTimeout{ 3'000 };
  // A watch that failed is repeated after a random share of this time.
  milliseconds mWatchRetry{ 2'000 };
  // Without an answer to any watch for this long (wait, response limit and time
  // to spread), the watchers are taken as silent and further instances join.
  milliseconds mWatchSilence{ 45'000 };
  milliseconds mWatcherStep{ 10'000 };
  std::size_t mMaxExtraWatchers = 3;
  // A starting instance first tries to take the objects from a peer.
  milliseconds mSnapshotGrace{ 2'000 };
  // Larger changes are left to pulls.
  std::size_t mMaxPushBytes = 256 * 1024;
  std::uint64_t mSeed = 1;
};

// Events -------------------------------------------------------------------

struct watch_answered
{
  // Index in kObjectKinds.
  std::size_t mKind = 0;
  store_reply mReply;
};

struct push_received
{
  // Control address and name of the sender, to pull from and not to push to.
  std::string mFrom;
  std::string mSender;
  change_push mPush;
};

struct pull_answered
{
  pull_reply mReply;
};

// This instance wrote the object to the store.
struct object_written
{
  stored_object mObject;
};

// The live members changed.
struct fleet_changed
{};

struct dissemination_timer
{};

using dissemination_event = std::variant<watch_answered,
                                         push_received,
                                         peer_seen,
                                         pull_answered,
                                         object_written,
                                         fleet_changed,
                                         dissemination_timer>;

// Actions ------------------------------------------------------------------

// Answered by watch_answered.
struct start_watch
{
  std::size_t mKind = 0;
  store_watch mWatch;
};

struct send_push
{
  std::string mTo;
  change_push mPush;
};

// Answered by pull_answered, or never.
struct send_pull
{
  std::string mTo;
  pull_query mQuery;
};

// The cache holds new versions of these objects.
struct objects_changed
{
  std::vector<object_key> mKeys;
};

using dissemination_action =
  std::variant<start_watch, send_push, send_pull, objects_changed>;

class dissemination
{
public:
  // The cache and the membership outlive this object.
  dissemination(const dissemination_options& aOptions,
                object_cache& aCache,
                membership& aMembership,
                time_point aNow);

  void Handle(const dissemination_event& aEvent,
              time_point aNow,
              std::vector<dissemination_action>& aActions);
  time_point NextTimer() const;

  bool IsWatcher() const { return mIsWatcher; }
  // Newest time at which some watcher is known to have reached the store.
  time_point FreshestWatch() const { return mFreshest; }
  // When a watch of this instance last failed; nothing after a success.
  std::optional<time_point> WatchFailedSince() const { return mFailedSince; }
  carried_state Carried(time_point aNow) const;

private:
  struct watch_state
  {
    bool mOutstanding = false;
    std::uint64_t mFrom = 0;
    std::uint64_t mHeadAtRequest = 0;
    // Revision up to which the last answer covers the kind.
    std::uint64_t mCovered = 0;
    time_point mNotBefore;
    milliseconds mBackoff{ 0 };
  };
  struct pull_state
  {
    std::uint64_t mSequence = 0;
    std::string mFrom;
    std::size_t mKind = 0;
    std::uint64_t mSince = 0;
    std::vector<stored_object> mObjects;
    time_point mDeadline;
  };
  struct ahead_peer
  {
    std::string mAddress;
    object_heads mHeads{};
    time_point mPullAt;
  };
  using actions = std::vector<dissemination_action>;

  void On(const watch_answered&, time_point, actions&);
  void On(const push_received&, time_point, actions&);
  void On(const peer_seen&, time_point, actions&);
  void On(const pull_answered&, time_point, actions&);
  void On(const object_written&, time_point, actions&);
  void On(const fleet_changed&, time_point, actions&);
  void On(const dissemination_timer&, time_point, actions&);

  void NoteWatchAnswer(watch_state& aWatch, time_point aNow);
  void NoteWatchFailure(watch_state& aWatch,
                        store_status aStatus,
                        time_point aNow);
  void ChooseWatchers(time_point aNow);
  std::size_t WatcherCount(time_point aNow) const;
  void StartWatches(time_point aNow, actions& aActions);
  void NoteAhead(const std::string& aAddress,
                 const object_heads& aHeads,
                 time_point aPullAt);
  void StartPull(time_point aNow, actions& aActions);
  void Push(const change_push& aPush,
            const std::string& aExcept,
            actions& aActions);

  dissemination_options mOptions;
  object_cache& mCache;
  membership& mMembership;
  std::mt19937_64 mRandom;
  time_point mStarted;
  time_point mFreshest;
  std::optional<time_point> mFailedSince;
  bool mIsWatcher = false;
  bool mFleetChanged = true;
  std::size_t mChosenCount = 0;
  time_point mNextChoice;
  std::array<watch_state, kObjectKinds.size()> mWatches;
  std::optional<ahead_peer> mAhead;
  std::optional<pull_state> mPull;
  std::uint64_t mNextSequence = 1;
};

} // namespace snipewalk

#endif // SNIPEWALK_FLEET_DISSEMINATION_H_
