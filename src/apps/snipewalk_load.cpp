// Program: load generator. Drives callers against a list of instances, records
// the history and prints the figures.
#include "snipewalk/base/command_line.h"
#include "snipewalk/load/load_worker.h"
#include "snipewalk/settings/tls_files.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <thread>

ABSL_FLAG(std::vector<std::string>, instances, {}, "addresses, each IP:port");
ABSL_FLAG(std::vector<std::string>, services, {}, "names of the services");
ABSL_FLAG(std::vector<std::string>,
          accounts,
          { "load" },
          "client accounts, given to the sessions in turn");
ABSL_FLAG(std::string, pattern, "drums", "drums, month_end or constant");
ABSL_FLAG(std::uint32_t, sessions, 30, "number of callers");
ABSL_FLAG(std::uint32_t, threads, 1, "threads that drive the callers");
ABSL_FLAG(std::uint32_t,
          idle_connections,
          0,
          "further connections that are opened and stay idle");
ABSL_FLAG(double,
          rate,
          1000,
          "requests a second; 0 sends each as soon as the last was answered");
ABSL_FLAG(double, seconds, 10, "duration of the load");
ABSL_FLAG(std::uint64_t,
          requests,
          0,
          "requests after which the load ends early; 0 for no such bound");
ABSL_FLAG(double,
          settle_seconds,
          20,
          "bound of the time for unknown outcomes and last reads");
ABSL_FLAG(std::uint32_t, write_percent, 10, "writes in the pattern constant");
ABSL_FLAG(std::uint32_t,
          transaction_percent,
          0,
          "share of rounds that are transactions");
ABSL_FLAG(std::uint32_t, max_age_ms, 500, "stated age of approval look-ups");
ABSL_FLAG(std::uint32_t, timeout_ms, 5000, "time limit of a request");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the callers' choices");
ABSL_FLAG(std::string, run, "", "prefix of the keys; by default from the time");
ABSL_FLAG(std::string, history, "", "file for the history as JSON lines");
ABSL_FLAG(std::string, tls_ca, "", "authorities of the instances (PEM file)");
ABSL_FLAG(std::string, tls_certificate, "", "client certificate (PEM file)");
ABSL_FLAG(std::string, tls_key, "", "key of the client certificate (PEM file)");
ABSL_FLAG(bool, json, false, "print the figures as one line of JSON");

