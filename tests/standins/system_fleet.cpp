// Implementation of a whole system of processes for a test.
#include "standins/system_fleet.h"

#include "standins/free_ports.h"

#include <absl/strings/str_cat.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <sstream>
#include <utility>

namespace snipewalk::standins {

namespace {

constexpr milliseconds kStartLimit{ 20'000 };

std::string
LocalAddress(std::uint16_t aPort)
{
  return absl::StrCat("127.0.0.1:", aPort);
}

std::string
NewFolder()
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "snipewalk-XXXXXX").string();
  return mkdtemp(pattern.data()) ? pattern : std::string();
}

} // namespace

system_fleet::system_fleet(system_options aOptions)
  : mOptions(std::move(aOptions))
  , mFolder(NewFolder())
  , mProcesses(SNIPEWALK_BINARY_DIR)
{
}

system_fleet::~system_fleet()
{
  std::error_code ignored;
  if (!std::getenv("SNIPEWALK_KEEP_LOGS")) {
    std::filesystem::remove_all(mFolder, ignored);
  }
}

std::string
system_fleet::InstanceName(int aInstance)
{
  return absl::StrCat("instance", aInstance + 1);
}

std::string
system_fleet::ServiceName(int aService)
{
  return absl::StrCat("service", aService + 1);
}

std::uint16_t
system_fleet::CallerPort(int aInstance) const
{
  return mPorts[aInstance].mCallers;
}

std::string
system_fleet::ControlAddress(int aInstance) const
{
  return LocalAddress(mPorts[aInstance].mControl);
}

absl::StatusOr<std::unique_ptr<system_fleet>>
system_fleet::Start(const system_options& aOptions)
{
  std::unique_ptr<system_fleet> fleet(new system_fleet(aOptions));
  absl::Status status = fleet->StartStore();
  if (status.ok()) {
    status = fleet->StartGroups();
  }
  const auto ports =
    FreePorts(4 * static_cast<std::size_t>(aOptions.mInstances));
  for (int i = 0; i < aOptions.mInstances; ++i) {
    fleet->mPorts.push_back(
      { ports[4 * i], ports[4 * i + 1], ports[4 * i + 2], ports[4 * i + 3] });
  }
  if (status.ok() && aOptions.mFaultLinks) {
    status = fleet->StartFaultLinks();
  }
  for (int i = 0; status.ok() && i < aOptions.mServices; ++i) {
    status = fleet->PutDocument(i, {});
  }
  if (status.ok() && aOptions.mPlatformList) {
    std::vector<int> all(static_cast<std::size_t>(aOptions.mInstances));
    std::iota(all.begin(), all.end(), 0);
    status = fleet->SetPlatformList(all);
  }
  if (aOptions.mAuthority) {
    fleet->WriteTlsFiles(aOptions.mAuthority->Server());
  }
  for (int i = 0; status.ok() && i < aOptions.mInstances; ++i) {
    status = fleet->StartInstance(i);
  }
  if (status.ok()) {
    status = fleet->WaitUntilServing();
  }
  if (!status.ok()) {
    return status;
  }
  return fleet;
}

absl::Status
system_fleet::StartStore()
{
  const auto ready = mProcesses.StartStandin("store", "standin-store");
  if (!ready.ok()) {
    return ready.status();
  }
  mStorePort = static_cast<std::uint16_t>((*ready)["port"].asUInt());
  mStoreControlPort =
    static_cast<std::uint16_t>((*ready)["control_port"].asUInt());
  return absl::OkStatus();
}

absl::Status
system_fleet::StartGroups()
{
  for (int i = 0; i < mOptions.mServices; ++i) {
    std::vector<std::string> arguments = mOptions.mBackendArguments;
    arguments.push_back(
      absl::StrCat("--max_connections=", mOptions.mConnectionsPerServer));
    auto group = backend_group::Start(mProcesses,
                                      absl::StrCat(ServiceName(i), "-"),
                                      mOptions.mServersPerService,
                                      arguments);
    if (!group.ok()) {
      return group.status();
    }
    mGroups.push_back(*std::move(group));
  }
  return absl::OkStatus();
}

