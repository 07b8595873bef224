// Implementation of the control connection to a backend server.
#include "process/server_link.h"

#include <iterator>
#include <utility>

namespace snipewalk {

namespace {

// A probe without an answer for this long gives way to other requests.
constexpr milliseconds kProbePatience{ 50 };

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
  Drop();
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
      Drop();
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
    Drop();
    Finish({ link_result::Lost, {}, mConnectionNumber, mStarted }, aThen);
  });
  if (mCurrent->mNewConnection) {
    Drop();
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
  backend_connection::handlers handlers;
  handlers.mOnOpened = [this](time_point aNow) { OnOpened(aNow); };
  handlers.mOnClosed = [this](bool aRefused, time_point aNow) {
    OnClosed(aRefused, aNow);
  };
  handlers.mOnReply = [this](backend_reply aReply, time_point aNow) {
    Finish(
      { link_result::Answered, std::move(aReply), mConnectionNumber, mStarted },
      aNow);
  };
  mConnection =
    std::make_shared<backend_connection>(mLoop, mServer, std::move(handlers));
}

void
server_link::Drop()
{
  if (!mConnection) {
    return;
  }
  mConnection->Close();
  // The connection's own handler may be running.
  mLoop.Post([dropped = std::move(mConnection)]() mutable { dropped.reset(); });
  mConnection.reset();
}

void
server_link::OnOpened(time_point aNow)
{
  if (mCurrent && !mConnection->Send(mCurrent->mRequest)) {
    Drop();
    Finish({ link_result::Lost, {}, mConnectionNumber, mStarted }, aNow);
  }
}

void
server_link::OnClosed(bool aRefused, time_point aNow)
{
  Drop();
  if (!mCurrent) {
    // Copied: the handler may destroy this link.
    const auto onIdleClose = mOnIdleClose;
    onIdleClose(aNow);
    return;
  }
  const link_result result =
    aRefused ? link_result::Refused : link_result::Lost;
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
