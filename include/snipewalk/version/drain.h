// Plans how the primary and the voters of a service move off its leaving
// servers, and reports the progress (question 18 of the design). Without
// sockets, threads or clocks.
#ifndef SNIPEWALK_VERSION_DRAIN_H_
#define SNIPEWALK_VERSION_DRAIN_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/base/time.h"
#include "snipewalk/messages/backend_messages.h"
#include "snipewalk/messages/control_messages.h"
#include "snipewalk/messages/service_document.h"
#include "snipewalk/messages/service_view.h"
#include "snipewalk/version/candidate_selection.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipewalk {

enum class drain_state
{
  // Work remains and is possible.
  Running,
  // An obstacle stands in the way.
  Blocked,
  // Neither primary nor voter, and this instance has no connection to it.
  Complete
};

inline constexpr name_table<drain_state, 3> kDrainStateNames{ {
  { drain_state::Running, "running" },
  { drain_state::Blocked, "blocked" },
  { drain_state::Complete, "complete" },
} };

// Progress of one leaving server.
struct server_drain
{
  std::string mServer;
  drain_state mState = drain_state::Running;
  bool mIsPrimary = false;
  bool mIsVoter = false;
  // Open from the instance that reports.
  std::size_t mConnections = 0;
  // Time until the server is neither primary nor voter; nothing when unknown.
  std::optional<milliseconds> mRemaining;
  std::optional<wall_time> mLeaveBy;
  // True when the deadline has passed or the estimate lies after it.
  bool mBreach = false;
  // Texts for people, empty unless blocked or late.
  std::vector<std::string> mObstacles;

  bool operator==(const server_drain&) const = default;
};

// The object `status/<service>`.
struct drain_status
{
  std::string mService;
  // Instance that wrote the status.
  std::string mInstance;
  std::uint64_t mTerm = 0;
  wall_time mUpdated;
  // Leaving servers in the document's order; empty when none leaves.
  std::vector<server_drain> mServers;

  bool operator==(const drain_status&) const = default;
};

