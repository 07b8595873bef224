// Implementation of the stand-in backend server's adapter.
#include "standins/backend_service.h"

#include "standins/backend_http.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace snipewalk::standins {

namespace {

// A connection that is opened in advance counts although it is idle.
constexpr milliseconds kClassifyAfter{ 50 };
constexpr std::uint64_t kLogPageEntries = 5'000;

std::optional<pull_request>
UnpackPull(const std::string& aBody)
{
  try {
    return msgpack::unpack(aBody.data(), aBody.size()).get().as<pull_request>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

http_response
PullResponse(const pull_reply& aReply)
{
  std::ostringstream out;
  msgpack::pack(out, aReply);
  http_response response;
  response.mBody = out.str();
  return response;
}

Json::Value
EntryJson(const log_entry& aEntry)
{
  Json::Value entry;
  entry["term"] = Json::UInt64(aEntry.mTerm);
  entry["index"] = Json::UInt64(aEntry.mIndex);
  entry["key"] = aEntry.mIdempotencyKey;
  entry["outcome"] = aEntry.mOutcome;
  entry["effects"] = Json::Value(Json::arrayValue);
  for (const auto& [key, value] : aEntry.mEffects) {
    Json::Value effect;
    effect["key"] = key;
    effect["value"] = value;
    entry["effects"].append(effect);
  }
  return entry;
}

} // namespace

backend_service::backend_service(event_loop& aLoop,
                                 const backend_options& aOptions)
  : mLoop(aLoop)
  , mOptions(aOptions)
  , mServer(aOptions.mName)
  , mHttp(aLoop,
          { [this](connection_number aConnection,
                   http_request aRequest,
                   time_point aNow) {
             OnRequest(aConnection, std::move(aRequest), aNow);
           },
            [this](connection_number aConnection) { OnClosed(aConnection); },
            [this](connection_number aConnection) { OnOpened(aConnection); } })
  , mReplicator(aLoop, mServer, [this](time_point) { mChanged = true; })
{
  mHttp.SetSetUpDelay(mOptions.mSetUpDelay);
  mPort = mHttp.Listen(mOptions.mPort);
  mLoop.SetAfterRound([this](time_point aNow) { AfterRound(aNow); });
}

void
backend_service::OnOpened(connection_number aConnection)
{
  mClasses[aConnection] = connection_class::New;
  mLoop.RunAt(mLoop.Now() + kClassifyAfter, [this, aConnection](time_point) {
    const auto found = mClasses.find(aConnection);
    if (found != mClasses.end() && found->second == connection_class::New) {
      Count(aConnection);
    }
  });
}

bool
backend_service::Count(connection_number aConnection)
{
  if (mCounted >= mOptions.mMaxConnections) {
    ++mRefused;
    mClasses.erase(aConnection);
    mHttp.Close(aConnection);
    return false;
  }
  ++mCounted;
  mMaxSeen = std::max(mMaxSeen, mCounted);
  mClasses[aConnection] = connection_class::Counted;
  return true;
}

void
backend_service::OnClosed(connection_number aConnection)
{
  const auto found = mClasses.find(aConnection);
  if (found == mClasses.end()) {
    return;
  }
  mCounted -= found->second == connection_class::Counted ? 1 : 0;
  mClasses.erase(found);
  std::erase_if(mOpen, [&](const auto& aEntry) {
    return aEntry.second.mConnection == aConnection;
  });
  mServer.CloseClient(aConnection);
  mChanged = true;
}

void
backend_service::OnRequest(connection_number aConnection,
                           http_request aRequest,
                           time_point aNow)
{
  const bool internal = absl::StartsWith(aRequest.mTarget, "/standin/");
  connection_class& kind = mClasses[aConnection];
  if (kind == connection_class::New) {
    if (internal) {
      kind = connection_class::Internal;
    } else if (!Count(aConnection)) {
      return;
    }
  }
  const bool isPull = aRequest.mTarget == kPullPath;
  if (internal && !isPull) {
    try {
      ServeControl(aConnection, aRequest);
    } catch (const Json::Exception&) {
      mHttp.Answer(aConnection, JsonResponse(400, "{\"error\":\"type\"}"));
    }
  } else if (mPaused) {
    mHeld.emplace_back(aConnection, std::move(aRequest));
  } else if (isPull) {
    ServePull(aConnection, aRequest, aNow);
  } else {
    ServeCaller(aConnection, aRequest, aNow);
  }
}

void
backend_service::ServeCaller(connection_number aConnection,
                             const http_request& aRequest,
                             time_point aNow)
{
  auto request = ParseBackendRequest(aRequest);
  if (!request) {
    http_response refusal = JsonResponse(400, "{\"error\":\"bad request\"}");
    refusal.mHeaders.Add("Reason", "malformed");
    mHttp.Answer(aConnection, refusal);
    return;
  }
  const request_ticket ticket = mNextTicket++;
  mOpen[ticket] = { aConnection, request };
  mServer.Submit(ticket, aConnection, *std::move(request), aNow);
  mChanged = true;
}

void
backend_service::ServePull(connection_number aConnection,
                           const http_request& aRequest,
                           time_point aNow)
{
  const auto pull = UnpackPull(aRequest.mBody);
  if (!pull) {
    mHttp.Answer(aConnection, JsonResponse(400, "{}"));
    return;
  }
  const request_ticket ticket = mNextTicket++;
  mOpen[ticket] = { aConnection, std::nullopt };
  mServer.Pull(ticket, *pull, aNow);
  mChanged = true;
}

void
backend_service::AfterRound(time_point aNow)
{
  if (!std::exchange(mChanged, false)) {
    return;
  }
  if (!mPaused) {
    mServer.Advance(aNow);
    mReplicator.Step(aNow);
  }
  for (const server_action& action : mServer.TakeActions()) {
    Deliver(action);
  }
  const auto next = mPaused ? std::nullopt : mServer.NextTimer();
  if (next == mTimerDue) {
    return;
  }
  mLoop.Cancel(mTimer);
  mTimerDue = next;
  if (next) {
    mTimer = mLoop.RunAt(*next, [this](time_point) {
      mTimerDue.reset();
      mChanged = true;
    });
  }
}

void
backend_service::Deliver(const server_action& aAction)
{
  const request_ticket ticket =
    std::visit([](const auto& aAny) { return aAny.mTicket; }, aAction);
  const auto found = mOpen.find(ticket);
  if (found == mOpen.end()) {
    return;
  }
  const open_request open = std::move(found->second);
  mOpen.erase(found);
  if (const auto* answer = std::get_if<answer_client>(&aAction)) {
    mHttp.Answer(open.mConnection,
                 WriteBackendReply(*open.mRequest, answer->mReply));
  } else if (const auto* pull = std::get_if<answer_pull>(&aAction)) {
    mHttp.Answer(open.mConnection, PullResponse(pull->mReply));
  } else {
    mHttp.Close(open.mConnection);
    OnClosed(open.mConnection);
  }
}

void
backend_service::ServeControl(connection_number aConnection,
                              const http_request& aRequest)
{
  const auto path = SplitPath(aRequest.mTarget);
  const std::string name =
    path.ok() && path->size() == 2 ? (*path)[1] : std::string();
  if (aRequest.mMethod == "GET" && name == "stats") {
    mHttp.Answer(aConnection, Stats());
  } else if (aRequest.mMethod == "GET" && name == "log") {
    mHttp.Answer(aConnection, LogPage(aRequest.mTarget));
  } else if (aRequest.mMethod == "POST" && name == "faults") {
    mHttp.Answer(aConnection, SetFaults(aRequest.mBody));
  } else {
    mHttp.Answer(aConnection, JsonResponse(404, "{}"));
  }
}

http_response
backend_service::Stats() const
{
  Json::Value stats;
  stats["server"] = mOptions.mName;
  const server_status status = mServer.Status();
  stats["term"] = Json::UInt64(status.mTerm);
  stats["role"] = std::string(NameOf(kServerRoleNames, status.mRole));
  stats["received"] = Json::UInt64(status.mReceived);
  stats["applied"] = Json::UInt64(status.mApplied);
  stats["statements"] = Json::Value(Json::objectValue);
  for (const auto& [kind, count] : mServer.Counts().mStatements) {
    stats["statements"][kind] = Json::UInt64(count);
  }
  stats["refusals"] = Json::Value(Json::objectValue);
  for (const auto& [reason, count] : mServer.Counts().mRefusals) {
    stats["refusals"][reason] = Json::UInt64(count);
  }
  stats["replayed"] = Json::UInt64(mServer.Counts().mReplayed);
  stats["transactions"] = Json::UInt64(mServer.OpenTransactions());
  stats["connections"]["now"] = Json::UInt64(mCounted);
  stats["connections"]["max"] = Json::UInt64(mMaxSeen);
  stats["connections"]["refused"] = Json::UInt64(mRefused);
  stats["connections"]["limit"] = Json::UInt64(mOptions.mMaxConnections);
  stats["paused"] = mPaused;
  return JsonResponse(200, WriteJson(stats));
}

http_response
backend_service::LogPage(const std::string& aTarget) const
{
  std::uint64_t from = 1;
  const auto asked = QueryValue(aTarget, "from");
  if (asked && !absl::SimpleAtoi(*asked, &from)) {
    return JsonResponse(400, "{}");
  }
  const standin_log& log = mServer.Log();
  Json::Value page;
  page["entries"] = Json::Value(Json::arrayValue);
  std::uint64_t index = std::max<std::uint64_t>(from, 1);
  for (std::uint64_t taken = 0;
       taken < kLogPageEntries && log.At(index) != nullptr;
       ++taken, ++index) {
    page["entries"].append(EntryJson(*log.At(index)));
  }
  page["next"] = Json::UInt64(index);
  page["received"] = Json::UInt64(log.Received());
  page["applied"] = Json::UInt64(log.Applied());
  return JsonResponse(200, WriteJson(page));
}

http_response
backend_service::SetFaults(const std::string& aBody)
{
  const auto body = ParseJsonObject(aBody);
  const server_faults old = mServer.Faults();
  std::uint64_t apply = static_cast<std::uint64_t>(old.mApplyLag.count());
  std::uint64_t receive = static_cast<std::uint64_t>(old.mReceiveLag.count());
  std::uint64_t delay = static_cast<std::uint64_t>(old.mExecutionDelay.count());
  server_faults faults = old;
  if (!body.ok() || !ReadNumber(*body, "apply_lag_ms", apply) ||
      !ReadNumber(*body, "receive_lag_ms", receive) ||
      !ReadNumber(*body, "execution_delay_ms", delay) ||
      !ReadNumber(*body, "lose_answers", faults.mAnswersToLose)) {
    return JsonResponse(400, "{\"error\":\"bad faults\"}");
  }
  faults.mApplyLag = milliseconds(apply);
  faults.mReceiveLag = milliseconds(receive);
  faults.mExecutionDelay = milliseconds(delay);
  mServer.SetFaults(faults);
  mPaused = body->get("pause", mPaused).asBool();
  // Held requests run from the loop, after this answer.
  if (!mPaused) {
    mLoop.Post([this, held = std::exchange(mHeld, {})] {
      for (const auto& [connection, request] : held) {
        if (mClasses.count(connection) > 0) {
          OnRequest(connection, request, mLoop.Now());
        }
      }
    });
  }
  mChanged = true;
  return JsonResponse(200, "{}");
}

} // namespace snipewalk::standins
