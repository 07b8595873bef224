// Program: an instance of snipewalk.
#include "snipewalk/base/log.h"
#include "snipewalk/process/instance.h"
#include "snipewalk/process/settings.h"
#include "snipewalk/process/static_topology.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/ascii.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

ABSL_FLAG(std::string, settings, "", "file with the settings of the instance");
ABSL_FLAG(std::string,
          static_topology,
          "",
          "file that replaces the store's configuration, for benchmarks");

namespace {

using namespace snipewalk;

// Set once before the handler is installed.
std::atomic<instance*> theInstance{ nullptr };

void
OnTerminate(int)
{
  theInstance.load()->RequestShutdown();
}

void
InstallSignals(instance& aInstance)
{
  theInstance.store(&aInstance);
  std::signal(SIGTERM, OnTerminate);
  std::signal(SIGINT, OnTerminate);
  std::signal(SIGPIPE, SIG_IGN);
}

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return file ? std::optional<std::string>(text.str()) : std::nullopt;
}

// Contents of a file of secrets without the line end; empty without a path.
std::optional<std::string>
ReadSecret(const std::string& aPath)
{
  if (aPath.empty()) {
    return std::string();
  }
  auto text = ReadFile(aPath);
  if (text) {
    absl::StripTrailingAsciiWhitespace(&*text);
  }
  return text;
}

instance_options
OptionsFrom(const instance_settings& aSettings)
{
  instance_options options;
  auto& traffic = options.mTraffic;
  traffic.mInstance = aSettings.mInstance;
  // Later starts have higher incarnations.
  traffic.mIncarnation = static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
  traffic.mDataCentre = aSettings.mDataCentre;
  traffic.mCallerAddress = aSettings.mCallerAddress;
  traffic.mPeerAddress = aSettings.mPeerAddress;
  traffic.mThreads = static_cast<std::size_t>(aSettings.mTrafficThreads);
  traffic.mCallerLimit =
    static_cast<std::size_t>(aSettings.mCallerConnectionLimit);
  options.mAdmin = { aSettings.mInstance, aSettings.mAdminAddress };
  options.mShutdown.mNotice = aSettings.mShutdownNotice;
  options.mShutdown.mTransactions = aSettings.mShutdownTransactionLimit;
  return options;
}

int
Fail(const std::string& aMessage)
{
  std::cerr << "snipewalkd: " << aMessage << "\n";
  return 1;
}

int
Serve(const instance_settings& aSettings)
{
  const auto fleetKey = ReadSecret(aSettings.mFleetKeyFile);
  const auto token = ReadSecret(aSettings.mAdminTokenFile);
  if (!fleetKey || !token) {
    return Fail("cannot read the fleet key or the admin token");
  }
  instance_options options = OptionsFrom(aSettings);
  options.mTraffic.mFleetKey = *fleetKey;
  options.mAdminToken = *token;
  instance server(options, {});
  const absl::Status started = server.Start();
  if (!started.ok()) {
    return Fail(std::string(started.message()));
  }
  const std::string path = absl::GetFlag(FLAGS_static_topology);
  if (!path.empty()) {
    findings found;
    const auto text = ReadFile(path);
    const auto snapshot =
      ParseStaticTopology(text.value_or(""), path, aSettings.mInstance, found);
    if (!snapshot) {
      return Fail("the topology is not valid:\n" + found.ToString());
    }
    server.Publish(snapshot);
  }
  InstallSignals(server);
  server.Run();
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  absl::FlagsUsageConfig usage;
  usage.version_string = [] {
    return std::string("snipewalkd ") + SNIPEWALK_VERSION + "\n";
  };
  absl::SetFlagsUsageConfig(usage);
  absl::SetProgramUsageMessage("an instance of the snipewalk database proxy\n"
                               "usage: snipewalkd --settings=FILE");
  absl::ParseCommandLine(argc, argv);
  findings found;
  const auto settings =
    snipewalk::LoadSettings(absl::GetFlag(FLAGS_settings), found);
  if (!settings) {
    return Fail("the settings are not valid:\n" + found.ToString());
  }
  log_settings logs = settings->mLogs;
  logs.mInstance = settings->mInstance;
  snipewalk::InitLogs(logs);
  return Serve(*settings);
}
