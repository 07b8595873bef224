// Forwarded sessions on the side of the sockets: messages from other instances,
// which wait until the desired state that they rest on is in force, and
// sessions that no host took.
#include "session/connection_table.h"

#include "snipewalk/base/log.h"

#include <utility>
#include <vector>

namespace snipewalk {

namespace {

// A desired state that another instance knows of is a call to the store away.
constexpr milliseconds kDesiredStateDelay{ 600 };

} // namespace

void
connection_table::ServeHere(session_id aSession,
                            const open_session& aOpen,
                            time_point aNow)
{
  mCallers.at(aSession).mServedHere = true;
  mEngine->OnCaller(aSession, aOpen, aNow);
}

absl::StatusOr<std::optional<connection_table::received_message>>
connection_table::TakeFromPeer(session_id aSession,
                               std::string& aInput,
                               time_point aNow)
{
  while (true) {
    auto frame =
      TakeForwarded(aInput, mLinks, *mCallers.at(aSession).mStream, aNow);
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
      return Unframe(std::move((*frame)->mBytes));
    }
    mLinks.WantDesiredRevision((*frame)->mDesiredRevision, aNow);
    mHeld[aSession] = { **std::move(frame), aNow };
  }
}

absl::StatusOr<std::optional<connection_table::received_message>>
connection_table::Unframe(std::string aBytes) const
{
  auto message = mProtocol.ReadCaller(aBytes);
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
  // Not within the handler that learnt of it.
  mLoop.Post([this] {
    std::vector<session_id> sessions;
    for (const auto& [session, held] : mHeld) {
      sessions.push_back(session);
    }
    for (const auto session : sessions) {
      ReleaseHeld(session, mLoop.Now());
    }
  });
}

void
connection_table::ReleaseHeld(session_id aSession, time_point aNow)
{
  const auto found = mHeld.find(aSession);
  if (found == mHeld.end() ||
      found->second.mMessage.mDesiredRevision > mLinks.DesiredRevision()) {
    return;
  }
  const auto received = Unframe(std::move(found->second.mMessage.mBytes));
  mHeld.erase(found);
  if (received.ok()) {
    Deliver(aSession, **received, aNow);
  } else {
    EndMalformed(aSession, received.status(), aNow);
  }
}

void
connection_table::OnTick(time_point aNow)
{
  mForwarder.OnTick(aNow);
  std::vector<session_id> late;
  bool asked = false;
  for (auto& [session, held] : mHeld) {
    if (aNow >= held.mSince + kDesiredStateDelay) {
      late.push_back(session);
    } else if (!asked && !held.mAsked &&
               aNow >= held.mSince + kAskForStateAfter) {
      // One answer helps all of them.
      asked = true;
      held.mAsked = true;
      AskForState(mLinks, *mCallers.at(session).mStream);
    }
  }
  for (const auto session : late) {
    Log(log_level::Warning,
        "session",
        "forwarded session ended: its desired state is not known here");
    mEngine->OnCallerClosed(session, aNow);
    CloseCaller(session);
  }
}

} // namespace snipewalk
