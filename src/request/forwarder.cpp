// Implementation of the choice of holders and of the settlement of requests.
#include "snipewalk/request/forwarder.h"

#include "forwarder_requests.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// A holder answers by the deadline; its answer needs a little longer.
constexpr milliseconds kAnswerGrace{ 250 };
// How long a request waits for a holder to appear, and how often it looks.
constexpr milliseconds kHolderWait{ 1'000 };
constexpr milliseconds kHolderRecheck{ 50 };
// Reconnects: jittered exponential backoff.
constexpr milliseconds kFirstBackoff{ 50 };
constexpr milliseconds kLongestBackoff{ 2'000 };
constexpr int kBackoffDoublings = 6;
constexpr milliseconds kRetryAfter{ 200 };

statement_response
Refuse(statement_outcome aOutcome, refusal_reason aReason, std::string aMessage)
{
  statement_response response;
  response.mOutcome = aOutcome;
  response.mReason = aReason;
  response.mMessage = std::move(aMessage);
  if (aReason == refusal_reason::NoHolder) {
    response.mRetryAfter = kRetryAfter;
  }
  return response;
}

// Whether a second attempt is safe although the first may have run: reads have
// no effect, and servers execute a write with a known key only once.
bool
IsRepeatable(const forwarded_request& aRequest)
{
  const auto* statement = StatementOf(aRequest);
  if (!statement) {
    return true;
  }
  if (!statement->mTransaction.empty()) {
    return false;
  }
  return statement->mKind == statement_kind::Read ||
         (statement->mKind == statement_kind::Write &&
          !statement->mIdempotencyKey.empty());
}

std::string&
MutableIdOf(forwarded_request& aRequest)
{
  return std::visit(
    [](auto& aTyped) -> std::string& { return aTyped.mRequestId; }, aRequest);
}

std::string_view
MessageOf(refusal_reason aReason)
{
  switch (aReason) {
    case refusal_reason::UnknownService:
      return "no document describes this service";
    case refusal_reason::UnknownTransaction:
      return "the transaction id is not valid";
    case refusal_reason::TransactionLost:
      return "the instance that held the transaction is gone";
    default:
      return "no instance that holds a slot of the service is reachable";
  }
}

} // namespace

const std::string&
RequestIdOf(const forwarded_request& aRequest)
{
  return std::visit(
    [](const auto& aTyped) -> const std::string& { return aTyped.mRequestId; },
    aRequest);
}

const std::string&
ServiceOf(const forwarded_request& aRequest)
{
  return std::visit(
    [](const auto& aTyped) -> const std::string& { return aTyped.mService; },
    aRequest);
}

time_point
DeadlineOf(const forwarded_request& aRequest)
{
  return std::visit([](const auto& aTyped) { return aTyped.mDeadline; },
                    aRequest);
}

forwarder::forwarder(forwarder_options aOptions)
  : mOptions(std::move(aOptions))
  , mBudget(mOptions.mSeed)
  , mRandom(mOptions.mSeed)
{
}

void
forwarder::SetSnapshot(std::shared_ptr<const routing_snapshot> aSnapshot,
                       time_point aNow,
                       std::vector<forwarder_action>& aActions)
{
  mSnapshot = std::move(aSnapshot);
  ResumeWaiting(time_point::max(), aNow, aActions);
}

void
forwarder::Submit(forwarded_request aRequest,
                  time_point aNow,
                  std::vector<forwarder_action>& aActions)
{
  mBudget.CountRequest();
  pending entry;
  entry.mOriginalId = RequestIdOf(aRequest);
  entry.mRequest = std::move(aRequest);
  entry.mGiveUpAt = std::min(aNow + kHolderWait, DeadlineOf(entry.mRequest));
  Dispatch(std::move(entry), aNow, aActions);
}

void
forwarder::Dispatch(pending aPending,
                    time_point aNow,
                    std::vector<forwarder_action>& aActions)
{
  if (aNow >= DeadlineOf(aPending.mRequest)) {
    Finish(aPending,
           Refuse(statement_outcome::NotRun,
                  refusal_reason::DeadlineExceeded,
                  "the deadline passed before a holder was found"),
           aActions);
    return;
  }
  if (aPending.mTries >= mOptions.mMaxTries) {
    Finish(aPending,
           aPending.mRefusal.value_or(
             Refuse(statement_outcome::NotRun,
                    refusal_reason::ConnectionLost,
                    "the links to all holders tried have failed")),
           aActions);
    return;
  }
  const choice chosen = Choose(aPending, aNow);
  if (chosen.mHolder.empty()) {
    WaitOrFinish(std::move(aPending), chosen, aNow, aActions);
    return;
  }
  if (aPending.mIsRetry) {
    if (!mBudget.TryRetry(aNow)) {
      if (mWaiting.size() < mOptions.mWaitLimit) {
        const time_point until = DeadlineOf(aPending.mRequest);
        Wait(std::move(aPending), until, aNow);
      } else {
        Finish(aPending, *aPending.mRefusal, aActions);
      }
      return;
    }
    aPending.mIsRetry = false;
  }
  Attempt(std::move(aPending), chosen.mHolder, aNow, aActions);
}

void
forwarder::Wait(pending aPending, time_point aUntil, time_point aNow)
{
  const time_point due = std::min(aNow + kHolderRecheck, aUntil);
  mWaiting.emplace(due, std::move(aPending));
}

void
forwarder::Attempt(pending aPending,
                   const std::string& aHolder,
                   time_point aNow,
                   std::vector<forwarder_action>& aActions)
{
  ++aPending.mTries;
  aPending.mHolder = aHolder;
  const std::string attempt =
    aPending.mTries == 1
      ? aPending.mOriginalId
      : absl::StrCat(aPending.mOriginalId, ".", aPending.mTries);
  MutableIdOf(aPending.mRequest) = attempt;
  const bool here = aHolder == mOptions.mInstance;
  // The own engine answers every request. A copy of the request is kept only
  // where a further attempt may need it.
  if (here) {
    aActions.emplace_back(serve_here{ aPending.mRequest });
  } else {
    ++mPeers[aHolder].mOutstanding;
    aPending.mOverdue = mOverdue.emplace(
      std::max(aNow, DeadlineOf(aPending.mRequest)) + kAnswerGrace, attempt);
    aActions.emplace_back(
      send_to_peer{ aHolder,
                    mSnapshot->mMembers.at(aHolder).mPeerAddress,
                    aPending.mRequest });
  }
  mPending.insert_or_assign(attempt, std::move(aPending));
}

void
forwarder::WaitOrFinish(pending aPending,
                        const choice& aChoice,
                        time_point aNow,
                        std::vector<forwarder_action>& aActions)
{
  if (aChoice.mMayWait && aNow < aPending.mGiveUpAt &&
      mWaiting.size() < mOptions.mWaitLimit) {
    // Holders that refused a moment ago may serve again by then.
    aPending.mTried.clear();
    const time_point until = aPending.mGiveUpAt;
    Wait(std::move(aPending), until, aNow);
    return;
  }
  auto refusal =
    aPending.mRefusal.value_or(Refuse(statement_outcome::NotRun,
                                      aChoice.mReason,
                                      std::string(MessageOf(aChoice.mReason))));
  Finish(aPending, std::move(refusal), aActions);
}

void
forwarder::Finish(const pending& aPending,
                  statement_response aResponse,
                  std::vector<forwarder_action>& aActions)
{
  if (aPending.mMayHaveRun && aResponse.mOutcome == statement_outcome::NotRun) {
    // The refusal is true for the last attempt only.
    aResponse.mOutcome = statement_outcome::Unknown;
    aResponse.mReason = refusal_reason::ConnectionLost;
    aResponse.mMessage = "an earlier attempt at another instance got no "
                         "answer and may have run";
  }
  aResponse.mRequestId = aPending.mOriginalId;
  if (aResponse.mIdempotencyKey.empty()) {
    aResponse.mIdempotencyKey =
      std::visit([](const auto& aTyped) { return aTyped.mIdempotencyKey; },
                 aPending.mRequest);
  }
  aActions.emplace_back(finish_request{ std::move(aResponse) });
}

std::optional<forwarder::pending>
forwarder::Take(const std::string& aAttemptId)
{
  auto found = mPending.extract(aAttemptId);
  if (found.empty()) {
    return std::nullopt;
  }
  pending entry = std::move(found.mapped());
  if (entry.mOverdue) {
    mOverdue.erase(*entry.mOverdue);
    entry.mOverdue.reset();
    --mPeers[entry.mHolder].mOutstanding;
  }
  return entry;
}

void
forwarder::OnResponse(statement_response aResponse,
                      time_point aNow,
                      std::vector<forwarder_action>& aActions)
{
  auto entry = Take(aResponse.mRequestId);
  if (!entry) {
    return;
  }
  // These refusals hold for one holder only.
  const bool elsewhere = aResponse.mOutcome == statement_outcome::NotRun &&
                         (aResponse.mReason == refusal_reason::NoHolder ||
                          aResponse.mReason == refusal_reason::ShuttingDown);
  if (elsewhere && !IsInTransaction(entry->mRequest)) {
    entry->mTried.push_back(entry->mHolder);
    entry->mRefusal = std::move(aResponse);
    Dispatch(*std::move(entry), aNow, aActions);
    return;
  }
  // The holder lost its route after it sent the request: another one settles
  // it by its key. There is time until the deadline, as the outcome is open.
  const bool unsettled = aResponse.mOutcome == statement_outcome::Unknown &&
                         aResponse.mReason == refusal_reason::ConnectionLost;
  if (unsettled && IsRepeatable(entry->mRequest)) {
    entry->mTried.push_back(entry->mHolder);
    entry->mMayHaveRun = entry->mIsRetry = true;
    entry->mGiveUpAt = DeadlineOf(entry->mRequest);
    entry->mRefusal = std::move(aResponse);
    Dispatch(*std::move(entry), aNow, aActions);
    return;
  }
  Finish(*entry, std::move(aResponse), aActions);
}

void
forwarder::OnPeerReady(const std::string& aPeer)
{
  auto& record = mPeers[aPeer];
  record.mFailures = 0;
  record.mAvoidUntil = time_point();
}

void
forwarder::OnPeerClosed(const std::string& aPeer,
                        bool aWasReady,
                        time_point aNow,
                        std::vector<forwarder_action>& aActions)
{
  auto& record = mPeers[aPeer];
  record.mFailures = std::min(record.mFailures + 1, kBackoffDoublings);
  const auto longest =
    std::min(kLongestBackoff, kFirstBackoff * (1 << (record.mFailures - 1)));
  std::uniform_int_distribution<std::int64_t> jitter(longest.count() / 2,
                                                     longest.count());
  record.mAvoidUntil = aNow + milliseconds(jitter(mRandom));
  std::vector<std::string> lost;
  for (const auto& [id, entry] : mPending) {
    if (entry.mHolder == aPeer) {
      lost.push_back(id);
    }
  }
  std::sort(lost.begin(), lost.end());
  for (const auto& id : lost) {
    SettleLost(*Take(id), aWasReady, aNow, aActions);
  }
}

void
forwarder::SettleLost(pending aPending,
                      bool aSent,
                      time_point aNow,
                      std::vector<forwarder_action>& aActions)
{
  aPending.mTried.push_back(aPending.mHolder);
  aPending.mMayHaveRun = aPending.mMayHaveRun || aSent;
  const bool retry = aSent ? IsRepeatable(aPending.mRequest)
                           : !IsInTransaction(aPending.mRequest);
  if (retry) {
    Dispatch(std::move(aPending), aNow, aActions);
    return;
  }
  Finish(aPending,
         Refuse(aSent ? statement_outcome::Unknown : statement_outcome::NotRun,
                refusal_reason::ConnectionLost,
                "the link to the instance that serves the request failed"),
         aActions);
}

void
forwarder::ResumeWaiting(time_point aDue,
                         time_point aNow,
                         std::vector<forwarder_action>& aActions)
{
  // Requests may return to mWaiting while these are tried.
  std::vector<pending> due;
  while (!mWaiting.empty() && mWaiting.begin()->first <= aDue) {
    due.push_back(std::move(mWaiting.extract(mWaiting.begin()).mapped()));
  }
  for (auto& entry : due) {
    Dispatch(std::move(entry), aNow, aActions);
  }
}

void
forwarder::OnTimer(time_point aNow, std::vector<forwarder_action>& aActions)
{
  ResumeWaiting(aNow, aNow, aActions);
  while (!mOverdue.empty() && mOverdue.begin()->first <= aNow) {
    const std::string id = mOverdue.begin()->second;
    const auto entry = Take(id);
    Finish(*entry,
           Refuse(statement_outcome::Unknown,
                  refusal_reason::DeadlineExceeded,
                  "the instance that serves the request did not answer"),
           aActions);
  }
}

std::optional<time_point>
forwarder::NextTimer() const
{
  std::optional<time_point> next;
  if (!mWaiting.empty()) {
    next = mWaiting.begin()->first;
  }
  if (!mOverdue.empty() && (!next || mOverdue.begin()->first < *next)) {
    next = mOverdue.begin()->first;
  }
  return next;
}

std::size_t
forwarder::PendingAtPeers() const
{
  return mOverdue.size();
}

} // namespace snipewalk
