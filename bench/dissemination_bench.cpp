// Time and bytes until a push has reached a whole fleet, stepped in one
// process.
#include "fleet/fleet_model.h"

#include <benchmark/benchmark.h>

namespace snipewalk {
namespace {

std::size_t
Informed(fleet_model& aFleet)
{
  std::size_t count = 0;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    count += aFleet.At(i).mCache->Head("services") >= aFleet.Revision() ? 1 : 0;
  }
  return count;
}

void
PushReachesFleet(benchmark::State& state)
{
  fleet_model fleet;
  fleet.mRegions = 5;
  fleet.StartJoined(static_cast<std::size_t>(state.range(0)));
  fleet.Put("services", "first", "a");
  fleet.Run(seconds(15), milliseconds(10));
  double simulated = 0;
  double almostAll = 0;
  for ([[maybe_unused]] auto iteration : state) {
    fleet.Put("services", "ledger", std::string(1'000, 'x'));
    const time_point begin = fleet.Now();
    bool almost = false;
    for (std::size_t informed = 0; informed < fleet.Size();) {
      fleet.Run(milliseconds(10), milliseconds(10));
      informed = Informed(fleet);
      if (!almost && informed * 100 >= fleet.Size() * 95) {
        almost = true;
        almostAll += static_cast<double>(ToMilliseconds(fleet.Now() - begin));
      }
    }
    simulated += static_cast<double>(ToMilliseconds(fleet.Now() - begin));
  }
  const auto runs = static_cast<double>(state.iterations());
  state.counters["simulated_ms_to_all"] = simulated / runs;
  state.counters["simulated_ms_to_95_percent"] = almostAll / runs;
}
BENCHMARK(PushReachesFleet)
  ->Arg(10)
  ->Arg(100)
  ->Arg(1'000)
  ->Arg(5'000)
  ->Iterations(5)
  ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace snipewalk

BENCHMARK_MAIN();
