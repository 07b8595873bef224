// Orders the terms of one service: elections after a failure, planned changes,
// completion of recorded promotions, and replication from the primary. A state
// machine without sockets, threads or clocks (question 10 of the design).
#ifndef SNIPEWALK_VERSION_FAILOVER_H_
#define SNIPEWALK_VERSION_FAILOVER_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/backend_messages.h"
#include "snipewalk/messages/service_document.h"
#include "snipewalk/messages/service_view.h"
#include "snipewalk/messages/store_client.h"
#include "snipewalk/version/candidate_selection.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace snipewalk {

// Identifies a call within one failover object.
using failover_call = std::uint64_t;

// Events -------------------------------------------------------------------

struct failover_configured
{
  service_document mDocument;
  // Slot that this instance holds; nothing when it holds none.
  std::optional<int> mSlot;
};

// A version of the object as the object cache received it.
struct term_observed
{
  // Empty when the object was deleted.
  std::optional<term_record> mRecord;
  std::uint64_t mVersion = 0;
};

// Result of read_term or write_term.
struct term_call_done
{
  failover_call mCall = 0;
  store_status mStatus = store_status::Unknown;
  // The current object, where the store returned one.
  std::optional<term_record> mRecord;
  std::uint64_t mVersion = 0;
};

// Result of send_to_server; without a reply the effect is unknown.
struct server_call_done
{
  failover_call mCall = 0;
  std::optional<backend_reply> mReply;
};

// A status answer to a probe that was sent at `mSentAt`.
struct server_observed
{
  server_status mStatus;
  time_point mSentAt;
};

// The failure detector's verdict that the primary of `mTerm` failed, or that
// the verdict no longer holds.
struct primary_failed
{
  std::uint64_t mTerm = 0;
  bool mHolds = true;
};

// Asks for a change while the primary is healthy. Ignored unless the record is
// stable at `mTerm`; repeat it while the change is wanted.
struct change_planned
{
  std::uint64_t mTerm = 0;
  planned_change mChange;
};

struct failover_time_passed
{};

using failover_event = std::variant<failover_configured,
                                    term_observed,
                                    term_call_done,
                                    server_call_done,
                                    server_observed,
                                    primary_failed,
                                    change_planned,
                                    failover_time_passed>;

// Actions ------------------------------------------------------------------

struct read_term
{
  failover_call mCall = 0;
};

// Conditional update; mExpectedVersion 0 creates the object.
struct write_term
{
  failover_call mCall = 0;
  term_record mRecord;
  std::uint64_t mExpectedVersion = 0;
};

// Exactly one server_call_done follows, at the latest after `mTimeout`.
struct send_to_server
{
  failover_call mCall = 0;
  server_endpoint mServer;
  backend_request mRequest;
  milliseconds mTimeout{ 0 };
};

// Term() changed.
struct term_changed
{};

// A change that this instance recorded in the store.
struct term_recorded
{
  std::optional<term_record> mFrom;
  term_record mTo;
  std::string mReason;
};

using failover_action = std::
  variant<read_term, write_term, send_to_server, term_changed, term_recorded>;

struct failover_options
{
  std::string mInstance;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSeed = 1;
};

