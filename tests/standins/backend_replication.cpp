// Terms, replication and delayed requests of the stand-in backend server.
#include "standins/backend_server.h"

#include <algorithm>
#include <utility>

namespace snipewalk::standins {

namespace {

// One pull's answer stays well below the 4 MiB that a stand-in accepts.
constexpr std::size_t kBatchEntries = 4'000;
constexpr std::size_t kBatchBytes = 2 * 1024 * 1024;
// A pull without new entries is answered after this time, so that a replica
// notices a broken connection.
constexpr milliseconds kPullWait{ 500 };

std::size_t
SizeOf(const log_entry& aEntry)
{
  std::size_t bytes =
    64 + aEntry.mIdempotencyKey.size() + aEntry.mOutcome.size();
  for (const auto& [key, value] : aEntry.mEffects) {
    bytes += key.size() + value.size() + 16;
  }
  return bytes;
}

} // namespace

void
standin_server::Enter(std::uint64_t aTerm, server_role aRole)
{
  mTerm = aTerm;
  mRole = aRole;
  mPrimary.reset();
  ++mFollowEpoch;
  mPullOutstanding = false;
  mMatched = false;
  mToReceive.clear();
  for (auto& [client, open] : mTransactions) {
    open.Abort();
  }
}

backend_reply
standin_server::Fence(const backend_fence& aRequest)
{
  if (aRequest.mTerm < mTerm) {
    return StatusReply(backend_error::TermMismatch);
  }
  // A repeated fence must not stop the primary of the same term.
  if (aRequest.mTerm > mTerm) {
    Enter(aRequest.mTerm, server_role::Fenced);
  }
  return StatusReply();
}

backend_reply
standin_server::Promote(const backend_promote& aRequest)
{
  if (aRequest.mTerm < mTerm) {
    return StatusReply(backend_error::TermMismatch);
  }
  if (aRequest.mTerm == mTerm && mRole == server_role::Primary) {
    return StatusReply();
  }
  if (aRequest.mTerm == mTerm && mPrimary) {
    return StatusReply(backend_error::Conflict);
  }
  Enter(aRequest.mTerm, server_role::Primary);
  mToApply.clear();
  // The entry that begins the term lets replicas tell that their log is the
  // new primary's: a wait is confirmed only with the term's own entries.
  mLog.Append(mTerm, "", "", {});
  mLog.ApplyUpTo(mLog.Received());
  return StatusReply();
}

backend_reply
standin_server::Follow(const backend_follow& aRequest)
{
  if (aRequest.mTerm < mTerm) {
    return StatusReply(backend_error::TermMismatch);
  }
  const bool sameTerm = aRequest.mTerm == mTerm;
  if (aRequest.mPrimary.mName == mName ||
      (sameTerm && mRole == server_role::Primary) ||
      (sameTerm && mPrimary && mPrimary->mName != aRequest.mPrimary.mName)) {
    return StatusReply(backend_error::Conflict);
  }
  if (sameTerm && mPrimary &&
      mPrimary->mAddress == aRequest.mPrimary.mAddress) {
    return StatusReply();
  }
  Enter(aRequest.mTerm, server_role::Replica);
  mPrimary = aRequest.mPrimary;
  mCursor = mLog.Received();
  mCursorTerm = mLog.LastTerm();
  return StatusReply();
}

bool
standin_server::IsConsistent() const
{
  return mRole == server_role::Primary ||
         (mRole == server_role::Replica && mMatched &&
          mLog.LastTerm() == mTerm);
}

std::optional<backend_reply>
standin_server::TryWait(const backend_wait& aWait) const
{
  if (aWait.mTerm != mTerm) {
    return Reply(backend_error::TermMismatch);
  }
  if (!IsConsistent() || mLog.Received() < aWait.mIndex) {
    return std::nullopt;
  }
  backend_reply reply = Reply();
  reply.mIndex = mLog.Received();
  return reply;
}

void
standin_server::Pull(request_ticket aTicket,
                     pull_request aRequest,
                     time_point aNow)
{
  mWaiting.push_back({ aTicket, 0, aRequest, aNow + kPullWait });
}

std::optional<pull_reply>
standin_server::TryPull(const pull_request& aRequest) const
{
  pull_reply reply;
  reply.mTerm = mTerm;
  reply.mAccepted = mRole == server_role::Primary && aRequest.mTerm == mTerm;
  if (!reply.mAccepted) {
    return reply;
  }
  const std::uint64_t after = aRequest.mAfterIndex;
  reply.mMatched =
    after <= mLog.Received() && mLog.TermAt(after) == aRequest.mAfterTerm;
  if (!reply.mMatched) {
    reply.mContinueAt = mLog.LastAtOrBelowTerm(after, aRequest.mAfterTerm);
    return reply;
  }
  std::size_t bytes = 0;
  for (std::uint64_t index = after + 1;
       index <= mLog.Received() && reply.mEntries.size() < kBatchEntries &&
       bytes < kBatchBytes;
       ++index) {
    reply.mEntries.push_back(*mLog.At(index));
    bytes += SizeOf(reply.mEntries.back());
  }
  return reply.mEntries.empty() ? std::nullopt : std::optional(reply);
}

std::optional<pull_request>
standin_server::NextPull()
{
  if (!mPrimary || mPullOutstanding) {
    return std::nullopt;
  }
  mPullOutstanding = true;
  return pull_request{ mTerm, mCursor, mCursorTerm };
}

void
standin_server::PullFailed()
{
  mPullOutstanding = false;
  // Delivery order is unknown after a failure: compare again from the log.
  mToReceive.clear();
  mCursor = mLog.Received();
  mCursorTerm = mLog.LastTerm();
}

void
standin_server::PullAnswered(pull_reply aReply, time_point aNow)
{
  mPullOutstanding = false;
  if (!aReply.mAccepted || aReply.mTerm != mTerm) {
    return;
  }
  if (!aReply.mMatched) {
    mCursor = std::min(aReply.mContinueAt, mCursor == 0 ? 0 : mCursor - 1);
    mCursorTerm = mLog.TermAt(mCursor);
    return;
  }
  delayed_batch batch{ aNow, mCursor, std::move(aReply.mEntries) };
  if (!batch.mEntries.empty()) {
    mCursor = batch.mEntries.back().mIndex;
    mCursorTerm = batch.mEntries.back().mTerm;
  }
  mToReceive.push_back(std::move(batch));
}

void
standin_server::TakeInBatches(time_point aNow)
{
  while (!mToReceive.empty() &&
         mToReceive.front().mArrived + mFaults.mReceiveLag <= aNow) {
    delayed_batch batch = std::move(mToReceive.front());
    mToReceive.pop_front();
    if (mLog.Received() > batch.mMatchedAt) {
      mLog.TruncateAfter(batch.mMatchedAt);
      while (!mToApply.empty() && mToApply.back().first > batch.mMatchedAt) {
        mToApply.pop_back();
      }
    }
    mMatched = true;
    for (log_entry& entry : batch.mEntries) {
      mLog.AppendReceived(std::move(entry));
    }
    mToApply.emplace_back(mLog.Received(), aNow);
  }
  while (!mToApply.empty() &&
         mToApply.front().second + mFaults.mApplyLag <= aNow) {
    mLog.ApplyUpTo(mToApply.front().first);
    mToApply.pop_front();
  }
}

void
standin_server::Advance(time_point aNow)
{
  TakeInBatches(aNow);
  while (!mDelayed.empty() && mDelayed.front().mDue <= aNow) {
    const waiting_request delayed = std::move(mDelayed.front());
    mDelayed.pop_front();
    const auto& statement = std::get<backend_statement>(delayed.mRequest);
    mInProgress.erase(statement.mIdempotencyKey);
    if (statement.mKind == statement_kind::Read) {
      mWaiting.push_back({ delayed.mTicket,
                           delayed.mClient,
                           statement,
                           aNow + statement.mWait });
    } else {
      Execute(delayed.mTicket, delayed.mClient, statement);
    }
  }
  ReviewWaiting(aNow);
}

std::optional<backend_reply>
standin_server::TryRead(client_number aClient,
                        const backend_statement& aStatement)
{
  const backend_error error = CheckStatement(aClient, aStatement);
  if (error != backend_error::None) {
    return Reply(error);
  }
  if (!IsConsistent() || mLog.Applied() < aStatement.mMinIndex) {
    return std::nullopt;
  }
  return ExecuteRead(aClient, aStatement);
}

bool
standin_server::ReviewOne(const waiting_request& aWaiting, time_point aNow)
{
  const bool overdue = aWaiting.mDue <= aNow;
  if (const auto* pull = std::get_if<pull_request>(&aWaiting.mRequest)) {
    auto reply = TryPull(*pull);
    if (!reply && overdue) {
      reply = pull_reply{ true, mTerm, true, 0, {} };
    }
    if (reply) {
      mActions.push_back(answer_pull{ aWaiting.mTicket, std::move(*reply) });
    }
    return reply.has_value();
  }
  const auto* wait = std::get_if<backend_wait>(&aWaiting.mRequest);
  auto reply = wait != nullptr
                 ? TryWait(*wait)
                 : TryRead(aWaiting.mClient,
                           std::get<backend_statement>(aWaiting.mRequest));
  if (!reply && overdue) {
    reply = Reply(backend_error::Behind);
  }
  if (reply) {
    Answer(aWaiting.mTicket, std::move(*reply));
  }
  return reply.has_value();
}

void
standin_server::ReviewWaiting(time_point aNow)
{
  std::erase_if(mWaiting, [&](const waiting_request& aWaiting) {
    return ReviewOne(aWaiting, aNow);
  });
}

std::optional<time_point>
standin_server::NextTimer() const
{
  std::optional<time_point> next;
  const auto include = [&next](time_point aWhen) {
    next = next ? std::min(*next, aWhen) : aWhen;
  };
  for (const waiting_request& waiting : mWaiting) {
    include(waiting.mDue);
  }
  for (const waiting_request& delayed : mDelayed) {
    include(delayed.mDue);
  }
  if (!mToReceive.empty()) {
    include(mToReceive.front().mArrived + mFaults.mReceiveLag);
  }
  if (!mToApply.empty()) {
    include(mToApply.front().second + mFaults.mApplyLag);
  }
  return next;
}

} // namespace snipewalk::standins
