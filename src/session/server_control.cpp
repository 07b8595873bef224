#include "session/server_control.h"

#include "snipewalk/base/log.h"

#include <utility>

namespace snipewalk {

namespace {

constexpr milliseconds kCheckEvery{ 20 };
// Minimum interval between connection attempts of KeepConnected().
constexpr milliseconds kReconnectAfter{ 700 };

} // namespace

server_control::server_control(event_loop& aLoop,
                               const session_protocol& aProtocol)
  : mLoop(aLoop)
  , mProtocol(aProtocol)
{
}

server_control::~server_control()
{
  mLoop.Cancel(mTimer);
}

void
server_control::Ask(const server_entry& aServer,
                    const server_command& aCommand,
                    milliseconds aTimeout,
                    control_links::status_handler aOnStatus)
{
  channel& asked = mChannels[aServer.mId];
  const bool moved =
    asked.mStream && !(asked.mServer.mAddress == aServer.mAddress &&
                       asked.mServer.mStarted == aServer.mStarted);
  if (moved) {
    Bury(std::move(asked.mStream));
    asked.mOpened = false;
  }
  asked.mServer = aServer;
  asked.mQuestions.push_back(
    { aCommand, std::move(aOnStatus), mLoop.Now() + aTimeout, false });
  if (!asked.mStream) {
    Connect(asked);
  } else {
    SendNext(asked);
  }
  ScheduleCheck();
}

void
server_control::KeepConnected(const server_entry& aServer)
{
  channel& kept = mChannels[aServer.mId];
  const bool recent = kept.mConnectedAt != time_point::min() &&
                      mLoop.Now() < kept.mConnectedAt + kReconnectAfter;
  if (!kept.mStream && !recent) {
    kept.mServer = aServer;
    Connect(kept);
  }
}

void
server_control::Connect(channel& aChannel)
{
  aChannel.mConnectedAt = mLoop.Now();
  const std::string id = aChannel.mServer.mId;
  const std::uint64_t generation = mNextGeneration++;
  aChannel.mGeneration = generation;
  aChannel.mOpened = false;
  const auto current = [this, id, generation] {
    const auto found = mChannels.find(id);
    return found != mChannels.end() &&
           found->second.mGeneration == generation &&
           found->second.mStream != nullptr;
  };
  aChannel.mStream = stream_connection::Connect(
    mLoop,
    aChannel.mServer.mAddress,
    { [this, id, current](time_point) {
       if (current()) {
         channel& opened = mChannels.at(id);
         opened.mStream->Send(
           mProtocol.WriteOpen(opened.mServer.mService, opened.mServer.mId));
       }
     },
      [this, id, current](std::string& aInput, time_point aNow) {
        if (current()) {
          OnInput(id, aInput, aNow);
        }
      },
      [this, id, current](close_cause, time_point aNow) {
        if (current()) {
          Fail(id, aNow);
        }
      } });
}

void
server_control::SendNext(channel& aChannel)
{
  if (!aChannel.mOpened || aChannel.mQuestions.empty() ||
      aChannel.mQuestions.front().mSent) {
    return;
  }
  question& next = aChannel.mQuestions.front();
  next.mSent = true;
  aChannel.mStream->Send(mProtocol.WriteCommand(next.mCommand));
}

void
server_control::OnInput(const std::string& aServer,
                        std::string& aInput,
                        time_point aNow)
{
  while (true) {
    channel& asked = mChannels[aServer];
    if (!asked.mStream) {
      aInput.clear();
      return;
    }
    const auto reply = mProtocol.ReadReply(aInput, !asked.mOpened);
    if (reply.ok() && !*reply) {
      return;
    }
    const bool unexpected =
      !reply.ok() || (!asked.mOpened && (*reply)->mError) ||
      (asked.mOpened &&
       (asked.mQuestions.empty() || !asked.mQuestions.front().mSent));
    if (unexpected) {
      const std::string code = reply.ok() ? (*reply)->mErrorCode : "malformed";
      Log(log_level::Info,
          "primary",
          "server refused a control connection",
          { { "server", aServer }, { "code", code } });
      Fail(aServer, aNow);
      return;
    }
    if (!asked.mOpened) {
      asked.mOpened = true;
      SendNext(asked);
      continue;
    }
    const question answered = std::move(asked.mQuestions.front());
    asked.mQuestions.pop_front();
    SendNext(asked);
    const auto status = mProtocol.ParseStatus(**reply);
    if (!status.ok()) {
      Log(log_level::Info,
          "primary",
          "control command failed",
          { { "server", aServer }, { "code", (*reply)->mErrorCode } });
    }
    answered.mOnStatus(status.ok() ? std::optional(*status) : std::nullopt,
                       aNow);
  }
}

void
server_control::Fail(const std::string& aServer, time_point aNow)
{
  channel& failed = mChannels[aServer];
  if (failed.mStream) {
    Bury(std::move(failed.mStream));
  }
  failed.mOpened = false;
  const std::deque<question> unanswered = std::exchange(failed.mQuestions, {});
  for (const auto& asked : unanswered) {
    asked.mOnStatus(std::nullopt, aNow);
  }
}

void
server_control::Bury(std::unique_ptr<stream_connection> aStream)
{
  aStream->Close();
  // Defers the destruction, because a handler of the stream may be running.
  mLoop.Post([stream = std::shared_ptr<stream_connection>(std::move(aStream))] {
    (void)stream;
  });
}

void
server_control::ScheduleCheck()
{
  mLoop.Cancel(mTimer);
  mTimer = mLoop.RunAt(mLoop.Now() + kCheckEvery,
                       [this](time_point aNow) { CheckDeadlines(aNow); });
}

void
server_control::CheckDeadlines(time_point aNow)
{
  std::vector<std::string> late;
  bool waiting = false;
  for (const auto& [id, asked] : mChannels) {
    if (asked.mQuestions.empty()) {
      continue;
    }
    waiting = true;
    if (aNow >= asked.mQuestions.front().mDeadline) {
      late.push_back(id);
    }
  }
  for (const auto& id : late) {
    Fail(id, aNow);
  }
  if (waiting) {
    ScheduleCheck();
  }
}

void
server_control::CloseAll()
{
  for (auto& [id, closed] : mChannels) {
    if (closed.mStream) {
      Bury(std::move(closed.mStream));
    }
  }
  // Queued commands are dropped without a reply: they belong to the duty that
  // this instance has given up or lost.
  mChannels.clear();
}

} // namespace snipewalk
