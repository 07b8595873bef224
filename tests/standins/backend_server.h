// State machine of a stand-in backend server: terms, statements, transactions,
// idempotency keys and replication. Without sockets or clocks; the adapter
// passes requests and the present time and carries out the actions.
#ifndef SNIPEWALK_STANDINS_BACKEND_SERVER_H_
#define SNIPEWALK_STANDINS_BACKEND_SERVER_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/backend_messages.h"
#include "standins/backend_log.h"
#include "standins/backend_transaction.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace snipewalk::standins {

// Names one request until its answer.
using request_ticket = std::uint64_t;
// Names one connection; a transaction belongs to it.
using client_number = std::uint64_t;

// A replica asks for the entries after a position of its log.
struct pull_request
{
  std::uint64_t mTerm = 0;
  std::uint64_t mAfterIndex = 0;
  // Term of the replica's entry at mAfterIndex.
  std::uint64_t mAfterTerm = 0;

  MSGPACK_DEFINE(mTerm, mAfterIndex, mAfterTerm)
};

struct pull_reply
{
  // False when the sender is not the primary of the asked term.
  bool mAccepted = false;
  std::uint64_t mTerm = 0;
  // Whether the primary's log has the asked position; if not, mContinueAt is
  // the position to ask for next.
  bool mMatched = false;
  std::uint64_t mContinueAt = 0;
  std::vector<log_entry> mEntries;

  MSGPACK_DEFINE(mAccepted, mTerm, mMatched, mContinueAt, mEntries)
};

struct answer_client
{
  request_ticket mTicket = 0;
  backend_reply mReply;
};

// The effect took place, the answer is withheld and the connection closed.
struct lose_answer
{
  request_ticket mTicket = 0;
};

struct answer_pull
{
  request_ticket mTicket = 0;
  pull_reply mReply;
};

using server_action = std::variant<answer_client, lose_answer, answer_pull>;

struct server_faults
{
  milliseconds mApplyLag{ 0 };
  milliseconds mReceiveLag{ 0 };
  // Time between the receipt of a statement and its effect.
  milliseconds mExecutionDelay{ 0 };
  // Answers of this many next writes and commits are lost.
  std::uint64_t mAnswersToLose = 0;
};

struct server_counts
{
  std::map<std::string, std::uint64_t> mStatements;
  std::map<std::string, std::uint64_t> mRefusals;
  std::uint64_t mReplayed = 0;
};

class standin_server
{
public:
  explicit standin_server(std::string aName);

  // `aTicket` is new; one action names it later, unless its client closes.
  void Submit(request_ticket aTicket,
              client_number aClient,
              backend_request aRequest,
              time_point aNow);
  // Rolls the client's transaction back. A statement of no transaction that
  // already began still takes effect.
  void CloseClient(client_number aClient);

  // The primary's side of replication.
  void Pull(request_ticket aTicket, pull_request aRequest, time_point aNow);
  // The replica's side: the next pull to send to Primary(), or nothing while
  // one is outstanding or the server does not follow.
  std::optional<pull_request> NextPull();
  void PullAnswered(pull_reply aReply, time_point aNow);
  // The pull got no answer; NextPull() asks again.
  void PullFailed();
  // Set while following.
  const std::optional<server_endpoint>& Primary() const { return mPrimary; }
  // Grows with each Follow() or change of role: answers of pulls from before
  // are not to be delivered.
  std::uint64_t FollowEpoch() const { return mFollowEpoch; }

  // Answers what can be answered by now. Call after a round of the other
  // functions: entries of one round travel to the replicas together.
  void Advance(time_point aNow);
  std::optional<time_point> NextTimer() const;
  std::vector<server_action> TakeActions();