// Time that one change of the term takes, from the order until the next may
// start; for estimates.
inline constexpr milliseconds kChangeTime{ 2'000 };
// A replica is caught up when it holds what the primary held this long ago.
// Waiting for the rest is then short against the gap of 200 ms.
inline constexpr milliseconds kCaughtUpAge{ 500 };
// Between two changes, so that holders see each term before the next.
inline constexpr milliseconds kChangeGap{ 1'000 };
// A change waits for the transactions open on the primary at most the
// document's idle limit and this time: the last idle one has ended by then.
inline constexpr milliseconds kTransactionWaitMargin{ 1'000 };
// Holders are asked for their open transactions this often.
inline constexpr milliseconds kTransactionsInterval{ 100 };
// A holder's count that was asked for longer ago does not permit a change; it
// is shorter than kBeginHold, so that no transaction began since.
inline constexpr milliseconds kTransactionsAge{ 1'000 };
// While the primary stays, its new transactions are held for the first part of
// each interval only, so that one long transaction does not stop all others.
inline constexpr milliseconds kVoterHold{ 3'000 };
inline constexpr milliseconds kVoterHoldInterval{ 10'000 };

class drain
{
public:
  // `aVersion` is the store's version of the document.
  void Configure(const service_document& aDocument, std::uint64_t aVersion);
  // The record in force.
  void OnTerm(const term_record& aTerm, time_point aNow);
  // A status answer to a probe that was sent at `aSentAt`.
  void OnStatus(const server_status& aStatus, time_point aSentAt);
  void OnSuspected(std::vector<std::string> aSuspected);
  void OnConnections(const std::string& aServer, std::size_t aConnections);
  // Live holders of the service, this instance included. A change waits until
  // each reports no open transaction; without holders it does not wait.
  void OnHolders(std::vector<std::string> aHolders);
  // A holder's answer to a query of NextQuery().
  void OnTransactions(const std::string& aHolder,
                      const transactions_report& aReport);

  // Starts and bounds the wait for open transactions. Call it every 20 ms and
  // before NextQuery() and NextChange(), with the delay of the latter.
  void Advance(time_point aNow,
               wall_time aWallNow,
               milliseconds aDelay = milliseconds(0));
  // What to ask each holder now; nothing while no change waits.
  std::optional<transactions_query> NextQuery(time_point aNow);

  // Whether voters or primary differ from the document's staying servers.
  bool IsNeeded() const;

  // The next change of term that is due now; nothing when none is needed or an
  // obstacle stands in the way, such as open transactions. One server changes
  // at a time. `aDelay` is waited in addition after the last change; holders
  // differ in it.
  std::optional<planned_change> NextChange(
    time_point aNow,
    milliseconds aDelay = milliseconds(0)) const;

  drain_status Status(time_point aNow, wall_time aWallNow) const;

private:
  struct position
  {
    server_status mStatus;
    time_point mSentAt;
    // Entries a second received lately; zero when unknown.
    double mRate = 0;
  };

  struct transaction_wait
  {
    time_point mSince;
    time_point mUntil;
  };

  struct holder_count
  {
    // Sending of the query that it answers.
    time_point mAskedAt;
    std::uint64_t mDocumentVersion = 0;
    std::uint64_t mTransactions = 0;
  };

  // The next change that the servers permit, whatever is open on the primary.
  std::optional<planned_change> PossibleChange(time_point aNow) const;
  bool PrimaryStays() const;
  // Whether the holders begin no transactions at present.
  bool HoldsBegins(time_point aNow) const;
  // Count of a holder that permits a decision; null when it is too old, or from
  // before the holder had this document.
  const holder_count* CountOf(const std::string& aHolder,
                              time_point aNow) const;
  bool HasNoTransactions(time_point aNow) const;
  milliseconds TransactionWaitLimit() const;
  // Time left until the change has to start to keep the deadlines.
  std::optional<duration> TimeToDeadline(time_point aNow,
                                         wall_time aWallNow) const;
  std::string WaitObstacle(time_point aNow) const;
  // Time since the primary's log had only what the server holds; nothing
  // when the server does not replicate in the present term.
  std::optional<duration> LagOf(const std::string& aServer,
                                time_point aNow) const;
  bool IsCaughtUp(const std::string& aServer, time_point aNow) const;
  // Servers that should become voters, caught up or not.
  std::vector<std::string> MissingVoters() const;
  std::vector<std::string> ExcessVoters() const;
  // A caught-up voter to become primary; empty when there is none.
  std::string NextPrimary(time_point aNow) const;
  std::vector<std::string> NextVoters(const std::string& aPrimary,
                                      time_point aNow) const;
  std::vector<std::string> Obstacles(time_point aNow) const;
  std::optional<milliseconds> CatchUpTime(const std::string& aServer) const;
  std::optional<milliseconds> Remaining(time_point aNow) const;
  server_drain Describe(const server_entry& aServer,
                        time_point aNow,
                        wall_time aWallNow) const;

  service_document mDocument;
  std::uint64_t mDocumentVersion = 0;
  std::optional<term_record> mTerm;
  time_point mTermSince;
  std::map<std::string, position> mPositions;
  std::vector<std::string> mSuspected;
  std::map<std::string, std::size_t> mConnections;
  // Last index of the primary over time, oldest first.
  std::deque<std::pair<time_point, std::uint64_t>> mPrimaryIndexes;
  std::vector<std::string> mHolders;
  // Set from the time at which the change of this term was first possible.
  std::optional<transaction_wait> mWait;
  std::uint64_t mLastQuery = 0;
  // Queries of at most kTransactionsAge, by number.
  std::map<std::uint64_t, time_point> mQueries;
  // By holder; of the present term.
  std::map<std::string, holder_count> mCounts;
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_DRAIN_H_
