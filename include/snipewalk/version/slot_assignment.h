// Decides which slots of the services this instance holds and how many
// connections it may open to each backend server. A state machine without
// sockets, threads or clocks.
//
// The sum of the shares of all instances that may have connections open never
// exceeds the limit, also while membership views diverge. The rules:
//
// - A slot changes hands only by a conditional update of `slots/<service>`.
// - A holder H has authority while, at most kAuthorityTime ago, it sent a
//   question that was answered by one of
//     * another holder of the service ("you hold your slot as far as I am
//       concerned", at the same version of the slots object), or
//     * the store, which still named H.
//   A holder that knows no other holder always has authority. Without authority
//   H closes its connections.
// - A claimant may replace H only if
//     * H is gone: its process left, was replaced by a newer one, or is no
//       longer named by the platform's list; or
//     * each other holder that is not gone agreed, and there is at least one.
//       A holder agrees at the claimant's version, if it believes H dead and H
//       has asked it since it became a holder, so that H knows of it. From then
//       on it confirms nothing to H.
//   In the second case the claimant opens kTakeOverWait after the agreements
//   and after the update took effect.
//
// Why this is enough: whoever could confirm H to itself has promised not to
// (each holder that H knows is gone, was replaced in the same way, or agreed),
// and a question to the store sent after the update shows H replaced. So H's
// last successful question precedes the promises or the update, and its
// authority ends kTakeOverWait - kAuthorityTime before the successor opens.
// Membership decides only who tries a claim, never whether it is safe.
//
// The rule "contact with any peer keeps a slot" would not do: a holder that is
// partitioned together with some peers would keep its connections while the
// other side replaces it. The price of asking the co-holders is that two
// holders of a service that fail at the same moment are replaced only once the
// platform's list drops them.
//
// - A share grows only after all other holders have the same document version
//   or a later one, and not within kTakeOverWait after a holder was replaced by
//   somebody else; it shrinks at once.
//
// Limits: a process that is paused keeps its connections open for the duration
// of the pause (the terms of question 9 keep its statements harmless), and
// clocks must not drift apart by more than the margin of 1 s in 6 s.
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

