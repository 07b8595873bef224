// Recovery of a fleet whose regions were cut from each other for five minutes,
// in simulated time: times, bytes and exchanges do not depend on the load of
// the machine. Needs about 1 KB of memory per pair of members.
#include "fleet/partition_trial.h"

#include <benchmark/benchmark.h>

namespace snipewalk {
namespace {

void
PartitionHeals(benchmark::State& state)
{
  partition_figures figures;
  for ([[maybe_unused]] auto iteration : state) {
    partition_trial trial(static_cast<std::size_t>(state.range(0)),
                          static_cast<std::size_t>(state.range(1)),
                          1);
    trial.Cut();
    trial.Observe(seconds(60));
    trial.Fleet().Put("services", "a", "2");
    trial.Observe(seconds(240));
    figures = trial.Heal(seconds(300));
  }
  state.counters["all_known_s"] = figures.mAllKnownS;
  state.counters["document_s"] = figures.mDocumentS;
  state.counters["worst_Bps"] = figures.mWorstBytesPerS;
  state.counters["worst_heal_Bps"] = figures.mWorstHealBytesPerS;
  state.counters["mean_heal_bytes"] = figures.mMeanHealBytes;
  state.counters["fetches"] = static_cast<double>(figures.mFetches);
  state.counters["deaths_after"] =
    static_cast<double>(figures.mDeathsAfterHeal);
  state.counters["reverted"] = figures.mReverted ? 1 : 0;
}
BENCHMARK(PartitionHeals)
  ->ArgNames({ "members", "regions" })
  ->ArgsProduct({ { 100, 200, 400, 1'000, 2'000 }, { 2, 5 } })
  ->Iterations(1)
  ->Unit(benchmark::kSecond);

} // namespace
} // namespace snipewalk

BENCHMARK_MAIN();
