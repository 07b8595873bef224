// Implementation of the stand-in of the platform's object store.
#include "standins/platform_store.h"

#include "snipewalk/base/json_text.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace snipewalk::standins {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
// Multiplier of a sequence that spreads lost answers evenly over writes.
constexpr std::uint64_t kSpread = 37;

http_response
Response(int aStatus, const Json::Value& aBody)
{
  return JsonResponse(aStatus, WriteJson(aBody));
}

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

} // namespace

platform_store::platform_store(http_service& aHttp)
  : mHttp(aHttp)
{
}

void
platform_store::Change(const std::string& aKind,
                       const std::string& aName,
                       stored aObject)
{
  aObject.mRevision = ++mRevision;
  mObjects[aKind][aName] = std::move(aObject);
  AnswerWatches();
}

void
platform_store::ChangeExternally(const std::string& aKind,
                                 const std::string& aName,
                                 const stored& aObject)
{
  mLostWrites.erase({ aKind, aName });
  if (mCopy) {
    mWrittenSinceCopy[{ aKind, aName }] = aObject;
  }
  Change(aKind, aName, aObject);
}

void
platform_store::Write(const std::string& aKind,
                      const std::string& aName,
                      const Json::Value& aSpec)
{
  ChangeExternally(aKind, aName, { 0, aSpec, false });
}

void
platform_store::Delete(const std::string& aKind, const std::string& aName)
{
  ChangeExternally(aKind, aName, { 0, {}, true });
}

void
platform_store::TakeCopy()
{
  mCopy = { mObjects, mRevision };
  mWrittenSinceCopy.clear();
}

void
platform_store::ReturnFromCopy()
{
  if (!mCopy) {
    return;
  }
  mObjects = mCopy->mObjects;
  mRevision = mCopy->mRevision;
  mOldestRevision = mRevision;
  ++mEra;
  mCopy.reset();
  // An earlier return may have lost others.
  for (auto& [key, object] : mWrittenSinceCopy) {
    mLostWrites[key] = std::move(object);
  }
  mWrittenSinceCopy.clear();
  for (const auto& watch : std::exchange(mWatches, {})) {
    mHttp.Close(watch.mConnection);
  }
}

std::vector<std::pair<std::string, std::string>>
platform_store::LostWrites() const
{
  std::vector<std::pair<std::string, std::string>> lost;
  for (const auto& [key, object] : mLostWrites) {
    lost.push_back(key);
  }
  return lost;
}

void
platform_store::WriteLostAgain(const std::string& aKind,
                               const std::string& aName)
{
  const auto lost = mLostWrites.extract({ aKind, aName });
  if (!lost.empty()) {
    ChangeExternally(aKind, aName, lost.mapped());
  }
}

void
platform_store::Answer(connection_number aConnection, http_response aResponse)
{
  aResponse.mHeaders.Add("Store-Era", std::to_string(mEra));
  mHttp.Answer(aConnection, aResponse);
}

Json::Value
platform_store::Spec(const std::string& aKind, const std::string& aName) const
{
  const auto kind = mObjects.find(aKind);
  if (kind == mObjects.end()) {
    return {};
  }
  const auto object = kind->second.find(aName);
  return object == kind->second.end() ? Json::Value() : object->second.mSpec;
}

void
platform_store::Compact()
{
  mOldestRevision = mRevision;
}

void
platform_store::OnClosed(connection_number aConnection)
{
  std::erase_if(mWatches, [&](const waiting_watch& aWatch) {
    return aWatch.mConnection == aConnection;
  });
}

void
platform_store::OnCall(connection_number aConnection,
                       const http_request& aRequest)
{
  // "/v1/objects/KIND" with "/NAME" in calls for one object.
  const auto path = SplitPath(aRequest.mTarget);
  if (mDown || !path.ok() || path->size() < 3) {
    Answer(aConnection, Response(kUnavailable, Json::objectValue));
    return;
  }
  const std::string& kind = (*path)[2];
  if (aRequest.mMethod == "GET") {
    OnRead(aConnection, aRequest, kind);
  } else {
    OnWrite(aConnection, aRequest, kind);
  }
}

void
platform_store::OnRead(connection_number aConnection,
                       const http_request& aRequest,
                       const std::string& aKind)
{
  const auto from = QueryValue(aRequest.mTarget, "Watch");
  if (!from) {
    Answer(aConnection, Response(kOk, List(aKind)));
    return;
  }
  const std::uint64_t revision = std::stoull(*from);
  // Revisions that a return has undone are not part of the history.
  if (revision < mOldestRevision || revision > mRevision) {
    Answer(aConnection, Response(kGone, Json::objectValue));
    return;
  }
  mWatches.push_back({ aConnection, aKind, revision });
  AnswerWatches();
}

void
platform_store::OnWrite(connection_number aConnection,
                        const http_request& aRequest,
                        const std::string& aKind)
{
  const Json::Value body = *ParseJsonObject(aRequest.mBody);
  const std::string name = body["meta"]["Name"].asString();
  const stored& held = mObjects[aKind][name];
  const std::uint64_t revision = held.mDeleted ? 0 : held.mRevision;
  const std::uint64_t expected =
    aRequest.mMethod == "POST" ? 0 : body["meta"]["Revision"].asUInt64();
  const bool done = revision == expected;
  if (done) {
    Change(aKind, name, { 0, body["spec"], false });
  }
  const auto draw = static_cast<int>(++mWrites * kSpread % 100);
  if (draw < mLostAnswers) {
    mHttp.Close(aConnection);
    return;
  }
  const stored& now = mObjects[aKind][name];
  Answer(aConnection,
         Response(done ? kOk : kConflict,
                  ObjectJson(name, now.mRevision, now.mSpec)));
}

Json::Value
platform_store::List(const std::string& aKind) const
{
  Json::Value body;
  body["items"] = Json::arrayValue;
  body["More"] = false;
  body["At"] = Json::UInt64{ mRevision };
  const auto objects = mObjects.find(aKind);
  if (objects == mObjects.end()) {
    return body;
  }
  for (const auto& [name, object] : objects->second) {
    if (!object.mDeleted && object.mRevision != 0) {
      body["items"].append(ObjectJson(name, object.mRevision, object.mSpec));
    }
  }
  return body;
}

void
platform_store::AnswerWatches()
{
  for (auto it = mWatches.begin(); it != mWatches.end();) {
    Json::Value body;
    body["events"] = Json::arrayValue;
    body["At"] = Json::UInt64{ mRevision };
    for (const auto& [name, object] : mObjects[it->mKind]) {
      if (object.mRevision > it->mFrom) {
        Json::Value event;
        event["Deleted"] = object.mDeleted;
        event["Object"] = ObjectJson(name, object.mRevision, object.mSpec);
        body["events"].append(event);
      }
    }
    if (body["events"].empty()) {
      ++it;
      continue;
    }
    Answer(it->mConnection, Response(kOk, body));
    it = mWatches.erase(it);
  }
}

} // namespace snipewalk::standins
