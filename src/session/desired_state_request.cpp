// Implementation of requests for the desired state of another instance.
#include "session/desired_state_request.h"

#include "snipewalk/base/log.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Time limit until the reply begins to arrive, and then for each further part.
constexpr milliseconds kRequestTimeout{ 1'000 };
// Time limit from the connection to the whole reply.
constexpr milliseconds kLongestReply{ 10'000 };

} // namespace

desired_state_request::desired_state_request(event_loop& aLoop,
                                             forwarding_links& aLinks)
  : mLoop(aLoop)
  , mLinks(aLinks)
{
}

desired_state_request::~desired_state_request()
{
  mLoop.Cancel(mTimeout);
}

void
desired_state_request::Send(const std::string& aPeerAddress, time_point aNow)
{
  if (IsReplyArriving()) {
    return;
  }
  End();
  mStream = stream_connection::Connect(
    mLoop,
    aPeerAddress,
    { [this](time_point) { RequestDesiredState(mLinks, *mStream); },
      [this](std::string& aInput, time_point aThen) { OnInput(aInput, aThen); },
      [this](close_cause, time_point) { End(); } });
  mEndBy = aNow + kLongestReply;
  SetTimeout(aNow + kRequestTimeout);
}

void
desired_state_request::SetTimeout(time_point aWhen)
{
  mLoop.Cancel(mTimeout);
  mTimeout = mLoop.RunAt(aWhen, [this](time_point) { End(); });
}

void
desired_state_request::OnInput(std::string& aInput, time_point aNow)
{
  const std::size_t received = aInput.size();
  const auto frame = ReadForwardedMessage(aInput, mLinks, *mStream, aNow);
  // The reply is a single frame, which leaves the input once it is complete.
  const bool complete = !frame.ok() || aInput.size() != received;
  mReplyBytes = complete ? 0 : received;
  if (complete) {
    aInput.clear();
    End();
    return;
  }
  SetTimeout(std::min(aNow + kRequestTimeout, mEndBy));
}

void
desired_state_request::End()
{
  mLoop.Cancel(mTimeout);
  if (const auto bytes = std::exchange(mReplyBytes, 0); bytes > 0) {
    ++mRepliesCutOff;
    Log(log_level::Warning,
        "control",
        "a desired state from another instance was given up while it arrived",
        { { "bytes", static_cast<std::int64_t>(bytes) } });
  }
  const std::shared_ptr<stream_connection> stream = std::move(mStream);
  if (stream) {
    stream->Close();
    // A handler of the stream may be running.
    mLoop.Post([stream] {});
  }
}

} // namespace snipewalk
