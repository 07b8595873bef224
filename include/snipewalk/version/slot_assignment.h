// Decides which slots of the services this instance holds and how many
// connections it may open to each backend server. This is a pure state machine:
// it opens no sockets, starts no threads and reads no clock.
//
// A slot is a share of a service's connection limit. The shares of all
// instances that may have connections open never add up to more than the limit,
// even while their membership views differ. The rules:
//
// - The holder of a slot changes only by a conditional update of
//   `slots/<service>`.
// - A holder H may keep connections open only while it has a valid lease. A
//   query that H sent gives it a lease of kSlotLeaseDuration from the time of
//   sending, if the query was confirmed by one of
//     * another holder of the service, which still regards H as a holder and
//       has the same version of the slots object, or
//     * the store, whose slots object still names H.
//   A holder that knows no other holder always has a valid lease. When its
//   lease expires, H closes its connections.
// - A claimant may replace H only if one of these conditions is met:
//     * H is gone: its process left, was replaced by a newer one, or is no
//       longer named by the platform's list.
//     * Each other holder that is not gone agreed, and there is at least one
//       such holder. A holder agrees if it has the claimant's version of the
//       slots object, believes H dead, and has received a query from H since it
//       became a holder, which shows that H knows of it. After agreeing it
//       confirms no more queries of H.
//   In the second case the claimant opens connections kTakeOverDelay after the
//   agreements and after the update took effect.
//
// Why the limit holds: each holder that could confirm a query of H is gone, was
// replaced under the same rules, or agreed to stop confirming; and a store
// query that H sends after the update shows that H was replaced. So the last
// confirmed query of H precedes the agreements or the update, and the lease of
// H expires at least kTakeOverDelay - kSlotLeaseDuration before its successor
// opens connections. The membership view determines only which instances
// attempt a claim; safety doesn't depend on it.
//
// Confirmation by any live peer would not be safe: a holder that is partitioned
// together with some peers would keep its connections while the other side of
// the partition replaces it. Since only co-holders confirm, two holders of a
// service that fail at the same time are replaced only after the platform's
// list drops them.
//
// - A share grows only after all other holders have the same document version
//   or a later one, and not within kTakeOverDelay after another instance
//   replaced a holder. A share shrinks immediately.
//
// Limits: a paused process keeps its connections open for the duration of the
// pause; the check of terms (question 9 of the design) keeps its statements
// harmless. Clocks must not drift apart by more than the margin of 1 s in 6 s.
#ifndef SNIPEWALK_VERSION_SLOT_ASSIGNMENT_H_
#define SNIPEWALK_VERSION_SLOT_ASSIGNMENT_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/service_view.h"
#include "snipewalk/messages/store_client.h"
#include "snipewalk/version/fleet_messages.h"
#include "snipewalk/version/slot_placement.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace snipewalk {

