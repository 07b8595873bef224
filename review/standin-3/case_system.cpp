// Implementation of the deployment of a case.
#include "case_system.h"

#include "snipewalk/base/json_text.h"
#include "snipewalk/session/fleet_records.h"
#include "standins/free_ports.h"
#include "standins/process_fleet.h"

#include <absl/strings/str_cat.h>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <utility>

namespace snipewalk::review {

namespace {

constexpr const char* kProgram = "target/snipewalk-sessions";
constexpr const char* kServerKind = "servers";
constexpr int kUnavailable = 503;
constexpr int kGraceSeconds = 6;
constexpr int kMaxConnections = 23;

std::string
Loopback(std::uint16_t aPort)
{
  return absl::StrCat("127.0.0.1:", aPort);
}

std::string
MakeFolder()
{
  std::string name =
    (std::filesystem::temp_directory_path() / "snipewalk-case-XXXXXX").string();
  return ::mkdtemp(name.data()) == nullptr ? std::string() : name;
}

Json::Value
Route(const std::string& aDatabase, const std::string& aKind, int aTimeoutMs)
{
  Json::Value route;
  route["Name"] = "r-" + aDatabase;
  route["DbName"] = aDatabase;
  route["Kind"] = aKind;
  route["TimeoutMs"] = aTimeoutMs;
  route["TargetLatencyMs"] = 250;
  route["Priority"] = 2;
  route["Service"] = case_system::kService;
  return route;
}

} // namespace

time_point
Now()
{
  return std::chrono::steady_clock::now();
}

bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

case_record::case_record(const std::string& aFolder)
  : mFile(aFolder + "/record.txt")
  , mStarted(Now())
{
}

void
case_record::Note(const std::string& aText)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mFile << ToMilliseconds(Now() - mStarted) << " ms  " << aText << std::endl;
}

case_system::case_system(case_record& aRecord,
                         const std::vector<std::string>& aInstances,
                         const std::vector<std::string>& aServers)
  : mRecord(aRecord)
  , mFolder(MakeFolder())
  , mStore(
      mLoop,
      [this](const http_request& aRequest) { return OnPromotion(aRequest); })
  , mDatabases(mLoop,
               kService,
               { [this](const std::string& aId, const Json::Value& aEntry) {
                  if (aEntry.isNull()) {
                    mStore.Delete(kServerKind, aId);
                  } else {
                    mStore.Write(kServerKind, aId, aEntry);
                  }
                },
                 [this](const std::string& aText) { mRecord.Note(aText); } })
{
  WriteDesiredState();
  for (const auto& id : aServers) {
    const std::string address = Loopback(standins::FreePorts(1).at(0));
    mServerAddresses[id] = address;
    mDatabases.Add(id, address, address);
  }
  for (const auto& name : aInstances) {
    const auto ports = standins::FreePorts(4);
    instance& added = mInstances[name];
    added.mCallers = ports.at(0);
    added.mReady = ports.at(1);
    added.mMetrics = ports.at(2);
    added.mPeers = ports.at(3);
    added.mSettingsPath = mFolder + "/" + name + ".json";
  }
  LinkInstances();
  mThread = std::thread([this] { mLoop.Run(); });
}

case_system::~case_system()
{
  for (auto& [name, one] : mInstances) {
    if (one.mProcess != 0) {
      ::kill(one.mProcess, SIGCONT);
      ::kill(one.mProcess, SIGKILL);
      ::waitpid(one.mProcess, nullptr, 0);
    }
  }
  mLoop.Stop();
  mThread.join();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(mFolder, ignored);
  } else {
    mRecord.Note("logs of the instances are in " + mFolder);
  }
}

