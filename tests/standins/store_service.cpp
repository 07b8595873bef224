// Implementation of the stand-in store's adapter.
#include "standins/store_service.h"

#include "standins/backend_http.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <utility>

namespace snipewalk::standins {

namespace {

// Largest value that the platform's store accepts.
constexpr std::size_t kValueLimitBytes = 1'000'000;

std::string
QuotedVersion(std::uint64_t aVersion)
{
  return absl::StrCat("\"", aVersion, "\"");
}

// Condition of a change; nothing when its header is malformed.
std::optional<change_condition>
ConditionOf(const http_headers& aHeaders)
{
  change_condition condition;
  if (aHeaders.Has("If-None-Match")) {
    condition.mMustBeAbsent = true;
    return aHeaders.Get("If-None-Match") == "*" ? std::optional(condition)
                                                : std::nullopt;
  }
  if (aHeaders.Has("If-Match")) {
    const std::string text(aHeaders.Get("If-Match"));
    absl::string_view digits = text;
    absl::ConsumePrefix(&digits, "\"");
    absl::ConsumeSuffix(&digits, "\"");
    std::uint64_t version = 0;
    if (!absl::SimpleAtoi(digits, &version)) {
      return std::nullopt;
    }
    condition.mVersion = version;
  }
  return condition;
}

std::uint64_t
QueryNumber(const std::string& aTarget, std::string_view aName)
{
  std::uint64_t number = 0;
  const auto value = QueryValue(aTarget, aName);
  return value && absl::SimpleAtoi(*value, &number) ? number : 0;
}

} // namespace

store_service::store_service(event_loop& aLoop, const store_options& aOptions)
  : mLoop(aLoop)
  , mHttp(aLoop,
          { [this](connection_number aConnection,
                   const http_request& aRequest,
                   time_point aNow) {
             OnRequest(mHttp, aConnection, aRequest, aNow);
           },
            [this](connection_number aConnection) { EndWatch(aConnection); },
            {} })
  , mControl(aLoop,
             { [this](connection_number aConnection,
                      const http_request& aRequest,
                      time_point aNow) {
                OnRequest(mControl, aConnection, aRequest, aNow);
              },
               [](connection_number) {},
               {} })
{
  mPort = mHttp.Listen(aOptions.mPort);
  mControlPort = mControl.Listen(aOptions.mControlPort);
}

void
store_service::OnRequest(http_service& aFrom,
                         connection_number aConnection,
                         const http_request& aRequest,
                         time_point aNow)
{
  if (absl::StartsWith(aRequest.mTarget, "/standin/")) {
    try {
      aFrom.Answer(aConnection, Control(aRequest, aNow));
    } catch (const Json::Exception&) {
      aFrom.Answer(aConnection, JsonResponse(400, "{\"error\":\"type\"}"));
    }
    return;
  }
  if (&aFrom == &mControl) {
    aFrom.Answer(aConnection, JsonResponse(404, "{}"));
    return;
  }
  if (mOutage == store_outage::Hang) {
    return;
  }
  if (mOutage == store_outage::Unavailable) {
    mHttp.Answer(aConnection, JsonResponse(503, "{\"error\":\"outage\"}"));
    return;
  }
  if (mSlow == milliseconds(0)) {
    Serve(aConnection, aRequest, aNow);
    return;
  }
  mLoop.RunAt(aNow + mSlow, [this, aConnection, aRequest](time_point aWhen) {
    if (mOutage == store_outage::None) {
      Serve(aConnection, aRequest, aWhen);
    }
  });
}

void
store_service::Serve(connection_number aConnection,
                     const http_request& aRequest,
                     time_point aNow)
{
  const auto path = SplitPath(aRequest.mTarget);
  if (path.ok() && path->size() >= 2 && (*path)[0] == "v1") {
    if (path->size() == 4 && (*path)[1] == "objects") {
      ServeObject(aConnection, aRequest, { (*path)[2], (*path)[3] }, aNow);
      return;
    }
    if (aRequest.mMethod == "GET" && path->size() == 3 &&
        (*path)[1] == "objects") {
      ServeWatch(aConnection, (*path)[2], aRequest.mTarget, aNow);
      return;
    }
    if (aRequest.mMethod == "GET" && path->size() == 2 &&
        (*path)[1] == "instances") {
      ServeInstances(aConnection, aNow);
      return;
    }
  }
  mHttp.Answer(aConnection, JsonResponse(404, "{\"error\":\"no such path\"}"));
}

bool
store_service::Admit(connection_number aConnection,
                     const std::string& aKind,
                     call_meter::call_class aClass,
                     time_point aNow)
{
  if (mMeter.Count(aKind, aClass, aNow)) {
    return true;
  }
  http_response refusal = JsonResponse(429, "{\"error\":\"rate limit\"}");
  refusal.mHeaders.Add("Retry-After", "1");
  mHttp.Answer(aConnection, refusal);
  return false;
}

void
store_service::ServeObject(connection_number aConnection,
                           const http_request& aRequest,
                           const store_objects::object_name& aName,
                           time_point aNow)
{
  using call_class = call_meter::call_class;
  if (aRequest.mMethod == "GET") {
    if (Admit(aConnection, "get", call_class::Read, aNow)) {
      mHttp.Answer(aConnection, Get(aName));
    }
    return;
  }
  const bool isPut = aRequest.mMethod == "PUT";
  if (!isPut && aRequest.mMethod != "DELETE") {
    mHttp.Answer(aConnection, JsonResponse(405, "{}"));
    return;
  }
  if (!Admit(aConnection, isPut ? "put" : "delete", call_class::Write, aNow)) {
    return;
  }
  const http_response response = Change(aRequest, aName);
  if (response.mStatus == 200 && mLoseAnswers > 0) {
    --mLoseAnswers;
    mHttp.Close(aConnection);
  } else {
    mHttp.Answer(aConnection, response);
  }
  WakeWatches();
}

http_response
store_service::Get(const store_objects::object_name& aName) const
{
  const kept_object* object = mObjects.Get(aName);
  if (object == nullptr) {
    return JsonResponse(404, "{\"error\":\"not found\"}");
  }
  http_response response = JsonResponse(200, object->mValue);
  response.mHeaders.Add("ETag", QuotedVersion(object->mVersion));
  return response;
}

http_response
store_service::Change(const http_request& aRequest,
                      const store_objects::object_name& aName)
{
  const auto condition = ConditionOf(aRequest.mHeaders);
  if (!condition) {
    return JsonResponse(400, "{\"error\":\"malformed condition\"}");
  }
  if (aRequest.mBody.size() > kValueLimitBytes) {
    return JsonResponse(413, "{\"error\":\"value too large\"}");
  }
  const auto version = aRequest.mMethod == "PUT"
                         ? mObjects.Put(aName, aRequest.mBody, *condition)
                         : mObjects.Delete(aName, *condition);
  if (version) {
    http_response response =
      JsonResponse(200, absl::StrCat("{\"version\":", *version, "}"));
    response.mHeaders.Add("ETag", QuotedVersion(*version));
    return response;
  }
  const kept_object* present = mObjects.Get(aName);
  if (present == nullptr && aRequest.mMethod == "DELETE" &&
      !condition->mVersion) {
    return JsonResponse(404, "{\"error\":\"not found\"}");
  }
  // A conflict shows the present value, so that the loser need not ask.
  http_response conflict =
    JsonResponse(412, present == nullptr ? std::string() : present->mValue);
  if (present != nullptr) {
    conflict.mHeaders.Add("ETag", QuotedVersion(present->mVersion));
  }
  return conflict;
}

void
store_service::ServeWatch(connection_number aConnection,
                          const std::string& aKind,
                          const std::string& aTarget,
                          time_point aNow)
{
  if (!Admit(aConnection, "watch", call_meter::call_class::Read, aNow)) {
    return;
  }
  pending_watch watch{ aKind, QueryNumber(aTarget, "from"), 0 };
  const milliseconds wait(QueryNumber(aTarget, "wait_ms"));
  if (AnswerWatch(
        aConnection, watch, watch.mFrom == 0 || wait == milliseconds(0))) {
    return;
  }
  watch.mTimer = mLoop.RunAt(aNow + wait, [this, aConnection](time_point) {
    // Taken out first: the answer may close the connection.
    const auto ended = mWatches.extract(aConnection);
    if (!ended.empty() && mOutage == store_outage::None) {
      AnswerWatch(aConnection, ended.mapped(), true);
    }
  });
  mWatches[aConnection] = std::move(watch);
}

bool
store_service::AnswerWatch(connection_number aConnection,
                           const pending_watch& aWatch,
                           bool aMust)
{
  const auto changed = mObjects.ChangedAfter(aWatch.mKind, aWatch.mFrom);
  if (changed.empty() && !aMust) {
    return false;
  }
  Json::Value body;
  body["revision"] = Json::UInt64(mObjects.Revision());
  body["objects"] = Json::Value(Json::arrayValue);
  for (const auto& [name, object] : changed) {
    Json::Value entry;
    entry["kind"] = aWatch.mKind;
    entry["name"] = name;
    entry["version"] = Json::UInt64(object.mVersion);
    entry["deleted"] = object.mDeleted;
    entry["value"] = object.mValue;
    body["objects"].append(entry);
  }
  mHttp.Answer(aConnection, JsonResponse(200, WriteJson(body)));
  return true;
}

void
store_service::WakeWatches()
{
  if (mOutage != store_outage::None) {
    return;
  }
  for (auto& [connection, watch] : std::exchange(mWatches, {})) {
    if (AnswerWatch(connection, watch, false)) {
      mLoop.Cancel(watch.mTimer);
    } else {
      mWatches.emplace(connection, std::move(watch));
    }
  }
}

void
store_service::EndWatch(connection_number aConnection)
{
  const auto found = mWatches.find(aConnection);
  if (found != mWatches.end()) {
    mLoop.Cancel(found->second.mTimer);
    mWatches.erase(found);
  }
}

void
store_service::ServeInstances(connection_number aConnection, time_point aNow)
{
  if (!Admit(aConnection, "instances", call_meter::call_class::Read, aNow)) {
    return;
  }
  Json::Value body;
  body["instances"] = Json::Value(Json::arrayValue);
  for (const auto& [name, state] : mInstances.Visible(aNow)) {
    Json::Value instance;
    instance["name"] = name;
    instance["state"] = state;
    body["instances"].append(instance);
  }
  mHttp.Answer(aConnection, JsonResponse(200, WriteJson(body)));
}

} // namespace snipewalk::standins
