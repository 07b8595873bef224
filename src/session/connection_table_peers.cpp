// Forwarded sessions on the side of the sockets: messages from other instances,
// which wait until the desired state that they rest on is in force, and the
// forwarder's access to callers.
#include "session/connection_table.h"

#include "snipewalk/base/log.h"

#include <utility>
#include <vector>

namespace snipewalk {

namespace {

// A desired state that another instance knows of is a call to the store away.
constexpr milliseconds kDesiredStateDelay{ 600 };
// The store has not told it by then: it may turn this instance away.
constexpr milliseconds kAskForStateAfter{ 150 };

} // namespace

session_forwarder::handlers
connection_table::ForwarderHandlers()
{
  session_forwarder::handlers handlers;
  handlers.mServeHere =
    [this](session_id aSession, const open_session& aOpen, time_point aNow) {
      mEngine->OnCaller(aSession, aOpen, aNow);
    };
  handlers.mSendToCaller = [this](session_id aSession,
                                  const std::string& aBytes) {
    SendToCaller(aSession, aBytes);
  };
  handlers.mCloseCaller = [this](session_id aSession) {
    CloseCaller(aSession);
  };
  handlers.mOnHostFailed = [this](const std::string& aHost, time_point aNow) {
    mLinks.OnHostFailed(aHost, aNow);
  };
  handlers.mAskHost = [this](const host_candidate& aHost, time_point aNow) {
    mLinks.AskHost(aHost, aNow);
  };
  handlers.mDesiredRevision = [this] { return mLinks.DesiredRevision(); };
  handlers.mWantDesiredRevision = [this](std::uint64_t aRevision,
                                         time_point aNow) {
    mLinks.WantDesiredRevision(aRevision, aNow);
  };
  handlers.mDesiredState = [this] { return mLinks.DesiredState(); };
  handlers.mLearnDesiredState = [this](const relayed_state& aState,
                                       time_point aNow) {
    mLinks.LearnDesiredState(aState, aNow);
  };
  return handlers;
}

absl::StatusOr<std::optional<connection_table::received_message>>
connection_table::TakeFromPeer(session_id aSession,
                               std::string& aInput,
                               time_point aNow)
{
  while (true) {
    std::size_t frameBytes = 0;
    auto frame = PeekForwarded(aInput, frameBytes);
    if (!frame.ok()) {
      return frame.status();
    }
    if (!*frame) {
      return std::nullopt;
    }
    aInput.erase(0, frameBytes);
    caller& peer = mCallers.at(aSession);
    if ((*frame)->mState) {
      mLinks.LearnDesiredState(*(*frame)->mState, aNow);
    }
    if ((*frame)->AsksForState()) {
      peer.mStream->Send(EncodeForwarded(
        { mLinks.DesiredRevision(), {}, mLinks.DesiredState() }));
    }
    if ((*frame)->mBytes.empty()) {
      continue;
    }
    if (peer.mHeld) {
      return absl::InvalidArgumentError("a message before the last answer");
    }
    if ((*frame)->mDesiredRevision <= mLinks.DesiredRevision()) {
      return Unframe((*frame)->mBytes);
    }
    mLinks.WantDesiredRevision((*frame)->mDesiredRevision, aNow);
    peer.mHeld = **std::move(frame);
    mParked[aSession] = { aNow };
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
    std::vector<session_id> held;
    for (const auto& [session, parked] : mParked) {
      held.push_back(session);
    }
    for (const auto session : held) {
      ReleaseHeld(session, mLoop.Now());
    }
  });
}

void
connection_table::ReleaseHeld(session_id aSession, time_point aNow)
{
  const auto found = mCallers.find(aSession);
  const bool due =
    found != mCallers.end() && found->second.mHeld &&
    found->second.mHeld->mDesiredRevision <= mLinks.DesiredRevision();
  if (!due) {
    return;
  }
  const auto received = Unframe(std::move(found->second.mHeld->mBytes));
  found->second.mHeld.reset();
  mParked.erase(aSession);
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
  for (auto& [session, parked] : mParked) {
    if (aNow >= parked.mSince + kDesiredStateDelay) {
      late.push_back(session);
    } else if (!asked && !parked.mAsked &&
               aNow >= parked.mSince + kAskForStateAfter) {
      // One answer helps all of them.
      asked = true;
      parked.mAsked = true;
      mCallers.at(session).mStream->Send(
        EncodeForwarded({ mLinks.DesiredRevision(), {}, std::nullopt }));
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
