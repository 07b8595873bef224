// Implementation of a whole system of processes for a test.
#include "standins/system_fleet.h"

#include <absl/strings/str_cat.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

namespace snipewalk::standins {

namespace {

constexpr milliseconds kStartLimit{ 20'000 };
constexpr milliseconds kControlTimeout{ 3'000 };
constexpr int kOk = 200;

std::string
LocalAddress(std::uint16_t aPort)
{
  return absl::StrCat("127.0.0.1:", aPort);
}

std::string
Quoted(const std::string& aText)
{
  return Json::valueToQuotedString(aText.c_str());
}

absl::Status
ExpectOk(const absl::StatusOr<http_answer>& aAnswer, const std::string& aWhat)
{
  if (!aAnswer.ok()) {
    return aAnswer.status();
  }
  return aAnswer->mStatus < 300
           ? absl::OkStatus()
           : absl::InternalError(absl::StrCat(
               aWhat, ": status ", aAnswer->mStatus, " ", aAnswer->mBody));
}

std::string
TextOf(const http_headers& aHeaders, const char* aName)
{
  return std::string(aHeaders.Get(aName));
}

caller_answer
AnswerOf(const absl::StatusOr<http_answer>& aAnswer)
{
  caller_answer answer;
  if (!aAnswer.ok()) {
    return answer;
  }
  const http_headers& headers = aAnswer->mHeaders;
  answer.mStatus = aAnswer->mStatus;
  answer.mOutcome = TextOf(headers, "Snipewalk-Outcome");
  answer.mSession = TextOf(headers, "Snipewalk-Session");
  answer.mTransaction = TextOf(headers, "Snipewalk-Transaction");
  answer.mServer = TextOf(headers, "Snipewalk-Server");
  answer.mDataAgeMs = headers.GetNumber("Snipewalk-Data-Age-Ms");
  answer.mBody = aAnswer->mBody;
  if (answer.mStatus != kOk) {
    answer.mReason = aAnswer->Json()["reason"].asString();
  }
  return answer;
}

void
AddUnlessEmpty(std::map<std::string, std::string>& aHeaders,
               const std::string& aName,
               const std::string& aValue)
{
  if (!aValue.empty()) {
    aHeaders[aName] = aValue;
  }
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

absl::StatusOr<std::unique_ptr<system_fleet>>
system_fleet::Start(const system_options& aOptions)
{
  std::unique_ptr<system_fleet> fleet(new system_fleet(aOptions));
  absl::Status status = fleet->StartStore();
  if (status.ok()) {
    status = fleet->StartGroups();
  }
  const auto ports =
    FreePorts(static_cast<std::size_t>(4 * aOptions.mInstances));
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

std::string
system_fleet::SettingsOf(int aInstance) const
{
  const instance_ports& ports = mPorts[aInstance];
  std::string seeds;
  for (const auto& other : mPorts) {
    absl::StrAppend(
      &seeds, seeds.empty() ? "" : ",", Quoted(LocalAddress(other.mControl)));
  }
  std::string translation;
  for (const auto& group : mGroups) {
    for (const auto& server : group.Servers()) {
      const auto link =
        mLinks.find(InstanceName(aInstance) + "/" + server.mName);
      if (link != mLinks.end()) {
        absl::StrAppend(&translation,
                        translation.empty() ? "" : ",",
                        Quoted(server.mAddress),
                        ":",
                        Quoted(link->second));
      }
    }
  }
  return absl::StrCat("{\"instance\":",
                      Quoted(InstanceName(aInstance)),
                      ",\"data_centre\":\"dc",
                      aInstance % 3 + 1,
                      "\",\"region\":\"r1\",\"addresses\":{\"callers\":",
                      Quoted(LocalAddress(ports.mCallers)),
                      ",\"peers\":",
                      Quoted(LocalAddress(ports.mPeers)),
                      ",\"control\":",
                      Quoted(LocalAddress(ports.mControl)),
                      ",\"admin\":",
                      Quoted(LocalAddress(ports.mAdmin)),
                      "},\"store\":{\"addresses\":[",
                      Quoted(LocalAddress(mStorePort)),
                      "]},\"seeds\":[",
                      seeds,
                      "],\"address_translation\":{",
                      translation,
                      "},\"shutdown\":{\"notice_ms\":",
                      mOptions.mShutdownNotice.count(),
                      "}}");
}

std::string
system_fleet::DocumentOf(int aService,
                         const std::vector<std::string>& aLeaving) const
{
  std::string servers;
  int number = 0;
  for (const auto& server : mGroups[aService].Servers()) {
    const bool leaves =
      std::find(aLeaving.begin(), aLeaving.end(), server.mName) !=
      aLeaving.end();
    absl::StrAppend(&servers,
                    servers.empty() ? "" : ",",
                    "{\"name\":",
                    Quoted(server.mName),
                    ",\"address\":",
                    Quoted(server.mAddress),
                    ",\"data_centre\":\"dc",
                    ++number,
                    "\"",
                    leaves ? ",\"state\":\"leaving\"" : "",
                    "}");
  }
  return absl::StrCat("{\"service\":",
                      Quoted(ServiceName(aService)),
                      ",\"servers\":[",
                      servers,
                      "],\"slots\":",
                      mOptions.mSlots,
                      ",\"connections_per_server\":",
                      mOptions.mConnectionsPerServer,
                      mOptions.mDocumentExtra.empty() ? "" : ",",
                      mOptions.mDocumentExtra,
                      "}");
}

absl::Status
system_fleet::PutDocument(int aService,
                          const std::vector<std::string>& aLeaving)
{
  const std::string target = "/v1/objects/services/" + ServiceName(aService);
  const auto current = HttpCall(mStorePort, "GET", target);
  std::map<std::string, std::string> headers{ { "If-None-Match", "*" } };
  if (current.ok() && current->mStatus == kOk) {
    headers = { { "If-Match", TextOf(current->mHeaders, "ETag") } };
  }
  return ExpectOk(
    HttpCall(
      mStorePort, "PUT", target, DocumentOf(aService, aLeaving), headers),
    "put document");
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

caller_answer
system_fleet::Send(int aInstance, const caller_statement& aStatement) const
{
  std::map<std::string, std::string> headers{
    { "Snipewalk-Account", aStatement.mAccount },
    { "Snipewalk-Kind", aStatement.mKind },
    { "Snipewalk-Timeout-Ms", std::to_string(aStatement.mTimeoutMs) }
  };
  AddUnlessEmpty(headers, "Snipewalk-Session", aStatement.mSession);
  AddUnlessEmpty(headers, "Snipewalk-Transaction", aStatement.mTransaction);
  AddUnlessEmpty(headers, "Idempotency-Key", aStatement.mKey);
  if (aStatement.mMaxAgeMs) {
    headers["Snipewalk-Max-Age-Ms"] = std::to_string(*aStatement.mMaxAgeMs);
  }
  return AnswerOf(
    HttpCall(CallerPort(aInstance),
             "POST",
             "/v1/services/" + aStatement.mService + "/statements",
             aStatement.mBody,
             headers,
             milliseconds(aStatement.mTimeoutMs + 2'000)));
}

caller_answer
system_fleet::Write(int aInstance,
                    const std::string& aBody,
                    const std::string& aKey,
                    const std::string& aSession) const
{
  caller_statement statement;
  statement.mKind = "write";
  statement.mBody = aBody;
  statement.mKey = aKey;
  statement.mSession = aSession;
  return Send(aInstance, statement);
}

caller_answer
system_fleet::Read(int aInstance,
                   const std::string& aBody,
                   const std::string& aSession) const
{
  caller_statement statement;
  statement.mBody = aBody;
  statement.mSession = aSession;
  return Send(aInstance, statement);
}

caller_answer
system_fleet::Outcome(int aInstance, const std::string& aKey) const
{
  return AnswerOf(
    HttpCall(CallerPort(aInstance),
             "GET",
             "/v1/services/" + ServiceName(0) + "/outcomes/" + aKey,
             {},
             { { "Snipewalk-Account", "workshop-7" } }));
}

absl::Status
system_fleet::SetFaults(const std::string& aLink, const std::string& aJson)
{
  return ExpectOk(
    HttpCall(mFaultPort,
             "POST",
             "/standin/faults",
             absl::StrCat("{\"link\":", Quoted(aLink), ",", aJson, "}")),
    "set faults");
}

absl::Status
system_fleet::SilenceConnections(const std::string& aLink)
{
  return ExpectOk(HttpCall(mFaultPort,
                           "POST",
                           "/standin/silence",
                           absl::StrCat("{\"link\":", Quoted(aLink), "}")),
                  "silence connections");
}

absl::Status
system_fleet::SetStoreFaults(const std::string& aJson) const
{
  return ExpectOk(HttpCall(mStoreControlPort, "POST", "/standin/faults", aJson),
                  "set store faults");
}

Json::Value
system_fleet::StoreStats() const
{
  const auto answer = HttpCall(mStoreControlPort, "GET", "/standin/stats");
  return answer.ok() ? answer->Json() : Json::Value();
}

Json::Value
system_fleet::StoreObject(const std::string& aKind,
                          const std::string& aName) const
{
  const auto answer =
    HttpCall(mStorePort, "GET", "/v1/objects/" + aKind + "/" + aName);
  return answer.ok() && answer->mStatus == kOk ? answer->Json() : Json::Value();
}

std::string
system_fleet::Primary(int aService) const
{
  const Json::Value record = StoreObject("terms", ServiceName(aService));
  return record.isObject() ? record["primary"].asString() : std::string();
}

std::uint64_t
system_fleet::Term(int aService) const
{
  const Json::Value record = StoreObject("terms", ServiceName(aService));
  return record.isObject() ? record["term"].asUInt64() : 0;
}

Json::Value
system_fleet::Admin(int aInstance, const std::string& aTarget) const
{
  const auto answer =
    HttpCall(mPorts[aInstance].mAdmin, "GET", aTarget, {}, {}, kControlTimeout);
  return answer.ok() ? answer->Json() : Json::Value();
}

child_process&
system_fleet::Server(const std::string& aName)
{
  return mProcesses.At(aName);
}

} // namespace snipewalk::standins
