// Runs the session front end's soak test with a range of consecutive seeds.
#include "soak/session_soak.h"

#include "snipewalk/base/command_line.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

ABSL_FLAG(std::uint64_t, first_seed, 1, "seed of the first run");
ABSL_FLAG(int, runs, 1, "number of runs, with consecutive seeds");
ABSL_FLAG(int, seconds, 12, "time in seconds during which faults begin");
ABSL_FLAG(bool, planned, false, "planned work only; no reply may be cut off");
ABSL_FLAG(bool,
          handovers,
          false,
          "faults around hand-overs of the failover duty only");
ABSL_FLAG(bool, failing, true, "servers also fail a part of their requests");
ABSL_FLAG(bool,
          store_returns,
          false,
          "the store also comes back from older copies");
ABSL_FLAG(int,
          connections,
          20,
          "connections that each server accepts; with 5 or fewer, sessions are "
          "forwarded");
ABSL_FLAG(std::string, folder, "soak", "directory of the logs of each run");
ABSL_FLAG(std::string,
          binary_dir,
          SNIPEWALK_BINARY_DIR,
          "directory of the programs");

namespace {

using namespace snipewalk;

// Runs the soak test with one seed. Returns whether it found no violation, and
// removes the logs in this case.
bool
RunSeed(std::uint64_t aSeed)
{
  soak::soak_options options;
  options.mPlan.mSeed = aSeed;
  options.mPlan.mFaultPeriod = seconds(absl::GetFlag(FLAGS_seconds));
  options.mPlan.mPlannedWorkOnly = absl::GetFlag(FLAGS_planned);
  options.mPlan.mHandovers = absl::GetFlag(FLAGS_handovers);
  options.mPlan.mFailRequests = absl::GetFlag(FLAGS_failing);
  options.mPlan.mStoreReturns = absl::GetFlag(FLAGS_store_returns);
  options.mMaxConnections = absl::GetFlag(FLAGS_connections);
  options.mBinaryDir = absl::GetFlag(FLAGS_binary_dir);
  const std::filesystem::path folder =
    std::filesystem::path(absl::GetFlag(FLAGS_folder)) /
    ("seed-" + std::to_string(aSeed));
  std::filesystem::create_directories(folder);
  options.mFolder = folder.string();
  std::ofstream faults(folder / "faults.log");
  const auto result = soak::RunSoak(options, faults);
  std::cout << "seed " << aSeed << ": " << result.mAcknowledged
            << " writes acknowledged, " << result.mNotRun << " not run, "
            << result.mUnknown << " unknown, " << result.mReads << " reads, "
            << result.mPromotions << " promotions, "
            << result.mViolations.size() << " violations" << std::endl;
  for (const auto& violation : result.mViolations) {
    std::cout << "  " << violation << std::endl;
  }
  if (result.mViolations.empty()) {
    std::filesystem::remove_all(folder);
  }
  return result.mViolations.empty();
}

} // namespace

int
main(int argc, char** argv)
{
  DescribeProgram("session-soak",
                  "random faults against the session front end\n"
                  "usage: session-soak [--first_seed=N] [--runs=N]");
  absl::ParseCommandLine(argc, argv);
  int failed = 0;
  for (int i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
    const auto seed =
      absl::GetFlag(FLAGS_first_seed) + static_cast<std::uint64_t>(i);
    failed += RunSeed(seed) ? 0 : 1;
  }
  return failed == 0 ? 0 : 1;
}
