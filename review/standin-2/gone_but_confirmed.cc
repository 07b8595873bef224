// The store turns three of nine instances away; one of these stands still for
// four seconds meanwhile, and is marked as gone. After it has gone on, the
// primary leaves. Callers read the last value of an item at that instance.
#include "standin-2/callers.hh"
#include "standin-2/deployment.hh"

#include <algorithm>
#include <atomic>

using namespace review;

namespace {

constexpr int kRounds = 5;
constexpr int kReaders = 2;

} // namespace

int
main(int argc, char** argv)
{
  const run_options options = ReadOptions(argc, argv);
  record lines(options.mRecord);
  deployment fleet(options.mBinaryDir, options.mFolder, 3);
  std::vector<std::string> names;
  for (int i = 1; i <= 9; ++i) {
    names.push_back("i" + std::to_string(i));
    if (!fleet.Start(names.back())) {
      lines.Line("cannot start " + names.back());
      return 2;
    }
  }
  std::string holder;
  if (!WaitFor([&] {
        holder = fleet.Platform().DutyHolder();
        return !holder.empty();
      })) {
    return 2;
  }
  lines.Line("nine instances run; " + holder + " holds the duty");
  const auto setLags = [&] {
    fleet.Platform().Change([](line_server_group& aServers, platform_store&) {
      for (const auto& id : aServers.Running()) {
        // As far behind as the replicas of the site.
        aServers.SetLag(id, milliseconds(60));
      }
    });
  };
  setLags();
  std::vector<std::string> others;
  std::copy_if(names.begin(),
               names.end(),
               std::back_inserter(others),
               [&](const auto& aName) { return aName != holder; });
  const std::vector<std::string> refused(others.end() - 3, others.end());
  const std::string frozen = refused[1];

  written_item item;
  std::atomic<bool> stop{ false };
  std::atomic<int> stale{ 0 };
  std::atomic<int> reads{ 0 };
  std::vector<std::thread> callers;
  callers.emplace_back([&] {
    WriteItems(fleet.Ports(holder).mCallers, holder, item, lines, stop);
  });
  for (int i = 0; i < kReaders; ++i) {
    callers.emplace_back([&] {
      ReadItems(
        fleet.Ports(frozen).mCallers, frozen, item, lines, stop, reads, stale);
    });
  }

  SleepMs(3'000);
  for (int round = 0; round < kRounds && stale == 0; ++round) {
    const auto start = NowMs();
    const auto until = [&](int aMs) {
      const auto left = start + aMs - NowMs();
      if (left > 0) {
        SleepMs(static_cast<int>(left));
      }
    };
    lines.Line("round " + std::to_string(round + 1));
    std::string primary;
    if (options.mTrouble) {
      for (const auto& name : refused) {
        fleet.SetRefused(name, true);
      }
      lines.Line("the store turns away " + refused[0] + ", " + refused[1] +
                 " and " + refused[2]);
      fleet.At(frozen).Pause();
      lines.Line(frozen + " stands still");
      until(4'000);
      fleet.At(frozen).Resume();
      lines.Line(frozen + " goes on; its record says " +
                 fleet.InstanceState(frozen));
    }
    for (const int leaves : { 6'200, 7'700 }) {
      until(leaves - 600);
      // The new server starts first.
      fleet.Platform().Change([&](line_server_group& aServers,
                                  platform_store&) { aServers.Add(); });
      setLags();
      until(leaves);
      primary = fleet.Platform().Primary();
      const int served = reads;
      fleet.Platform().Drain(primary);
      lines.Line("primary " + primary + " leaves");
      until(leaves + 1'200);
      lines.Line("primary is " + fleet.Platform().Primary() + "; " + frozen +
                 " answered " + std::to_string(reads - served) + " reads");
    }
    until(9'000);
    for (const auto& name : refused) {
      fleet.SetRefused(name, false);
    }
    lines.Line("the store serves all instances");
    until(14'500);
    // Servers that reported their leave have gone by now.
    fleet.Platform().Change([&](line_server_group& aServers, platform_store&) {
      const auto running = aServers.Running();
      const auto leading = aServers.Leading();
      for (std::size_t i = 0; i + 3 < running.size(); ++i) {
        if (leading.empty() || running[i] != leading.back()) {
          aServers.Remove(running[i]);
        }
      }
    });
    until(17'500);
  }
  stop = true;
  for (auto& each : callers) {
    each.join();
  }
  lines.Line("reads answered by " + frozen + ": " + std::to_string(reads) +
             ", stale: " + std::to_string(stale));
  return reads == 0 ? 2 : stale > 0 ? 1 : 0;
}
