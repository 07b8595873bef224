// Implementation of session forwarding.
#include "session/session_forwarder.h"

#include "snipewalk/base/log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace snipewalk {

namespace {

// Time limit for opening a session at a host. Shorter than callers wait for a
// session, so that the session can still be served here.
constexpr milliseconds kOpenTimeout{ 400 };
// A host that has sent nothing for this long while a reply is pending is
// probed, and again after each further interval of this length.
constexpr milliseconds kProbeInterval{ 300 };
// Time from the first unanswered probe until the host counts as lost. Three
// probes fit into it, since single datagrams may be lost.
constexpr milliseconds kProbeTimeout{ 900 };

} // namespace

session_forwarder::session_forwarder(event_loop& aLoop,
                                     const session_protocol& aProtocol,
                                     forwarding_links& aLinks,
                                     forwarding_callers& aCallers)
  : mLoop(aLoop)
  , mProtocol(aProtocol)
  , mLinks(aLinks)
  , mCallers(aCallers)
{
}

session_forwarder::~session_forwarder() = default;

void
session_forwarder::Open(session_id aSession,
                        const host_candidate& aHost,
                        const open_session& aOpen,
                        const std::string& aBytes,
                        time_point aNow)
{
  Log(log_level::Info,
      "session",
      "session forwarded",
      { { "database", aOpen.mDatabase }, { "host", aHost.mName } });
  session& opened = mSessions[aSession];
  opened.mHost = aHost;
  opened.mOpen = aOpen;
  opened.mOpeningSince = aNow;
  mAwaitingReply.insert(aSession);
  opened.mStream = stream_connection::Connect(
    mLoop,
    aHost.mAddress,
    { [this, aSession, aBytes](time_point) {
       const auto found = mSessions.find(aSession);
       if (found != mSessions.end()) {
         found->second.mStream->Send(EncodeFrame(aBytes));
       }
     },
      [this, aSession](std::string& aInput, time_point aThen) {
        OnHostInput(aSession, aInput, aThen);
      },
      [this, aSession](close_cause, time_point aThen) {
        OnHostConnectionLost(aSession, aThen);
      } });
}

void
session_forwarder::OnCallerMessage(session_id aSession,
                                   const caller_message& aMessage,
                                   const std::string& aBytes,
                                   time_point aNow)
{
  session& held = mSessions.at(aSession);
  // The protocol allows no statement before the session is open.
  if (std::holds_alternative<end_session>(aMessage) || !held.mOpened) {
    CloseSession(aSession);
    return;
  }
  if (held.mState.PendingSince()) {
    // The outcome of the pending statement is not known, so nothing is said
    // about it.
    mCallers.SendToCaller(
      aSession,
      mProtocol.WriteRefusal(result_code::Malformed, "unexpected message"));
    CloseSession(aSession);
    return;
  }
  if (const auto* statement = std::get_if<statement_message>(&aMessage)) {
    held.mState.OnStatement(*statement, aNow);
    mAwaitingReply.insert(aSession);
  }
  held.mStream->Send(EncodeFrame(aBytes));
}

std::string
session_forwarder::EncodeFrame(const std::string& aBytes) const
{
  return EncodeForwardedMessage(
    { std::max(mLinks.DesiredRevision(), mNewestHostRevision),
      aBytes,
      std::nullopt });
}

void
session_forwarder::OnHostRevision(const session& aSession,
                                  std::uint64_t aRevision,
                                  time_point aNow)
{
  if (aRevision <= mLinks.DesiredRevision()) {
    mBehindSince.reset();
    return;
  }
  mNewestHostRevision = std::max(mNewestHostRevision, aRevision);
  mLinks.RequestDesiredRevision(aRevision, aNow);
  if (!mBehindSince) {
    mBehindSince = aNow;
  } else if (aNow >= *mBehindSince + kDesiredStateRequestDelay &&
             mLinks.TakeStateRequest(aNow)) {
    mBehindSince = aNow;
    RequestDesiredState(mLinks, *aSession.mStream);
  }
}

void
session_forwarder::OnHostInput(session_id aSession,
                               std::string& aInput,
                               time_point aNow)
{
  if (IsForwarding(aSession)) {
    OnHostHeard(mSessions.at(aSession).mHost.mName, aNow);
  }
  const absl::Status status = ForwardReplies(aSession, aInput, aNow);
  if (!status.ok()) {
    Log(log_level::Warning,
        "session",
        "malformed reply from the host of a session; closing the connection",
        { { "host", mSessions.at(aSession).mHost.mName },
          { "error", std::string(status.message()) } });
    OnHostConnectionLost(aSession, aNow);
  }
  if (!IsForwarding(aSession)) {
    aInput.clear();
  }
}

