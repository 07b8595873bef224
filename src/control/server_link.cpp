// Implementation of the control connection to a backend server.
#include "control/server_link.h"

#include <iterator>
#include <utility>

namespace snipewalk {

namespace {

// A probe without an answer for this long gives way to other requests.
constexpr milliseconds kProbePatience{ 50 };
// A link in doubt tries to keep a connection open again after this time.
constexpr milliseconds kDoubtTime{ 30'000 };

} // namespace

server_link::server_link(event_loop& aLoop,
                         server_endpoint aServer,
                         std::function<void(time_point aNow)> aOnIdleClose)
  : mLoop(aLoop)
  , mServer(std::move(aServer))
  , mOnIdleClose(std::move(aOnIdleClose))
{
}

server_link::~server_link()
{
  mLoop.Cancel(mTimer);
  Drop(false);
  EndDoubt();
}

void
server_link::Submit(link_request aRequest, time_point aNow)
{
  if (aRequest.mIsProbe) {
    mWaiting.push_back(std::move(aRequest));
  } else {
    auto place = mWaiting.begin();
    while (place != mWaiting.end() && !place->mIsProbe) {
      ++place;
    }
    mWaiting.insert(place, std::move(aRequest));
    if (mCurrent && mCurrent->mIsProbe && aNow - mStarted >= kProbePatience) {
      Drop(true);
      Finish({ link_result::Lost, {}, mConnectionNumber, mStarted }, aNow);
    }
  }
  Pump(aNow);
}

std::vector<link_request>
server_link::TakeRequests()
{
  mLoop.Cancel(mTimer);
  std::vector<link_request> requests;
  if (mCurrent) {
    requests.push_back(*std::exchange(mCurrent, std::nullopt));
  }
  requests.insert(requests.end(),
                  std::make_move_iterator(mWaiting.begin()),
                  std::make_move_iterator(mWaiting.end()));
  mWaiting.clear();
  return requests;
}

void
server_link::Pump(time_point aNow)
{
  if (mCurrent || mWaiting.empty()) {
    return;
  }
  mCurrent = std::move(mWaiting.front());
  mWaiting.pop_front();
  mStarted = aNow;
  mTimer = mLoop.RunAt(aNow + mCurrent->mTimeout, [this](time_point aThen) {
    Drop(true);
    Finish({ link_result::Lost, {}, mConnectionNumber, mStarted }, aThen);
  });
  if (mCurrent->mNewConnection) {
    Drop(true);
  }
  if (!mConnection) {
    Open();
  } else if (mConnection->IsOpen()) {
    OnOpened(aNow);
  }
}

void
server_link::Open()
{
  ++mConnectionNumber;
  mProven = false;
  backend_connection::handlers handlers;
  handlers.mOnOpened = [this](time_point aNow) { OnOpened(aNow); };
  handlers.mOnClosed = [this](bool aRefused, time_point aNow) {
    OnClosed(aRefused, aNow);
  };
  handlers.mOnReply = [this](backend_reply aReply, time_point aNow) {
    mProven = true;
    if (InDoubt() && aNow >= mDoubtUntil) {
      EndDoubt();
    } else if (InDoubt()) {
      Drop(false);
    }
    Finish(
      { link_result::Answered, std::move(aReply), mConnectionNumber, mStarted },
      aNow);
  };
  mConnection =
    std::make_shared<backend_connection>(mLoop, mServer, std::move(handlers));
}

void
server_link::Drop(bool aInDoubt)
{
  if (!mConnection) {
    return;
  }
  const auto dropped = std::exchange(mConnection, nullptr);
  const auto onEnd = [this,
                      number = mConnectionNumber,
                      alive = std::weak_ptr<bool>(mAlive)](time_point) {
    if (!alive.expired()) {
      auto ended = mHalfClosed.extract(number);
      mLoop.Post([connection = std::move(ended.mapped())] {});
    }
  };
  if (aInDoubt && dropped->CloseAwaitingEnd(onEnd)) {
    if (!InDoubt()) {
      mDoubtUntil = mLoop.Now() + kDoubtTime;
    }
    mHalfClosed.emplace(mConnectionNumber, dropped);
    return;
  }
  dropped->Close();
  // The connection's own handler may be running.
  mLoop.Post([dropped] {});
}

void
server_link::EndDoubt()
{
  for (auto& [number, connection] : mHalfClosed) {
    connection->Close();
    mLoop.Post([ended = std::move(connection)] {});
  }
  mHalfClosed.clear();
}

void
server_link::OnOpened(time_point aNow)
{
  if (mCurrent && !mConnection->Send(mCurrent->mRequest)) {
    Drop(true);
    Finish({ link_result::Lost, {}, mConnectionNumber, mStarted }, aNow);
  }
}

void
server_link::OnClosed(bool aRefused, time_point aNow)
{
  const bool full = !aRefused && !mProven && InDoubt();
  if (aRefused) {
    // A server that does not listen counts no connections.
    EndDoubt();
  } else if (full && aNow >= mDoubtUntil) {
    mDoubtUntil = aNow + kDoubtTime;
  }
  Drop(false);
  if (!mCurrent) {
    // Copied: the handler may destroy this link.
    const auto onIdleClose = mOnIdleClose;
    onIdleClose(aNow);
    return;
  }
  const link_result result = aRefused ? link_result::Refused
                             : full   ? link_result::Full
                                      : link_result::Lost;
  Finish({ result, {}, mConnectionNumber, mStarted }, aNow);
}

// The next request is pumped from the loop: the handler that reports this
// reply may not have returned yet.
void
server_link::Finish(const link_reply& aReply, time_point aNow)
{
  if (!mCurrent) {
    return;
  }
  mLoop.Cancel(mTimer);
  const link_request done = *std::exchange(mCurrent, std::nullopt);
  mTimer = mLoop.RunAt(aNow, [this](time_point aThen) { Pump(aThen); });
  done.mOnDone(aReply, aNow);
}

} // namespace snipewalk
