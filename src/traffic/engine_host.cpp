// Implementation of the host of a service engine.
#include "snipewalk/traffic/engine_host.h"

#include "snipewalk/connection/backend_connection.h"

#include <utility>

namespace snipewalk {

engine_host::engine_host(event_loop& aLoop,
                         std::string aService,
                         const engine_options& aOptions,
                         const address_translation& aTranslation,
                         evidence_handler aOnEvidence)
  : mLoop(aLoop)
  , mService(std::move(aService))
  , mEngine(mService, aOptions)
  , mTranslation(aTranslation)
  , mOnEvidence(std::move(aOnEvidence))
{
}

engine_host::~engine_host()
{
  mLoop.Cancel(mTimer);
  for (const auto& [id, connection] : mConnections) {
    connection->Close();
  }
  for (const auto& [id, connection] : mEnding) {
    connection->Close();
  }
}

void
engine_host::Handle(engine_event aEvent)
{
  mEvents.push_back(std::move(aEvent));
  if (mHandling) {
    return;
  }
  mHandling = true;
  while (!mEvents.empty()) {
    const engine_event event = std::move(mEvents.front());
    mEvents.pop_front();
    mActions.clear();
    mEngine.Handle(
      event, mLoop.Now(), std::chrono::system_clock::now(), mActions);
    for (auto& action : mActions) {
      Apply(action);
    }
  }
  mHandling = false;
}

void
engine_host::Submit(forwarded_request aRequest, const responder& aRespond)
{
  const std::string id = RequestIdOf(aRequest);
  const auto [entry, added] = mResponders.emplace(id, aRespond);
  if (!added) {
    statement_response refusal;
    refusal.mRequestId = id;
    refusal.mReason = refusal_reason::Conflict;
    refusal.mMessage = "a request with this id is in flight";
    aRespond(std::move(refusal), mLoop.Now());
    return;
  }
  if (auto* statement = std::get_if<statement_request>(&aRequest)) {
    Handle(statement_submitted{ std::move(*statement) });
  } else {
    Handle(outcome_submitted{ std::get<outcome_request>(std::move(aRequest)) });
  }
}

void
engine_host::Apply(engine_action& aAction)
{
  if (const auto* open = std::get_if<open_connection>(&aAction)) {
    Open(*open);
  } else if (const auto* close = std::get_if<close_connection>(&aAction)) {
    if (close->mAwaitEnd) {
      AwaitEnd(close->mConnection);
    } else {
      CloseConnection(close->mConnection);
    }
  } else if (const auto* send = std::get_if<send_request>(&aAction)) {
    Send(*send);
  } else if (auto* answer = std::get_if<answer_request>(&aAction)) {
    Answer(std::move(answer->mResponse));
  } else if (mOnEvidence) {
    mOnEvidence(std::get<report_evidence>(aAction));
  }
}

void
engine_host::Open(const open_connection& aAction)
{
  const connection_id id = aAction.mConnection;
  backend_connection::handlers handlers;
  handlers.mOnOpened = [this, id](time_point) {
    Handle(connection_opened{ id });
  };
  handlers.mOnClosed = [this, id](bool aRefused, time_point) {
    OnClosed(id, aRefused);
  };
  handlers.mOnReply = [this, id](backend_reply aReply, time_point) {
    Handle(reply_received{ id, std::move(aReply) });
  };
  mConnections[id] = std::make_shared<backend_connection>(
    mLoop, Translate(mTranslation, aAction.mServer), std::move(handlers));
}

void
engine_host::CloseConnection(connection_id aConnection)
{
  auto found = mConnections.extract(aConnection);
  if (found.empty()) {
    found = mEnding.extract(aConnection);
  }
  if (!found.empty()) {
    found.mapped()->Close();
    Discard(std::move(found.mapped()));
  }
}

void
engine_host::AwaitEnd(connection_id aConnection)
{
  auto found = mConnections.extract(aConnection);
  const auto onEnd = [this, aConnection](time_point) {
    auto ended = mEnding.extract(aConnection);
    if (!ended.empty()) {
      Discard(std::move(ended.mapped()));
    }
    Handle(connection_ended{ aConnection });
  };
  if (!found.empty() && found.mapped()->CloseAwaitingEnd(onEnd)) {
    mEnding.insert(std::move(found));
    return;
  }
  // The server has closed it already.
  if (!found.empty()) {
    Discard(std::move(found.mapped()));
  }
  Handle(connection_ended{ aConnection });
}

void
engine_host::Send(const send_request& aAction)
{
  const auto found = mConnections.find(aAction.mConnection);
  if (found == mConnections.end()) {
    // The engine learns of the loss by the event queued before.
    return;
  }
  if (!found->second->Send(aAction.mRequest)) {
    CloseConnection(aAction.mConnection);
    Handle(connection_closed{ aAction.mConnection, false });
  }
}

void
engine_host::Answer(statement_response aResponse)
{
  auto found = mResponders.extract(aResponse.mRequestId);
  if (!found.empty()) {
    found.mapped()(std::move(aResponse), mLoop.Now());
  }
}

void
engine_host::OnClosed(connection_id aConnection, bool aRefused)
{
  auto found = mConnections.extract(aConnection);
  if (found.empty()) {
    return;
  }
  Discard(std::move(found.mapped()));
  Handle(connection_closed{ aConnection, aRefused });
}

void
engine_host::Discard(std::shared_ptr<backend_connection> aConnection)
{
  mLoop.Post([connection = std::move(aConnection)] {});
}

void
engine_host::ArmTimer()
{
  const auto due = mEngine.NextTimer();
  if (mTimer != 0 && due && *due == mTimerDue) {
    return;
  }
  mLoop.Cancel(mTimer);
  mTimer = 0;
  if (!due) {
    return;
  }
  mTimerDue = *due;
  mTimer = mLoop.RunAt(*due, [this](time_point) {
    mTimer = 0;
    Handle(timer_expired());
  });
}

std::string
engine_host::Explain(const statement_request& aRequest) const
{
  return mEngine.Explain(aRequest, mLoop.Now());
}

} // namespace snipewalk
