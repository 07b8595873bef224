// Implementation of the fault-injecting TCP proxy's control endpoint.
#include "standins/fault_service.h"

#include "standins/backend_http.h"

#include <Poco/Exception.h>

#include <absl/strings/str_cat.h>

#include <optional>
#include <utility>

namespace snipewalk::standins {

namespace {

// Faults after a request; nothing when a field is malformed.
std::optional<link_faults>
Changed(link_faults aFaults, const Json::Value& aBody)
{
  std::uint64_t delay = static_cast<std::uint64_t>(aFaults.mDelay.count());
  std::uint64_t drop = static_cast<std::uint64_t>(aFaults.mDropPercent);
  const auto cut = aBody.isMember("cut")
                     ? ValueOf(kLinkCutNames, aBody["cut"].asString())
                     : std::optional(aFaults.mCut);
  if (!cut || !ReadNumber(aBody, "delay_ms", delay) ||
      !ReadNumber(aBody, "drop_percent", drop) || drop > 100) {
    return std::nullopt;
  }
  aFaults.mCut = *cut;
  aFaults.mDelay = milliseconds(delay);
  aFaults.mDropPercent = static_cast<int>(drop);
  aFaults.mFrozen = aBody.get("frozen", aFaults.mFrozen).asBool();
  aFaults.mRefuse = aBody.get("refuse", aFaults.mRefuse).asBool();
  return aFaults;
}

} // namespace

fault_service::fault_service(event_loop& aLoop,
                             std::uint16_t aPort,
                             std::uint64_t aSeed)
  : mLoop(aLoop)
  , mSeed(aSeed)
  , mHttp(aLoop,
          { [this](connection_number aConnection,
                   const http_request& aRequest,
                   time_point aNow) {
             try {
               mHttp.Answer(aConnection, Control(aRequest, aNow));
             } catch (const Json::Exception&) {
               mHttp.Answer(aConnection, JsonResponse(400, "{}"));
             }
           },
            [](connection_number) {},
            {} })
{
  mPort = mHttp.Listen(aPort);
}

std::uint16_t
fault_service::AddLink(const std::string& aName,
                       const std::string& aTarget,
                       std::uint16_t aPort)
{
  auto& link = mLinks[aName];
  // A link is replaced on the next round: its streams may be in use.
  if (link) {
    auto old = std::make_shared<std::unique_ptr<fault_link>>(std::move(link));
    (*old)->Reset();
    mLoop.Post([old] {});
  }
  link =
    std::make_unique<fault_link>(mLoop, aTarget, aPort, mSeed + mLinks.size());
  return link->Port();
}

http_response
fault_service::Control(const http_request& aRequest, time_point aNow)
{
  const auto path = SplitPath(aRequest.mTarget);
  if (!path.ok() || path->size() != 2 || path->front() != "standin") {
    return JsonResponse(404, "{}");
  }
  const std::string& name = path->back();
  if (aRequest.mMethod == "GET" && name == "stats") {
    return Stats();
  }
  const auto body = ParseJsonObject(aRequest.mBody);
  if (aRequest.mMethod != "POST" || !body.ok()) {
    return JsonResponse(400, "{}");
  }
  return name == "links" ? AddLink(*body) : Apply(name, *body, aNow);
}

http_response
fault_service::AddLink(const Json::Value& aBody)
{
  std::uint64_t port = 0;
  if (!aBody["name"].isString() || !aBody["target"].isString() ||
      !ReadNumber(aBody, "port", port) || port > 65'535) {
    return JsonResponse(400, "{}");
  }
  try {
    const std::uint16_t taken = AddLink(aBody["name"].asString(),
                                        aBody["target"].asString(),
                                        static_cast<std::uint16_t>(port));
    return JsonResponse(200, absl::StrCat("{\"port\":", taken, "}"));
  } catch (const Poco::Exception&) {
    mLinks.erase(aBody["name"].asString());
    return JsonResponse(409, "{\"error\":\"port is taken\"}");
  }
}

http_response
fault_service::Apply(const std::string& aName,
                     const Json::Value& aBody,
                     time_point aNow)
{
  const std::string asked = aBody.get("link", "").asString();
  bool found = false;
  for (auto& [name, link] : mLinks) {
    if (asked != "*" && asked != name) {
      continue;
    }
    found = true;
    if (aName == "reset") {
      link->Reset();
    } else if (aName == "silence") {
      link->SilenceEstablished();
    } else if (aName == "faults") {
      const auto faults = Changed(link->Faults(), aBody);
      if (!faults) {
        return JsonResponse(400, "{\"error\":\"bad faults\"}");
      }
      link->SetFaults(*faults, aNow);
    } else {
      return JsonResponse(404, "{}");
    }
  }
  return JsonResponse(found ? 200 : 404, "{}");
}

http_response
fault_service::Stats() const
{
  Json::Value stats;
  stats["links"] = Json::Value(Json::objectValue);
  for (const auto& [name, link] : mLinks) {
    Json::Value& entry = stats["links"][name];
    entry["port"] = link->Port();
    entry["target"] = link->Target();
    entry["connections"] = Json::UInt64(link->Connections());
    entry["accepted"] = Json::UInt64(link->Counts().mAccepted);
    entry["dropped"] = Json::UInt64(link->Counts().mDropped);
    entry["bytes_to_target"] = Json::UInt64(link->Counts().mBytesToTarget);
    entry["bytes_to_client"] = Json::UInt64(link->Counts().mBytesToClient);
    entry["bytes_lost"] = Json::UInt64(link->Counts().mBytesLost);
  }
  return JsonResponse(200, WriteJson(stats));
}

} // namespace snipewalk::standins
