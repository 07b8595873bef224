// Opens control connections and sends the queued commands in order. A missed
// deadline or an unexpected reply closes the connection and fails all of its
// commands.
#include "session/server_control.h"

#include "snipewalk/base/log.h"

#include <utility>

namespace snipewalk {

namespace {

constexpr milliseconds kDeadlineCheckInterval{ 20 };
// Minimum interval between connection attempts of KeepControlConnection().
constexpr milliseconds kReconnectInterval{ 700 };
// The same after a refusal by a full server, where statements of other
// instances take each connection that becomes free.
constexpr milliseconds kFullReconnectInterval{ 50 };

} // namespace

server_control::server_control(event_loop& aLoop,
                               const session_protocol& aProtocol,
                               full_handler aOnFull)
  : mLoop(aLoop)
  , mProtocol(aProtocol)
  , mOnFull(std::move(aOnFull))
{
}

server_control::~server_control()
{
  mLoop.Cancel(mTimer);
}

void
server_control::RunCommand(const registered_server& aServer,
                           const server_command& aCommand,
                           milliseconds aTimeout,
                           control_links::status_handler aOnStatus)
{
  channel& target = mChannels[aServer.mId];
  const bool moved =
    target.mStream && !(target.mServer.mAddress == aServer.mAddress &&
                        target.mServer.mStarted == aServer.mStarted);
  if (moved) {
    DestroyLater(std::move(target.mStream));
    target.mOpened = false;
  }
  target.mServer = aServer;
  target.mCommands.push_back(
    { aCommand, std::move(aOnStatus), mLoop.Now() + aTimeout, false });
  if (!target.mStream) {
    Connect(target);
  } else {
    SendNext(target);
  }
  ScheduleCheck();
}

void
server_control::KeepControlConnection(const registered_server& aServer)
{
  channel& target = mChannels[aServer.mId];
  const milliseconds interval =
    target.mFull ? kFullReconnectInterval : kReconnectInterval;
  const bool recent = target.mConnectedAt != time_point::min() &&
                      mLoop.Now() < target.mConnectedAt + interval;
  if (!target.mStream && !recent) {
    target.mServer = aServer;
    Connect(target);
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
           mProtocol.WriteServerOpening(opened.mServer, std::string()));
       }
     },
      [this, id, current](std::string& aInput, time_point aNow) {
        if (current()) {
          OnInput(id, aInput, aNow);
        }
      },
      [this, id, current](close_cause, time_point aNow) {
        if (current()) {
          FailChannel(id, aNow);
        }
      } });
}

void
server_control::SendNext(channel& aChannel)
{
  if (!aChannel.mOpened || aChannel.mCommands.empty() ||
      aChannel.mCommands.front().mSent) {
    return;
  }
  pending_command& next = aChannel.mCommands.front();
  next.mSent = true;
  aChannel.mStream->Send(mProtocol.WriteCommand(next.mCommand));
}

void
server_control::OnInput(const std::string& aServer,
                        std::string& aInput,
                        time_point aNow)
{
  while (true) {
    channel& target = mChannels[aServer];
    if (!target.mStream) {
      aInput.clear();
      return;
    }
    const auto reply = mProtocol.ReadReply(aInput, !target.mOpened);
    if (reply.ok() && !*reply) {
      return;
    }
    const bool unexpected =
      !reply.ok() || (!target.mOpened && (*reply)->mError) ||
      (target.mOpened &&
       (target.mCommands.empty() || !target.mCommands.front().mSent));
    if (unexpected) {
      const std::string code = reply.ok() ? (*reply)->mErrorCode : "malformed";
      Log(log_level::Info,
          "primary",
          "server refused a control connection",
          { { "server", aServer }, { "code", code } });
      const bool full = reply.ok() && !target.mOpened &&
                        (*reply)->mError == result_code::TooManyConnections;
      target.mFull = full;
      FailChannel(aServer, aNow);
      if (full) {
        mOnFull(aServer, aNow);
      }
      return;
    }
    if (!target.mOpened) {
      target.mOpened = true;
      target.mFull = false;
      SendNext(target);
      continue;
    }
    const pending_command answered = std::move(target.mCommands.front());
    target.mCommands.pop_front();
    SendNext(target);
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
server_control::FailChannel(const std::string& aServer, time_point aNow)
{
  channel& failed = mChannels[aServer];
  if (failed.mStream) {
    DestroyLater(std::move(failed.mStream));
  }
  failed.mOpened = false;
  const std::deque<pending_command> unanswered =
    std::exchange(failed.mCommands, {});
  for (const auto& command : unanswered) {
    command.mOnStatus(std::nullopt, aNow);
  }
}

void
server_control::DestroyLater(std::unique_ptr<stream_connection> aStream)
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
  mTimer = mLoop.RunAt(mLoop.Now() + kDeadlineCheckInterval,
                       [this](time_point aNow) { CheckDeadlines(aNow); });
}

void
server_control::CheckDeadlines(time_point aNow)
{
  std::vector<std::string> late;
  bool waiting = false;
  for (const auto& [id, target] : mChannels) {
    if (target.mCommands.empty()) {
      continue;
    }
    waiting = true;
    if (aNow >= target.mCommands.front().mDeadline) {
      late.push_back(id);
    }
  }
  for (const auto& id : late) {
    FailChannel(id, aNow);
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
      DestroyLater(std::move(closed.mStream));
    }
  }
  // Queued commands are dropped without a reply: they belong to the duty that
  // this instance has given up or lost.
  mChannels.clear();
}

} // namespace snipewalk
