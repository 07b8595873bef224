// Requests to the processes of a system: callers, store, faults and admin.
#include "standins/system_fleet.h"

#include "standins/tls_caller.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace snipewalk::standins {

namespace {

constexpr milliseconds kControlTimeout{ 3'000 };
constexpr int kOk = 200;

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
  answer.mRetryAfter = TextOf(headers, "Retry-After");
  answer.mDataAgeMs = headers.GetNumber("Snipewalk-Data-Age-Ms");
  answer.mBody = aAnswer->mBody;
  if (answer.mStatus != kOk) {
    answer.mReason = aAnswer->Json()["reason"].asString();
  }
  return answer;
}

// One POST over a new connection.
absl::StatusOr<http_answer>
TlsCall(std::uint16_t aPort,
        const tls_material& aClient,
        const std::string& aTarget,
        const std::string& aBody,
        const std::map<std::string, std::string>& aHeaders,
        milliseconds aTimeout)
{
  const auto context = tls_context::Client(aClient);
  if (!context.ok()) {
    return context.status();
  }
  const auto caller = tls_caller::Connect(aPort, *context, aTimeout);
  if (!caller.ok()) {
    return caller.status();
  }
  http_request request;
  request.mMethod = "POST";
  request.mTarget = aTarget;
  request.mBody = aBody;
  for (const auto& [name, value] : aHeaders) {
    request.mHeaders.Add(name, value);
  }
  return (*caller)->Call(request);
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

} // namespace

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
  const std::string target =
    "/v1/services/" + aStatement.mService + "/statements";
  const milliseconds limit(aStatement.mTimeoutMs + 2'000);
  if (mOptions.mAuthority) {
    const tls_material client = mOptions.mAuthority->Client(
      aStatement.mCertificateAccount.empty() ? aStatement.mAccount
                                             : aStatement.mCertificateAccount);
    return AnswerOf(TlsCall(
      CallerPort(aInstance), client, target, aStatement.mBody, headers, limit));
  }
  return AnswerOf(HttpCall(
    CallerPort(aInstance), "POST", target, aStatement.mBody, headers, limit));
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

absl::Status
system_fleet::SetPlatformList(const std::vector<int>& aInstances) const
{
  std::string list;
  for (const int instance : aInstances) {
    absl::StrAppend(&list,
                    list.empty() ? "" : ",",
                    "{\"name\":\"",
                    InstanceName(instance),
                    "\"}");
  }
  return ExpectOk(HttpCall(mStoreControlPort,
                           "POST",
                           "/standin/instances",
                           absl::StrCat("{\"instances\":[", list, "]}")),
                  "set the platform's list");
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

int
system_fleet::PutText(int aService,
                      const std::string& aText,
                      const std::string& aVersion)
{
  const auto answer = HttpCall(mStorePort,
                               "PUT",
                               "/v1/objects/services/" + ServiceName(aService),
                               aText,
                               { { "If-Match", aVersion } });
  return answer.ok() ? answer->mStatus : 0;
}

std::string
system_fleet::DocumentVersion(int aService) const
{
  const auto answer = HttpCall(
    mStorePort, "GET", "/v1/objects/services/" + ServiceName(aService));
  return answer.ok() ? TextOf(answer->mHeaders, "ETag") : std::string();
}

Json::Value
system_fleet::ServiceState(int aInstance, int aService) const
{
  const Json::Value state = Admin(aInstance, "/v1/state");
  if (state.isObject()) {
    for (const auto& service : state["services"]) {
      if (service["service"].asString() == ServiceName(aService)) {
        return service;
      }
    }
  }
  return Json::Value(Json::objectValue);
}

std::uint64_t
system_fleet::VersionAt(int aInstance, int aService) const
{
  return ServiceState(aInstance, aService)["document_version"].asUInt64();
}

int
system_fleet::SlotsInUse(int aService) const
{
  int inUse = 0;
  for (int i = 0; i < mOptions.mInstances; ++i) {
    inUse += ServiceState(i, aService)["share"].asInt() > 0 ? 1 : 0;
  }
  return inUse;
}

Json::Value
system_fleet::ServerStats(const std::string& aServer) const
{
  for (const auto& group : mGroups) {
    for (std::size_t i = 0; i < group.Servers().size(); ++i) {
      if (group.Servers()[i].mName == aServer) {
        return group.Stats(i);
      }
    }
  }
  return Json::Value();
}

std::uint64_t
system_fleet::Statements(const std::string& aServer) const
{
  std::uint64_t sum = 0;
  const Json::Value stats = ServerStats(aServer);
  if (stats.isObject()) {
    for (const auto& count : stats["statements"]) {
      sum += count.asUInt64();
    }
  }
  return sum;
}

} // namespace snipewalk::standins