void
case_system::WriteDesiredState()
{
  Json::Value state;
  state["Version"] = 3;
  Json::Value look = Route("look", "bounded_staleness", 2'000);
  look["MaxStalenessMs"] = static_cast<int>(kMaxStaleness.count());
  Json::Value own = Route("own", "read_your_writes", 800);
  own["MaxStalenessMs"] = 2'500;
  state["Routes"].append(Route("main", "primary", 800));
  state["Routes"].append(look);
  state["Routes"].append(own);
  Json::Value service;
  service["Name"] = kService;
  service["MaxConns"] = kMaxConnections;
  service["SyncReplicas"] = 1;
  state["Services"].append(service);
  state["Limits"]["TxIdleMs"] = 3'000;
  mStore.Write("config", "main", state);
}

void
case_system::LinkInstances()
{
  std::map<std::string, std::map<std::string, std::string>> seenAs;
  for (auto first = mInstances.begin(); first != mInstances.end(); ++first) {
    for (auto second = std::next(first); second != mInstances.end(); ++second) {
      const auto ports = standins::FreePorts(2);
      const std::string firstAddress = Loopback(first->second.mPeers);
      const std::string secondAddress = Loopback(second->second.mPeers);
      mRelays[{ first->first, second->first }] = std::make_unique<udp_relay>(
        mLoop, firstAddress, ports.at(0), secondAddress, ports.at(1));
      seenAs[second->first][firstAddress] = Loopback(ports.at(0));
      seenAs[first->first][secondAddress] = Loopback(ports.at(1));
    }
  }
  for (auto& [name, one] : mInstances) {
    for (const auto& [id, address] : mServerAddresses) {
      auto& link = one.mServerLinks[id];
      link = std::make_unique<tcp_link>(
        mLoop, standins::FreePorts(1).at(0), address);
      seenAs[name][address] = link->Address();
    }
    const auto ports = standins::FreePorts(2);
    mStore.Listen(ports.at(0), seenAs[name]);
    one.mStoreLink =
      std::make_unique<tcp_link>(mLoop, ports.at(1), Loopback(ports.at(0)));
    Json::Value settings;
    settings["instance"] = name;
    settings["data_centre"] = "dc1";
    settings["caller_address"] = Loopback(one.mCallers);
    settings["ready_address"] = Loopback(one.mReady);
    settings["peer_address"] = Loopback(one.mPeers);
    settings["metrics_address"] = Loopback(one.mMetrics);
    settings["store_address"] = one.mStoreLink->Address();
    settings["promotion_address"] = one.mStoreLink->Address();
    settings["shutdown_grace_seconds"] = kGraceSeconds;
    std::ofstream(one.mSettingsPath) << WriteJson(settings);
  }
}

http_response
case_system::OnPromotion(const http_request& aRequest)
{
  const auto body = ParseJsonObject(aRequest.mBody);
  const std::string id = body.ok() ? (*body)["Id"].asString() : std::string();
  mLastOrdered = id;
  if (mPromotionsDown) {
    mRecord.Note("order to promote " + id + ": the platform is down");
    return standins::JsonResponse(kUnavailable, "{}");
  }
  const bool done = mDatabases.Promote(id);
  mRecord.Note(absl::StrCat("order to promote ",
                            id,
                            " by ",
                            std::string(aRequest.mHeaders.Get("Lease-Holder")),
                            ", fence ",
                            std::string(aRequest.mHeaders.Get("Fencing-Token")),
                            done ? ": accepted" : ": refused"));
  return standins::JsonResponse(done ? 200 : 409, "{}");
}

bool
case_system::Start(const std::string& aInstance)
{
  instance& started = mInstances.at(aInstance);
  const std::string logPath = mFolder + "/" + aInstance + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   logPath.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   0644);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::string program = kProgram;
  std::string boot = "SNIPEWALK_BOOT=" + started.mSettingsPath;
  std::array<char*, 2> arguments{ program.data(), nullptr };
  std::array<char*, 2> environment{ boot.data(), nullptr };
  const int failure = ::posix_spawn(&started.mProcess,
                                    kProgram,
                                    &actions,
                                    nullptr,
                                    arguments.data(),
                                    environment.data());
  posix_spawn_file_actions_destroy(&actions);
  mRecord.Note("instance " + aInstance + " starts");
  return failure == 0;
}

bool
case_system::WaitUntilReady(const std::string& aInstance, milliseconds aTimeout)
{
  return standins::WaitFor(
    [&] {
      const auto probe = standins::HttpCall(mInstances.at(aInstance).mReady,
                                            "GET",
                                            "/v1/readyz",
                                            {},
                                            {},
                                            milliseconds(1'000));
      return probe.ok() && probe->mStatus == 200;
    },
    aTimeout);
}

std::uint16_t
case_system::CallerPort(const std::string& aInstance) const
{
  return mInstances.at(aInstance).mCallers;
}

std::string
case_system::DutyHolder()
{
  std::string holder;
  RunOnLoop([&] {
    holder = mStore.Spec(kFleetKind, kDutyRecordName)["holder"].asString();
  });
  return holder;
}

void
case_system::SetPromotionsDown(bool aDown)
{
  RunOnLoop([&] { mPromotionsDown = aDown; });
  mRecord.Note(aDown ? "promotions: down" : "promotions: up");
}

std::string
case_system::LastOrdered()
{
  std::string ordered;
  RunOnLoop([&] { ordered = mLastOrdered; });
  return ordered;
}

void
case_system::RunOnLoop(const std::function<void()>& aTask)
{
  std::promise<void> done;
  mLoop.Post([&] {
    aTask();
    done.set_value();
  });
  done.get_future().wait();
}

void
case_system::Run(const std::function<void(databases&)>& aTask)
{
  RunOnLoop([&] { aTask(mDatabases); });
}

void
case_system::AddServer(const std::string& aId)
{
  const std::string address = Loopback(standins::FreePorts(1).at(0));
  RunOnLoop([&] { mDatabases.Add(aId, address, address); });
}

void
case_system::CutStore(const std::string& aInstance, bool aCut)
{
  RunOnLoop([&] { mInstances.at(aInstance).mStoreLink->SetCut(aCut); });
}

void
case_system::CutServer(const std::string& aInstance,
                       const std::string& aServer,
                       bool aCut)
{
  RunOnLoop(
    [&] { mInstances.at(aInstance).mServerLinks.at(aServer)->SetCut(aCut); });
}

void
case_system::CutPeer(const std::string& aInstance,
                     const std::string& aOther,
                     bool aCut)
{
  RunOnLoop([&] {
    for (const auto& names :
         { std::pair(aInstance, aOther), std::pair(aOther, aInstance) }) {
      if (const auto found = mRelays.find(names); found != mRelays.end()) {
        found->second->SetCut(aCut);
      }
    }
  });
}

void
case_system::WatchStore(const std::string& aInstance,
                        tcp_link::watcher aWatcher)
{
  RunOnLoop([&] {
    mInstances.at(aInstance).mStoreLink->SetWatcher(std::move(aWatcher));
  });
}

} // namespace snipewalk::review