inline constexpr milliseconds kAuthorityTime{ 5'000 };
inline constexpr milliseconds kTakeOverWait{ 6'000 };

enum class holder_liveness
{
  Live,
  // Believed dead, but it may still have connections open.
  Dead,
  // Certainly without connections.
  Gone
};

struct fleet_losses
{
  // Members that are believed dead or are gone.
  std::size_t mLost = 0;
  // All known members, this instance and the lost ones included.
  std::size_t mMembers = 0;
};

// What slot assignment asks about the fleet.
class slot_fleet
{
public:
  virtual ~slot_fleet() = default;
  virtual holder_liveness Liveness(
    const slot_record::holder& aHolder) const = 0;
  // Number of live instances, without those in `aExcluded`, that precede this
  // one in the order of candidates (slot_placement.h).
  virtual std::size_t Rank(const std::string& aService,
                           const std::vector<std::string>& aExcluded) const = 0;
  // Whether this instance should give its slot of the service to a better
  // candidate; `aHolders` are all holders by slot.
  virtual std::optional<release_reason> ReasonToRelease(
    const std::string&,
    const std::vector<std::string>&) const
  {
    return std::nullopt;
  }
  // Since when the live instances are the same; nothing while unknown.
  virtual std::optional<time_point> StableSince() const { return std::nullopt; }
  // Control address; empty when unknown.
  virtual std::string AddressOf(const std::string& aInstance) const = 0;
  // Nothing is lost in a fleet that does not know.
  virtual fleet_losses Losses() const { return {}; }
};

struct slot_options
{
  std::string mInstance;
  std::uint64_t mLife = 0;
  milliseconds mQueryInterval{ 1'500 };
  // A candidate of lower rank waits this much longer for each rank.
  milliseconds mRankStep{ 3'000 };
  // Claims are delayed by a random share of this time, or of a longer one when
  // many are expected in the fleet, and of the second one after the store was
  // unreachable.
  milliseconds mClaimJitter{ 500 };
  milliseconds mRecoveryJitter{ 5'000 };
  // Time to close connections before a slot is released.
  milliseconds mCloseTime{ 1'000 };
  // An instance considers the release of one slot to a better candidate after
  // this time and a random share of it.
  milliseconds mMoveSpacing{ 30'000 };
  // The members and the record must not have changed for this time. At the
  // target size an instance restarts every two minutes on average.
  milliseconds mMoveStableTime{ 20'000 };
  std::uint64_t mSeed = 1;
};

// Events -------------------------------------------------------------------

// The document in force. mSlots = 0: the service was removed.
struct slots_configured
{
  std::string mService;
  int mSlots = 0;
  int mConnections = 0;
  std::uint64_t mDocumentVersion = 0;
  // Data centres of the service's backend servers.
  std::vector<std::string> mServerDataCentres{};
};

// A version of `slots/<service>`; older versions are ignored.
struct slots_recorded
{
  stored_object mObject;
};

// The state of a member, or of the platform's list about it, changed.
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

// The store answers again after an outage.
struct slot_store_recovered
{};

// Connections and transactions that this instance has open to the servers.
struct slot_use_reported
{
  std::string mService;
  std::size_t mConnections = 0;
  std::size_t mTransactions = 0;
};

// Release all slots and claim no more.
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

// Connections that this instance may have open to each server from now on, the
// control connection included; zero closes all.
struct share_changed
{
  std::string mService;
  int mShare = 0;
};

// A newer slots object than the cache may have.
struct record_learned
{
  stored_object mObject;
};

using slot_action = std::
  variant<slot_store_call, send_slot_message, share_changed, record_learned>;

// Connections of the holder of a slot: the limit divided by the slots, the
// remainder to the lower slots. Zero for a slot above the number of slots.
int
SlotShare(int aConnections, int aSlots, std::size_t aSlot);

// The part of SlotShare that is used only to replace connections that went
// silent: the server counts those until it notices. A tenth of the limit,
// divided like the shares, so that it stays inside them.
int
SlotReserve(int aConnections, int aSlots, std::size_t aSlot);

// Claims a second that the whole fleet aims at: half of the 400 writes that the
// store is known to sustain. The other half is left to changes of primary.
inline constexpr std::size_t kClaimsPerSecond = 200;

// When the claims of a service are made, counted from the opening.
struct claim_window
{
  duration mStart{};
  duration mLength{};
};

// The window when `aClaims` are expected in the whole fleet. Services with one
// or no live holder use a half or a quarter of the length, which is at least
// `aLeast`. Longer windows of services with a live holder start later, because
// the changes of primary of the same failure need the store first.
claim_window
ClaimWindow(std::size_t aClaims, std::size_t aLiveHolders, milliseconds aLeast);

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

  // Connections that this instance may have open to a server of the service.
  int Share(const std::string& aService) const;
  // The part of the share that is its reserve.
  int Reserve(const std::string& aService) const;
  // The record as this instance knows it; nothing for an unknown service.
  const slot_record* Record(const std::string& aService) const;
  // Slots held, with or without authority.
  std::size_t HeldCount() const;
  // Slots held plus claims that the store has not answered yet.
  std::size_t Load() const;
  // Slots that the records known here give to an instance.
  std::size_t HeldBy(const std::string& aInstance) const;
  // Of the backend servers; empty for an unknown service.
  std::vector<std::string> ServerDataCentres(const std::string& aService) const;
  // Slots released to better candidates so far.
  std::uint64_t Moves() const { return mMoves; }
  // True once no slot is held; meaningful after slots_released.
  bool IsReleased() const { return HeldCount() == 0; }
  // Whether the platform's list may decide about a holder believed dead.
  bool WaitsForPlatform() const { return !mTakeOvers.empty(); }

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
  void NoteReplaced(slot_service& aService,
                    const slot_record& aNext,
                    time_point aNow);
  void Index(const slot_service& aService, bool aAdd);

  void Step(slot_service& aService, time_point aNow, actions& aActions);
  void StepHolder(slot_service& aService, time_point aNow, actions& aActions);
  void StepRelease(slot_service& aService, time_point aNow, actions& aActions);
  void StepClaimant(slot_service& aService, time_point aNow, actions& aActions);
  void StartMove(time_point aNow);
  bool MayMove(const slot_service& aService, time_point aNow) const;
  std::optional<release_reason> ReasonToMove(
    const slot_service& aService) const;
  // Whether the slot is being released, so that nothing else is to be done.
  bool StepMove(slot_service& aService, time_point aNow, actions& aActions);
  void AskHolders(slot_service& aService, time_point aNow, actions& aActions);
  void AskStore(slot_service& aService, time_point aNow, actions& aActions);
  bool HasAuthority(const slot_service& aService, time_point aNow) const;
  bool MayGrow(const slot_service& aService, time_point aNow) const;
  void SetShare(slot_service& aService, int aShare, actions& aActions);

  std::vector<std::size_t> Openings(const slot_service& aService) const;
  std::size_t LiveHolders(const slot_service& aService) const;
  store_priority PriorityOf(const slot_service& aService) const;
  void NoteOpenings(slot_service& aService, std::size_t aOpenings);
  // Claims that the fleet has to make at present, as far as is known.
  std::size_t ExpectedClaims(time_point aNow);
  // Window of the claims of this service; never shrinks while a slot is open,
  // but for a loss of holders.
  claim_window WindowOf(slot_service& aService, time_point aNow);
  bool WaitForTurn(slot_service& aService,
                   std::size_t aOpenings,
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
  slot_message Compose(const slot_service& aService,
                       slot_message_kind aKind,
                       std::uint64_t aSequence) const;
  milliseconds Random(milliseconds aBelow);

  slot_options mOptions;
  const slot_fleet& mFleet;
  std::mt19937_64 mRandom;
  std::map<std::string, std::unique_ptr<slot_service>> mServices;
  // Services by the instances that hold slots of them.
  std::map<std::string, std::set<std::string>> mByHolder;
  // Services with a take-over in progress.
  std::set<std::string> mTakeOvers;
  // Service of each outstanding store call.
  std::map<std::uint64_t, std::string> mOperations;
  // Exactly one entry for each service whose mDue is set.
  std::set<std::pair<time_point, std::string>> mDue;
  std::uint64_t mNextOperation = 1;
  // Sum of slot_service::mOpenings.
  std::size_t mOpenings = 0;
  // Dead or gone members times slots held on average, at mLostSlotsAt.
  std::size_t mLostSlots = 0;
  time_point mLostSlotsAt = time_point::min();
  bool mReleasing = false;
  // When a move is considered next; nothing before the first timer event.
  std::optional<time_point> mNextMove;
  std::uint64_t mMoves = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_SLOT_ASSIGNMENT_H_
