// Control endpoint of the stand-in store: faults, instances and counts.
#include "standins/store_service.h"

#include "standins/backend_http.h"

#include <utility>

namespace snipewalk::standins {

http_response
store_service::Control(const http_request& aRequest, time_point aNow)
{
  const auto path = SplitPath(aRequest.mTarget);
  const std::string name =
    path.ok() && path->size() == 2 ? (*path)[1] : std::string();
  if (aRequest.mMethod == "GET" && name == "stats") {
    return Stats();
  }
  if (aRequest.mMethod == "POST" && name == "faults") {
    return SetFaults(aRequest.mBody);
  }
  if (aRequest.mMethod == "POST" && name == "instances") {
    return SetInstances(aRequest.mBody, aNow);
  }
  return JsonResponse(404, "{}");
}

http_response
store_service::Stats() const
{
  Json::Value stats;
  stats["revision"] = Json::UInt64(mObjects.Revision());
  stats["calls"] = Json::Value(Json::objectValue);
  for (const auto& [kind, count] : mMeter.ByKind()) {
    stats["calls"][kind] = Json::UInt64(count);
  }
  stats["rate_limited"] = Json::UInt64(mMeter.Refused());
  stats["peak_per_second"]["reads"] = Json::UInt64(mMeter.PeakReads());
  stats["peak_per_second"]["writes"] = Json::UInt64(mMeter.PeakWrites());
  stats["peak_per_second"]["calls"] = Json::UInt64(mMeter.PeakCalls());
  stats["watches_pending"] = Json::UInt64(mWatches.size());
  stats["connections"] = Json::UInt64(mHttp.Connections());
  stats["outage"] = std::string(NameOf(kStoreOutageNames, mOutage));
  return JsonResponse(200, WriteJson(stats));
}

http_response
store_service::SetFaults(const std::string& aBody)
{
  const auto body = ParseJsonObject(aBody);
  std::uint64_t slow = static_cast<std::uint64_t>(mSlow.count());
  std::uint64_t lag = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t lose = mLoseAnswers;
  const auto outage =
    body.ok()
      ? ValueOf(kStoreOutageNames, body->get("outage", "none").asString())
      : std::nullopt;
  if (!outage || !ReadNumber(*body, "slow_ms", slow) ||
      !ReadNumber(*body, "lose_answers", lose) ||
      !ReadNumber(*body, "instances_lag_ms", lag) ||
      !ReadNumber(*body, "reads_per_second", reads) ||
      !ReadNumber(*body, "writes_per_second", writes)) {
    return JsonResponse(400, "{\"error\":\"bad faults\"}");
  }
  mSlow = milliseconds(slow);
  mLoseAnswers = lose;
  if (body->isMember("instances_lag_ms")) {
    mInstances.SetLag(milliseconds(lag));
  }
  if (body->isMember("reads_per_second") ||
      body->isMember("writes_per_second")) {
    mMeter.SetLimits(reads, writes);
  }
  if (body->isMember("outage")) {
    SetOutage(*outage);
  }
  return JsonResponse(200, "{}");
}

void
store_service::SetOutage(store_outage aOutage)
{
  const store_outage old = std::exchange(mOutage, aOutage);
  if (aOutage == old) {
    return;
  }
  // Posted: the request may have come over the port that closes.
  mLoop.Post([this, aOutage, old] {
    if (aOutage == store_outage::Refuse) {
      for (const auto& [connection, watch] : mWatches) {
        mLoop.Cancel(watch.mTimer);
      }
      mWatches.clear();
      mHttp.Shut();
    } else if (old == store_outage::Refuse) {
      mHttp.Listen(mPort);
    }
    WakeWatches();
  });
}

http_response
store_service::SetInstances(const std::string& aBody, time_point aNow)
{
  const auto body = ParseJsonObject(aBody);
  if (!body.ok() || !(*body)["instances"].isArray()) {
    return JsonResponse(400, "{}");
  }
  instance_list::instances instances;
  for (const Json::Value& entry : (*body)["instances"]) {
    if (!entry.isObject() || !entry["name"].isString()) {
      return JsonResponse(400, "{}");
    }
    instances.emplace_back(entry["name"].asString(),
                           entry.get("state", "live").asString());
  }
  mInstances.Set(std::move(instances), aNow);
  return JsonResponse(200, "{}");
}

} // namespace snipewalk::standins
