// Implementation of the model of backend servers.
#include "request/backend_model.h"

#include <algorithm>
#include <cstdio>

namespace snipewalk {

namespace {

// Statement bodies are "<register> <value>".
std::pair<int, int>
Parse(const std::string& aBody)
{
  std::pair<int, int> parsed{ -1, 0 };
  std::sscanf(aBody.c_str(), "%d %d", &parsed.first, &parsed.second);
  return parsed;
}

} // namespace

backend_model::backend_model(std::uint32_t aSeed)
  : mRandom(aSeed)
{
  for (const char* name : { "a", "b", "c" }) {
    mServers.emplace_back();
    mServers.back().mName = name;
  }
  mServers[0].mRole = server_role::Primary;
  mPrimary = 0;
  Append(mServers[0], { 1, "", -1, {} });
}

std::size_t
backend_model::IndexOf(const std::string& aName) const
{
  std::size_t index = 0;
  while (mServers[index].mName != aName) {
    ++index;
  }
  return index;
}

const model_entry*
backend_model::Find(std::size_t aServer, const std::string& aKey) const
{
  for (const auto& entry : mServers[aServer].mLog) {
    if (!aKey.empty() && entry.mKey == aKey) {
      return &entry;
    }
  }
  return nullptr;
}

void
backend_model::Append(model_server& aServer, model_entry aEntry)
{
  aServer.mLog.push_back(std::move(aEntry));
  aServer.mApplied = aServer.mLog.size();
}

std::optional<backend_reply>
backend_model::Execute(std::size_t aServer,
                       const backend_request& aRequest,
                       std::optional<model_transaction>& aOpen,
                       bool aWaited)
{
  auto& server = mServers[aServer];
  backend_reply reply;
  reply.mTerm = server.mTerm;
  if (const auto* wait = std::get_if<backend_wait>(&aRequest)) {
    reply.mIndex = server.mLog.size();
    if (wait->mTerm != server.mTerm) {
      reply.mError = backend_error::TermMismatch;
    } else if (reply.mIndex < wait->mIndex) {
      if (!aWaited) {
        return std::nullopt;
      }
      reply.mError = backend_error::Behind;
    }
  } else if (const auto* query =
               std::get_if<backend_outcome_query>(&aRequest)) {
    const auto* done = Find(aServer, query->mIdempotencyKey);
    reply.mKeyState = done ? key_state::Done : key_state::Absent;
    reply.mIndex =
      done ? static_cast<std::uint64_t>(done - server.mLog.data()) + 1 : 0;
  } else if (const auto* statement =
               std::get_if<backend_statement>(&aRequest)) {
    const bool mustWait = statement->mKind == statement_kind::Read &&
                          statement->mTerm == server.mTerm &&
                          server.mApplied < statement->mMinIndex;
    if (mustWait && !aWaited) {
      return std::nullopt;
    }
    reply = ExecuteStatement(server, *statement, aOpen);
  } else {
    server_status status;
    status.mServer = server.mName;
    status.mTerm = server.mTerm;
    status.mRole = server.mRole;
    status.mLogTerm = server.mLog.empty() ? 0 : server.mLog.back().mTerm;
    status.mReceived = server.mLog.size();
    status.mApplied = server.mApplied;
    reply.mStatus = status;
  }
  return reply;
}

backend_reply
backend_model::ExecuteStatement(model_server& aServer,
                                const backend_statement& aStatement,
                                std::optional<model_transaction>& aOpen)
{
  backend_reply reply;
  reply.mRequestId = aStatement.mRequestId;
  reply.mTerm = aServer.mTerm;
  reply.mIndex = aServer.mApplied;
  const auto fail = [&](backend_error aError) {
    reply.mError = aError;
    return reply;
  };
  const bool read = aStatement.mKind == statement_kind::Read;
  if (aStatement.mTerm != aServer.mTerm) {
    return fail(backend_error::TermMismatch);
  }
  if (!read && aServer.mRole != server_role::Primary) {
    return fail(backend_error::NotPrimary);
  }
  if (aOpen && aOpen->mTerm != aServer.mTerm) {
    aOpen.reset();
    return fail(backend_error::NoTransaction);
  }
  switch (aStatement.mKind) {
    case statement_kind::Read:
      return ExecuteRead(aServer, aStatement, std::move(reply));
    case statement_kind::Begin:
      aOpen = model_transaction{ aServer.mTerm, -1, {}, {} };
      return reply;
    case statement_kind::Rollback:
      aOpen.reset();
      return reply;
    default:
      return ExecuteEffect(aServer, aStatement, aOpen, std::move(reply));
  }
}

backend_reply
backend_model::ExecuteRead(const model_server& aServer,
                           const backend_statement& aStatement,
                           backend_reply aReply)
{
  if (aServer.mApplied < aStatement.mMinIndex) {
    aReply.mError = backend_error::Behind;
    return aReply;
  }
  const int target = Parse(aStatement.mBody).first;
  for (std::uint64_t i = 0; i < aServer.mApplied; ++i) {
    if (aServer.mLog[i].mRegister == target) {
      for (const int written : aServer.mLog[i].mValues) {
        aReply.mBody += " " + std::to_string(written) + " ";
      }
    }
  }
  return aReply;
}

// A write or a commit; a write inside a transaction is only remembered.
backend_reply
backend_model::ExecuteEffect(model_server& aServer,
                             const backend_statement& aStatement,
                             std::optional<model_transaction>& aOpen,
                             backend_reply aReply)
{
  const auto [target, value] = Parse(aStatement.mBody);
  if (aStatement.mKind == statement_kind::Write && aOpen) {
    aOpen->mRegister = target;
    aOpen->mValues.push_back(value);
    return aReply;
  }
  const auto server = IndexOf(aServer.mName);
  if (const auto* done = Find(server, aStatement.mIdempotencyKey)) {
    aOpen.reset();
    aReply.mReplayed = true;
    aReply.mIndex = static_cast<std::uint64_t>(done - aServer.mLog.data()) + 1;
    return aReply;
  }
  model_entry entry{
    aServer.mTerm, aStatement.mIdempotencyKey, target, { value }
  };
  if (aStatement.mKind == statement_kind::Commit) {
    if (!aOpen) {
      aReply.mError = backend_error::NoTransaction;
      return aReply;
    }
    entry.mRegister = aOpen->mRegister;
    entry.mValues = aOpen->mValues;
    aOpen.reset();
  }
  Append(aServer, std::move(entry));
  aReply.mIndex = aServer.mLog.size();
  return aReply;
}

void
backend_model::Replicate(std::size_t aReplica)
{
  auto& replica = mServers[aReplica];
  if (replica.mRole != server_role::Replica || !replica.mReachable) {
    return;
  }
  for (const auto& primary : mServers) {
    if (primary.mRole != server_role::Primary ||
        primary.mTerm != replica.mTerm || !primary.mReachable) {
      continue;
    }
    // Drops entries that the primary does not have, then takes one more.
    std::size_t same = 0;
    while (same < std::min(replica.mLog.size(), primary.mLog.size()) &&
           replica.mLog[same].mTerm == primary.mLog[same].mTerm) {
      ++same;
    }
    replica.mLog.resize(same);
    replica.mApplied = std::min<std::uint64_t>(replica.mApplied, same);
    if (same < primary.mLog.size()) {
      replica.mLog.push_back(primary.mLog[same]);
    }
    if (mRandom() % 2 == 0) {
      replica.mApplied = replica.mLog.size();
    }
  }
}

std::optional<std::size_t>
backend_model::Elect()
{
  std::vector<std::size_t> reachable;
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    if (mServers[i].mReachable) {
      reachable.push_back(i);
    }
  }
  std::shuffle(reachable.begin(), reachable.end(), mRandom);
  if (reachable.size() < 2) {
    return std::nullopt;
  }
  reachable.resize(2 + mRandom() % (reachable.size() - 1));
  ++mNewestTerm;
  std::size_t best = reachable[0];
  const auto rank = [&](std::size_t aServer) {
    const auto& log = mServers[aServer].mLog;
    return std::pair(log.empty() ? 0 : log.back().mTerm, log.size());
  };
  for (const auto i : reachable) {
    mServers[i].mTerm = mNewestTerm;
    mServers[i].mRole = server_role::Fenced;
    best = rank(i) > rank(best) ? i : best;
  }
  mServers[best].mRole = server_role::Primary;
  Append(mServers[best], { mNewestTerm, "", -1, {} });
  mPrimary = best;
  return best;
}

void
backend_model::Follow(std::size_t aServer)
{
  auto& server = mServers[aServer];
  const bool leads =
    server.mRole == server_role::Primary && server.mTerm == mNewestTerm;
  if (server.mReachable && !leads) {
    server.mTerm = mNewestTerm;
    server.mRole = server_role::Replica;
  }
}

void
backend_model::Close(connection_id aId)
{
  const auto found = mLinks.find(aId);
  if (found == mLinks.end()) {
    return;
  }
  auto& link = found->second;
  if (link.mToServer && !link.mSilent) {
    mOrphans.push_back(
      { link.mServer, *link.mToServer, std::move(link.mTransaction) });
  }
  mLinks.erase(found);
}

void
backend_model::RunOrphan()
{
  if (mOrphans.empty()) {
    return;
  }
  const auto chosen = mRandom() % mOrphans.size();
  auto taken = std::move(mOrphans[chosen]);
  mOrphans.erase(mOrphans.begin() + static_cast<std::ptrdiff_t>(chosen));
  Execute(taken.mServer, taken.mRequest, taken.mTransaction, true);
}

} // namespace snipewalk
