// Store client over the store's HTTP API (docs/protocols.md).
#ifndef SNIPEWALK_STORE_STORE_HTTP_CLIENT_H_
#define SNIPEWALK_STORE_STORE_HTTP_CLIENT_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/http_codec.h"
#include "snipewalk/connection/stream_connection.h"
#include "snipewalk/messages/store_client.h"
#include "snipewalk/store/store_schedule.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace snipewalk {

// Form of the store's calls.
struct store_dialect
{
  std::function<http_request(const store_request&)> mEncode;
  std::function<store_reply(const store_request&, const http_response&)>
    mDecode;
};

// The form that docs/protocols.md states.
store_dialect
OwnStoreDialect();

struct store_client_options
{
  // "IP:port", at least one; the next is tried when one fails.
  std::vector<std::string> mAddresses;
  // Time limit of a call, but for watches. A reply whose last part arrived
  // within this time is waited for beyond the limit.
  milliseconds mCallTimeout{ 2'000 };
  // Bounds how long a reply that is arriving is waited for beyond the limit.
  milliseconds mLongestReply{ 10'000 };
  // Added to a watch's own waiting time.
  milliseconds mWatchMargin{ 2'000 };
  // Cap on this instance's calls; the store's limit is shared by the fleet.
  int mCallsPerSecond = 50;
  // Calls that wait for the cap or a connection; more are refused.
  std::size_t mMaxWaiting = 1'000;
  std::size_t mMaxConnections = 16;
  // Longest pause between connection attempts after failures.
  milliseconds mLongestBackoff{ 2'000 };
  std::uint64_t mSeed = 1;
  store_dialect mDialect = OwnStoreDialect();
};

class store_http_client : public store_client
{
public:
  store_http_client(event_loop& aLoop, store_client_options aOptions);
  ~store_http_client() override;
  store_http_client(const store_http_client&) = delete;
  store_http_client& operator=(const store_http_client&) = delete;

  store_call_id Submit(store_request aRequest,
                       store_priority aPriority,
                       reply_handler aOnReply) override;
  // Closes the connection of a call that was sent: the store would answer there
  // first.
  void Cancel(store_call_id aCall) override;
  bool IsReplyArriving(store_call_id aCall, time_point aNow) const override;

  // Since when no call was answered although calls were made; nothing while
  // the store answers.
  std::optional<time_point> UnreachableSince() const { return mFailingSince; }
  // Connections to the store, idle or with a call.
  std::size_t ConnectionCount() const { return mConnections.size(); }
  // Calls since the start that were given up because other calls held all
  // connections.
  std::uint64_t CallsWithoutConnection() const
  {
    return mCallsWithoutConnection;
  }
  // Replies since the start that were given up after a part of them had
  // arrived, by a time limit or because the call was cancelled.
  std::uint64_t RepliesCutOff() const { return mRepliesCutOff; }

private:
  struct call
  {
    store_call_id mId = 0;
    store_request mRequest;
    store_priority mPriority = store_priority::Background;
    reply_handler mOnReply;
    // A read is repeated once when its connection breaks.
    bool mRepeated = false;
  };

  struct connection
  {
    std::unique_ptr<stream_connection> mStream;
    http_reader mReader;
    std::optional<call> mCall;
    // Set once bytes of the present call may have been sent.
    bool mSent = false;
    // Bytes of the present reply that have arrived, and when the last of them
    // did.
    std::size_t mReplyBytes = 0;
    time_point mReplyAt;
    // The call ends by then, also if its reply is still arriving.
    time_point mEndBy;
    // The connection carried an answer before.
    bool mUsed = false;
    event_loop::timer_id mTimer = 0;
    bool mClosed = false;
  };

  using connection_entry = std::list<connection>::iterator;

  void Pump(time_point aNow);
  void SchedulePump(time_point aWhen);
  // Adds a call to the schedule.
  void Enqueue(call aCall, bool aFirst, time_point aNow);
  call TakeWaiting(store_schedule::call_id aCall);
  void ReplyExpired(time_point aNow);
  // Notes whether the calls that wait lack a connection, and logs when that
  // begins.
  void NoteConnections(bool aLacksConnection);
  // An idle open connection, a new one, or the end when there can be none now.
  connection_entry FindConnection(time_point aNow);
  connection_entry OpenConnection();
  void Start(connection_entry aConnection, call aCall, time_point aNow);
  void Transmit(connection_entry aConnection);
  void SetTimeout(connection_entry aConnection, time_point aWhen);
  // Until when the reply counts as arriving; the past before its first part.
  time_point ArrivingUntil(const connection& aConnection) const;
  void OnInput(connection_entry aConnection,
               std::string& aInput,
               time_point aNow);
  void OnClosed(connection_entry aConnection, bool aRefused, time_point aNow);
  void OnTimeout(connection_entry aConnection, time_point aNow);
  void Deliver(connection_entry aConnection,
               const http_response& aResponse,
               time_point aNow);
  // Ends the call without an answer.
  void Fail(call aCall, bool aSent, time_point aNow);
  void Release(connection_entry aConnection);
  void NoteFailure(time_point aNow);
  // Counts and logs the reply of a call that ends, if a part has arrived.
  void NoteCutOff(const connection& aConnection, const char* aCause);
  duration TimeoutOf(const call& aCall) const;
  static void Reply(call& aCall, const store_reply& aReply, time_point aNow);

  event_loop& mLoop;
  store_client_options mOptions;
  std::minstd_rand mRandom;
  store_schedule mSchedule;
  // Exactly the calls of the schedule.
  std::map<store_call_id, call> mWaiting;
  store_call_id mNextCall = 1;
  // List: handlers keep iterators.
  std::list<connection> mConnections;
  std::size_t mAddress = 0;
  // No connection is opened before; grows with failures in a row.
  time_point mConnectAfter;
  milliseconds mBackoff{ 0 };
  std::optional<time_point> mFailingSince;
  // Whether the calls that wait lack a connection, because calls under way hold
  // as many as there may be.
  bool mLacksConnection = false;
  std::uint64_t mCallsWithoutConnection = 0;
  std::uint64_t mRepliesCutOff = 0;
  bool mPumpPosted = false;
  event_loop::timer_id mPumpTimer = 0;
  // Expires with the client; guards posted tasks.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace snipewalk

#endif // SNIPEWALK_STORE_STORE_HTTP_CLIENT_H_
