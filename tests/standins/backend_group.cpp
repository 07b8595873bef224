// A group of stand-in backend servers as child processes of a test.
#include "standins/process_fleet.h"

#include "standins/backend_http.h"

#include <absl/strings/str_cat.h>

namespace snipewalk::standins {

namespace {

Json::Value
EndpointJson(const backend_group::server& aServer)
{
  Json::Value endpoint;
  endpoint["name"] = aServer.mName;
  endpoint["address"] = aServer.mAddress;
  return endpoint;
}

} // namespace

absl::StatusOr<backend_group>
backend_group::Start(process_fleet& aFleet,
                     const std::string& aPrefix,
                     int aServers,
                     const std::vector<std::string>& aArguments)
{
  backend_group group;
  for (int i = 1; i <= aServers; ++i) {
    const std::string name = absl::StrCat(aPrefix, i);
    std::vector<std::string> arguments{ "--name=" + name };
    arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
    const auto line = aFleet.StartStandin(name, "standin-backend", arguments);
    if (!line.ok()) {
      return line.status();
    }
    const auto port = static_cast<std::uint16_t>((*line)["port"].asUInt());
    group.mServers.push_back({ name, port, absl::StrCat("127.0.0.1:", port) });
  }
  return group;
}

absl::Status
backend_group::Promote(std::uint64_t aTerm, std::size_t aPrimary) const
{
  Json::Value promotion;
  promotion["term"] = Json::UInt64(aTerm);
  for (const server& member : mServers) {
    promotion["members"].append(EndpointJson(member));
    // An unreachable server follows later.
    (void)HttpCall(member.mPort,
                   "POST",
                   "/v1/fence",
                   absl::StrCat("{\"term\":", aTerm, "}"));
  }
  const server& primary = mServers[aPrimary];
  const auto promoted =
    HttpCall(primary.mPort, "POST", "/v1/promote", WriteJson(promotion));
  if (!promoted.ok() || promoted->mStatus != 200) {
    return absl::UnavailableError("promotion failed");
  }
  Json::Value following;
  following["term"] = Json::UInt64(aTerm);
  following["primary"] = EndpointJson(primary);
  for (const server& member : mServers) {
    if (member.mName != primary.mName) {
      (void)HttpCall(member.mPort, "POST", "/v1/follow", WriteJson(following));
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<http_answer>
backend_group::Statement(std::size_t aServer,
                         std::uint64_t aTerm,
                         const std::string& aKind,
                         const std::string& aBody,
                         std::map<std::string, std::string> aHeaders) const
{
  aHeaders["Term"] = absl::StrCat(aTerm);
  aHeaders["Kind"] = aKind;
  return HttpCall(
    mServers[aServer].mPort, "POST", "/v1/statements", aBody, aHeaders);
}

absl::StatusOr<http_answer>
backend_group::SetFaults(std::size_t aServer, const std::string& aJson) const
{
  return HttpCall(mServers[aServer].mPort, "POST", "/standin/faults", aJson);
}

Json::Value
backend_group::Stats(std::size_t aServer) const
{
  const auto answer =
    HttpCall(mServers[aServer].mPort, "GET", "/standin/stats");
  return answer.ok() ? answer->Json() : Json::Value();
}

Json::Value
backend_group::Log(std::size_t aServer) const
{
  Json::Value entries(Json::arrayValue);
  Json::UInt64 next = 1;
  while (true) {
    const auto answer = HttpCall(
      mServers[aServer].mPort, "GET", absl::StrCat("/standin/log?from=", next));
    const Json::Value page = answer.ok() ? answer->Json() : Json::Value();
    if (!page.isObject() || page["entries"].empty()) {
      return entries;
    }
    for (const Json::Value& entry : page["entries"]) {
      entries.append(entry);
    }
    next = page["next"].asUInt64();
  }
}

} // namespace snipewalk::standins
