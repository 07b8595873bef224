// Implementation of a load run's thread.
#include "snipewalk/load/load_worker.h"

#include "load/load_worker_state.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace snipewalk {

namespace {

// The instance answers within the caller's time limit; a little more allows
// for the way there and back.
constexpr milliseconds kTimeoutSlack{ 1'000 };
// How far a paced caller may fall behind before requests are left out.
constexpr milliseconds kCatchUp{ 1'000 };
// Last reads and queries run this much faster than the load.
constexpr int kSettleSpeed = 4;
// Requests of a round of the patterns `drums` and `month_end`.
constexpr int kRoundRequests = 10;
constexpr milliseconds kStopCheckInterval{ 100 };
constexpr std::size_t kHistoryBufferBytes = 256 * 1024;

std::int64_t
Micros(time_point aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           aTime.time_since_epoch())
    .count();
}

time_point
ClockNow()
{
  return std::chrono::steady_clock::now();
}

} // namespace

load_worker_state::load_worker_state(const load_options& aOptions,
                                     history_file& aHistory)
  : mOptions(aOptions)
  , mHistory(aHistory)
  , mIdleLinks(aOptions.mInstances.size())
{
  for (std::size_t i = 0; i < mOptions.mSessions; ++i) {
    AddCaller(mOptions.mFirstSession + i);
  }
  if (mOptions.mRate > 0) {
    mInterval =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        static_cast<double>(mOptions.mSessions) / mOptions.mRate));
  }
}

void
load_worker_state::AddCaller(std::size_t aNumber)
{
  caller added;
  added.mTarget.mService =
    mOptions.mServices[aNumber % mOptions.mServices.size()];
  added.mTarget.mAccount =
    mOptions.mAccounts[aNumber % mOptions.mAccounts.size()];
  added.mSession =
    std::make_unique<load_session>(absl::StrCat("s", aNumber),
                                   mOptions.mProfile,
                                   mPools[added.mTarget.mService],
                                   mOptions.mSeed + aNumber);
  added.mInstance = aNumber % mOptions.mInstances.size();
  mCallers.push_back(std::move(added));
}

void
load_worker_state::Run()
{
  const time_point start = ClockNow();
  mStartedAt = Micros(start);
  mStoppedAt = std::numeric_limits<std::int64_t>::max();
  OpenIdleConnections();
  for (std::size_t i = 0; i < mCallers.size(); ++i) {
    // Spread over a round, so that the callers' writes do not come together
    // and hide how long writes stood still.
    mCallers[i].mDue = start + mInterval * kRoundRequests *
                                 static_cast<std::int64_t>(i) /
                                 static_cast<std::int64_t>(mCallers.size());
    Schedule(i, start);
  }
  mLoop.RunAt(start + mOptions.mDuration,
              [this](time_point) { FinishCallers(); });
  WatchStopRequest(start);
  mLoop.Run();
  FlushHistory();
}

void
load_worker_state::WatchStopRequest(time_point aNow)
{
  if (mStopRequested.load()) {
    FinishCallers();
  } else if (!mFinishing) {
    mLoop.RunAt(aNow + kStopCheckInterval,
                [this](time_point aThen) { WatchStopRequest(aThen); });
  }
}

void
load_worker_state::FinishCallers()
{
  if (mFinishing) {
    return;
  }
  mFinishing = true;
  const time_point now = ClockNow();
  mStoppedAt = Micros(now);
  mLoop.RunAt(now + mOptions.mSettle, [this](time_point) { mLoop.Stop(); });
  mInterval /= kSettleSpeed;
  for (caller& finishing : mCallers) {
    finishing.mSession->Finish();
  }
}

void
load_worker_state::Schedule(std::size_t aCaller, time_point aNow)
{
  caller& next = mCallers[aCaller];
  const time_point when =
    std::max({ aNow, next.mDue, next.mSession->NotBefore() });
  next.mDue = std::max(next.mDue + mInterval, aNow - kCatchUp);
  mLoop.RunAt(when,
              [this, aCaller](time_point aWhen) { Send(aCaller, aWhen); });
}