absl::Status
session_forwarder::ForwardReplies(session_id aSession,
                                  std::string& aInput,
                                  time_point aNow)
{
  while (IsForwarding(aSession)) {
    session& held = mSessions.at(aSession);
    auto frame = ReadForwardedMessage(aInput, mLinks, *held.mStream, aNow);
    if (!frame.ok()) {
      return frame.status();
    }
    if (!*frame) {
      return absl::OkStatus();
    }
    OnHostRevision(held, (*frame)->mDesiredRevision, aNow);
    held.mReply += (*frame)->mBytes;
    std::string bytes = held.mReply;
    const auto reply = mProtocol.ReadReply(held.mReply, !held.mOpened);
    if (!reply.ok()) {
      return reply.status();
    }
    if (!*reply) {
      // The rest of a long reply comes with the next frames.
      continue;
    }
    bytes.resize(bytes.size() - held.mReply.size());
    mCallers.SendToCaller(aSession, bytes);
    mAwaitingReply.erase(aSession);
    held.mOpened = true;
    held.mState.OnReply(**reply);
    CloseIfDraining(aSession);
  }
  return absl::OkStatus();
}

void
session_forwarder::RemoveSession(session_id aSession)
{
  const auto found = mSessions.find(aSession);
  const std::shared_ptr<stream_connection> stream =
    std::move(found->second.mStream);
  mSessions.erase(found);
  mAwaitingReply.erase(aSession);
  stream->Close();
  mLoop.Post([stream] {});
}

void
session_forwarder::CloseSession(session_id aSession)
{
  RemoveSession(aSession);
  mCallers.CloseCallerConnection(aSession);
}

void
session_forwarder::OnCallerClosed(session_id aSession)
{
  if (IsForwarding(aSession)) {
    RemoveSession(aSession);
  }
}

void
session_forwarder::OnHostConnectionLost(session_id aSession, time_point aNow)
{
  if (!IsForwarding(aSession)) {
    return;
  }
  const session& held = mSessions.at(aSession);
  const std::string host = held.mHost.mName;
  if (!held.mOpened) {
    const open_session open = held.mOpen;
    Log(log_level::Warning,
        "session",
        "host did not open the session; serving it on this instance",
        { { "host", host }, { "database", open.mDatabase } });
    mLinks.OnHostFailed(host, aNow);
    RemoveSession(aSession);
    mCallers.ServeLocally(aSession, open, aNow);
    return;
  }
  if (const auto lossReply = held.mState.ReplyOnHostLoss()) {
    Log(log_level::Warning,
        "session",
        "host of a session is lost",
        { { "request", held.mState.PendingRequestId() },
          { "host", host },
          { "answer", NameOf(kResultCodeNames, *lossReply->mError) } });
    mCallers.SendToCaller(aSession, mProtocol.WriteReply(*lossReply));
  }
  CloseSession(aSession);
}

void
session_forwarder::OnHostHeard(const std::string& aHost, time_point aNow)
{
  host_liveness& host = mHosts[aHost];
  host.mLastHeardAt = aNow;
  host.mFirstProbeAt.reset();
}

void
session_forwarder::OnTick(time_point aNow)
{
  std::vector<session_id> unopened;
  std::set<std::string> unresponsive;
  for (const auto id : mAwaitingReply) {
    const session& held = mSessions.at(id);
    if (!held.mOpened) {
      if (aNow >= held.mOpeningSince + kOpenTimeout) {
        unopened.push_back(id);
      }
      continue;
    }
    host_liveness& host = mHosts[held.mHost.mName];
    const auto waiting = held.mState.PendingSince();
    const time_point lastActivity =
      std::max(waiting.value_or(aNow), host.mLastHeardAt);
    if (host.mFirstProbeAt && aNow >= *host.mFirstProbeAt + kProbeTimeout) {
      unresponsive.insert(held.mHost.mName);
    } else if (aNow >=
               std::max(lastActivity, host.mLastProbeAt) + kProbeInterval) {
      host.mLastProbeAt = aNow;
      host.mFirstProbeAt = host.mFirstProbeAt.value_or(aNow);
      mLinks.ProbeHost(held.mHost, aNow);
    }
  }
  for (const auto id : unopened) {
    OnHostConnectionLost(id, aNow);
  }
  for (const auto& host : unresponsive) {
    OnHostTimeout(host, aNow);
  }
}

void
session_forwarder::OnHostTimeout(const std::string& aHost, time_point aNow)
{
  Log(log_level::Warning,
      "session",
      "host does not respond; closing its sessions",
      { { "host", aHost } });
  mLinks.OnHostFailed(aHost, aNow);
  mHosts.erase(aHost);
  std::vector<session_id> lost;
  for (const auto& [id, held] : mSessions) {
    if (held.mHost.mName == aHost) {
      lost.push_back(id);
    }
  }
  for (const auto id : lost) {
    OnHostConnectionLost(id, aNow);
  }
}

void
session_forwarder::CloseIfDraining(session_id aSession)
{
  if (!mDraining || !IsForwarding(aSession)) {
    return;
  }
  const forwarded_session& state = mSessions.at(aSession).mState;
  if (state.IsIdle() || (mAborting && !state.PendingSince())) {
    CloseSession(aSession);
  }
}

void
session_forwarder::CloseIdleSessions()
{
  mDraining = true;
  std::vector<session_id> all;
  for (const auto& [id, held] : mSessions) {
    if (held.mOpened) {
      all.push_back(id);
    }
  }
  for (const auto id : all) {
    CloseIfDraining(id);
  }
}

void
session_forwarder::AbortTransactions()
{
  mAborting = true;
  CloseIdleSessions();
}

} // namespace snipewalk
