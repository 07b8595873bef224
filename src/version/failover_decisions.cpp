// Decisions of the failover state machine: when to start a new term, which
// server to promote, and which servers have to follow the primary.
#include "snipewalk/version/failover.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// A promotion request without an answer is given up after this time.
constexpr milliseconds kPromoteTimeout{ 400 };
// A planned change stops waiting for the planned voters to receive the old
// primary's last entries after this time, because a planned change should
// interrupt writes for at most 200 ms.
constexpr milliseconds kCatchUpTimeout{ 100 };
// Time that a server may wait for entries before it answers a backend_wait
// request. It is below kCatchUpTimeout, so that the answer arrives before the
// request times out.
constexpr milliseconds kCatchUpWait{ 80 };
// Time that the remaining servers have to answer their fence requests after a
// majority of the voters was fenced.
constexpr milliseconds kFenceSettleTime{ 50 };
// Time that the remaining servers have to answer their fence requests while no
// term is known to have had a primary. It is longer than kFenceSettleTime,
// because a first start is not urgent and a server outside the majority may
// have the longest log.
constexpr milliseconds kFirstStartFenceSettleTime{ 300 };
// A slot holder that is not the coordinator of the term also sends promotion
// requests after this time.
constexpr milliseconds kPromotionTakeoverDelay{ 300 };
// Age of the record from which status answers are checked against it: a primary
// that reports another role is replaced, and servers that do not follow the
// primary are told to.
constexpr milliseconds kRoleCheckDelay{ 500 };

// A request for a planned change that could not start within this time expires;
// the requester has to repeat it.
constexpr milliseconds kMaxPlanAge{ 1'000 };

} // namespace

void
failover::Advance(time_point aNow, actions& aOut)
{
  if (!mSlot || mDocument.mServers.empty()) {
    return;
  }
  if (!mSynced && !mStoreCall && aNow >= mStoreRetryAt) {
    Read(aOut);
  }
  if (!mRecord) {
    AdvanceFirstStart(aNow, aOut);
    return;
  }
  AdvanceBehindServers(aNow, aOut);
  if (mRecord->mPhase == term_phase::Electing) {
    AdvanceElection(aNow, aOut);
  } else if (!mPrimaryConfirmed) {
    AdvancePromotion(aNow, aOut);
  } else {
    AdvanceStable(aNow, aOut);
  }
}

void
failover::AdvanceFirstStart(time_point aNow, actions& aOut)
{
  if (StoreIsFree(aNow) && RecordAge(aNow) >= SlotDelay() &&
      HasReachableMajority(aNow)) {
    StartElection(mHighestServerTerm + 1, "first start", aOut);
  }
}

bool
failover::IsBehindServers() const
{
  return mRecord && mHighestServerTerm > mRecord->mTerm;
}

// Servers receive a term only after the store recorded it. If a server reports
// a higher term than the record, either the object cache has not received the
// newer record yet, or that record was deleted from the store.
void
failover::AdvanceBehindServers(time_point aNow, actions& aOut)
{
  if (!IsBehindServers() || !StoreIsFree(aNow)) {
    return;
  }
  if (mReadBackVersion != mVersion) {
    Read(aOut);
  } else if (RecordAge(aNow) >= SlotDelay() && HasReachableMajority(aNow)) {
    StartElection(mHighestServerTerm + 1, "a server is in a later term", aOut);
  }
}

void
failover::AdvanceElection(time_point aNow, actions& aOut)
{
  if (!IsCoordinator() || !mElection) {
    if (RecordAge(aNow) >= StallTimeout() + SlotDelay()) {
      Supersede("the election made no progress", aNow, aOut);
    }
    return;
  }
  AdvancePlannedHandover(aNow, aOut);
  SendFences(aNow, aOut);
  if (!mElection->mMajorityFencedAt && mElection->mMayFenceAll &&
      HasMajority(mRecord->mVoters, mElection->mFenced)) {
    mElection->mMajorityFencedAt = aNow;
  }
  if (StoreIsFree(aNow) && MayChooseCandidate(aNow)) {
    ChooseCandidate(aNow, aOut);
  }
}