// Validity of a holder's lease, from the sending of the confirmed query.
inline constexpr milliseconds kSlotLeaseDuration{ 5'000 };
// Delay between the replacement of a holder that may still have connections
// open and the opening of connections by its successor. Exceeds the validity
// of a lease by a margin for clock drift.
inline constexpr milliseconds kTakeOverDelay{ 6'000 };

enum class holder_liveness
{
  Live,
  // Believed dead, but it may still have connections open.
  Dead,
  // Known to have ended, so that it has no connections open.
  Gone
};

struct fleet_losses
{
  // Number of members that are believed dead or are gone.
  std::size_t mLost = 0;
  // Number of known members, including this instance and the lost ones.
  std::size_t mMembers = 0;
};

// The view of the fleet that slot assignment depends on.
class slot_fleet
{
public:
  virtual ~slot_fleet() = default;
  virtual holder_liveness Liveness(
    const slot_record::holder& aHolder) const = 0;
  // Number of live instances, excluding those in `aExcluded`, that precede
  // this one in the order of candidates (slot_placement.h).
  virtual std::size_t Rank(const std::string& aService,
                           const std::vector<std::string>& aExcluded) const = 0;
  // Returns why this instance should release its slot of the service to a
  // better candidate, or nothing if it should keep the slot. `aHolders` are the
  // names of the service's holders in the order of the slots.
  virtual std::optional<release_reason> ReasonToRelease(
    const std::string&,
    const std::vector<std::string>&) const
  {
    return std::nullopt;
  }
  // Time of the last change to the set of live instances; nothing while
  // unknown.
  virtual std::optional<time_point> StableSince() const { return std::nullopt; }
  // Control address of an instance; empty if unknown.
  virtual std::string AddressOf(const std::string& aInstance) const = 0;
  // Reports no losses unless overridden.
  virtual fleet_losses Losses() const { return {}; }
};

struct slot_options
{
  std::string mInstance;
  std::uint64_t mLife = 0;
  milliseconds mQueryInterval{ 1'500 };
  // Additional claim delay for each candidate that precedes this instance.
  milliseconds mDelayPerRank{ 3'000 };
  // Upper bound of the random delay of a claim; the bound is higher while many
  // claims are expected in the fleet.
  milliseconds mClaimJitter{ 500 };
  // Upper bound of the random delay of a claim after a store outage.
  milliseconds mRecoveryJitter{ 5'000 };
  // Time allowed for closing connections before a slot is released.
  milliseconds mConnectionCloseTime{ 1'000 };
  // Least time between two occasions at which an instance considers moving one
  // of its slots to a better candidate. A random delay of up to the same length
  // is added.
  milliseconds mMoveSpacing{ 30'000 };
  // A slot moves only after the members and the slots object have not changed
  // for this time. At the target fleet size an instance restarts every two
  // minutes on average.
  milliseconds mMoveStableTime{ 20'000 };
  std::uint64_t mSeed = 1;
};

// Events -------------------------------------------------------------------

// The service document that is in force. mSlots is 0 if the service was
// removed.
struct slots_configured
{
  std::string mService;
  int mSlots = 0;
  int mConnections = 0;
  std::uint64_t mDocumentVersion = 0;
  // Data centres of the service's backend servers.
  std::vector<std::string> mServerDataCentres{};
};

// A version of `slots/<service>`. Ignored unless newer than the known version.
struct slots_recorded
{
  stored_object mObject;
};

// The state of a member changed, or the platform's list changed for it.
struct slot_member_changed
{
  std::string mName;
};

struct slot_message_received
{
  std::string mFrom;
  slot_message mMessage;
};

struct slot_store_answered
{
  std::uint64_t mOperation = 0;
  store_reply mReply;
};

// The store is reachable again after an outage.
struct slot_store_recovered
{};

// Number of connections and transactions that this instance has open to the
// backend servers of the service.
struct slot_use_reported
{
  std::string mService;
  std::size_t mConnections = 0;
  std::size_t mTransactions = 0;
};

// Requests that this instance releases all slots and claims no others.
struct slots_released
{};

struct slot_timer
{};

using slot_event = std::variant<slots_configured,
                                slots_recorded,
                                slot_member_changed,
                                slot_message_received,
                                slot_store_answered,
                                slot_store_recovered,
                                slot_use_reported,
                                slots_released,
                                slot_timer>;

// Actions ------------------------------------------------------------------

// Answered by slot_store_answered.
struct slot_store_call
{
  std::uint64_t mOperation = 0;
  store_request mRequest;
  store_priority mPriority = store_priority::Slots;
};

struct send_slot_message
{
  std::string mTo;
  slot_message mMessage;
};

// Maximum number of connections that this instance may have open to each server
// from now on, including the control connection. Zero closes all connections.
struct share_changed
{
  std::string mService;
  int mShare = 0;
};

// A slots object that may be newer than the version in the object cache.
struct record_learned
{
  stored_object mObject;
};

using slot_action = std::
  variant<slot_store_call, send_slot_message, share_changed, record_learned>;

// Number of connections of the holder of a slot: the limit divided by the
// number of slots, with one connection of the remainder for each of the lowest
// slots. Zero if `aSlot` is not below `aSlots`.
int
SlotShare(int aConnections, int aSlots, std::size_t aSlot);

// The part of SlotShare() that is reserved for replacing unresponsive
// connections, which the server counts against the limit until it detects their
// loss. A tenth of the limit is divided between the slots in the same way as
// the shares, so that each reserve lies within its share.
int
SlotReserve(int aConnections, int aSlots, std::size_t aSlot);

// Target rate of claims in the whole fleet: half of the 400 writes per second
// that the store sustains. The other half remains for changes of primary.
inline constexpr std::size_t kClaimsPerSecond = 200;

// Interval in which the claims of a service are made, relative to the time at
// which one of its slots became claimable.
struct claim_window
{
  duration mStart{};
  duration mLength{};
};

// Claim window of a service while `aClaims` claims are expected in the whole
// fleet. Its length is the time that these claims take at kClaimsPerSecond,
// halved for a service with one live holder and quartered for a service without
// any, but never shorter than `aMinimum`. If the service
// has a live holder, a window longer than `aMinimum` starts later, because the
// changes of primary that the same failure causes take precedence at the store.
claim_window
ClaimWindow(std::size_t aClaims,
            std::size_t aLiveHolders,
            milliseconds aMinimum);

struct slot_service;

class slot_assignment
{
public:
  // `aFleet` outlives this object.
  slot_assignment(slot_options aOptions, const slot_fleet& aFleet);
  ~slot_assignment();
  slot_assignment(const slot_assignment&) = delete;
  slot_assignment& operator=(const slot_assignment&) = delete;

  void Handle(const slot_event& aEvent,
              time_point aNow,
              std::vector<slot_action>& aActions);
  std::optional<time_point> NextTimer() const;

  // Maximum number of connections that this instance may have open to a server
  // of the service.
  int Share(const std::string& aService) const;
  // The part of Share() that is reserved for replacing unresponsive
  // connections.
  int Reserve(const std::string& aService) const;
  // The newest known version of the slots object; null for an unknown service.
  const slot_record* Record(const std::string& aService) const;
  // Number of slots held, regardless of whether the leases are valid.
  std::size_t HeldCount() const;
  // Number of slots held plus number of claims that await the store's answer.
  std::size_t Load() const;
  // Number of slots that an instance holds by the known slots objects.
  std::size_t HeldBy(const std::string& aInstance) const;
  // Data centres of the service's backend servers; empty for an unknown
  // service.
  std::vector<std::string> ServerDataCentres(const std::string& aService) const;
  // Number of slots released to better candidates so far.
  std::uint64_t Moves() const { return mMoves; }
  // Whether no slot is held; meaningful after slots_released.
  bool IsReleased() const { return HeldCount() == 0; }
  // Whether the replacement of a holder that is believed dead is pending. The
  // platform's list can complete it by showing that the holder is gone.
  bool WaitsForPlatform() const { return !mPendingTakeOvers.empty(); }

private:
  using actions = std::vector<slot_action>;

  void On(const slots_configured&, time_point, actions&);
  void On(const slots_recorded&, time_point, actions&);
  void On(const slot_member_changed&, time_point, actions&);
  void On(const slot_message_received&, time_point, actions&);
  void On(const slot_store_answered&, time_point, actions&);
  void On(const slot_store_recovered&, time_point, actions&);
  void On(const slot_use_reported&, time_point, actions&);
  void On(const slots_released&, time_point, actions&);
  void On(const slot_timer&, time_point, actions&);

  slot_service& ServiceOf(const std::string& aName);
  slot_service* FindService(const std::string& aName);
  void Schedule(slot_service& aService, time_point aWhen);

  void Adopt(slot_service& aService,
             const stored_object& aObject,
             time_point aNow,
             actions& aActions);
  void BlockGrowthAfterReplacement(slot_service& aService,
                                   const slot_record& aNext,
                                   time_point aNow);
  void UpdateHolderIndex(const slot_service& aService, bool aAdd);

  void Step(slot_service& aService, time_point aNow, actions& aActions);
  void StepHolder(slot_service& aService, time_point aNow, actions& aActions);
  void StepRelease(slot_service& aService, time_point aNow, actions& aActions);
  void StepClaimant(slot_service& aService, time_point aNow, actions& aActions);
  void StartMove(time_point aNow);
  bool MayMove(const slot_service& aService, time_point aNow) const;
  std::optional<release_reason> ReasonToMove(
    const slot_service& aService) const;
  // Returns whether the slot is being released, in which case the steps of a
  // holder are skipped.
  bool StepMove(slot_service& aService, time_point aNow, actions& aActions);
  void QueryHolders(slot_service& aService, time_point aNow, actions& aActions);
  void QueryStore(slot_service& aService, time_point aNow, actions& aActions);
  bool HasValidLease(const slot_service& aService, time_point aNow) const;
  bool MayGrowShare(const slot_service& aService, time_point aNow) const;
  void SetShare(slot_service& aService, int aShare, actions& aActions);

  std::vector<std::size_t> FindClaimableSlots(
    const slot_service& aService) const;
  std::size_t LiveHolders(const slot_service& aService) const;
  store_priority PriorityOf(const slot_service& aService) const;
  void SetClaimableSlots(slot_service& aService, std::size_t aClaimableSlots);
  // Estimated number of claims that the whole fleet has to make at present.
  std::size_t ExpectedClaims(time_point aNow);
  // Claim window of the service. While a slot is claimable, the window shrinks
  // only if the service loses live holders.
  claim_window UpdateClaimWindow(slot_service& aService, time_point aNow);
  bool DelayClaim(slot_service& aService,
                  std::size_t aClaimableSlots,
                  time_point aNow);
  void TakeOver(slot_service& aService,
                std::size_t aSlot,
                time_point aNow,
                actions& aActions);
  void PutHolder(slot_service& aService,
                 std::size_t aSlot,
                 const slot_record::holder& aHolder,
                 bool aConfirmedGone,
                 time_point aNow,
                 actions& aActions);
  void OnPutAnswered(slot_service& aService,
                     const store_reply& aReply,
                     time_point aNow,
                     actions& aActions);
  void OnReadAnswered(slot_service& aService,
                      const store_reply& aReply,
                      time_point aNow,
                      actions& aActions);
  void BackOff(slot_service& aService, time_point aNow);

  void OnHoldQuery(slot_service&,
                   const slot_message_received&,
                   time_point,
                   actions&);
  void OnHoldReply(slot_service&, const slot_message&, time_point, actions&);
  void OnTakeOverQuery(slot_service&,
                       const slot_message_received&,
                       time_point,
                       actions&);
  void OnTakeOverReply(slot_service&, const slot_message&, time_point);
  bool MayAgree(const slot_service& aService, const slot_message& aQuery) const;
  slot_message MakeMessage(const slot_service& aService,
                           slot_message_kind aKind,
                           std::uint64_t aSequence) const;
  milliseconds RandomDelay(milliseconds aMaximum);

  slot_options mOptions;
  const slot_fleet& mFleet;
  std::mt19937_64 mRandom;
  std::map<std::string, std::unique_ptr<slot_service>> mServices;
  // Names of the services of which an instance holds a slot, by instance.
  std::map<std::string, std::set<std::string>> mByHolder;
  // Services with a take-over in progress.
  std::set<std::string> mPendingTakeOvers;
  // Service of each outstanding store call.
  std::map<std::uint64_t, std::string> mOperations;
  // Timers of the services: exactly one entry for each service whose mTimerAt
  // is set.
  std::set<std::pair<time_point, std::string>> mTimers;
  std::uint64_t mNextOperation = 1;
  // Sum of slot_service::mClaimableSlots over all services.
  std::size_t mClaimableSlots = 0;
  // Estimated number of slots held by lost members as of mLostSlotsCountedAt:
  // the number of lost members times the mean number of slots of a member.
  std::size_t mLostSlots = 0;
  time_point mLostSlotsCountedAt = time_point::min();
  bool mReleasing = false;
  // Time at which the next move is considered; not set before the first timer
  // event.
  std::optional<time_point> mNextMove;
  std::uint64_t mMoves = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_SLOT_ASSIGNMENT_H_
