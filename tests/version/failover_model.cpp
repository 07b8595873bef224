// Model servers, store calls and network of the failover model. Its random
// steps are in failover_model_steps.cpp.
#include "version/failover_model.h"

#include <algorithm>

namespace snipewalk {

namespace {

constexpr milliseconds kProbeInterval{ 100 };
constexpr milliseconds kTick{ 20 };

backend_reply
Refusal(const model_server& aServer, const std::string& aName)
{
  backend_reply reply;
  reply.mError = backend_error::TermMismatch;
  reply.mTerm = aServer.mTerm;
  reply.mStatus = aServer.Status(aName);
  return reply;
}

backend_reply
Success(const model_server& aServer, const std::string& aName)
{
  backend_reply reply = Refusal(aServer, aName);
  reply.mError = backend_error::None;
  return reply;
}

} // namespace

server_status
model_server::Status(const std::string& aName) const
{
  return { aName,       mTerm,      mRole, mLog.empty() ? 0 : mLog.back().mTerm,
           mLog.size(), mLog.size() };
}

backend_reply
model_server::Fence(const std::string& aName, std::uint64_t aTerm)
{
  if (aTerm < mTerm) {
    return Refusal(*this, aName);
  }
  if (aTerm > mTerm) {
    // The log is kept, because replicas still copy the last entries of a fenced
    // primary.
    mTerm = aTerm;
    mRole = server_role::Fenced;
    mPrimary.clear();
    mMatched = false;
  }
  return Success(*this, aName);
}

backend_reply
model_server::Promote(const std::string& aName, std::uint64_t aTerm)
{
  if (aTerm < mTerm || (aTerm == mTerm && mRole == server_role::Replica)) {
    return Refusal(*this, aName);
  }
  if (aTerm > mTerm || mRole != server_role::Primary) {
    mTerm = aTerm;
    mRole = server_role::Primary;
    mPrimary = aName;
    mLog.push_back({ aTerm, 0 });
  }
  return Success(*this, aName);
}

backend_reply
model_server::Follow(const std::string& aName, const backend_follow& aFollow)
{
  if (aFollow.mTerm < mTerm ||
      (aFollow.mTerm == mTerm && mRole == server_role::Primary)) {
    return Refusal(*this, aName);
  }
  if (aFollow.mTerm > mTerm || mPrimary != aFollow.mPrimary.mName) {
    mTerm = aFollow.mTerm;
    mRole = server_role::Replica;
    mPrimary = aFollow.mPrimary.mName;
    mMatched = false;
  }
  return Success(*this, aName);
}

void
model_server::ReplicateFrom(const model_server& aPrimary, std::size_t aEntries)
{
  // Entries with the same term and id have the same predecessors, so the logs
  // agree up to the last common entry.
  std::size_t common = std::min(mLog.size(), aPrimary.mLog.size());
  while (common > 0 && !(mLog[common - 1] == aPrimary.mLog[common - 1])) {
    --common;
  }
  mLog.resize(common);
  const std::size_t end = std::min(common + aEntries, aPrimary.mLog.size());
  mLog.insert(mLog.end(),
              aPrimary.mLog.begin() + static_cast<std::ptrdiff_t>(common),
              aPrimary.mLog.begin() + static_cast<std::ptrdiff_t>(end));
  mMatched = true;
}

failover_model::failover_model(std::uint64_t aSeed,
                               const std::vector<std::string>& aServers,
                               std::size_t aInstances)
  : mRandom(aSeed)
{
  mDocument.mService = "ledger";
  for (const auto& name : aServers) {
    mDocument.mServers.push_back(
      { name, name + ":1", "dc-" + name, server_state::Active, {} });
    mServers[name] = {};
  }
  mNextProbe = mNextTick = mNow;
  for (std::size_t i = 0; i < aInstances; ++i) {
    const std::string name = "instance-" + std::to_string(i);
    mInstances.push_back(
      std::make_unique<failover>(failover_options{ name, 1, aSeed + i + 1 }));
    mPaused.push_back(false);
    Deliver(i, failover_configured{ mDocument, static_cast<int>(i) });
  }
}

bool
failover_model::RandomChance(int aPercent)
{
  return RandomBelow(100) < static_cast<std::size_t>(aPercent);
}

std::size_t
failover_model::RandomBelow(std::size_t aLimit)
{
  return static_cast<std::size_t>(mRandom() % aLimit);
}

milliseconds
failover_model::Jittered(milliseconds aTime)
{
  return milliseconds(1 +
                      RandomBelow(2 * static_cast<std::size_t>(aTime.count())));
}

void
failover_model::Schedule(milliseconds aAfter, std::function<void()> aWork)
{
  mQueue.emplace(mNow + aAfter, std::move(aWork));
}

void
failover_model::Deliver(std::size_t aInstance, const failover_event& aEvent)
{
  if (mPaused[aInstance]) {
    // A paused instance handles its input after it resumes.
    Schedule(milliseconds(20), [=, this] { Deliver(aInstance, aEvent); });
    return;
  }
  failover::actions actions;
  mInstances[aInstance]->Handle(aEvent, mNow, actions);
  for (const auto& action : actions) {
    Perform(aInstance, action);
  }
}

void
failover_model::Run(milliseconds aTime)
{
  const time_point end = mNow + aTime;
  while (mNow < end) {
    mNow += milliseconds(1);
    while (!mQueue.empty() && mQueue.begin()->first <= mNow) {
      auto entry = mQueue.extract(mQueue.begin());
      entry.mapped()();
    }
    if (mNow >= mNextProbe) {
      mNextProbe = mNow + kProbeInterval;
      Probe();
    }
    if (mNow >= mNextTick) {
      mNextTick = mNow + kTick;
      for (std::size_t i = 0; i < mInstances.size(); ++i) {
        if (!mPaused[i]) {
          Deliver(i, failover_time_passed{});
        }
      }
    }
  }
}

void
failover_model::Perform(std::size_t aInstance, const failover_action& aAction)
{
  if (const auto* read = std::get_if<read_term>(&aAction)) {
    Perform(aInstance, *read);
  } else if (const auto* write = std::get_if<write_term>(&aAction)) {
    Perform(aInstance, *write);
  } else if (const auto* send = std::get_if<send_to_server>(&aAction)) {
    Perform(aInstance, *send);
  }
}

void
failover_model::Perform(std::size_t aInstance, const read_term& aAction)
{
  Schedule(Jittered(mStoreDelay), [=, this] {
    term_call_done done;
    done.mCall = aAction.mCall;
    if (mStoreUp && !RandomChance(mLostAnswerPercent)) {
      done.mStatus = mRecord ? store_status::Ok : store_status::NotFound;
      done.mRecord = mRecord;
      done.mVersion = mVersion;
    }
    Schedule(Jittered(mStoreDelay), [=, this] { Deliver(aInstance, done); });
  });
}

void
failover_model::Perform(std::size_t aInstance, const write_term& aAction)
{
  Schedule(Jittered(mStoreDelay), [=, this] { Apply(aInstance, aAction); });
}

void
failover_model::Apply(std::size_t aInstance, const write_term& aAction)
{
  term_call_done done;
  done.mCall = aAction.mCall;
  const bool dropped = mBeforeWrite && mBeforeWrite(aAction);
  if (mStoreUp && !dropped && RandomChance(mRefusedPercent)) {
    done.mStatus = store_status::Refused;
  } else if (mStoreUp && !dropped) {
    const bool current = mRecord ? mVersion == aAction.mExpectedVersion
                                 : aAction.mExpectedVersion == 0;
    done.mStatus = current ? store_status::Ok : store_status::Conflict;
    if (current) {
      mRecord = aAction.mRecord;
      ++mVersion;
      NotifyInstances();
    }
    done.mRecord = mRecord;
    done.mVersion = mVersion;
  }
  if (RandomChance(mLostAnswerPercent)) {
    done = { aAction.mCall, store_status::Unknown, {}, 0 };
  }
  Schedule(Jittered(mStoreDelay), [=, this] { Deliver(aInstance, done); });
}

void
failover_model::NotifyInstances()
{
  for (std::size_t i = 0; i < mInstances.size(); ++i) {
    if (!mStoreNotificationsLost) {
      const term_observed seen{ mRecord, mVersion };
      Schedule(Jittered(milliseconds(10)), [=, this] { Deliver(i, seen); });
    }
  }
}

void
failover_model::Perform(std::size_t aInstance, const send_to_server& aAction)
{
  const std::string name = aAction.mServer.mName;
  const auto lost = [=, this] {
    return mUnreachable.count({ aInstance, name }) > 0 || !mServers[name].mUp ||
           RandomChance(mLossPercent);
  };
  auto answered = std::make_shared<bool>(false);
  // A duplicate of a request may arrive long after the answer to the first.
  const int copies = RandomChance(mLossPercent) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    Schedule(Jittered(copy == 0 ? mDelay : 100 * mDelay), [=, this] {
      if (lost()) {
        return;
      }
      const auto reply = Execute(name, aAction.mRequest);
      if (!reply || lost()) {
        return;
      }
      Schedule(Jittered(mDelay), [=, this] {
        if (!*answered) {
          *answered = true;
          Deliver(aInstance, server_call_done{ aAction.mCall, reply });
        }
      });
    });
  }
  Schedule(aAction.mTimeout, [=, this] {
    if (!*answered) {
      *answered = true;
      Deliver(aInstance, server_call_done{ aAction.mCall, {} });
    }
  });
}

