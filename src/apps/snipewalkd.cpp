// Program: an instance of snipewalk.
#include "snipewalk/base/command_line.h"
#include "snipewalk/base/log.h"
#include "snipewalk/daemon/daemon.h"
#include "snipewalk/settings/secret_files.h"
#include "snipewalk/settings/settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "file with the settings of the instance");
namespace {

using namespace snipewalk;

constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;

// Set once before the handler is installed.
std::atomic<snipewalk::daemon*> theDaemon{ nullptr };

void
OnTerminate(int)
{
  theDaemon.load()->RequestShutdown();
}

void
InstallSignals(snipewalk::daemon& aDaemon)
{
  theDaemon.store(&aDaemon);
  std::signal(SIGTERM, OnTerminate);
  std::signal(SIGINT, OnTerminate);
  std::signal(SIGPIPE, SIG_IGN);
}

int
Fail(const std::string& aMessage, int aExitCode = kExitFailure)
{
  std::cerr << "snipewalkd: " << aMessage << "\n";
  return aExitCode;
}

std::uint64_t
StartMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(now).count());
}

int
Serve(const instance_settings& aSettings)
{
  const auto fleetKey = snipewalk::ReadSecretFile(aSettings.mFleetKeyFile);
  const auto token = snipewalk::ReadSecretFile(aSettings.mAdminTokenFile);
  if (!fleetKey || !token) {
    return Fail("cannot read the fleet key or the admin token");
  }
  snipewalk::daemon server(aSettings, { *fleetKey, *token }, StartMs());
  const absl::Status started = server.Start();
  if (!started.ok()) {
    return Fail(std::string(started.message()));
  }
  InstallSignals(server);
  return server.Run() ? 0 : Fail("another instance has the same name");
}

} // namespace

int
main(int argc, char** argv)
{
  snipewalk::DescribeProgram("snipewalkd",
                             "an instance of the snipewalk database proxy\n"
                             "usage: snipewalkd --settings=FILE");
  absl::ParseCommandLine(argc, argv);
  findings found;
  const auto settings =
    snipewalk::LoadSettings(absl::GetFlag(FLAGS_settings), found);
  if (!settings) {
    return Fail("the settings are not valid:\n" + found.ToString(),
                kExitBadSettings);
  }
  log_settings logs = settings->mLogs;
  logs.mInstance = settings->mInstance;
  snipewalk::InitLogs(logs);
  return Serve(*settings);
}
