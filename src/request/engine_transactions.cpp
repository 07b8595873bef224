// Transactions: pinned to one connection of this instance, from begin to
// commit or rollback.
#include "request/service_engine_state.h"

#include "snipewalk/request/transaction_id.h"

#include <algorithm>

namespace snipewalk {

namespace {

// Commits whose outcome is looked up after their transaction is gone.
constexpr std::size_t kCommitsRemembered = 4'096;

} // namespace

void
service_engine_state::OnBegun(request_entry& aEntry,
                              pooled_connection& aConnection,
                              const backend_reply& aReply)
{
  transaction_identity identity;
  identity.mHolder = mOptions.mInstance;
  identity.mIncarnation = mOptions.mIncarnation;
  identity.mNumber = aEntry.mNumber;
  identity.mService = mService;
  identity.mAccount = aEntry.mRequest.mAccount;
  const auto id = EncodeTransaction(identity, mSessionKeys, mWallNow);
  if (!id.ok()) {
    mPool.Close(aConnection.mId, *mActions);
    aEntry.mConnection = 0;
    AnswerFailed(aEntry,
                 refusal_reason::NoHolder,
                 "no session key may sign yet",
                 milliseconds(200));
    return;
  }
  open_transaction transaction;
  transaction.mNumber = aEntry.mNumber;
  transaction.mConnection = aConnection.mId;
  transaction.mAccount = aEntry.mRequest.mAccount;
  transaction.mIdleSince = mNow;
  mTransactions.emplace(transaction.mNumber, transaction);
  SetTimer(mNow + mView->mDocument.mTransactionIdleLimit,
           timer_kind::TransactionIdle,
           transaction.mNumber);
  statement_response response;
  response.mOutcome = statement_outcome::Done;
  response.mBody = aReply.mBody;
  response.mServer = mRouter.Servers()[aConnection.mServer].mName;
  response.mTransaction = *id;
  Finish(aEntry, std::move(response));
}

void
service_engine_state::SubmitInTransaction(request_entry& aEntry)
{
  const auto& request = aEntry.mRequest;
  const auto identity = DecodeTransaction(request.mTransaction, mSessionKeys);
  if (!identity.ok() || identity->mService != mService ||
      identity->mAccount != request.mAccount) {
    AnswerFailed(aEntry,
                 refusal_reason::UnknownTransaction,
                 "the transaction id is invalid");
    return;
  }
  const bool own = identity->mHolder == mOptions.mInstance &&
                   identity->mIncarnation == mOptions.mIncarnation;
  const auto found = mTransactions.find(identity->mNumber);
  if (!own || found == mTransactions.end()) {
    SubmitAfterTransaction(aEntry, own ? identity->mNumber : 0);
    return;
  }
  auto& transaction = found->second;
  if (transaction.mStatement != 0) {
    AnswerFailed(aEntry,
                 refusal_reason::Conflict,
                 "another statement of the transaction is running");
    return;
  }
  transaction.mStatement = aEntry.mNumber;
  aEntry.mTransaction = transaction.mNumber;
  if (request.mKind == statement_kind::Commit) {
    RememberCommit(transaction.mNumber);
  }
  SendStatement(aEntry, *mPool.Find(transaction.mConnection), read_route{});
}

// The transaction is not open here. A repeated commit may have succeeded.
void
service_engine_state::SubmitAfterTransaction(request_entry& aEntry,
                                             std::uint64_t aNumber)
{
  const bool mayHaveCommitted = aNumber == 0 || mCommitSent.contains(aNumber);
  if (aEntry.mRequest.mKind == statement_kind::Commit && mayHaveCommitted) {
    // The term in which the commit was sent is at most the present one, or not
    // known at all when another holder sent it.
    aEntry.mDoubtTerm = aNumber == 0 ? UINT64_MAX : mRouter.Term();
    Lookup(aEntry);
    return;
  }
  AnswerFailed(aEntry,
               refusal_reason::TransactionLost,
               "the transaction has ended or was rolled back");
}

void
service_engine_state::OnTransactionReply(open_transaction& aTransaction,
                                         request_entry& aEntry,
                                         const backend_reply& aReply)
{
  const std::uint64_t number = aTransaction.mNumber;
  const bool commit = aEntry.mRequest.mKind == statement_kind::Commit;
  const bool ends = commit || aEntry.mRequest.mKind == statement_kind::Rollback;
  const bool conflict = aReply.mError == backend_error::Conflict && !ends;
  aEntry.mConnection = 0;
  if (aReply.mError != backend_error::None && !conflict) {
    // The server refused the statement and the transaction's state is in doubt.
    if (commit && aReply.mError == backend_error::InProgress) {
      LoseTransaction(number);
    } else {
      mPool.Close(aTransaction.mConnection, *mActions);
      mTransactions.erase(number);
      AnswerFailed(aEntry,
                   aReply.mError == backend_error::Conflict
                     ? refusal_reason::Conflict
                     : refusal_reason::TransactionLost,
                   "the server rolled the transaction back");
    }
    return;
  }
  aTransaction.mStatement = 0;
  aTransaction.mIdleSince = mNow;
  if (conflict) {
    AnswerFailed(
      aEntry, refusal_reason::Conflict, "the server reports a conflict");
    return;
  }
  if (ends) {
    mPool.Release(aTransaction.mConnection, mNow, *mActions);
    mTransactions.erase(number);
  }
  if (commit) {
    OnExecuted(aEntry, aEntry.mServer, aReply);
    return;
  }
  aEntry.mExecuted = { aReply.mTerm, aReply.mIndex };
  aEntry.mReplyBody = aReply.mBody;
  aEntry.mReplayed = aReply.mReplayed;
  AnswerDone(aEntry);
}

// Ends a transaction by closing its connection, which rolls it back. Only a
// commit that is under way may have an effect.
void
service_engine_state::LoseTransaction(std::uint64_t aNumber,
                                      refusal_reason aReason)
{
  const auto found = mTransactions.find(aNumber);
  if (found == mTransactions.end()) {
    return;
  }
  const auto transaction = found->second;
  mTransactions.erase(found);
  mPool.Close(transaction.mConnection, *mActions);
  auto* entry = FindRequest(transaction.mStatement);
  if (!entry) {
    return;
  }
  entry->mConnection = 0;
  if (entry->mHasEffect) {
    entry->mDoubtTerm = std::max(entry->mDoubtTerm, entry->mSentTerm);
    if (aReason != refusal_reason::DeadlineExceeded) {
      Lookup(*entry);
      return;
    }
  }
  AnswerFailed(*entry,
               aReason,
               entry->mHasEffect ? "the outcome of the commit is not known"
                                 : "the transaction was rolled back");
}

void
service_engine_state::OnTransactionIdle(std::uint64_t aNumber)
{
  const auto found = mTransactions.find(aNumber);
  if (found == mTransactions.end()) {
    return;
  }
  const auto& transaction = found->second;
  const auto limit = mView->mDocument.mTransactionIdleLimit;
  const bool running = transaction.mStatement != 0;
  if (!running && mNow - transaction.mIdleSince >= limit) {
    LoseTransaction(aNumber);
    return;
  }
  SetTimer(running ? mNow + limit : transaction.mIdleSince + limit,
           timer_kind::TransactionIdle,
           aNumber);
}

void
service_engine_state::RememberCommit(std::uint64_t aNumber)
{
  if (mCommitSent.insert(aNumber).second) {
    mCommitOrder.push_back(aNumber);
  }
  if (mCommitOrder.size() > kCommitsRemembered) {
    mCommitSent.erase(mCommitOrder.front());
    mCommitOrder.pop_front();
  }
}

} // namespace snipewalk
