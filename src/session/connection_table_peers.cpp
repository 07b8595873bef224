// Implementation of the connection table: messages of sessions that other
// instances forward, which are held until the desired state that they require
// is in force, and sessions that no host accepted.
#include "session/connection_table.h"

#include "snipewalk/base/log.h"

#include <utility>
#include <vector>

namespace snipewalk {

namespace {

// Time limit for fetching a desired state that another instance already has. It
// normally takes one call to the store.
constexpr milliseconds kDesiredStateTimeout{ 600 };

} // namespace

void
connection_table::ServeLocally(session_id aSession,
                               const open_session& aOpen,
                               time_point aNow)
{
  mCallers.at(aSession).mServedLocally = true;
  mEngine->OnCallerMessage(aSession, aOpen, aNow);
}

absl::StatusOr<std::optional<connection_table::received_message>>
connection_table::ReadFromPeer(session_id aSession,
                               std::string& aInput,
                               time_point aNow)
{
  while (true) {
    auto frame = ReadForwardedMessage(
      aInput, mLinks, *mCallers.at(aSession).mStream, aNow);
    if (!frame.ok()) {
      return frame.status();
    }
    if (!*frame) {
      return std::nullopt;
    }
    if (mHeld.contains(aSession)) {
      return absl::InvalidArgumentError("a message before the last answer");
    }
    if ((*frame)->mDesiredRevision <= mLinks.DesiredRevision()) {
      return DecodeSessionMessage(std::move((*frame)->mBytes));
    }
    mLinks.RequestDesiredRevision((*frame)->mDesiredRevision, aNow);
    mHeld[aSession] = { **std::move(frame), aNow };
  }
}

absl::StatusOr<std::optional<connection_table::received_message>>
connection_table::DecodeSessionMessage(std::string aBytes) const
{
  auto message = mProtocol.ReadCallerMessage(aBytes);
  if (!message.ok()) {
    return message.status();
  }
  if (!*message) {
    return absl::InvalidArgumentError("a frame without a whole message");
  }
  return received_message{ **std::move(message), {} };
}

void
connection_table::OnDesiredState()
{
  // Posted to the event loop so that no message is processed inside the handler
  // that installs the desired state.
  mLoop.Post([this] {
    std::vector<session_id> sessions;
    for (const auto& [session, held] : mHeld) {
      sessions.push_back(session);
    }
    for (const auto session : sessions) {
      ProcessHeldMessage(session, mLoop.Now());
    }
  });
}

void
connection_table::ProcessHeldMessage(session_id aSession, time_point aNow)
{
  const auto found = mHeld.find(aSession);
  if (found == mHeld.end() ||
      found->second.mMessage.mDesiredRevision > mLinks.DesiredRevision()) {
    return;
  }
  const auto received =
    DecodeSessionMessage(std::move(found->second.mMessage.mBytes));
  mHeld.erase(found);
  if (received.ok()) {
    Deliver(aSession, **received, aNow);
  } else {
    CloseMalformed(aSession, received.status(), aNow);
  }
}

void
connection_table::OnTick(time_point aNow)
{
  mForwarder.OnTick(aNow);
  std::vector<session_id> expired;
  for (auto& [session, held] : mHeld) {
    if (aNow >= held.mReceivedAt + kDesiredStateTimeout) {
      expired.push_back(session);
    } else if (!held.mStateRequested &&
               aNow >= held.mReceivedAt + kDesiredStateRequestDelay &&
               mLinks.TakeStateRequest(aNow)) {
      // A single reply releases the held messages of all sessions.
      held.mStateRequested = true;
      RequestDesiredState(mLinks, *mCallers.at(session).mStream);
    }
  }
  for (const auto session : expired) {
    Log(log_level::Warning,
        "session",
        "forwarded session closed: its desired state did not arrive in time");
    mEngine->OnCallerClosed(session, aNow);
    CloseCallerConnection(session);
  }
}

} // namespace snipewalk
