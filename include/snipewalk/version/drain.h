// Plans how the primary and the voters of a service move off its leaving
// servers, and reports the progress (question 18 of the design). The planner
// opens no sockets, starts no threads and reads no clock.
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
  // The server is still in use and nothing blocks the drain.
  Running,
  // The next change cannot start; server_drain::mObstacles gives the reasons.
  Blocked,
  // The server is neither primary nor voter, and the reporting instance has no
  // connection to it.
  Complete
};

inline constexpr name_table<drain_state, 3> kDrainStateNames{ {
  { drain_state::Running, "running" },
  { drain_state::Blocked, "blocked" },
  { drain_state::Complete, "complete" },
} };

// Progress of the drain of one leaving server.
struct server_drain
{
  std::string mServer;
  drain_state mState = drain_state::Running;
  bool mIsPrimary = false;
  bool mIsVoter = false;
  // Open connections from the reporting instance to the server.
  std::size_t mConnections = 0;
  // Estimated time until the server is neither primary nor voter; empty when
  // unknown.
  std::optional<milliseconds> mRemaining;
  // Deadline by which the server has to be drained; empty when there is none.
  std::optional<wall_time> mLeaveBy;
  // Whether the deadline has passed or will pass according to the estimate.
  bool mBreach = false;
  // Human-readable reasons why the server is blocked or the deadline cannot be
  // kept; empty otherwise.
  std::vector<std::string> mObstacles;

  bool operator==(const server_drain&) const = default;
};

// Content of the store object `status/<service>`.
struct drain_status
{
  std::string mService;
  // Instance that wrote the status.
  std::string mInstance;
  std::uint64_t mTerm = 0;
  wall_time mUpdated;
  // Leaving servers in document order; empty when no server is leaving.
  std::vector<server_drain> mServers;

  bool operator==(const drain_status&) const = default;
};