namespace {

using namespace snipewalk;

constexpr int kExitBadInput = 2;
// Bounds of one run on one machine.
constexpr std::uint32_t kSessionsMax = 100'000;
constexpr std::uint32_t kThreadsMax = 8;
constexpr double kSecondsMax = 3'600;

milliseconds
FromSeconds(double aSeconds)
{
  return milliseconds(static_cast<std::int64_t>(aSeconds * 1'000));
}

std::string
RunName()
{
  std::string name = absl::GetFlag(FLAGS_run);
  if (!name.empty()) {
    return name;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return "r" +
         std::to_string(std::chrono::duration_cast<milliseconds>(now).count());
}

// Collects what is wrong with the flags.
std::vector<std::string>
FindFaults()
{
  std::vector<std::string> faults;
  const auto require = [&](bool aHolds, const char* aText) {
    if (!aHolds) {
      faults.emplace_back(aText);
    }
  };
  require(!absl::GetFlag(FLAGS_instances).empty(), "--instances is empty");
  require(!absl::GetFlag(FLAGS_services).empty(), "--services is empty");
  require(!absl::GetFlag(FLAGS_accounts).empty(), "--accounts is empty");
  require(ValueOf(kLoadPatternNames, absl::GetFlag(FLAGS_pattern)).has_value(),
          "--pattern is unknown");
  const auto sessions = absl::GetFlag(FLAGS_sessions);
  require(sessions > 0 && sessions <= kSessionsMax,
          "--sessions must be 1 to 100000");
  const auto threads = absl::GetFlag(FLAGS_threads);
  require(threads > 0 && threads <= kThreadsMax, "--threads must be 1 to 8");
  const double duration = absl::GetFlag(FLAGS_seconds);
  require(duration > 0 && duration <= kSecondsMax,
          "--seconds must be above 0 and at most 3600");
  require(absl::GetFlag(FLAGS_rate) >= 0, "--rate must not be negative");
  require(absl::GetFlag(FLAGS_write_percent) <= 100 &&
            absl::GetFlag(FLAGS_transaction_percent) <= 100,
          "a percentage is above 100");
  return faults;
}

load_options
OptionsFromFlags()
{
  load_options options;
  options.mInstances = absl::GetFlag(FLAGS_instances);
  options.mServices = absl::GetFlag(FLAGS_services);
  options.mAccounts = absl::GetFlag(FLAGS_accounts);
  options.mDuration = FromSeconds(absl::GetFlag(FLAGS_seconds));
  options.mSettle = FromSeconds(absl::GetFlag(FLAGS_settle_seconds));
  options.mTimeout = milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  options.mSeed = absl::GetFlag(FLAGS_seed);
  load_profile& profile = options.mProfile;
  profile.mPattern = *ValueOf(kLoadPatternNames, absl::GetFlag(FLAGS_pattern));
  profile.mWritePercent = static_cast<int>(absl::GetFlag(FLAGS_write_percent));
  profile.mTransactionPercent =
    static_cast<int>(absl::GetFlag(FLAGS_transaction_percent));
  profile.mMaxAge = milliseconds(absl::GetFlag(FLAGS_max_age_ms));
  profile.mRun = RunName();
  return options;
}

// Null when no flag asks for TLS.
absl::StatusOr<std::shared_ptr<const tls_context>>
TlsFromFlags()
{
  const tls_files files{ absl::GetFlag(FLAGS_tls_certificate),
                         absl::GetFlag(FLAGS_tls_key),
                         absl::GetFlag(FLAGS_tls_ca) };
  if (files.mCertificate.empty() && files.mKey.empty() &&
      files.mAuthorities.empty()) {
    return nullptr;
  }
  const tls_contents contents = ReadTlsFiles(files);
  if (!contents.mUnreadable.empty()) {
    return absl::InvalidArgumentError(
      "--tls_ca, --tls_certificate or --tls_key is missing or unreadable");
  }
  return tls_context::Client(contents.mMaterial);
}

// Splits the sessions, the rate and the idle connections over the threads.
std::vector<std::unique_ptr<load_worker>>
MakeWorkers(const load_options& aOptions, history_file& aHistory)
{
  const std::size_t sessions = absl::GetFlag(FLAGS_sessions);
  const std::size_t threads =
    std::min<std::size_t>(absl::GetFlag(FLAGS_threads), sessions);
  std::vector<std::unique_ptr<load_worker>> workers;
  for (std::size_t i = 0; i < threads; ++i) {
    load_options part = aOptions;
    part.mFirstSession = sessions * i / threads;
    part.mSessions = sessions * (i + 1) / threads - part.mFirstSession;
    part.mRate = absl::GetFlag(FLAGS_rate) *
                 static_cast<double>(part.mSessions) /
                 static_cast<double>(sessions);
    const std::size_t requests = absl::GetFlag(FLAGS_requests);
    part.mRequests = (requests + threads - 1) / threads;
    const std::size_t idle = absl::GetFlag(FLAGS_idle_connections);
    part.mIdleConnections = idle * (i + 1) / threads - idle * i / threads;
    workers.push_back(std::make_unique<load_worker>(part, aHistory));
  }
  return workers;
}

// Set once before the handlers are installed.
const std::vector<std::unique_ptr<load_worker>>* theWorkers = nullptr;

void
OnTerminate(int)
{
  for (const auto& worker : *theWorkers) {
    worker->RequestStop();
  }
}

void
InstallSignals(const std::vector<std::unique_ptr<load_worker>>& aWorkers)
{
  theWorkers = &aWorkers;
  std::signal(SIGTERM, OnTerminate);
  std::signal(SIGINT, OnTerminate);
}

} // namespace

int
main(int argc, char** argv)
{
  snipewalk::DescribeProgram(
    "snipewalk-load",
    "drives callers against snipewalk instances; SIGINT "
    "and SIGTERM end the load early");
  absl::ParseCommandLine(argc, argv);
  const auto faults = FindFaults();
  for (const std::string& fault : faults) {
    std::cerr << fault << "\n";
  }
  history_file history(absl::GetFlag(FLAGS_history));
  const auto tls = TlsFromFlags();
  if (!tls.ok()) {
    std::cerr << tls.status().message() << "\n";
  }
  if (!faults.empty() || !history.IsGood() || !tls.ok()) {
    return kExitBadInput;
  }
  load_options options = OptionsFromFlags();
  options.mTls = *tls;
  auto workers = MakeWorkers(options, history);
  InstallSignals(workers);
  std::vector<std::thread> threads;
  threads.reserve(workers.size());
  for (auto& worker : workers) {
    threads.emplace_back([&worker] { worker->Run(); });
  }
  load_statistics statistics;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    threads[i].join();
    statistics.Merge(workers[i]->Statistics());
  }
  const load_report report = statistics.Report(workers.front()->StartedAt(),
                                               workers.front()->StoppedAt());
  std::cout << (absl::GetFlag(FLAGS_json) ? WriteReportJson(report) + "\n"
                                          : WriteReportTable(report));
  return 0;
}
