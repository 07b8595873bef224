// Implementation of the store client over HTTP.
#include "snipewalk/store/store_http_client.h"

#include "snipewalk/base/log.h"
#include "store/store_http_codec.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Backoff of connections: doubled after each failure, of which a random half
// to whole is waited.
constexpr milliseconds kFirstBackoff{ 50 };
// Between looks at calls that wait for the cap, a connection or their end.
constexpr milliseconds kPumpInterval{ 20 };
// A watch may answer with every object of a kind.
constexpr http_limits kReplyLimits{ 16 * 1024, 64 * 1024 * 1024 };

bool
IsPut(const store_request& aRequest)
{
  return std::holds_alternative<store_put>(aRequest);
}

} // namespace

store_dialect
OwnStoreDialect()
{
  return { EncodeStoreRequest, DecodeStoreReply };
}

store_http_client::store_http_client(event_loop& aLoop,
                                     store_client_options aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mRandom(static_cast<std::minstd_rand::result_type>(mOptions.mSeed))
  , mSchedule(mOptions.mCallsPerSecond, mOptions.mSeed, aLoop.Now())
{
}

store_http_client::~store_http_client()
{
  mLoop.Cancel(mPumpTimer);
  for (auto& entry : mConnections) {
    mLoop.Cancel(entry.mTimer);
  }
}

store_call_id
store_http_client::Submit(store_request aRequest,
                          store_priority aPriority,
                          reply_handler aOnReply)
{
  const store_call_id id = mNextCall++;
  call next{ id, std::move(aRequest), aPriority, std::move(aOnReply), false };
  if (mWaiting.size() >= mOptions.mMaxWaiting || mOptions.mAddresses.empty()) {
    mLoop.Post([this, next, alive = std::weak_ptr<bool>(mAlive)]() mutable {
      if (!alive.expired()) {
        Reply(next, { store_status::Refused, {}, 0, {} }, mLoop.Now());
      }
    });
    return id;
  }
  Enqueue(std::move(next), false, mLoop.Now());
  if (!std::exchange(mPumpPosted, true)) {
    mLoop.Post([this, alive = std::weak_ptr<bool>(mAlive)] {
      if (!alive.expired()) {
        mPumpPosted = false;
        Pump(mLoop.Now());
      }
    });
  }
  return id;
}

void
store_http_client::Cancel(store_call_id aCall)
{
  mSchedule.Remove(aCall);
  mWaiting.erase(aCall);
  const auto sent = std::find_if(
    mConnections.begin(), mConnections.end(), [aCall](const auto& aEntry) {
      return aEntry.mCall && aEntry.mCall->mId == aCall;
    });
  if (sent == mConnections.end()) {
    return;
  }
  NoteCutOff(*sent, "cancelled");
  sent->mCall.reset();
  mLoop.Cancel(sent->mTimer);
  Release(sent);
}

bool
store_http_client::IsReplyArriving(store_call_id aCall, time_point aNow) const
{
  return std::any_of(
    mConnections.begin(), mConnections.end(), [&](const auto& aEntry) {
      return aEntry.mCall && aEntry.mCall->mId == aCall &&
             aNow < ArrivingUntil(aEntry);
    });
}

time_point
store_http_client::ArrivingUntil(const connection& aConnection) const
{
  return aConnection.mReplyBytes == 0
           ? time_point::min()
           : std::min(aConnection.mReplyAt + mOptions.mCallTimeout,
                      aConnection.mEndBy);
}

void
store_http_client::Enqueue(call aCall, bool aFirst, time_point aNow)
{
  mSchedule.Add(
    aCall.mId, aCall.mPriority, aFirst, aNow + mOptions.mCallTimeout, aNow);
  mWaiting.emplace(aCall.mId, std::move(aCall));
}

store_http_client::call
store_http_client::TakeWaiting(store_schedule::call_id aCall)
{
  call taken = std::move(mWaiting.at(aCall));
  mWaiting.erase(aCall);
  return taken;
}

void
store_http_client::ReplyExpired(time_point aNow)
{
  while (const auto expired = mSchedule.TakeExpired(aNow)) {
    call late = TakeWaiting(*expired);
    mCallsWithoutConnection += mLacksConnection ? 1 : 0;
    // A call that only the rate limits held says nothing about the store.
    store_status status = store_status::RateLimited;
    if (mFailingSince) {
      status = store_status::Refused;
      NoteFailure(aNow);
    }
    Reply(late, { status, {}, 0, {} }, aNow);
  }
}

void
store_http_client::Pump(time_point aNow)
{
  ReplyExpired(aNow);
  while (!mWaiting.empty()) {
    const auto free = FindConnection(aNow);
    NoteConnections(free == mConnections.end() &&
                    mConnections.size() >= mOptions.mMaxConnections);
    const auto next =
      free == mConnections.end() ? std::nullopt : mSchedule.TakeNext(aNow);
    if (!next) {
      SchedulePump(aNow + kPumpInterval);
      return;
    }
    Start(free, TakeWaiting(*next), aNow);
  }
}

void
store_http_client::NoteConnections(bool aLacksConnection)
{
  if (aLacksConnection && !mLacksConnection) {
    Log(log_level::Warning,
        "store",
        "all connections are held by calls under way",
        { { "connections", static_cast<std::int64_t>(mConnections.size()) },
          { "waiting", static_cast<std::int64_t>(mWaiting.size()) } });
  }
  mLacksConnection = aLacksConnection;
}

void
store_http_client::SchedulePump(time_point aWhen)
{
  mLoop.Cancel(mPumpTimer);
  mPumpTimer = mLoop.RunAt(aWhen, [this](time_point aNow) { Pump(aNow); });
}

store_http_client::connection_entry
store_http_client::FindConnection(time_point aNow)
{
  const auto idle =
    std::find_if(mConnections.begin(), mConnections.end(), [](const auto& aIt) {
      return !aIt.mClosed && !aIt.mCall;
    });
  if (idle != mConnections.end()) {
    return idle;
  }
  if (mConnections.size() >= mOptions.mMaxConnections || aNow < mConnectAfter) {
    return mConnections.end();
  }
  return OpenConnection();
}

store_http_client::connection_entry
store_http_client::OpenConnection()
{
  const auto entry = mConnections.emplace(mConnections.end());
  entry->mReader = http_reader(kReplyLimits);
  entry->mStream = stream_connection::Connect(
    mLoop,
    mOptions.mAddresses[mAddress % mOptions.mAddresses.size()],
    { [this, entry](time_point) { Transmit(entry); },
      [this, entry](std::string& aInput, time_point aNow) {
        OnInput(entry, aInput, aNow);
      },
      [this, entry](close_cause aCause, time_point aNow) {
        OnClosed(entry, aCause == close_cause::Refused, aNow);
      } });
  return entry;
}

void
store_http_client::Start(connection_entry aConnection,
                         call aCall,
                         time_point aNow)
{
  aConnection->mCall = std::move(aCall);
  aConnection->mSent = false;
  const time_point limit = aNow + TimeoutOf(*aConnection->mCall);
  aConnection->mEndBy = limit + mOptions.mLongestReply;
  SetTimeout(aConnection, limit);
  if (aConnection->mStream->IsConnected()) {
    Transmit(aConnection);
  }
}

void
store_http_client::SetTimeout(connection_entry aConnection, time_point aWhen)
{
  mLoop.Cancel(aConnection->mTimer);
  aConnection->mTimer =
    mLoop.RunAt(aWhen, [this, aConnection](time_point aNow) {
      OnTimeout(aConnection, aNow);
    });
}

duration
store_http_client::TimeoutOf(const call& aCall) const
{
  const auto* watch = std::get_if<store_watch>(&aCall.mRequest);
  return watch != nullptr ? watch->mWait + mOptions.mWatchMargin
                          : mOptions.mCallTimeout;
}

void
store_http_client::Transmit(connection_entry aConnection)
{
  if (!aConnection->mCall || aConnection->mSent) {
    return;
  }
  aConnection->mSent = true;
  aConnection->mStream->Send(WriteRequest(
    mOptions.mDialect.mEncode(aConnection->mCall->mRequest), "store"));
}

void
store_http_client::OnInput(connection_entry aConnection,
                           std::string& aInput,
                           time_point aNow)
{
  const auto response = aConnection->mReader.ReadResponse(aInput);
  if (response.ok() && !*response && aConnection->mCall) {
    aConnection->mReplyBytes = aInput.size();
    aConnection->mReplyAt = aNow;
    return;
  }
  aConnection->mReplyBytes = 0;
  if (!response.ok() || !aConnection->mCall) {
    // Malformed, or an answer without a call.
    aConnection->mStream->Close();
    OnClosed(aConnection, false, aNow);
    return;
  }
  Deliver(aConnection, **response, aNow);
}

void
store_http_client::Deliver(connection_entry aConnection,
                           const http_response& aResponse,
                           time_point aNow)
{
  call done = *std::exchange(aConnection->mCall, std::nullopt);
  mLoop.Cancel(aConnection->mTimer);
  aConnection->mUsed = true;
  if (!aResponse.mKeepAlive) {
    Release(aConnection);
  }
  const store_reply reply = mOptions.mDialect.mDecode(done.mRequest, aResponse);
  if (reply.mStatus == store_status::Unknown) {
    NoteFailure(aNow);
  } else {
    mFailingSince.reset();
    mBackoff = milliseconds(0);
  }
  if (reply.mStatus == store_status::RateLimited) {
    mSchedule.OnRateLimited(done.mPriority, aNow);
  }
  Reply(done, reply, aNow);
  Pump(aNow);
}

void
store_http_client::OnTimeout(connection_entry aConnection, time_point aNow)
{
  if (!aConnection->mCall) {
    return;
  }
  if (const auto until = ArrivingUntil(*aConnection); aNow < until) {
    SetTimeout(aConnection, until);
    return;
  }
  NoteCutOff(*aConnection, "timeout");
  // Established connections can become silent: never reuse this one.
  call failed = *std::exchange(aConnection->mCall, std::nullopt);
  const bool sent = aConnection->mSent;
  Release(aConnection);
  ++mAddress;
  Fail(std::move(failed), sent, aNow);
}

void
store_http_client::OnClosed(connection_entry aConnection,
                            bool aRefused,
                            time_point aNow)
{
  std::optional<call> failed = std::exchange(aConnection->mCall, std::nullopt);
  const bool sent = aConnection->mSent;
  const bool used = aConnection->mUsed;
  mLoop.Cancel(aConnection->mTimer);
  Release(aConnection);
  if (!failed) {
    return;
  }
  const bool repeat = used && !failed->mRepeated && !IsPut(failed->mRequest);
  if (repeat) {
    // The store may close an idle connection at any time.
    failed->mRepeated = true;
    Enqueue(*std::move(failed), true, aNow);
    Pump(aNow);
    return;
  }
  ++mAddress;
  Fail(*std::move(failed), sent && !aRefused, aNow);
}

void
store_http_client::Fail(call aCall, bool aSent, time_point aNow)
{
  NoteFailure(aNow);
  store_reply reply;
  reply.mStatus = aSent ? store_status::Unknown : store_status::Refused;
  Reply(aCall, reply, aNow);
  if (!mWaiting.empty()) {
    SchedulePump(aNow + kPumpInterval);
  }
}

void
store_http_client::Release(connection_entry aConnection)
{
  if (std::exchange(aConnection->mClosed, true)) {
    return;
  }
  aConnection->mStream->Close();
  // A handler of the stream may be running.
  mLoop.Post([this, aConnection, alive = std::weak_ptr<bool>(mAlive)] {
    if (!alive.expired()) {
      mConnections.erase(aConnection);
    }
  });
}

void
store_http_client::NoteFailure(time_point aNow)
{
  if (!mFailingSince) {
    mFailingSince = aNow;
    Log(log_level::Warning, "store", "store does not answer");
  }
  mBackoff = std::clamp(2 * mBackoff, kFirstBackoff, mOptions.mLongestBackoff);
  std::uniform_int_distribution<std::int64_t> wait(mBackoff.count() / 2,
                                                   mBackoff.count());
  mConnectAfter = aNow + milliseconds(wait(mRandom));
}

void
store_http_client::NoteCutOff(const connection& aConnection, const char* aCause)
{
  if (aConnection.mReplyBytes == 0) {
    return;
  }
  ++mRepliesCutOff;
  Log(log_level::Warning,
      "store",
      "a reply was given up while it arrived",
      { { "cause", aCause },
        { "bytes", static_cast<std::int64_t>(aConnection.mReplyBytes) } });
}

void
store_http_client::Reply(call& aCall,
                         const store_reply& aReply,
                         time_point aNow)
{
  // Moved out: the handler may submit the next call.
  const auto handler = std::move(aCall.mOnReply);
  if (handler) {
    handler(aReply, aNow);
  }
}

} // namespace snipewalk
