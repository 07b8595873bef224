// Case: for a few seconds a primary and five of eight instances are cut off
// from the store, from the other servers and from the other instances.
// Afterwards they read from the replaced primary what their callers must not
// get.
#include "callers.h"
#include "standins/process_fleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <atomic>
#include <thread>

namespace snipewalk::review {
namespace {

const std::vector<std::string> kInstances{ "front-a-1", "front-a-2",
                                           "front-b-1", "front-b-2",
                                           "front-c-1", "front-c-2",
                                           "front-d-1", "front-d-2" };
// Of eight instances: the pages' partitions cut a primary off together with up
// to 0.65 of them.
constexpr std::size_t kCutOff = 5;
constexpr const char* kOldPrimary = "i-9c41";
constexpr const char* kSecond = "i-3d73";
constexpr const char* kThird = "i-5b02";
constexpr milliseconds kReadyTimeout{ 15'000 };
// The instances regard what they know as complete 10 s after their start.
constexpr milliseconds kCalm{ 12'500 };
// The pages' partitions of a primary last up to 7 s.
constexpr milliseconds kShortestCut{ 5'500 };
constexpr milliseconds kLongestCut{ 6'900 };
constexpr milliseconds kNextBeat{ 900 };
constexpr milliseconds kAfterwards{ 4'000 };
constexpr milliseconds kLookInterval{ 2 };
constexpr int kReaders = 4;
constexpr milliseconds kPause{ 30 };

// The instances on both sides of the partition.
struct instance_sides
{
  std::vector<std::string> mConnected;
  std::vector<std::string> mCutOff;
};

// The instance that orders promotions stays connected.
instance_sides
ChooseSides(case_system& aSystem)
{
  const std::string holder = aSystem.DutyHolder();
  instance_sides sides;
  for (const auto& name : kInstances) {
    const bool cutOff = name != holder && sides.mCutOff.size() < kCutOff;
    (cutOff ? sides.mCutOff : sides.mConnected).push_back(name);
  }
  return sides;
}

void
SetPartition(case_system& aSystem, const instance_sides& aSides, bool aCut)
{
  for (const auto& instance : aSides.mConnected) {
    aSystem.CutServer(instance, kOldPrimary, aCut);
    for (const auto& other : aSides.mCutOff) {
      aSystem.CutPeer(instance, other, aCut);
    }
  }
  for (const auto& instance : aSides.mCutOff) {
    aSystem.CutServer(instance, kSecond, aCut);
    aSystem.CutServer(instance, kThird, aCut);
    aSystem.CutStore(instance, aCut);
  }
  aSystem.Run([&](databases& aServers) {
    aServers.SetCutOff(kOldPrimary, aCut, kNextBeat);
  });
}

// Ends the partition when one of the instances has just tried to read the
// records.
void
RunPartition(case_record& aRecord,
             case_system& aSystem,
             const instance_sides& aSides)
{
  std::atomic<bool> reading{ false };
  aSystem.WatchStore(aSides.mCutOff.front(), [&](const std::string& aBytes) {
    if (absl::StrContains(aBytes, "/v1/objects/snipewalk-fleet HTTP")) {
      reading.store(true);
    }
  });
  const time_point began = Now();
  aRecord.Note("the partition begins");
  SetPartition(aSystem, aSides, true);
  std::this_thread::sleep_for(kShortestCut);
  reading.store(false);
  while (!reading.load() && Now() < began + kLongestCut) {
    std::this_thread::sleep_for(kLookInterval);
  }
  SetPartition(aSystem, aSides, false);
  aRecord.Note(absl::StrCat(
    "the partition ends after ", ToMilliseconds(Now() - began), " ms"));
  aSystem.WatchStore(aSides.mCutOff.front(), {});
}

int
RunCase(const std::string& aFolder)
{
  case_record record(aFolder);
  case_system system(record, kInstances, { kOldPrimary, kSecond, kThird });
  for (const auto& instance : kInstances) {
    if (!system.Start(instance) ||
        !system.WaitUntilReady(instance, kReadyTimeout)) {
      record.Note("an instance did not become ready");
      return kCouldNotRun;
    }
  }
  const bool chosen = standins::WaitFor(
    [&] { return !system.DutyHolder().empty(); }, kReadyTimeout);
  if (!chosen) {
    record.Note("no instance orders promotions");
    return kCouldNotRun;
  }
  const instance_sides sides = ChooseSides(system);
  callers calls(record, system);
  calls.Write(sides.mConnected.front());
  calls.SetPause(kPause);
  for (const auto& instance : sides.mCutOff) {
    for (int i = 0; i < kReaders; ++i) {
      calls.Read(instance, "look");
    }
  }
  std::this_thread::sleep_for(kCalm);
  if (HasTrouble()) {
    RunPartition(record, system, sides);
  } else {
    std::this_thread::sleep_for(kLongestCut);
  }
  std::this_thread::sleep_for(kAfterwards);
  calls.Stop();
  std::map<std::string, executed_statement> executed;
  std::set<std::string> kept;
  system.Run([&](databases& aServers) {
    executed = aServers.Executed();
    kept = ValuesOf(aServers.LogOf(aServers.Primary()));
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
