// Implementation of the stand-in of the users' platform.
#include "standins/platform_standin.h"

#include "snipewalk/base/json_text.h"
#include "snipewalk/session/fleet_records.h"

#include <absl/strings/str_cat.h>

#include <future>
#include <utility>

namespace snipewalk::standins {

namespace {

constexpr const char* kServerKind = "servers";

Json::Value
DesiredState(int aMaxConnections)
{
  const char* const text =
    R"({"Version":3,"Routes":[)"
    R"({"Name":"a","DbName":"main","Kind":"primary","TimeoutMs":3000,)"
    R"("TargetLatencyMs":150,"Priority":1,"Service":"ledger"},)"
    R"({"Name":"b","DbName":"own","Kind":"read_your_writes","TimeoutMs":3000,)"
    R"("Priority":2,"Service":"ledger","MaxStalenessMs":2500}],)"
    R"("Services":[{"Name":"ledger","SyncReplicas":1}],)"
    R"("Limits":{"TxIdleMs":3000}})";
  Json::Value state = *ParseJsonObject(text);
  state["Services"][0]["MaxConns"] = aMaxConnections;
  return state;
}

} // namespace

platform_standin::platform_standin(
  int aServers,
  int aMaxConnections,
  std::function<std::string(const std::string&)> aAddress)
  : mHttp(
      mLoop,
      { [this](connection_number aConnection,
               const http_request& aRequest,
               time_point) { OnCall(aConnection, aRequest); },
        [this](connection_number aConnection) { mStore.OnClosed(aConnection); },
        {} })
  , mStore(mHttp)
  , mServers(mLoop,
             kService,
             aMaxConnections,
             { [this](const std::string& aId, const Json::Value& aEntry) {
                if (aEntry.isNull()) {
                  mStore.Delete(kServerKind, aId);
                } else {
                  mStore.Write(kServerKind, aId, aEntry);
                }
              },
               std::move(aAddress) })
  , mPromotions(mLoop, mHttp, mServers)
{
  mHttpPort = mHttp.Listen(0);
  mStore.Write("config", "main", DesiredState(aMaxConnections));
  for (int i = 0; i < aServers; ++i) {
    mServers.Add();
  }
  mThread = std::thread([this] { mLoop.Run(); });
}

platform_standin::~platform_standin()
{
  mLoop.Stop();
  mThread.join();
}

std::string
platform_standin::StoreAddress() const
{
  return absl::StrCat("127.0.0.1:", mHttpPort);
}

void
platform_standin::RunOnLoop(const std::function<void()>& aTask)
{
  std::promise<void> done;
  mLoop.Post([&] {
    aTask();
    done.set_value();
  });
  done.get_future().wait();
}

void
platform_standin::Change(
  const std::function<void(line_server_group&, platform_store&)>& aTask)
{
  RunOnLoop([&] { aTask(mServers, mStore); });
}

void
platform_standin::ChangePromotions(
  const std::function<void(promotion_service&)>& aTask)
{
  RunOnLoop([&] { aTask(mPromotions); });
}

std::string
platform_standin::RecordedPhase()
{
  std::string phase;
  RunOnLoop([&] {
    phase =
      mStore.Spec(kFleetKind, PrimaryRecordName(kService))["phase"].asString();
  });
  return phase;
}

std::string
platform_standin::DutyHolder()
{
  std::string holder;
  RunOnLoop([&] {
    holder = mStore.Spec(kFleetKind, kDutyRecordName)["holder"].asString();
  });
  return holder;
}

void
platform_standin::OnCall(connection_number aConnection,
                         const http_request& aRequest)
{
  const auto path = SplitPath(aRequest.mTarget);
  if (path.ok() && path->size() == 1 && path->front() == "promote") {
    mPromotions.OnCall(aConnection, aRequest);
  } else {
    mStore.OnCall(aConnection, aRequest);
  }
}

void
platform_standin::Crash(const std::string& aServer)
{
  Change([&](line_server_group& aServers, platform_store&) {
    aServers.Crash(aServer);
  });
}

void
platform_standin::Drain(const std::string& aServer)
{
  Change([&](line_server_group& aServers, platform_store&) {
    aServers.Drain(aServer);
  });
}

void
platform_standin::SetStoreDown(bool aDown)
{
  Change(
    [&](line_server_group&, platform_store& aStore) { aStore.SetDown(aDown); });
}

std::string
platform_standin::Primary()
{
  std::string primary;
  Change([&](const line_server_group& aServers, const platform_store&) {
    const auto leading = aServers.Leading();
    primary = leading.empty() ? "" : leading.back();
  });
  return primary;
}

int
platform_standin::Promotions()
{
  int promotions = 0;
  Change([&](const line_server_group& aServers, const platform_store&) {
    promotions = aServers.Promotions();
  });
  return promotions;
}

std::map<std::string, std::string>
platform_standin::Items()
{
  std::map<std::string, std::string> items;
  Change([&](const line_server_group& aServers, const platform_store&) {
    items = aServers.Items();
  });
  return items;
}

} // namespace snipewalk::standins
