// Case: a primary is replaced as planned while the platform takes no orders of
// promotions for some seconds. Meanwhile the process of the chosen server ends
// and starts again under its id, holding nothing of before.
#include "callers.h"

#include "standins/process_fleet.h"

#include <absl/strings/str_cat.h>

#include <thread>

namespace snipewalk::review {
namespace {

const std::vector<std::string> kInstances{ "front-a-1", "front-b-1" };
constexpr const char* kFirstPrimary = "i-9c41";
constexpr milliseconds kReadyTimeout{ 15'000 };
// The instances regard what they know as complete 10 s after their start.
constexpr milliseconds kCalm{ 12'500 };
constexpr milliseconds kOrderTimeout{ 3'000 };
// From the first order until the process ends.
constexpr milliseconds kBeforeEnd{ 300 };
constexpr milliseconds kDown{ 250 };
// From the start of the process until the platform takes orders again.
constexpr milliseconds kBeforeReturn{ 1'500 };
constexpr milliseconds kChangeTimeout{ 10'000 };
constexpr milliseconds kAfterwards{ 3'000 };

std::string
PrimaryOf(case_system& aSystem)
{
  std::string primary;
  aSystem.Run([&](databases& aServers) { primary = aServers.Primary(); });
  return primary;
}

// Returns false if no promotion was ordered.
bool
StartCandidateAnew(case_record& aRecord, case_system& aSystem)
{
  const bool ordered = standins::WaitFor(
    [&] { return !aSystem.LastOrdered().empty(); }, kOrderTimeout);
  if (!ordered) {
    aRecord.Note("no promotion was ordered");
    return false;
  }
  std::this_thread::sleep_for(kBeforeEnd);
  const std::string candidate = aSystem.LastOrdered();
  aSystem.Run(
    [&](databases& aServers) { aServers.StartAnew(candidate, kDown); });
  std::this_thread::sleep_for(kDown + kBeforeReturn);
  aSystem.SetPromotionsDown(false);
  return true;
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
  callers calls(record, system);
  for (const auto& instance : kInstances) {
    calls.Write(instance);
  }
  std::this_thread::sleep_for(kCalm);
  if (HasTrouble()) {
    system.SetPromotionsDown(true);
  }
  system.Run([](databases& aServers) { aServers.Drain(kFirstPrimary); });
  if (HasTrouble() && !StartCandidateAnew(record, system)) {
    return kCouldNotRun;
  }
  const bool replaced = standins::WaitFor(
    [&] {
      const std::string primary = PrimaryOf(system);
      return !primary.empty() && primary != kFirstPrimary;
    },
    kChangeTimeout);
  std::this_thread::sleep_for(kAfterwards);
  calls.Stop();
  std::set<std::string> kept;
  system.Run([&](databases& aServers) {
    const std::string primary = aServers.Primary();
    kept = primary.empty() ? kept : ValuesOf(aServers.LogOf(primary));
  });
  if (!replaced || calls.Acknowledged() == 0) {
    record.Note("the first primary was not replaced");
    return kCouldNotRun;
  }
  const int lost = calls.CountLost(kept);
  record.Note(absl::StrCat(calls.Acknowledged(),
                           " writes acknowledged, ",
                           lost,
                           " of them not in the log of the promoted server"));
  return lost > 0 ? kBroken : kHeld;
}

} // namespace
} // namespace snipewalk::review

int
main(int argc, char** argv)
{
  return snipewalk::review::RunCase(argc > 1 ? argv[1] : ".");
}