// Delay between the holders of successive slots, so that competing promotions
// are rare.
inline constexpr milliseconds kSlotStep{ 150 };
// An orderer or candidate without progress for this long is superseded. The
// time doubles with each term that was superseded, up to kMaxStallTime, so that
// orderers with a slow store do not supersede each other forever.
inline constexpr milliseconds kStallTime{ 1'000 };
inline constexpr milliseconds kMaxStallTime{ 8'000 };
// A longer gap between two events is a pause of the instance's own loop.
inline constexpr milliseconds kPauseGap{ 500 };
// Answers older than this do not count for the reachable majority.
inline constexpr milliseconds kEvidenceAge{ 2'000 };

class failover
{
public:
  using actions = std::vector<failover_action>;

  explicit failover(failover_options aOptions);

  // Applies one event and appends the actions that follow. Deliver
  // failover_time_passed at least every 50 ms. `aNow` never goes back.
  void Handle(const failover_event& aEvent, time_point aNow, actions& aActions);

  // The record in force; a promotion counts as stable once the candidate
  // answered as primary of the term.
  std::optional<term_record> Term() const;

  // Whether the store was found to hold a record, or none, at some time.
  bool IsSynced() const { return mSynced; }

private:
  struct store_call
  {
    failover_call mCall = 0;
    // Nothing for a read.
    std::optional<term_record> mWritten;
    std::uint64_t mExpected = 0;
    std::string mReason;
  };

  enum class purpose
  {
    Fence,
    CatchUp,
    Promote,
    Follow
  };

  struct server_call
  {
    std::string mServer;
    purpose mPurpose = purpose::Fence;
    std::uint64_t mTerm = 0;
  };

  // Volatile state of an election that this instance orders.
  struct election
  {
    std::optional<planned_change> mPlan;
    // True once servers other than the old primary may be fenced.
    bool mFenceAll = true;
    // Planned voters that hold the fenced primary's whole log.
    std::set<std::string> mCaughtUp;
    // Term in which the planned voters still replicate.
    std::uint64_t mPreviousTerm = 0;
    fenced_servers mFenced;
    // Servers that answered or failed at least once.
    std::set<std::string> mTried;
    // When a majority was fenced and all others may be.
    std::optional<time_point> mMajorityAt;
  };

  struct observed_server
  {
    server_status mStatus;
    time_point mSentAt;
  };

  void On(const failover_configured& aEvent, time_point aNow, actions& aOut);
  void On(const term_observed& aEvent, time_point aNow, actions& aOut);
  void On(const term_call_done& aEvent, time_point aNow, actions& aOut);
  void On(const server_call_done& aEvent, time_point aNow, actions& aOut);
  void On(const server_observed& aEvent, time_point aNow, actions& aOut);
  void On(const primary_failed& aEvent, time_point aNow, actions& aOut);
  void On(const change_planned& aEvent, time_point aNow, actions& aOut);
  void On(const failover_time_passed& aEvent, time_point aNow, actions& aOut);

  // Store.
  void Adopt(const std::optional<term_record>& aRecord,
             std::uint64_t aVersion,
             time_point aNow,
             actions& aOut);
  void Read(actions& aOut);
  void Write(term_record aRecord, std::string aReason, actions& aOut);
  void OrderTerm(std::uint64_t aTerm, std::string aReason, actions& aOut);
  void RetryStoreLater(store_status aStatus, time_point aNow);
  bool StoreIsFree(time_point aNow) const;

  // Decisions; called after each event.
  void Advance(time_point aNow, actions& aOut);
  void AdvanceFirstStart(time_point aNow, actions& aOut);
  void AdvanceElection(time_point aNow, actions& aOut);
  void AdvanceHandOver(time_point aNow, actions& aOut);
  void AdvancePromotion(time_point aNow, actions& aOut);
  void AdvanceStable(time_point aNow, actions& aOut);
  void AdvanceFollowers(time_point aNow, actions& aOut);
  // Why the present primary has to be replaced; empty when it has not.
  std::string ReplacementReason(time_point aNow) const;
  bool PrimaryLostItsRole(time_point aNow) const;
  void Supersede(std::string aReason, time_point aNow, actions& aOut);
  bool MayChoose(time_point aNow) const;
  bool IsCaughtUp() const;
  void Choose(time_point aNow, actions& aOut);

  // Servers.
  void SendFences(time_point aNow, actions& aOut);
  void SendFollow(const std::string& aServer, time_point aNow, actions& aOut);
  bool Send(const std::string& aServer,
            purpose aPurpose,
            backend_request aRequest,
            milliseconds aTimeout,
            time_point aNow,
            actions& aOut);
  void OnFenced(const server_call& aCall, const backend_reply& aReply);
  void OnStoreWrite(const store_call& aCall,
                    const term_call_done& aEvent,
                    time_point aNow,
                    actions& aOut);
  void OnPromoted(const backend_reply& aReply, time_point aNow, actions& aOut);
  // A server reported a term above the record's.
  bool IsBehindServers() const;
  void AdvanceBehindServers(time_point aNow, actions& aOut);
  void Confirm(actions& aOut);
  bool IsMine() const;
  bool HasReachableMajority(time_point aNow) const;
  selection_input SelectionInput() const;
  std::vector<std::string> KnownServers() const;
  server_endpoint EndpointOf(const std::string& aServer) const;
  milliseconds SlotDelay() const;
  milliseconds StallTime() const;
  duration RecordAge(time_point aNow) const { return aNow - mRecordSince; }
  std::string NextOperation();

  failover_options mOptions;
  std::minstd_rand mRandom;
  service_document mDocument;
  std::optional<int> mSlot;
  // What the store holds, as far as known: mRecord is valid when mSynced.
  bool mSynced = false;
  std::optional<term_record> mRecord;
  std::uint64_t mVersion = 0;
  // When the present term and phase were first seen, or the last pause ended.
  time_point mRecordSince;
  // The primary of mRecord answered as primary of its term.
  bool mConfirmed = false;
  // Highest term known to have had a serving primary.
  std::uint64_t mLastStableTerm = 0;
  // Primary before the election in progress; empty when unknown.
  std::string mOldPrimary;
  // Highest term that a server reported.
  std::uint64_t mHighestTerm = 0;
  // Version of the record at which a read-back found nothing newer.
  std::optional<std::uint64_t> mReadBackVersion;
  std::optional<store_call> mStoreCall;
  time_point mStoreRetryAt;
  milliseconds mStoreBackoff{ 0 };
  std::optional<election> mElection;
  std::optional<time_point> mFailedSince;
  std::optional<change_planned> mPlan;
  time_point mPlannedAt;
  // Outstanding requests; at most one a server and purpose.
  std::map<failover_call, server_call> mServerCalls;
  // Earliest time of the next request of a purpose to a server.
  std::map<std::pair<std::string, purpose>, time_point> mNextTry;
  std::map<std::string, observed_server> mObserved;
  std::optional<time_point> mLastEvent;
  failover_call mNextCall = 1;
  std::uint64_t mNextOperation = 1;
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_FAILOVER_H_