absl::Status
system_fleet::StartFaultLinks()
{
  std::string links;
  for (int i = 0; i < mOptions.mInstances; ++i) {
    for (const auto& group : mGroups) {
      for (const auto& server : group.Servers()) {
        absl::StrAppend(&links,
                        links.empty() ? "" : ",",
                        InstanceName(i),
                        "/",
                        server.mName,
                        "=",
                        server.mAddress);
      }
    }
  }
  const auto ready =
    mProcesses.StartStandin("faults", "standin-faults", { "--links=" + links });
  if (!ready.ok()) {
    return ready.status();
  }
  mFaultPort = static_cast<std::uint16_t>((*ready)["port"].asUInt());
  const Json::Value& opened = (*ready)["links"];
  for (const auto& name : opened.getMemberNames()) {
    mLinks[name] =
      LocalAddress(static_cast<std::uint16_t>(opened[name].asUInt()));
  }
  return absl::OkStatus();
}

absl::Status
system_fleet::StartInstance(int aInstance)
{
  const std::string name = InstanceName(aInstance);
  const std::string settings = mFolder + "/" + name + ".json";
  std::ofstream(settings) << SettingsOf(aInstance);
  mProcesses.Remove(name);
  return mProcesses.Start(name,
                          "snipewalkd",
                          { "--settings=" + settings },
                          mFolder + "/" + name + ".log");
}

int
system_fleet::StopInstance(int aInstance, milliseconds aTimeout)
{
  child_process& process = mProcesses.At(InstanceName(aInstance));
  process.Terminate();
  return process.Wait(aTimeout).value_or(-1);
}

absl::Status
system_fleet::StartLoad(const std::vector<std::string>& aArguments)
{
  std::vector<std::string> arguments = aArguments;
  std::string instances;
  for (const auto& ports : mPorts) {
    absl::StrAppend(
      &instances, instances.empty() ? "" : ",", LocalAddress(ports.mCallers));
  }
  std::string services;
  for (int i = 0; i < mOptions.mServices; ++i) {
    absl::StrAppend(&services, services.empty() ? "" : ",", ServiceName(i));
  }
  arguments.push_back("--instances=" + instances);
  arguments.push_back("--services=" + services);
  arguments.push_back("--json");
  arguments.push_back("--history=" + mFolder + "/history.jsonl");
  mProcesses.Remove("load");
  return mProcesses.Start(
    "load", "snipewalk-load", arguments, mFolder + "/load.log");
}

std::vector<history_record>
system_fleet::FinishLoad(milliseconds aTimeout)
{
  mProcesses.At("load").Wait(aTimeout);
  std::ifstream file(mFolder + "/history.jsonl");
  auto history = ReadHistory(file);
  return history.ok() ? *std::move(history) : std::vector<history_record>();
}

std::string
system_fleet::PathOf(const std::string& aFile) const
{
  return mFolder + "/" + aFile;
}

std::string
system_fleet::LogOf(int aInstance) const
{
  std::ifstream file(PathOf(InstanceName(aInstance) + ".log"));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void
system_fleet::WriteTlsFiles(const tls_material& aMaterial) const
{
  const auto write = [&](const std::string& aFile, const std::string& aText) {
    const std::string path = PathOf(aFile);
    std::ofstream(path + ".new") << aText;
    std::filesystem::rename(path + ".new", path);
  };
  write("tls-certificate.pem", aMaterial.mCertificate);
  write("tls-key.pem", aMaterial.mKey);
  write("tls-ca.pem", aMaterial.mAuthorities);
}

void
system_fleet::MoveInstance(int aInstance)
{
  const auto ports = FreePorts(4);
  mPorts[aInstance] = { ports[0], ports[1], ports[2], ports[3] };
}

absl::Status
system_fleet::WaitUntilServing() const
{
  for (int service = 0; service < mOptions.mServices; ++service) {
    for (int i = 0; i < mOptions.mInstances; ++i) {
      caller_answer last;
      const bool serving = WaitFor(
        [&] {
          caller_statement statement;
          statement.mService = ServiceName(service);
          statement.mKind = "write";
          statement.mBody = absl::StrCat("set ready", i, " yes");
          statement.mTimeoutMs = 1'000;
          last = Send(i, statement);
          return last.Done();
        },
        kStartLimit);
      if (!serving) {
        return absl::DeadlineExceededError(absl::StrCat(
          InstanceName(i), " does not serve: ", last.mStatus, " ", last.mBody));
      }
    }
  }
  return absl::OkStatus();
}

} // namespace snipewalk::standins
