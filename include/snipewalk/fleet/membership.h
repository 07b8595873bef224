// Membership of the fleet in the manner of SWIM (Das, Gupta, Motivala: "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol", 2002): random probes, indirect probes, suspicion, and updates
// piggybacked on the probes. A state machine without sockets, threads or
// clocks.
//
// An incarnation consists of the life of a process (its start time, upper 48
// bits) and a counter of refutations (lower 16 bits).
//
// A wrong belief about a member costs a forwarding hop or delays a slot; no
// guarantee rests on it. What the probes lose, for example while the fleet is
// partitioned, is repaired by comparing digests of the member table on each
// message and fetching the ranges of a peer's table that differ over TCP.
//
// After a partition: an instance that holds a quarter of the members dead takes
// itself as cut off. It raises its incarnation, so that deaths concluded on the
// other side are overridden by a comparison of tables, and it does not announce
// deaths. Once a dead member answers a probe of it, it takes members back for a
// minute at the incarnation at which it held them dead; no older incarnation is
// ever taken back.
#ifndef SNIPEWALK_FLEET_MEMBERSHIP_H_
#define SNIPEWALK_FLEET_MEMBERSHIP_H_

#include "snipewalk/base/time.h"
#include "snipewalk/fleet/byte_budget.h"
#include "snipewalk/fleet/member_digest.h"
#include "snipewalk/messages/service_view.h"
#include "snipewalk/version/fleet_messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace snipewalk {

inline constexpr int kRefutationBits = 16;

// Identifies the process behind an incarnation.
constexpr std::uint64_t
LifeOf(std::uint64_t aIncarnation)
{
  return aIncarnation >> kRefutationBits;
}

