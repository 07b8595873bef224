// Implementation of the stand-in replica's pulls.
#include "standins/backend_replicator.h"

#include <sstream>
#include <utility>

namespace snipewalk::standins {

namespace {

constexpr milliseconds kRetryInterval{ 50 };
// A primary answers an idle pull after 500 ms; a connection that is silent for
// longer is replaced.
constexpr milliseconds kPullTimeout{ 1'500 };
constexpr http_limits kPullLimits{ 16 * 1024, 64 * 1024 * 1024 };

std::string
Pack(const pull_request& aRequest)
{
  std::ostringstream out;
  msgpack::pack(out, aRequest);
  return out.str();
}

std::optional<pull_reply>
Unpack(const std::string& aBody)
{
  try {
    return msgpack::unpack(aBody.data(), aBody.size()).get().as<pull_reply>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace

backend_replicator::backend_replicator(event_loop& aLoop,
                                       standin_server& aServer,
                                       std::function<void(time_point)> aChanged)
  : mLoop(aLoop)
  , mServer(aServer)
  , mChanged(std::move(aChanged))
  , mReader(kPullLimits)
{
}

void
backend_replicator::Step(time_point aNow)
{
  if (mEpoch != mServer.FollowEpoch()) {
    Disconnect();
    mEpoch = mServer.FollowEpoch();
    mNotBefore = aNow;
  }
  if (!mServer.Primary() || mOutstanding || aNow < mNotBefore) {
    return;
  }
  const auto pull = mServer.NextPull();
  if (!pull) {
    return;
  }
  if (!mStream || mAddress != mServer.Primary()->mAddress) {
    Connect(mServer.Primary()->mAddress);
  }
  http_request request;
  request.mMethod = "POST";
  request.mTarget = kPullPath;
  request.mBody = Pack(*pull);
  mOutstanding = true;
  mStream->Send(WriteRequest(request, mAddress));
  ArmTimeout(aNow);
}

void
backend_replicator::ArmTimeout(time_point aNow)
{
  mLoop.Cancel(mTimeout);
  mTimeout = mLoop.RunAt(aNow + kPullTimeout, [this](time_point aWhen) {
    if (mOutstanding) {
      Fail(aWhen);
    }
  });
}

void
backend_replicator::Connect(const std::string& aAddress)
{
  Disconnect();
  mAddress = aAddress;
  mReader = http_reader(kPullLimits);
  stream_connection::handlers handlers;
  handlers.mOnInput = [this](std::string& aInput, time_point aNow) {
    OnInput(aInput, aNow);
  };
  handlers.mOnClosed = [this](close_cause, time_point aNow) { Fail(aNow); };
  mStream = stream_connection::Connect(mLoop, aAddress, std::move(handlers));
}

void
backend_replicator::OnInput(std::string& aInput, time_point aNow)
{
  auto response = mReader.ReadResponse(aInput);
  if (!response.ok()) {
    Fail(aNow);
    return;
  }
  if (!response->has_value() || !mOutstanding) {
    return;
  }
  auto reply = Unpack((*response)->mBody);
  if (!reply || mEpoch != mServer.FollowEpoch()) {
    Fail(aNow);
    return;
  }
  mOutstanding = false;
  if (!reply->mAccepted) {
    mNotBefore = aNow + kRetryInterval;
    mLoop.RunAt(mNotBefore, [this](time_point aWhen) { mChanged(aWhen); });
  }
  mServer.PullAnswered(*std::move(reply), aNow);
  mChanged(aNow);
}

void
backend_replicator::Fail(time_point aNow)
{
  const bool wasOutstanding = mOutstanding;
  Disconnect();
  if (wasOutstanding && mEpoch == mServer.FollowEpoch()) {
    mServer.PullFailed();
  }
  mNotBefore = aNow + kRetryInterval;
  mLoop.RunAt(mNotBefore, [this](time_point aWhen) { mChanged(aWhen); });
}

void
backend_replicator::Disconnect()
{
  mOutstanding = false;
  if (!mStream) {
    return;
  }
  mStream->Close();
  // A handler of the connection may be running.
  auto closed =
    std::make_shared<std::unique_ptr<stream_connection>>(std::move(mStream));
  mLoop.Post([closed] {});
}

} // namespace snipewalk::standins
