// The operators' tool.
#include "snipewalk/administration/operator_commands.h"
#include "snipewalk/base/command_line.h"
#include "snipewalk/connection/http_codec.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <chrono>
#include <functional>
#include <iostream>
#include <map>

ABSL_FLAG(std::string, store, "127.0.0.1:7000", "address of the store");
ABSL_FLAG(std::vector<std::string>,
          admin,
          std::vector<std::string>({ "127.0.0.1:7103" }),
          "admin addresses of instances, separated by commas");
ABSL_FLAG(std::string, token, "", "bearer token of the admin ports");
ABSL_FLAG(std::int64_t,
          expected_version,
          -1,
          "version that the edit is based on (shown by get)");
ABSL_FLAG(bool, dry_run, false, "check and describe the edit only");
ABSL_FLAG(std::string, operator_name, "", "name for the audit trail");
ABSL_FLAG(std::int64_t, timeout_ms, 3000, "time limit of each call, in ms");
ABSL_FLAG(std::string, account, "", "client account, for explain");
ABSL_FLAG(std::string, kind, "read", "statement kind, for explain");
ABSL_FLAG(std::string, session, "", "session token, for explain");
ABSL_FLAG(std::int64_t, max_age_ms, -1, "accepted age, for explain, in ms");

namespace snipewalk {
namespace {

constexpr const char* kUsage =
  "operates a fleet of snipewalk instances.\n"
  "\n"
  "  snipewalkctl validate FILE...     check service documents\n"
  "  snipewalkctl put FILE             check and store a document\n"
  "  snipewalkctl get SERVICE          print a document with its version\n"
  "  snipewalkctl status [SERVICE]     what each instance has in force\n"
  "  snipewalkctl members              what each instance knows of its peers\n"
  "  snipewalkctl metrics              metrics of each instance\n"
  "  snipewalkctl term SERVICE         primary, term and voters\n"
  "  snipewalkctl slots SERVICE        instances that hold connections\n"
  "  snipewalkctl audit SERVICE        changes, newest last\n"
  "  snipewalkctl drain SERVICE        progress of leaving servers\n"
  "  snipewalkctl explain SERVICE      where a request would go and why\n"
  "\n"
  "Exit codes: 0 done, 1 refused (another edit came first, or a finding needs\n"
  "confirmation), 2 bad input, 3 unreachable, 4 the outcome is unknown.";

using arguments = std::vector<std::string>;

milliseconds
Timeout()
{
  return milliseconds(absl::GetFlag(FLAGS_timeout_ms));
}

operator_store
Store()
{
  return { absl::GetFlag(FLAGS_store), Timeout() };
}

int
Ask(const std::string& aTarget)
{
  return AskInstances(absl::GetFlag(FLAGS_admin),
                      aTarget,
                      absl::GetFlag(FLAGS_token),
                      Timeout(),
                      std::cout);
}

int
Put(const arguments& aArguments)
{
  put_options options;
  options.mFile = aArguments[0];
  options.mDryRun = absl::GetFlag(FLAGS_dry_run);
  options.mOperator = absl::GetFlag(FLAGS_operator_name);
  const std::int64_t expected = absl::GetFlag(FLAGS_expected_version);
  if (expected >= 0) {
    options.mExpectedVersion = static_cast<std::uint64_t>(expected);
  }
  operator_store store = Store();
  return PutDocument(
    store, options, std::chrono::system_clock::now(), std::cout);
}

int
Print(const std::string& aKind, const arguments& aArguments)
{
  operator_store store = Store();
  return PrintObject(store, { aKind, aArguments[0] }, std::cout);
}

int
Explain(const arguments& aArguments)
{
  std::string target =
    "/v1/explain?service=" + EncodePercent(aArguments[0]) +
    "&account=" + EncodePercent(absl::GetFlag(FLAGS_account)) +
    "&kind=" + EncodePercent(absl::GetFlag(FLAGS_kind)) +
    "&session=" + EncodePercent(absl::GetFlag(FLAGS_session));
  if (absl::GetFlag(FLAGS_max_age_ms) >= 0) {
    target += "&max_age_ms=" + std::to_string(absl::GetFlag(FLAGS_max_age_ms));
  }
  return Ask(target);
}

struct command
{
  std::size_t mLeastArguments;
  std::size_t mMostArguments;
  std::function<int(const arguments&)> mRun;
};

const std::map<std::string, command>&
Commands()
{
  constexpr std::size_t kMany = 1'000;
  static const std::map<std::string, command> commands{
    { "validate",
      { 1,
        kMany,
        [](const arguments& aFiles) {
          return ValidateFiles(
            aFiles, std::chrono::system_clock::now(), std::cout);
        } } },
    { "put", { 1, 1, Put } },
    { "get",
      { 1,
        1,
        [](const arguments& aArguments) {
          operator_store store = Store();
          return GetDocument(store, aArguments[0], std::cout);
        } } },
    { "status",
      { 0,
        1,
        [](const arguments& aArguments) {
          return Ask(aArguments.empty()
                       ? "/v1/state"
                       : "/v1/services/" + EncodePercent(aArguments[0]));
        } } },
    { "members",
      { 0, 0, [](const arguments&) { return Ask("/v1/members"); } } },
    { "metrics",
      { 0, 0, [](const arguments&) { return Ask("/v1/metrics"); } } },
    { "term",
      { 1,
        1,
        [](const arguments& aNames) { return Print("terms", aNames); } } },
    { "slots",
      { 1,
        1,
        [](const arguments& aNames) { return Print("slots", aNames); } } },
    { "audit",
      { 1,
        1,
        [](const arguments& aNames) { return Print("audit", aNames); } } },
    { "drain",
      { 1,
        1,
        [](const arguments& aNames) { return Print("status", aNames); } } },
    { "explain", { 1, 1, Explain } },
  };
  return commands;
}

int
Run(const arguments& aWords)
{
  const auto found =
    aWords.empty() ? Commands().end() : Commands().find(aWords[0]);
  if (found == Commands().end()) {
    std::cerr << "error: a command is needed; see --help\n";
    return kExitBadInput;
  }
  const arguments rest(aWords.begin() + 1, aWords.end());
  const command& chosen = found->second;
  if (rest.size() < chosen.mLeastArguments ||
      rest.size() > chosen.mMostArguments) {
    std::cerr << "error: wrong number of arguments for " << aWords[0]
              << "; see --help\n";
    return kExitBadInput;
  }
  return chosen.mRun(rest);
}

} // namespace
} // namespace snipewalk

int
main(int argc, char** argv)
{
  snipewalk::DescribeProgram("snipewalkctl", snipewalk::kUsage);
  const std::vector<char*> left = absl::ParseCommandLine(argc, argv);
  return snipewalk::Run({ left.begin() + 1, left.end() });
}