struct membership_options
{
  // mIncarnation is the start time in milliseconds << kRefutationBits.
  member_info mSelf;
  // Control addresses ("IP:port") of instances to join by.
  std::vector<std::string> mSeeds;
  milliseconds mProbeInterval{ 1'000 };
  // Without an answer in this time others are asked to probe.
  milliseconds mDirectTimeout{ 300 };
  std::size_t mIndirectProbes = 3;
  milliseconds mSuspicionTime{ 5'000 };
  // Dead members are kept, and now and then probed, so that a partition heals.
  milliseconds mDeadRetention{ 3'600'000 };
  milliseconds mRejoinInterval{ 5'000 };
  // A longer gap between timer events means that the process was paused.
  milliseconds mPauseThreshold{ 500 };
  // The platform's list names each live process after this time.
  milliseconds mListLag{ 30'000 };
  std::uint64_t mSeed = 1;
};

// A suspected member counts as live until its suspicion ends.
inline bool
IsLive(member_state aState)
{
  return aState == member_state::Alive || aState == member_state::Suspect;
}

// Events -------------------------------------------------------------------

struct membership_received
{
  std::string mFrom;
  membership_message mMessage;
};

// Part of a peer's member table, fetched over TCP.
struct members_received
{
  std::vector<member_info> mMembers;
  std::vector<member_brief> mBriefs{};
  // Control address of the peer, to ask it for what is missing.
  std::string mFrom{};
};

struct platform_list_received
{
  std::vector<platform_instance> mInstances;
};

// The instance shuts down and holds no slots any more.
struct leave_requested
{};

struct membership_timer
{};

using membership_event = std::variant<membership_received,
                                      members_received,
                                      platform_list_received,
                                      leave_requested,
                                      membership_timer>;

// Actions ------------------------------------------------------------------

struct send_membership
{
  std::string mTo;
  membership_message mMessage;
  // One that the receiver supports.
  int mVersion = kOldestProtocolVersion;
};

struct member_changed
{
  std::string mName;
  member_state mState = member_state::Alive;
};

// Send a member_query to the instance at this control address: for these ranges
// or members, or for the whole table if both are empty.
struct fetch_members
{
  std::string mFrom;
  std::uint64_t mRanges = 0;
  std::vector<std::uint64_t> mWanted{};
};

// A peer's revisions, carried by one of its messages.
struct peer_seen
{
  std::string mName;
  std::string mAddress;
  object_heads mHeads{};
  milliseconds mWatchAge{ 0 };
};

// A newer instance with this instance's name exists: exit with an error.
struct duplicate_name_found
{
  std::string mAddress;
};

using membership_action = std::variant<send_membership,
                                       member_changed,
                                       fetch_members,
                                       peer_seen,
                                       duplicate_name_found>;

// What membership tells its peers on behalf of the dissemination.
struct carried_state
{
  object_heads mHeads{};
  milliseconds mWatchAge{ 0 };
};

struct known_member
{
  member_info mInfo;
  // Since when it is in its state.
  time_point mSince;
  // When this life of it became known.
  time_point mKnownSince;
  // The platform's list named this process earlier, or must have, and no longer
  // does.
  bool mUnlisted = false;
  bool mListed = false;
  std::uint64_t mNameHash = 0;
};

class membership
{
public:
  membership(membership_options aOptions, time_point aNow);

  void Handle(const membership_event& aEvent,
              time_point aNow,
              std::vector<membership_action>& aActions);
  time_point NextTimer() const;

  // The port may be known only once it is bound. Call before the first event.
  void SetControlAddress(const std::string& aAddress)
  {
    mSelf.mControlAddress = aAddress;
  }
  void SetCarried(const carried_state& aState) { mCarried = aState; }

  const member_info& Self() const { return mSelf; }
  std::uint64_t Life() const { return LifeOf(mSelf.mIncarnation); }
  // Other members in any state, the instance itself excluded.
  const std::vector<known_member>& Members() const { return mMembers; }
  const known_member* Find(const std::string& aName) const;
  // Members alive or suspected, this instance included.
  std::size_t LiveCount() const { return mLive + 1; }
  // Whether the newest list of the platform named the instance; nothing before
  // the first list.
  std::optional<bool> IsListed(const std::string& aName) const;
  // Version for a datagram to a control address: the highest that this instance
  // and the member there support, or this instance's lowest when the member is
  // unknown.
  int VersionAt(const std::string& aAddress) const;
  // Whether this instance and each live member support the version. A feature
  // that changes the behaviour of the whole fleet asks for it.
  bool FleetSupports(int aVersion) const;
  // Highest version that the fleet supports; 0 when there is none.
  int FleetVersion() const { return mFleetVersion; }
  // When an answer or probe of any peer last arrived.
  time_point LastContact() const { return mLastContact; }

  // Up to `aCount` distinct random live members whose name is not `aExcept`.
  std::vector<const known_member*> RandomLive(std::size_t aCount,
                                              const std::string& aExcept);

  // Live members with names above `aAfter` in their order, this instance
  // included, of about `aBytes`; the second value says whether more follow.
  std::pair<std::vector<member_info>, bool> Table(const std::string& aAfter,
                                                  std::size_t aBytes) const;
  // A part of the whole table has about `aBytes`; ranges are answered within
  // the budget, and what is left out is asked for again.
  member_reply Answer(const member_query& aQuery,
                      std::size_t aBytes,
                      time_point aNow);

private:
  struct probe
  {
    std::uint64_t mSequence = 0;
    std::string mTarget;
    std::string mAddress;
    time_point mIndirectAt;
    bool mIndirectSent = false;
  };
  struct relay
  {
    std::uint64_t mSequence = 0;
    std::string mAddress;
    time_point mExpires;
  };
  using actions = std::vector<membership_action>;
  // Number of transmissions so far; order among equals.
  using queue_place = std::pair<int, std::uint64_t>;

  static constexpr milliseconds kReturnTime{ 60'000 };

  void On(const membership_received&, time_point, actions&);
  void On(const members_received&, time_point, actions&);
  void On(const platform_list_received&, time_point, actions&);
  void On(const leave_requested&, time_point, actions&);
  void On(const membership_timer&, time_point, actions&);

  void OnAck(const membership_received&, time_point, actions&);
  void OnIndirect(const membership_received&, time_point, actions&);
  void NoteSender(const membership_received&, time_point, actions&);
  void CompareDigest(const membership_received&, time_point, actions&);
  void FetchRanges(const std::string& aFrom,
                   std::uint64_t aDiffering,
                   time_point aNow,
                   actions& aActions);
  void ApplyBriefs(const members_received&, time_point, actions&);
  // False if the complete entry is needed.
  bool ApplyBrief(known_member& aMember,
                  std::uint64_t aIncarnation,
                  time_point aNow,
                  actions& aActions);
  void NoteReturn(const membership_message&, time_point, actions&);
  void NoteIncarnation(const membership_message&, time_point, actions&);
  bool TakesBack(time_point aNow) const
  {
    return mCutOff || aNow < mReturnUntil;
  }

  void Apply(const member_info& aUpdate,
             time_point aNow,
             actions& aActions,
             bool aPassOn = true);
  void ApplyToSelf(const member_info& aUpdate, actions&);
  void RaiseIncarnation(std::uint64_t aIncarnation);
  void Add(const member_info& aUpdate,
           time_point aNow,
           actions& aActions,
           bool aPassOn);
  void SetState(known_member& aMember,
                const member_info& aUpdate,
                time_point aNow,
                actions& aActions,
                bool aPassOn);
  void Forget(const std::string& aName);

  // Takes over an update of a live member. The versions do not change in a
  // life: an update that passed through an instance of version 1 lacks them.
  void TakePlace(member_info& aKnown, const member_info& aUpdate);
  void LearnVersions(const std::string& aName,
                     std::uint64_t aIncarnation,
                     const version_range& aVersions,
                     actions& aActions);
  void UpdateFleetVersion();

  void HandlePause(time_point aNow);
  void ExpireDeadlines(time_point aNow, actions& aActions);
  void FinishProbe(time_point aNow, actions& aActions);
  void StartProbe(time_point aNow, actions& aActions);
  void SendIndirectProbes(actions& aActions);
  void ProbeSuspects(actions& aActions);
  void Rejoin(time_point aNow, actions& aActions);
  void ContactSeeds(actions& aActions);
  // Counts the dead members, too.
  const known_member* RandomDead();
  const known_member* NextTarget();

  membership_message Compose(membership_kind aKind, std::uint64_t aSequence);
  void SendTo(const std::string& aAddress,
              membership_message aMessage,
              const member_info* aAbout,
              actions& aActions);
  void Enqueue(const std::string& aName);
  void FillUpdates(membership_message& aMessage);
  int TransmissionLimit() const;
  void SetDeadline(const std::string& aName, time_point aWhen);

  membership_options mOptions;
  member_info mSelf;
  carried_state mCarried;
  std::mt19937_64 mRandom;

  std::vector<known_member> mMembers;
  absl::flat_hash_map<std::string, std::uint32_t> mIndex;
  std::optional<absl::flat_hash_set<std::string>> mListed;
  // Number of entries in mMembers that are alive or suspected.
  std::size_t mLive = 0;
  // Covers live members, this instance included.
  member_digest mDigest;

  // Versions of the members by control address.
  absl::flat_hash_map<std::string, version_range> mVersionsAt;
  int mFleetVersion = 0;
  bool mFleetVersionChanged = true;

  // Names to probe in this round, in random order.
  std::vector<std::string> mRound;
  std::optional<probe> mProbe;
  std::map<std::uint64_t, relay> mRelays;
  // Members that this instance suspected by its own probe.
  std::vector<std::string> mOwnSuspects;
  // End of suspicion or of retention, by time.
  std::multimap<time_point, std::string> mDeadlines;
  absl::flat_hash_map<std::string, time_point> mDeadlineOf;
  // Updates still to be passed on.
  std::map<queue_place, std::string> mQueue;
  absl::flat_hash_map<std::string, queue_place> mQueued;
  std::uint64_t mNextQueued = 0;

  std::uint64_t mNextSequence = 1;
  time_point mNextProbe;
  time_point mNextRejoin;
  time_point mLastTimer;
  time_point mLastContact;
  time_point mLastChange;
  time_point mLastFetch;
  // Sequence of the last probe of a dead member.
  std::uint64_t mRejoinSequence = 0;
  // Until then members are taken back at the incarnation of their death.
  time_point mReturnUntil;
  // Updates on probes and ranges given to others; ranges asked for.
  byte_budget mSendBudget;
  byte_budget mFetchBudget;
  // A quarter of the members is dead; the incarnation was raised for it.
  bool mCutOff = false;
  bool mRaised = false;
  bool mJoined = false;
  bool mLeft = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_FLEET_MEMBERSHIP_H_