// During a planned change, the planned voters replicate the last entries of the
// fenced old primary. They are fenced once enough of them hold these entries or
// kCatchUpTimeout has passed.
void
failover::AdvancePlannedHandover(time_point aNow, actions& aOut)
{
  election& current = *mElection;
  if (current.mMayFenceAll) {
    return;
  }
  const auto old = current.mFenced.find(mOldPrimary);
  if (old != current.mFenced.end()) {
    for (const auto& voter : current.mPlan->mVoters) {
      if (voter != mOldPrimary && current.mCaughtUp.count(voter) == 0) {
        Send(voter,
             purpose::CatchUp,
             backend_wait{
               current.mPreviousTerm, old->second.mReceived, kCatchUpWait },
             kCatchUpTimeout,
             aNow,
             aOut);
      }
    }
  }
  current.mMayFenceAll = IsCaughtUp() || RecordAge(aNow) >= kCatchUpTimeout;
}

bool
failover::IsCaughtUp() const
{
  const election& current = *mElection;
  if (current.mFenced.count(mOldPrimary) == 0) {
    return false;
  }
  const auto hasLastEntries = [&](const std::string& aServer) {
    return aServer == mOldPrimary || current.mCaughtUp.count(aServer) > 0;
  };
  const auto& voters = current.mPlan->mVoters;
  const auto holding =
    std::count_if(voters.begin(), voters.end(), hasLastEntries);
  return hasLastEntries(current.mPlan->mCandidate) &&
         2 * static_cast<std::size_t>(holding) > voters.size();
}

bool
failover::MayChooseCandidate(time_point aNow) const
{
  const election& current = *mElection;
  if (!current.mMajorityFencedAt) {
    return false;
  }
  const auto servers = KnownServers();
  const bool allTried =
    std::all_of(servers.begin(), servers.end(), [&](const auto& aServer) {
      return current.mFenceAttempted.count(aServer) > 0;
    });
  const milliseconds settleTime =
    mLastStableTerm == 0 ? kFirstStartFenceSettleTime : kFenceSettleTime;
  return allTried || aNow - *current.mMajorityFencedAt >= settleTime;
}

selection_input
failover::SelectionInput() const
{
  selection_input input;
  input.mDocument = &mDocument;
  input.mVoters = mRecord->mVoters;
  input.mOldPrimary = mOldPrimary;
  input.mPlan = mElection->mPlan;
  input.mFirstStart = mLastStableTerm == 0 && mOldPrimary.empty();
  return input;
}

void
failover::ChooseCandidate(time_point aNow, actions& aOut)
{
  const auto chosen = SelectCandidate(SelectionInput(), mElection->mFenced);
  if (!chosen || !StoreIsFree(aNow)) {
    return;
  }
  term_record record = *mRecord;
  record.mPhase = term_phase::Promoting;
  record.mPrimary = chosen->mPrimary;
  record.mVoters = chosen->mVoters;
  Write(std::move(record), "candidate chosen", aOut);
}

// Promotion requests may be repeated safely because the record names exactly
// one candidate for the term. Any slot holder may therefore complete the
// promotion, and the store is not needed for it.
void
failover::AdvancePromotion(time_point aNow, actions& aOut)
{
  const bool mayTakeOver =
    RecordAge(aNow) >= kPromotionTakeoverDelay + SlotDelay();
  if (IsCoordinator() || mayTakeOver) {
    backend_promote request{ mRecord->mTerm, {} };
    for (const auto& server : KnownServers()) {
      if (!EndpointOf(server).mAddress.empty()) {
        request.mMembers.push_back(EndpointOf(server));
      }
    }
    Send(mRecord->mPrimary,
         purpose::Promote,
         std::move(request),
         kPromoteTimeout,
         aNow,
         aOut);
  }
  if (RecordAge(aNow) >= StallTimeout() + SlotDelay()) {
    Supersede("the candidate did not become primary", aNow, aOut);
  }
}

