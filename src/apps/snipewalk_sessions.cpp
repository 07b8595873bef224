// Program: an instance of the session front end on the users' platform.
#include "platform/line_protocol.h"
#include "platform/promotion_call.h"
#include "platform/store_dialect.h"
#include "platform/stored_values.h"
#include "snipewalk/base/command_line.h"
#include "snipewalk/base/log.h"
#include "snipewalk/session/session_daemon.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>

ABSL_FLAG(std::string,
          settings,
          "",
          "file with the settings of the instance; by default the one that the "
          "environment names");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace {

using namespace snipewalk;

constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;

// Set once before the handlers are installed.
std::atomic<session_daemon*> theDaemon{ nullptr };

void
OnTerminate(int)
{
  theDaemon.load()->RequestShutdown();
}

void
OnHangUp(int)
{
  theDaemon.load()->RequestReload();
}

void
InstallSignals(session_daemon& aDaemon)
{
  theDaemon.store(&aDaemon);
  std::signal(SIGTERM, OnTerminate);
  std::signal(SIGINT, OnTerminate);
  std::signal(SIGHUP, OnHangUp);
  std::signal(SIGPIPE, SIG_IGN);
}

std::uint64_t
StartMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(now).count());
}

session_adapter
Adapter(const session_protocol& aProtocol)
{
  session_adapter adapter;
  adapter.mProtocol = &aProtocol;
  adapter.mStoreDialect = platform::StoreDialect();
  adapter.mObjects = { platform::kDesiredStateKind,
                       platform::kDesiredStateName,
                       platform::kServerKind,
                       platform::DecodeDesiredState,
                       platform::DecodeServerEntry };
  adapter.mReadyPath = platform::kReadyPath;
  adapter.mMakePromotionClient = platform::MakePromotionClient;
  return adapter;
}

std::string
SettingsPath()
{
  const std::string given = absl::GetFlag(FLAGS_settings);
  const char* named = std::getenv(platform::kSettingsVariable);
  return given.empty() && named != nullptr ? named : given;
}

int
Serve(const session_settings& aSettings)
{
  const platform::line_protocol protocol;
  session_daemon server(
    aSettings,
    [](findings& aFindings) {
      return LoadSessionSettings(SettingsPath(), aFindings);
    },
    Adapter(protocol),
    StartMs());
  const absl::Status started = server.Start();
  if (!started.ok()) {
    Log(log_level::Error,
        "process",
        "cannot start",
        { { "error", std::string(started.message()) } });
    return kExitFailure;
  }
  InstallSignals(server);
  server.Run();
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  DescribeProgram("snipewalk-sessions",
                  "an instance of the session front end\n"
                  "usage: snipewalk-sessions [--settings=FILE] [--check]");
  absl::ParseCommandLine(argc, argv);
  findings found;
  const auto settings = LoadSessionSettings(SettingsPath(), found);
  if (!settings) {
    std::cerr << "snipewalk-sessions: the settings are not valid:\n"
              << found.ToString();
    return kExitBadSettings;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  log_settings logs = settings->mLogs;
  logs.mTarget = log_target::BoundedStandardOutput;
  logs.mLinesPerSecond = settings->mLogLinesPerSecond;
  InitLogs(logs);
  const int code = Serve(*settings);
  Log(log_level::Info, "process", "resources released");
  // Exit handlers of the log library join its threads and can take longer than
  // the platform's grace; all lines are written already.
  std::quick_exit(code);
}
