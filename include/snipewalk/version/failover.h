// Coordinates the terms of one service: elections after a failure, planned
// changes of primary or voters, completion of recorded promotions, and the
// requests that make replicas follow the primary. This is a pure state machine:
// it opens no sockets, starts no threads and reads no clock (question 10 of the
// design). The coordinator of a term is the instance that wrote the current
// term record.
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

// Identifies a store or server call of one failover object.
using failover_call_id = std::uint64_t;

// Events -------------------------------------------------------------------

struct failover_configured
{
  service_document mDocument;
  // Slot of the service that this instance holds; empty when it holds none.
  std::optional<int> mSlot;
};

// A version of the stored term record that the object cache received.
struct term_observed
{
  // Empty when the record was deleted from the store.
  std::optional<term_record> mRecord;
  std::uint64_t mVersion = 0;
};

// Result of read_term or write_term.
struct term_call_done
{
  failover_call_id mCall = 0;
  store_status mStatus = store_status::Unknown;
  // The current record, if the store returned one.
  std::optional<term_record> mRecord;
  std::uint64_t mVersion = 0;
};

// Result of send_to_server. Without a reply, it is unknown whether the server
// executed the request.
struct server_call_done
{
  failover_call_id mCall = 0;
  std::optional<backend_reply> mReply;
};

// The status that a server returned to a probe sent at `mSentAt`.
struct server_observed
{
  server_status mStatus;
  time_point mSentAt;
};

// Reports whether the failure detector considers the primary of `mTerm` failed.
// If mFailed is false, the earlier verdict is withdrawn.
struct primary_failed
{
  std::uint64_t mTerm = 0;
  bool mFailed = true;
};

// Requests a change of primary or voters while the primary is healthy. The
// request is ignored unless the record is stable at `mTerm`. It expires, so the
// caller repeats it for as long as the change is needed.
struct change_requested
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
                                    change_requested,
                                    failover_time_passed>;

// Actions ------------------------------------------------------------------

struct read_term
{
  failover_call_id mCall = 0;
};

// Conditional update of the stored term record; mExpectedVersion 0 creates it.
struct write_term
{
  failover_call_id mCall = 0;
  term_record mRecord;
  std::uint64_t mExpectedVersion = 0;
};

// Sends a request to a backend server. The caller answers with exactly one
// server_call_done, at the latest after `mTimeout`.
struct send_to_server
{
  failover_call_id mCall = 0;
  server_endpoint mServer;
  backend_request mRequest;
  milliseconds mTimeout{ 0 };
};

// The value of failover::Term() changed.
struct term_changed
{};

// The store confirmed a term record that this instance wrote.
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

