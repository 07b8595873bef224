// Statements, transactions and terms of the stand-in backend server.
#include "standins/backend_server.h"

#include <algorithm>
#include <utility>

namespace snipewalk::standins {

standin_server::standin_server(std::string aName)
  : mName(std::move(aName))
{
}

server_status
standin_server::Status() const
{
  server_status status;
  status.mServer = mName;
  status.mTerm = mTerm;
  status.mRole = mRole;
  status.mLogTerm = mLog.LastTerm();
  status.mReceived = mLog.Received();
  status.mApplied = mLog.Applied();
  return status;
}

std::size_t
standin_server::OpenTransactions() const
{
  return mTransactions.size();
}

std::vector<server_action>
standin_server::TakeActions()
{
  return std::exchange(mActions, {});
}

backend_reply
standin_server::Reply(backend_error aError) const
{
  backend_reply reply;
  reply.mError = aError;
  reply.mTerm = mTerm;
  reply.mIndex = mLog.Applied();
  return reply;
}

backend_reply
standin_server::StatusReply(backend_error aError) const
{
  backend_reply reply = Reply(aError);
  reply.mStatus = Status();
  return reply;
}

void
standin_server::Answer(request_ticket aTicket, backend_reply aReply)
{
  if (aReply.mError != backend_error::None) {
    ++mCounts.mRefusals[std::string(NameOf(kBackendErrorNames, aReply.mError))];
  }
  mActions.push_back(answer_client{ aTicket, std::move(aReply) });
}

void
standin_server::Submit(request_ticket aTicket,
                       client_number aClient,
                       backend_request aRequest,
                       time_point aNow)
{
  if (auto* statement = std::get_if<backend_statement>(&aRequest)) {
    SubmitStatement(aTicket, aClient, std::move(*statement), aNow);
  } else if (const auto* wait = std::get_if<backend_wait>(&aRequest)) {
    mWaiting.push_back({ aTicket, aClient, *wait, aNow + wait->mWait });
  } else if (const auto* fence = std::get_if<backend_fence>(&aRequest)) {
    Answer(aTicket, Fence(*fence));
  } else if (const auto* promote = std::get_if<backend_promote>(&aRequest)) {
    Answer(aTicket, Promote(*promote));
  } else if (const auto* follow = std::get_if<backend_follow>(&aRequest)) {
    Answer(aTicket, Follow(*follow));
  } else if (const auto* query =
               std::get_if<backend_outcome_query>(&aRequest)) {
    Answer(aTicket, Outcome(*query));
  } else {
    Answer(aTicket, StatusReply());
  }
}

backend_error
standin_server::CheckStatement(client_number aClient,
                               const backend_statement& aStatement) const
{
  if (aStatement.mTerm != mTerm) {
    return backend_error::TermMismatch;
  }
  const bool isRead = aStatement.mKind == statement_kind::Read;
  if (mRole == server_role::Fenced ||
      (!isRead && mRole != server_role::Primary)) {
    return backend_error::NotPrimary;
  }
  const auto open = mTransactions.find(aClient);
  const bool isOpen = open != mTransactions.end();
  if (isOpen && open->second.IsAborted() &&
      aStatement.mKind != statement_kind::Rollback) {
    return backend_error::NoTransaction;
  }
  if (isOpen && aStatement.mKind == statement_kind::Begin) {
    return backend_error::Conflict;
  }
  return backend_error::None;
}

void
standin_server::SubmitStatement(request_ticket aTicket,
                                client_number aClient,
                                backend_statement aStatement,
                                time_point aNow)
{
  ++mCounts
      .mStatements[std::string(NameOf(kStatementKindNames, aStatement.mKind))];
  const backend_error error = CheckStatement(aClient, aStatement);
  if (error != backend_error::None) {
    Answer(aTicket, Reply(error));
    return;
  }
  const std::string& key = aStatement.mIdempotencyKey;
  if (!key.empty() && mInProgress.count(key) > 0) {
    Answer(aTicket, Reply(backend_error::InProgress));
    return;
  }
  if (mFaults.mExecutionDelay > milliseconds(0)) {
    if (!key.empty()) {
      mInProgress.insert(key);
    }
    mDelayed.push_back({ aTicket,
                         aClient,
                         std::move(aStatement),
                         aNow + mFaults.mExecutionDelay });
    return;
  }
  if (aStatement.mKind == statement_kind::Read) {
    const time_point due = aNow + aStatement.mWait;
    mWaiting.push_back({ aTicket, aClient, std::move(aStatement), due });
    return;
  }
  Execute(aTicket, aClient, aStatement);
}

void
standin_server::Execute(request_ticket aTicket,
                        client_number aClient,
                        const backend_statement& aStatement)
{
  const backend_error error = CheckStatement(aClient, aStatement);
  if (error != backend_error::None) {
    Answer(aTicket, Reply(error));
    return;
  }
  backend_reply reply;
  switch (aStatement.mKind) {
    case statement_kind::Read:
      reply = ExecuteRead(aClient, aStatement);
      break;
    case statement_kind::Write:
      reply = ExecuteWrite(aClient, aStatement);
      break;
    case statement_kind::Begin:
      reply = Begin(aClient);
      break;
    case statement_kind::Commit:
      reply = ExecuteCommit(aClient, aStatement);
      break;
    case statement_kind::Rollback:
      reply = Rollback(aClient);
      break;
  }
  const bool hasEffect = aStatement.mKind == statement_kind::Write ||
                         aStatement.mKind == statement_kind::Commit;
  if (hasEffect && reply.mError == backend_error::None &&
      mFaults.mAnswersToLose > 0) {
    --mFaults.mAnswersToLose;
    mActions.push_back(lose_answer{ aTicket });
    return;
  }
  Answer(aTicket, std::move(reply));
}

backend_reply
standin_server::ExecuteRead(client_number aClient,
                            const backend_statement& aStatement)
{
  const auto parsed = ParseCommand(aStatement.mBody);
  if (!parsed || parsed->mVerb != command_verb::Get) {
    return Reply(backend_error::Malformed);
  }
  backend_reply reply = Reply();
  const auto open = mTransactions.find(aClient);
  if (open != mTransactions.end()) {
    reply.mBody = open->second.Read(mLog, parsed->mKey);
  } else if (const stored_value* stored = mLog.Get(parsed->mKey)) {
    reply.mBody = stored->mValue;
  }
  return reply;
}

backend_reply
standin_server::ExecuteWrite(client_number aClient,
                             const backend_statement& aStatement)
{
  const auto parsed = ParseCommand(aStatement.mBody);
  if (!parsed || parsed->mVerb == command_verb::Get) {
    return Reply(backend_error::Malformed);
  }
  const auto open = mTransactions.find(aClient);
  if (open != mTransactions.end()) {
    const auto value = open->second.Write(mLog, *parsed);
    backend_reply reply =
      Reply(value ? backend_error::None : backend_error::Malformed);
    reply.mBody = value.value_or("");
    return reply;
  }
  const std::string& key = aStatement.mIdempotencyKey;
  if (const log_entry* done = key.empty() ? nullptr : mLog.FindKey(key)) {
    return Replay(*done);
  }
  transaction single(mLog.Applied());
  const auto value = single.Write(mLog, *parsed);
  if (!value) {
    return Reply(backend_error::Malformed);
  }
  return AppendOwn(key, *value, single);
}

backend_reply
standin_server::Replay(const log_entry& aDone)
{
  ++mCounts.mReplayed;
  backend_reply reply = Reply();
  reply.mIndex = aDone.mIndex;
  reply.mReplayed = true;
  reply.mBody = aDone.mOutcome;
  return reply;
}

backend_reply
standin_server::AppendOwn(const std::string& aKey,
                          std::string aOutcome,
                          const transaction& aTransaction)
{
  const std::uint64_t index =
    mLog.Append(mTerm, aKey, aOutcome, aTransaction.Effects());
  mLog.ApplyUpTo(index);
  backend_reply reply = Reply();
  reply.mIndex = index;
  reply.mBody = std::move(aOutcome);
  return reply;
}

backend_reply
standin_server::Begin(client_number aClient)
{
  mTransactions.emplace(aClient, transaction(mLog.Applied()));
  return Reply();
}

backend_reply
standin_server::Rollback(client_number aClient)
{
  return Reply(mTransactions.erase(aClient) > 0 ? backend_error::None
                                                : backend_error::NoTransaction);
}

backend_reply
standin_server::ExecuteCommit(client_number aClient,
                              const backend_statement& aStatement)
{
  const std::string& key = aStatement.mIdempotencyKey;
  if (const log_entry* done = key.empty() ? nullptr : mLog.FindKey(key)) {
    mTransactions.erase(aClient);
    return Replay(*done);
  }
  const auto open = mTransactions.find(aClient);
  if (open == mTransactions.end()) {
    return Reply(backend_error::NoTransaction);
  }
  const transaction committed = std::move(open->second);
  mTransactions.erase(open);
  if (committed.HasConflict(mLog)) {
    return Reply(backend_error::Conflict);
  }
  return AppendOwn(key, "committed", committed);
}

void
standin_server::CloseClient(client_number aClient)
{
  const bool inTransaction = mTransactions.erase(aClient) > 0;
  // A write that reached the server runs although nobody reads its answer.
  const auto isDropped = [&](const waiting_request& aDelayed) {
    const auto* statement = std::get_if<backend_statement>(&aDelayed.mRequest);
    if (aDelayed.mClient != aClient || statement == nullptr) {
      return false;
    }
    const bool drops =
      inTransaction || statement->mKind != statement_kind::Write;
    if (drops) {
      mInProgress.erase(statement->mIdempotencyKey);
    }
    return drops;
  };
  mDelayed.erase(std::remove_if(mDelayed.begin(), mDelayed.end(), isDropped),
                 mDelayed.end());
  mWaiting.erase(std::remove_if(mWaiting.begin(),
                                mWaiting.end(),
                                [&](const waiting_request& aWaiting) {
                                  return aWaiting.mClient == aClient;
                                }),
                 mWaiting.end());
}

backend_reply
standin_server::Outcome(const backend_outcome_query& aRequest) const
{
  // Only the primary knows that a key is absent.
  if (mRole != server_role::Primary) {
    return Reply(backend_error::NotPrimary);
  }
  backend_reply reply = Reply();
  if (const log_entry* done = mLog.FindKey(aRequest.mIdempotencyKey)) {
    reply.mKeyState = key_state::Done;
    reply.mIndex = done->mIndex;
    reply.mBody = done->mOutcome;
  } else if (mInProgress.count(aRequest.mIdempotencyKey) > 0) {
    reply.mKeyState = key_state::InProgress;
  } else {
    reply.mKeyState = key_state::Absent;
  }
  return reply;
}

} // namespace snipewalk::standins