  void SetFaults(const server_faults& aFaults) { mFaults = aFaults; }
  const server_faults& Faults() const { return mFaults; }
  const server_counts& Counts() const { return mCounts; }
  const standin_log& Log() const { return mLog; }
  server_status Status() const;
  std::size_t OpenTransactions() const;

private:
  // A statement, wait or pull that is answered later.
  struct waiting_request
  {
    request_ticket mTicket = 0;
    client_number mClient = 0;
    std::variant<backend_statement, backend_wait, pull_request> mRequest;
    time_point mDue;
  };
  // Entries that become part of the log, or visible, at a later time.
  struct delayed_batch
  {
    time_point mArrived;
    std::uint64_t mMatchedAt = 0;
    std::vector<log_entry> mEntries;
  };

  void SubmitStatement(request_ticket aTicket,
                       client_number aClient,
                       backend_statement aStatement,
                       time_point aNow);
  // Error that a statement gets in the present state, or None.
  backend_error CheckStatement(client_number aClient,
                               const backend_statement& aStatement) const;
  void Execute(request_ticket aTicket,
               client_number aClient,
               const backend_statement& aStatement);
  backend_reply ExecuteRead(client_number aClient,
                            const backend_statement& aStatement);
  backend_reply ExecuteWrite(client_number aClient,
                             const backend_statement& aStatement);
  backend_reply ExecuteCommit(client_number aClient,
                              const backend_statement& aStatement);
  // Answer to a repeated idempotency key.
  backend_reply Replay(const log_entry& aDone);
  // Appends the effects as one entry of the present term and applies it.
  backend_reply AppendOwn(const std::string& aKey,
                          std::string aOutcome,
                          const transaction& aTransaction);
  backend_reply Begin(client_number aClient);
  backend_reply Rollback(client_number aClient);

  backend_reply Fence(const backend_fence& aRequest);
  backend_reply Promote(const backend_promote& aRequest);
  backend_reply Follow(const backend_follow& aRequest);
  backend_reply Outcome(const backend_outcome_query& aRequest) const;
  // Moves to a term and role; transactions and pulls of the former end.
  void Enter(std::uint64_t aTerm, server_role aRole);

  backend_reply Reply(backend_error aError = backend_error::None) const;
  backend_reply StatusReply(backend_error aError = backend_error::None) const;
  void Answer(request_ticket aTicket, backend_reply aReply);
  // Whether the log is known to be a prefix of the present primary's.
  bool IsConsistent() const;
  // Answer to a wait, or nothing while it has to wait on.
  std::optional<backend_reply> TryWait(const backend_wait& aWait) const;
  std::optional<backend_reply> TryRead(client_number aClient,
                                       const backend_statement& aStatement);
  std::optional<pull_reply> TryPull(const pull_request& aRequest) const;
  // Answers what has become answerable or, as of `aNow`, overdue.
  void ReviewWaiting(time_point aNow);
  bool ReviewOne(const waiting_request& aWaiting, time_point aNow);
  void TakeInBatches(time_point aNow);

  std::string mName;
  std::uint64_t mTerm = 0;
  server_role mRole = server_role::Replica;
  standin_log mLog;
  std::optional<server_endpoint> mPrimary;
  std::uint64_t mFollowEpoch = 0;
  bool mPullOutstanding = false;
  // The primary of mTerm confirmed that it has the entry at mCursor.
  bool mMatched = false;
  // Position that the next pull asks from; the end of the last batch.
  std::uint64_t mCursor = 0;
  std::uint64_t mCursorTerm = 0;
  std::deque<delayed_batch> mToReceive;
  // Index and arrival of entries that are not applied yet.
  std::deque<std::pair<std::uint64_t, time_point>> mToApply;
  std::vector<waiting_request> mWaiting;
  std::unordered_map<client_number, transaction> mTransactions;
  // Keys of statements within their execution delay.
  std::set<std::string> mInProgress;
  std::deque<waiting_request> mDelayed;
  std::vector<server_action> mActions;
  server_faults mFaults;
  server_counts mCounts;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_BACKEND_SERVER_H_