// Additional delay per slot number before a holder acts, so that the holders of
// different slots rarely start competing elections.
inline constexpr milliseconds kDelayPerSlot{ 150 };
// An election or promotion without progress for this long is superseded by a
// new term. The time doubles with each superseded term, up to kMaxStallTimeout,
// so that coordinators with a slow store do not supersede each other forever.
inline constexpr milliseconds kStallTimeout{ 1'000 };
inline constexpr milliseconds kMaxStallTimeout{ 8'000 };
// A longer gap between two events means that the instance's own event loop was
// paused.
inline constexpr milliseconds kPauseThreshold{ 500 };
// Server answers and failures older than this are no longer used as evidence of
// a reachable majority, a suspicion or a verdict.
inline constexpr milliseconds kMaxEvidenceAge{ 2'000 };

class failover
{
public:
  using actions = std::vector<failover_action>;

  explicit failover(failover_options aOptions);

  // Applies one event and appends the resulting actions to `aActions`. The
  // caller delivers failover_time_passed at least every 50 ms. `aNow` must not
  // decrease between calls.
  void Handle(const failover_event& aEvent, time_point aNow, actions& aActions);

  // The current term record. A promoting record is returned as stable once the
  // candidate has answered as primary of the term.
  std::optional<term_record> Term() const;

  // Whether the state of the stored record, or its absence, is known. False
  // before the first read and after a write that may have changed the record.
  bool IsSynced() const { return mSynced; }

private:
  struct store_call
  {
    failover_call_id mCall = 0;
    // Record that the call writes; empty for a read.
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

  // State of an election that this instance coordinates; it is not stored.
  struct election
  {
    std::optional<planned_change> mPlan;
    // Whether all servers may be fenced. False during a planned change until
    // the candidate and a majority of the planned voters hold the old primary's
    // last entries, or the time to wait for them has passed. Until then only
    // the old primary is fenced.
    bool mMayFenceAll = true;
    // Planned voters that hold the whole log of the fenced old primary.
    std::set<std::string> mCaughtUp;
    // Term before the planned change, in which the planned voters replicate
    // until they are fenced.
    std::uint64_t mPreviousTerm = 0;
    fenced_servers mFenced;
    // Servers with at least one finished fence request, successful or not, and
    // servers without a known address.
    std::set<std::string> mFenceAttempted;
    // Time at which a majority of the voters was first seen fenced while all
    // servers may be fenced.
    std::optional<time_point> mMajorityFencedAt;
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
  void On(const change_requested& aEvent, time_point aNow, actions& aOut);
  void On(const failover_time_passed& aEvent, time_point aNow, actions& aOut);

  // Access to the stored term record.
  void Adopt(const std::optional<term_record>& aRecord,
             std::uint64_t aVersion,
             time_point aNow,
             actions& aOut);
  void Read(actions& aOut);
  void Write(term_record aRecord, std::string aReason, actions& aOut);
  void StartElection(std::uint64_t aTerm, std::string aReason, actions& aOut);
  void RetryStoreLater(store_status aStatus, time_point aNow);
  bool StoreIsFree(time_point aNow) const;

  // Decisions; Advance is called after each event.
  void Advance(time_point aNow, actions& aOut);
  void AdvanceFirstStart(time_point aNow, actions& aOut);
  void AdvanceElection(time_point aNow, actions& aOut);
  void AdvancePlannedHandover(time_point aNow, actions& aOut);
  void AdvancePromotion(time_point aNow, actions& aOut);
  void AdvanceStable(time_point aNow, actions& aOut);
  void AdvanceFollowers(time_point aNow, actions& aOut);
  // Reason for which the current primary must be replaced; empty if it need not
  // be replaced.
  std::string ReplacementReason(time_point aNow) const;
  bool PrimaryLostItsRole(time_point aNow) const;
  void Supersede(std::string aReason, time_point aNow, actions& aOut);
  bool MayChooseCandidate(time_point aNow) const;
  bool IsCaughtUp() const;
  void ChooseCandidate(time_point aNow, actions& aOut);

  // Requests to backend servers.
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
  // Whether a server reported a higher term than that of the record.
  bool IsBehindServers() const;
  void AdvanceBehindServers(time_point aNow, actions& aOut);
  void ConfirmPrimary(actions& aOut);
  bool IsCoordinator() const;
  bool HasReachableMajority(time_point aNow) const;
  selection_input SelectionInput() const;
  std::vector<std::string> KnownServers() const;
  server_endpoint EndpointOf(const std::string& aServer) const;
  milliseconds SlotDelay() const;
  milliseconds StallTimeout() const;
  duration RecordAge(time_point aNow) const { return aNow - mRecordSince; }
  std::string NextOperation();

  failover_options mOptions;
  std::minstd_rand mRandom;
  service_document mDocument;
  std::optional<int> mSlot;
  // Whether the content of the store is known. mRecord and mVersion hold the
  // last known content, also while this is false.
  bool mSynced = false;
  std::optional<term_record> mRecord;
  std::uint64_t mVersion = 0;
  // Time at which the current version of the record, or its absence, was first
  // seen, or at which the last pause of the event loop ended, if that is later.
  time_point mRecordSince;
  // Whether the primary of mRecord is known to serve: it answered as primary of
  // the term, or the record is stable.
  bool mPrimaryConfirmed = false;
  // Highest term known to have had a serving primary.
  std::uint64_t mLastStableTerm = 0;
  // Primary of the last record before mRecord that named one; empty when
  // unknown. During an election this is the primary to be replaced.
  std::string mOldPrimary;
  // Highest term that any backend server reported.
  std::uint64_t mHighestServerTerm = 0;
  // Version of the record after the last read that returned one. While it
  // equals mVersion, the store is known to have had nothing newer.
  std::optional<std::uint64_t> mReadBackVersion;
  std::optional<store_call> mStoreCall;
  time_point mStoreRetryAt;
  milliseconds mStoreBackoff{ 0 };
  std::optional<election> mElection;
  std::optional<time_point> mFailedSince;
  std::optional<change_requested> mPlan;
  time_point mPlannedAt;
  // Outstanding server requests; at most one per server, purpose and term.
  std::map<failover_call_id, server_call> mServerCalls;
  // Earliest time of the next request, by server and purpose.
  std::map<std::pair<std::string, purpose>, time_point> mNextSendTime;
  std::map<std::string, observed_server> mObserved;
  std::optional<time_point> mLastEvent;
  failover_call_id mNextCall = 1;
  std::uint64_t mNextOperation = 1;
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_FAILOVER_H_