void
load_worker_state::Send(std::size_t aCaller, time_point)
{
  caller& sender = mCallers[aCaller];
  auto request = sender.mSession->Next();
  if (!request) {
    sender.mFinished = true;
    if (++mFinishedCallers == mCallers.size()) {
      mLoop.Stop();
    }
    return;
  }
  if (++mSent == mOptions.mRequests) {
    FinishCallers();
  }
  sender.mInstance = (sender.mInstance + 1) % mOptions.mInstances.size();
  exchange begun;
  begun.mCaller = aCaller;
  begun.mRequest = *std::move(request);
  begun.mRequestId =
    absl::StrCat(sender.mSession->Name(), "-", ++sender.mRequests);
  const http_request http = EncodeLoadRequest(
    begun.mRequest, sender.mTarget, begun.mRequestId, mOptions.mTimeout);
  const link_number number = TakeLink(sender.mInstance);
  begun.mStart = ClockNow();
  begun.mTimer = mLoop.RunAt(begun.mStart + mOptions.mTimeout + kTimeoutSlack,
                             [this, number](time_point) { OnTimeout(number); });
  link& used = mLinks.at(number);
  used.mExchange = std::move(begun);
  used.mStream->Send(WriteRequest(http, mOptions.mInstances[sender.mInstance]));
}

void
load_worker_state::Complete(const exchange& aExchange,
                            std::size_t aInstance,
                            const load_answer& aAnswer)
{
  const time_point end = ClockNow();
  mLoop.Cancel(aExchange.mTimer);
  Record(aExchange, aInstance, aAnswer, end);
  mCallers[aExchange.mCaller].mSession->Answered(aAnswer, end);
  Schedule(aExchange.mCaller, end);
}

void
load_worker_state::Record(const exchange& aExchange,
                          std::size_t aInstance,
                          const load_answer& aAnswer,
                          time_point aEnd)
{
  const caller& sender = mCallers[aExchange.mCaller];
  const load_request& request = aExchange.mRequest;
  history_record record;
  record.mStart = Micros(aExchange.mStart);
  record.mEnd = Micros(aEnd);
  record.mSession = sender.mSession->Name();
  record.mAccount = sender.mTarget.mAccount;
  record.mService = sender.mTarget.mService;
  record.mKind = request.mKind;
  record.mKey = request.mKey;
  record.mToken = request.mToken;
  record.mValue = aAnswer.mBody;
  record.mOutcome = aAnswer.mOutcome;
  record.mReason = aAnswer.mReason;
  record.mServer = aAnswer.mServer;
  record.mInstance = mOptions.mInstances[aInstance];
  record.mIdempotencyKey = request.mIdempotencyKey;
  if (request.mMaxAge) {
    record.mMaxAgeMs = request.mMaxAge->count();
  }
  record.mDataAgeMs = aAnswer.mDataAgeMs;
  record.mTransaction = request.mTransactionNumber;
  record.mIdMatched = aAnswer.mIdMatched;
  if (record.mStart < mStoppedAt) {
    mStatistics.Add(record);
  }
  if (mHistory.IsKept()) {
    absl::StrAppend(&mLines, WriteHistoryLine(record), "\n");
    if (mLines.size() > kHistoryBufferBytes) {
      FlushHistory();
    }
  }
}

void
load_worker_state::FlushHistory()
{
  if (mHistory.IsKept()) {
    mHistory.Append(mLines);
    mLines.clear();
  }
}

load_worker::load_worker(const load_options& aOptions, history_file& aHistory)
  : mState(std::make_unique<load_worker_state>(aOptions, aHistory))
{
}

load_worker::~load_worker() = default;

void
load_worker::Run()
{
  mState->Run();
}

void
load_worker::RequestStop()
{
  mState->mStopRequested.store(true);
}

const load_statistics&
load_worker::Statistics() const
{
  return mState->mStatistics;
}

std::int64_t
load_worker::StartedAt() const
{
  return mState->mStartedAt;
}

std::int64_t
load_worker::StoppedAt() const
{
  return mState->mStoppedAt;
}

} // namespace snipewalk