// Estimated time that one change of the term takes, from its start until the
// next change may start.
inline constexpr milliseconds kEstimatedChangeTime{ 2'000 };
// A replica is caught up if it holds the log that the primary had this long
// ago. Waiting for the remaining entries is then short compared with the 200 ms
// for which a planned change may interrupt writes.
inline constexpr milliseconds kMaxCaughtUpLag{ 500 };
// Least time between two changes of the term, so that the slot holders receive
// each term before the next.
inline constexpr milliseconds kMinChangeInterval{ 1'000 };
// A change waits for the open transactions on the primary for at most the
// document's idle limit plus this margin. All idle transactions have ended by
// then.
inline constexpr milliseconds kTransactionWaitMargin{ 1'000 };
// Interval at which slot holders are asked for their open transactions.
inline constexpr milliseconds kTransactionQueryInterval{ 100 };
// A holder's transaction count permits a change only while the query that it
// answers is not older than this. The time is shorter than kBeginHold, for
// which a holder begins no transaction after a query, so that none has begun
// since.
inline constexpr milliseconds kMaxTransactionCountAge{ 1'000 };
// If only voters change and the primary stays, its new transactions are held
// back for the first kVoterChangeHoldTime of each kVoterChangeHoldInterval
// only, so that one long transaction does not stop all others.
inline constexpr milliseconds kVoterChangeHoldTime{ 3'000 };
inline constexpr milliseconds kVoterChangeHoldInterval{ 10'000 };

class drain
{
public:
  // Sets the service document; `aVersion` is its version in the store.
  void Configure(const service_document& aDocument, std::uint64_t aVersion);
  // Sets the current term record.
  void OnTerm(const term_record& aTerm, time_point aNow);
  // Handles the status that a server returned to a probe sent at `aSentAt`.
  void OnStatus(const server_status& aStatus, time_point aSentAt);
  void OnSuspected(std::vector<std::string> aSuspected);
  void OnConnections(const std::string& aServer, std::size_t aConnections);
  // Sets the live slot holders of the service, this instance included. A change
  // waits until each of them reports that it has no open transaction; if there
  // are no holders, it does not wait.
  void OnHolders(std::vector<std::string> aHolders);
  // Handles a holder's answer to a query that NextQuery() returned.
  void OnTransactions(const std::string& aHolder,
                      const transactions_report& aReport);

  // Starts the wait for open transactions and updates its end. The caller calls
  // it every 20 ms and before NextQuery() and NextChange(), with the `aDelay`
  // that it passes to NextChange().
  void Advance(time_point aNow,
               wall_time aWallNow,
               milliseconds aDelay = milliseconds(0));
  // Returns the query to send to each holder now, or nothing if none is due or
  // no change waits for open transactions.
  std::optional<transactions_query> NextQuery(time_point aNow);

  // Whether the voters differ from the document's staying servers, so that
  // changes of voters or primary remain. False if no server stays.
  bool IsNeeded() const;

  // Returns the change that is due now, or nothing if none is needed or
  // something blocks it, such as open transactions. Each change replaces, adds
  // or removes at most one voter. `aDelay` is an additional wait after the last
  // change; it is different for each holder.
  std::optional<planned_change> NextChange(
    time_point aNow,
    milliseconds aDelay = milliseconds(0)) const;

  drain_status Status(time_point aNow, wall_time aWallNow) const;

private:
  struct position
  {
    server_status mStatus;
    time_point mSentAt;
    // Moving average of the entries received per second; zero when unknown.
    double mEntriesPerSecond = 0;
  };

  // The wait of a planned change for open transactions.
  struct transaction_wait
  {
    time_point mSince;
    time_point mUntil;
  };

  // Number of open transactions that a slot holder reported.
  struct holder_count
  {
    // Time at which the answered query was created.
    time_point mAskedAt;
    // Version of the service document that the holder used.
    std::uint64_t mDocumentVersion = 0;
    std::uint64_t mTransactions = 0;
  };

  // Returns the next change that the state of the servers permits, regardless
  // of open transactions; nothing if there is none.
  std::optional<planned_change> PossibleChange(time_point aNow) const;
  // Whether the current primary is not leaving.
  bool PrimaryStays() const;
  // Whether the holders currently have to hold back new transactions on the
  // primary.
  bool HoldsNewTransactions(time_point aNow) const;
  // Returns the transaction count of a holder, or null if there is none, if it
  // is too old, or if the holder used an older document.
  const holder_count* RecentCountOf(const std::string& aHolder,
                                    time_point aNow) const;
  // Whether every holder recently reported that it has no open transaction.
  bool HasNoTransactions(time_point aNow) const;
  milliseconds TransactionWaitLimit() const;
  // Time left until the change has to start so that the earliest deadline can
  // be kept; empty if there is no deadline.
  std::optional<duration> TimeToLatestStart(time_point aNow,
                                            wall_time aWallNow) const;
  // Text that names the holders that have open transactions or did not report.
  std::string TransactionWaitObstacle(time_point aNow) const;
  // Time since the primary's last sampled index was no higher than what the
  // server holds; empty if there is no such sample or the server does not
  // replicate in the current term.
  std::optional<duration> LagOf(const std::string& aServer,
                                time_point aNow) const;
  bool IsCaughtUp(const std::string& aServer, time_point aNow) const;
  // Staying servers that are not voters yet, caught up or not.
  std::vector<std::string> MissingVoters() const;
  // Voters that are leaving or no longer in the document.
  std::vector<std::string> ExcessVoters() const;
  // Returns a staying, caught-up voter that can become primary, preferably in
  // the data centre of the current primary; empty if there is none.
  std::string NextPrimary(time_point aNow) const;
  std::vector<std::string> NextVoters(const std::string& aPrimary,
                                      time_point aNow) const;
  // Human-readable reasons why no change is possible.
  std::vector<std::string> Obstacles(time_point aNow) const;
  // Estimated time until the server has the primary's whole log; empty if it is
  // unknown or the server does not gain on the primary.
  std::optional<milliseconds> CatchUpTime(const std::string& aServer) const;
  // Estimated time until all needed changes are done; empty when unknown.
  std::optional<milliseconds> Remaining(time_point aNow) const;
  server_drain DescribeServer(const server_entry& aServer,
                              time_point aNow,
                              wall_time aWallNow) const;

  service_document mDocument;
  std::uint64_t mDocumentVersion = 0;
  std::optional<term_record> mTerm;
  time_point mTermSince;
  std::map<std::string, position> mPositions;
  std::vector<std::string> mSuspected;
  std::map<std::string, std::size_t> mConnections;
  // Samples of the primary's last log index in the current term, oldest first.
  std::deque<std::pair<time_point, std::uint64_t>> mPrimaryIndexes;
  std::vector<std::string> mHolders;
  // The wait for open transactions; set once the change that follows the
  // current term is possible for the first time.
  std::optional<transaction_wait> mTransactionWait;
  std::uint64_t mLastQuery = 0;
  // Creation times of the queries not older than kMaxTransactionCountAge, by
  // query number.
  std::map<std::uint64_t, time_point> mQueries;
  // Transaction counts reported in the current term, by holder.
  std::map<std::string, holder_count> mCounts;
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_DRAIN_H_
