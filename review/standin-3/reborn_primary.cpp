// Case: the process of a primary ends and starts again under its id, holding
// nothing of before. Callers must not read from it as if it held its log.
#include "callers.h"

#include "standins/process_fleet.h"

#include <absl/strings/str_cat.h>

#include <thread>

namespace snipewalk::review {
namespace {

const std::vector<std::string> kInstances{ "front-a-1", "front-b-1" };
constexpr const char* kFirstPrimary = "i-9c41";
constexpr const char* kReplacement = "i-7e10";
constexpr milliseconds kReadyTimeout{ 15'000 };
// The instances regard what they know as complete 10 s after their start.
constexpr milliseconds kCalm{ 12'500 };
constexpr milliseconds kDown{ 250 };
// A quiet hour: each session sends a statement now and then.
constexpr milliseconds kPause{ 600 };
constexpr milliseconds kAfterStatement{ 100 };
constexpr milliseconds kChangeTimeout{ 10'000 };
constexpr milliseconds kDrainTime{ 7'000 };
constexpr milliseconds kAfterwards{ 8'000 };

std::string
PrimaryOf(case_system& aSystem)
{
  std::string primary;
  aSystem.Run([&](databases& aServers) { primary = aServers.Primary(); });
  return primary;
}

// Replaces the first primary as planned, so that the instances have recorded
// who leads. Returns false if they do not promote another server.
bool
ReplaceFirstPrimary(case_system& aSystem)
{
  aSystem.Run([](databases& aServers) { aServers.Drain(kFirstPrimary); });
  const bool replaced = standins::WaitFor(
    [&] { return PrimaryOf(aSystem) != kFirstPrimary; }, kChangeTimeout);
  std::this_thread::sleep_for(kDrainTime);
  aSystem.Run([](databases& aServers) { aServers.Remove(kFirstPrimary); });
  aSystem.AddServer(kReplacement);
  return replaced;
}

int
RunCase(const std::string& aFolder)
{
  case_record record(aFolder);
  case_system system(record, kInstances, { kFirstPrimary, "i-3d73", "i-5b02" });
  for (const auto& instance : kInstances) {
    if (!system.Start(instance) ||
        !system.WaitUntilReady(instance, kReadyTimeout)) {
      record.Note("an instance did not become ready");
      return kCouldNotRun;
    }
  }
  std::this_thread::sleep_for(kCalm);
  if (!ReplaceFirstPrimary(system)) {
    record.Note("the first primary was not replaced");
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(kCalm);
  // The sessions send their statements at the same time, so that none comes
  // while the process is down.
  callers calls(record, system);
  calls.SetPause(kPause);
  calls.Write("front-a-1");
  for (const auto& instance : kInstances) {
    calls.Read(instance, "main");
    calls.Read(instance, "look");
  }
  std::this_thread::sleep_for(5 * kPause + kAfterStatement);
  if (HasTrouble()) {
    system.Run([](databases& aServers) {
      aServers.StartAnew(aServers.Primary(), kDown);
    });
  }
  std::this_thread::sleep_for(kAfterwards);
  calls.Stop();
  std::map<std::string, executed_statement> executed;
  std::set<std::string> kept;
  system.Run([&](databases& aServers) {
    executed = aServers.Executed();
    const std::string primary = aServers.Primary();
    kept = primary.empty() ? kept : ValuesOf(aServers.LogOf(primary));
  });
  const int stale = calls.CountStale(executed, kept);
  record.Note(absl::StrCat(calls.Acknowledged(),
                           " writes acknowledged, ",
                           calls.Reads(),
                           " reads answered, ",
                           stale,
                           " of them stale"));
  if (calls.Acknowledged() == 0 || calls.Reads() == 0) {
    return kCouldNotRun;
  }
  return stale > 0 ? kBroken : kHeld;
}

} // namespace
} // namespace snipewalk::review

int
main(int argc, char** argv)
{
  return snipewalk::review::RunCase(argc > 1 ? argv[1] : ".");
}
