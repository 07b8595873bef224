// Implementation of the state of a forwarded session.
#include "snipewalk/session/forwarded_session.h"

#include "snipewalk/session/failure_answer.h"

#include <utility>
#include <variant>

namespace snipewalk {

namespace {

// Returns the purpose by which the failure reply is chosen. Statements that no
// server executes count as reads since they have no lasting effect.
statement_purpose
PurposeOf(const session_context& aContext,
          const session_statement& aStatement,
          bool aInTransaction)
{
  if (std::holds_alternative<commit_statement>(aStatement)) {
    return statement_purpose::Commit;
  }
  if (aInTransaction) {
    return statement_purpose::Later;
  }
  return IsWrite(aContext, aStatement) ? statement_purpose::SingleWrite
                                       : statement_purpose::SingleRead;
}

} // namespace

void
forwarded_session::OnStatement(const statement_message& aMessage,
                               time_point aNow)
{
  mPending = pending_statement{ aMessage, aNow };
}

void
forwarded_session::OnReply(const statement_reply& aReply)
{
  mState = aReply.mState;
  if (!mPending) {
    return;
  }
  const session_statement statement = std::move(mPending->mMessage.mStatement);
  mPending.reset();
  if (aReply.mError) {
    return;
  }
  if (const auto* prepare = std::get_if<prepare_statement>(&statement)) {
    mContext.mPrepared[prepare->mName] = *prepare;
  } else if (const auto* forget =
               std::get_if<deallocate_statement>(&statement)) {
    mContext.mPrepared.erase(forget->mName);
  }
}

bool
forwarded_session::IsIdle() const
{
  return !mPending && !InTransaction();
}

std::optional<time_point>
forwarded_session::PendingSince() const
{
  return mPending ? std::optional(mPending->mForwardedAt) : std::nullopt;
}

std::string
forwarded_session::PendingRequestId() const
{
  return mPending ? mPending->mMessage.mRequestId : std::string();
}

std::optional<statement_reply>
forwarded_session::ReplyOnHostLoss() const
{
  if (!mPending) {
    return std::nullopt;
  }
  failure_facts facts;
  facts.mPurpose =
    PurposeOf(mContext, mPending->mMessage.mStatement, InTransaction());
  facts.mFailure = statement_failure::NoAnswer;
  // The statements of the transaction are not stored, so it may have written.
  facts.mTransactionWrote = true;
  statement_reply reply;
  reply.mError = DecideFailureAnswer(facts).mCode;
  reply.mErrorText = "the instance that served the session is lost";
  return reply;
}

} // namespace snipewalk
