// Cost of slot assignment for a holder and for the choice of a claimant.
#include "fleet/fleet_model.h"
#include "fleet/membership_fleet.h"

#include "snipewalk/version/term_record.h"

#include <benchmark/benchmark.h>

namespace snipewalk {
namespace {

membership
Known(const fleet_model& aNames, std::size_t aCount)
{
  membership_options options;
  options.mSelf = aNames.InfoOf(0);
  membership subject(options, time_point{});
  members_received table;
  for (std::size_t i = 1; i < aCount; ++i) {
    table.mMembers.push_back(aNames.InfoOf(i));
  }
  std::vector<membership_action> actions;
  subject.Handle(table, time_point{}, actions);
  return subject;
}

void
RankOfClaimant(benchmark::State& state)
{
  const fleet_model names;
  const membership members =
    Known(names, static_cast<std::size_t>(state.range(0)));
  const membership_fleet fleet(members);
  for ([[maybe_unused]] auto iteration : state) {
    benchmark::DoNotOptimize(fleet.Rank("ledger", { "instance-1" }));
  }
}
BENCHMARK(RankOfClaimant)->Arg(10)->Arg(100)->Arg(1'000)->Arg(5'000);

// The index from which ranks are computed, with the first rank; it is rebuilt
// once a second at most.
void
IndexOfMembers(benchmark::State& state)
{
  const fleet_model names;
  const membership members =
    Known(names, static_cast<std::size_t>(state.range(0)));
  membership_fleet fleet(members);
  slot_options options;
  options.mInstance = members.Self().mName;
  const slot_assignment slots(options, fleet);
  fleet.SetSlots(slots);
  for ([[maybe_unused]] auto iteration : state) {
    fleet.Tick(time_point{}, seconds(30));
    benchmark::DoNotOptimize(fleet.Rank("ledger", { "instance-1" }));
  }
}
BENCHMARK(IndexOfMembers)->Arg(10)->Arg(100)->Arg(1'000)->Arg(5'000);

// One interval in which a holder of one slot asks its co-holders and the store
// or they answer.
void
HolderInterval(benchmark::State& state)
{
  const fleet_model names;
  const membership members =
    Known(names, static_cast<std::size_t>(state.range(0)));
  const membership_fleet fleet(members);
  slot_options options;
  options.mInstance = members.Self().mName;
  options.mLife = members.Life();
  slot_assignment subject(options, fleet);
  std::vector<slot_action> actions;
  time_point now{ std::chrono::hours(1) };
  slot_record record;
  for (std::size_t i = 0; i < 3; ++i) {
    record.mHolders.push_back({ names.InfoOf(i).mName, members.Life() });
  }
  subject.Handle(slots_configured{ "ledger", 3, 20, 1 }, now, actions);
  subject.Handle(
    slots_recorded{
      { { "slots", "ledger" }, 2, false, EncodeSlotRecord(record) } },
    now,
    actions);
  std::uint64_t bytes = 0;
  std::uint64_t intervals = 0;
  for ([[maybe_unused]] auto iteration : state) {
    now = std::max(now, subject.NextTimer().value_or(now));
    subject.Handle(slot_timer{}, now, actions);
    for (const auto& action : std::exchange(actions, {})) {
      if (const auto* send = std::get_if<send_slot_message>(&action)) {
        bytes += EncodeDatagram(send->mMessage, "key").size();
        slot_message reply = send->mMessage;
        reply.mKind = slot_message_kind::HoldReply;
        reply.mSender = names.InfoOf(1).mName;
        reply.mSenderLife = members.Life();
        reply.mGranted = true;
        subject.Handle(slot_message_received{ send->mTo, reply }, now, actions);
        ++intervals;
      }
    }
  }
  state.counters["bytes_per_question"] =
    static_cast<double>(bytes) /
    static_cast<double>(std::max<std::uint64_t>(1, intervals));
}
BENCHMARK(HolderInterval)->Arg(10)->Arg(5'000);

} // namespace
} // namespace snipewalk

BENCHMARK_MAIN();