std::optional<backend_reply>
failover_model::Execute(const std::string& aServer,
                        const backend_request& aRequest)
{
  model_server& server = mServers[aServer];
  if (const auto* fence = std::get_if<backend_fence>(&aRequest)) {
    return server.Fence(aServer, fence->mTerm);
  }
  if (const auto* promote = std::get_if<backend_promote>(&aRequest)) {
    const bool before =
      server.mRole == server_role::Primary && server.mTerm == promote->mTerm;
    if (!before) {
      const auto reply = server.Promote(aServer, promote->mTerm);
      if (reply.mError == backend_error::None) {
        CheckPromotion(aServer, promote->mTerm);
      }
      return reply;
    }
    return Success(server, aServer);
  }
  if (const auto* follow = std::get_if<backend_follow>(&aRequest)) {
    return server.Follow(aServer, *follow);
  }
  if (const auto* wait = std::get_if<backend_wait>(&aRequest)) {
    // The model answers at once with the current state; the caller repeats the
    // request.
    const bool holds = server.mTerm == wait->mTerm && server.mMatched &&
                       server.mLog.size() >= wait->mIndex;
    return holds ? Success(server, aServer) : Refusal(server, aServer);
  }
  return std::nullopt;
}

void
failover_model::CheckPromotion(const std::string& aServer, std::uint64_t aTerm)
{
  ++mPromotions;
  const auto [entry, fresh] = mPromoted.emplace(aTerm, aServer);
  if (entry->second != aServer) {
    mViolations.push_back("two primaries in term " + std::to_string(aTerm));
  }
  const auto& log = mServers[aServer].mLog;
  for (const auto& [index, written] : mAcknowledged) {
    // Entries have unique ids, so a different entry at the same position means
    // that the acknowledged one was lost.
    if (log.size() < index || !(log[index - 1] == written)) {
      mViolations.push_back("term " + std::to_string(aTerm) +
                            " lacks acknowledged entry " +
                            std::to_string(index));
      return;
    }
  }
}

} // namespace snipewalk
