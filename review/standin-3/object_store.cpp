// Implementation of the stand-in of the platform's store.
#include "object_store.h"

#include "snipewalk/base/json_text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <utility>

namespace snipewalk::review {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kNotFound = 404;

Json::Value
ObjectJson(const std::string& aName,
           std::uint64_t aRevision,
           const Json::Value& aSpec)
{
  Json::Value object;
  object["meta"]["Name"] = aName;
  object["meta"]["Revision"] = Json::UInt64{ aRevision };
  object["spec"] = aSpec;
  return object;
}

std::uint64_t
NumberIn(const http_request& aRequest, std::string_view aName)
{
  std::uint64_t number = 0;
  const auto text = QueryValue(aRequest.mTarget, aName);
  return text && absl::SimpleAtoi(*text, &number) ? number : 0;
}

} // namespace

object_store::object_store(event_loop& aLoop, other_handler aOnOther)
  : mLoop(aLoop)
  , mOnOther(std::move(aOnOther))
{
}

void
object_store::Listen(std::uint16_t aPort,
                     std::map<std::string, std::string> aSeenAs)
{
  mPorts.push_back(std::make_unique<port>());
  port& opened = *mPorts.back();
  opened.mSeenAs = std::move(aSeenAs);
  opened.mHttp = std::make_unique<standins::http_service>(
    mLoop,
    standins::http_service::handlers{
      [this, &opened](standins::connection_number aConnection,
                      const http_request& aRequest,
                      time_point) { OnCall(opened, aConnection, aRequest); },
      [&opened](standins::connection_number aConnection) {
        opened.mWatches.erase(aConnection);
      },
      {} });
  opened.mHttp->Listen(aPort);
}

void
object_store::Write(const std::string& aKind,
                    const std::string& aName,
                    const Json::Value& aSpec)
{
  Change(aKind, aName, { 0, aSpec, false });
}

void
object_store::Delete(const std::string& aKind, const std::string& aName)
{
  Change(aKind, aName, { 0, {}, true });
}

Json::Value
object_store::Spec(const std::string& aKind, const std::string& aName) const
{
  const auto kind = mObjects.find(aKind);
  if (kind == mObjects.end()) {
    return {};
  }
  const auto object = kind->second.find(aName);
  return object == kind->second.end() ? Json::Value() : object->second.mSpec;
}

void
object_store::Change(const std::string& aKind,
                     const std::string& aName,
                     stored aObject)
{
  aObject.mRevision = ++mRevision;
  mObjects[aKind][aName] = std::move(aObject);
  for (const auto& one : mPorts) {
    AnswerWatches(*one);
  }
}

void
object_store::OnCall(port& aPort,
                     standins::connection_number aConnection,
                     const http_request& aRequest)
{
  // "/v1/objects/KIND" with "/NAME" in calls for one object.
  const auto path = SplitPath(aRequest.mTarget);
  if (!path.ok() || path->size() < 3) {
    Answer(aPort, aConnection, mOnOther(aRequest));
    return;
  }
  const std::string& kind = (*path)[2];
  if (aRequest.mMethod != "GET") {
    http_request request = aRequest;
    for (const auto& [address, seen] : aPort.mSeenAs) {
      request.mBody = absl::StrReplaceAll(request.mBody, { { seen, address } });
    }
    Answer(aPort, aConnection, OnWrite(request, kind));
    return;
  }
  const std::uint64_t from = NumberIn(aRequest, "Watch");
  if (from == 0) {
    Answer(aPort, aConnection, List(kind));
    return;
  }
  aPort.mWatches[aConnection] = { kind, from };
  AnswerWatch(aPort, aConnection, false);
  const milliseconds wait(
    static_cast<std::int64_t>(NumberIn(aRequest, "WaitMs")));
  mLoop.RunAt(
    mLoop.Now() + wait, [this, &aPort, aConnection, from](time_point) {
      const auto found = aPort.mWatches.find(aConnection);
      if (found != aPort.mWatches.end() && found->second.mFrom == from) {
        AnswerWatch(aPort, aConnection, true);
      }
    });
}

http_response
object_store::OnWrite(const http_request& aRequest, const std::string& aKind)
{
  const auto body = ParseJsonObject(aRequest.mBody);
  if (!body.ok()) {
    return standins::JsonResponse(kConflict, "{}");
  }
  const std::string name = (*body)["meta"]["Name"].asString();
  const stored& held = mObjects[aKind][name];
  const std::uint64_t revision = held.mDeleted ? 0 : held.mRevision;
  const std::uint64_t expected =
    aRequest.mMethod == "POST" ? 0 : (*body)["meta"]["Revision"].asUInt64();
  const bool done = revision == expected;
  if (done) {
    Change(aKind, name, { 0, (*body)["spec"], false });
  }
  const stored& now = mObjects[aKind][name];
  return standins::JsonResponse(
    done ? kOk : kConflict,
    WriteJson(ObjectJson(name, now.mRevision, now.mSpec)));
}

http_response
object_store::List(const std::string& aKind) const
{
  Json::Value body;
  body["items"] = Json::arrayValue;
  body["More"] = false;
  body["At"] = Json::UInt64{ mRevision };
  const auto objects = mObjects.find(aKind);
  if (objects != mObjects.end()) {
    for (const auto& [name, object] : objects->second) {
      if (!object.mDeleted && object.mRevision != 0) {
        body["items"].append(ObjectJson(name, object.mRevision, object.mSpec));
      }
    }
  }
  return standins::JsonResponse(kOk, WriteJson(body));
}

void
object_store::Answer(port& aPort,
                     standins::connection_number aConnection,
                     http_response aResponse)
{
  for (const auto& [address, seen] : aPort.mSeenAs) {
    aResponse.mBody =
      absl::StrReplaceAll(aResponse.mBody, { { address, seen } });
  }
  aPort.mHttp->Answer(aConnection, aResponse);
}

void
object_store::AnswerWatches(port& aPort)
{
  std::vector<standins::connection_number> waiting;
  for (const auto& [connection, watch] : aPort.mWatches) {
    waiting.push_back(connection);
  }
  for (const auto connection : waiting) {
    AnswerWatch(aPort, connection, false);
  }
}

void
object_store::AnswerWatch(port& aPort,
                          standins::connection_number aConnection,
                          bool aAlsoEmpty)
{
  const waiting_watch watch = aPort.mWatches.at(aConnection);
  Json::Value body;
  body["events"] = Json::arrayValue;
  body["At"] = Json::UInt64{ mRevision };
  for (const auto& [name, object] : mObjects[watch.mKind]) {
    if (object.mRevision > watch.mFrom) {
      Json::Value event;
      event["Deleted"] = object.mDeleted;
      event["Object"] = ObjectJson(name, object.mRevision, object.mSpec);
      body["events"].append(event);
    }
  }
  if (!body["events"].empty() || aAlsoEmpty) {
    aPort.mWatches.erase(aConnection);
    Answer(aPort, aConnection, standins::JsonResponse(kOk, WriteJson(body)));
  }
}

} // namespace snipewalk::review