void
failover::OnPromoted(const backend_reply& aReply,
                     time_point aNow,
                     actions& aOut)
{
  if (aReply.mTerm != mRecord->mTerm ||
      mRecord->mPhase == term_phase::Electing) {
    return;
  }
  ConfirmPrimary(aOut);
  for (const auto& server : KnownServers()) {
    SendFollow(server, aNow, aOut);
  }
}

void
failover::ConfirmPrimary(actions& aOut)
{
  if (mPrimaryConfirmed) {
    return;
  }
  mPrimaryConfirmed = true;
  mLastStableTerm = mRecord->mTerm;
  aOut.emplace_back(term_changed{});
}

void
failover::AdvanceStable(time_point aNow, actions& aOut)
{
  AdvanceFollowers(aNow, aOut);
  if (!StoreIsFree(aNow)) {
    return;
  }
  const std::string reason = ReplacementReason(aNow);
  if (!reason.empty()) {
    Supersede(reason, aNow, aOut);
  } else if (mRecord->mPhase == term_phase::Promoting) {
    if (IsCoordinator() || RecordAge(aNow) >= kStallTimeout + SlotDelay()) {
      term_record record = *mRecord;
      record.mPhase = term_phase::Stable;
      Write(std::move(record), "primary serves", aOut);
    }
  } else if (mPlan && aNow - mPlannedAt <= kMaxPlanAge &&
             HasReachableMajority(aNow)) {
    StartElection(mRecord->mTerm + 1, mPlan->mChange.mReason, aOut);
  }
}

std::string
failover::ReplacementReason(time_point aNow) const
{
  if (mFailedSince && aNow - *mFailedSince >= SlotDelay()) {
    return "the primary failed";
  }
  if (PrimaryLostItsRole(aNow)) {
    return "the primary lost its role";
  }
  if (mDocument.Find(mRecord->mPrimary) == nullptr &&
      RecordAge(aNow) >= SlotDelay()) {
    return "the primary was removed from the document";
  }
  return {};
}

bool
failover::PrimaryLostItsRole(time_point aNow) const
{
  const auto seen = mObserved.find(mRecord->mPrimary);
  if (seen == mObserved.end() || seen->second.mSentAt <= mRecordSince ||
      RecordAge(aNow) < kRoleCheckDelay + SlotDelay()) {
    return false;
  }
  const server_status& status = seen->second.mStatus;
  return status.mTerm < mRecord->mTerm ||
         (status.mTerm == mRecord->mTerm &&
          status.mRole != server_role::Primary);
}

// The instance whose promotion request was answered asks all other servers to
// follow the primary. This function repeats the request for servers that missed
// it, such as an old primary that was down.
void
failover::AdvanceFollowers(time_point aNow, actions& aOut)
{
  if (RecordAge(aNow) < kRoleCheckDelay + SlotDelay()) {
    return;
  }
  for (const auto& server : KnownServers()) {
    const auto seen = mObserved.find(server);
    if (seen == mObserved.end() || seen->second.mSentAt <= mRecordSince) {
      continue;
    }
    const server_status& status = seen->second.mStatus;
    if (status.mTerm < mRecord->mTerm ||
        (status.mTerm == mRecord->mTerm &&
         status.mRole != server_role::Replica)) {
      SendFollow(server, aNow, aOut);
    }
  }
}

void
failover::Supersede(std::string aReason, time_point aNow, actions& aOut)
{
  if (StoreIsFree(aNow) && HasReachableMajority(aNow)) {
    const std::uint64_t term = std::max(mRecord->mTerm, mHighestServerTerm) + 1;
    StartElection(term, std::move(aReason), aOut);
  }
}

} // namespace snipewalk
