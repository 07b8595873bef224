// Cost of the membership at fleets of different sizes: time and bytes of a
// second of one instance, and memory per member.
#include "fleet/fleet_model.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

namespace snipewalk {
namespace {

constexpr int kWarmUpRounds = 30'000;

// One instance that knows `state.range(0)` members and answers for all of them:
// each probe is acknowledged, and one probe and one acknowledgement of others
// arrive in each second.
void
MembershipSecond(benchmark::State& state)
{
  const auto count = static_cast<std::size_t>(state.range(0));
  fleet_model names;
  membership_options options;
  options.mSelf = names.InfoOf(0);
  members_received table;
  for (std::size_t i = 1; i < count; ++i) {
    table.mMembers.push_back(names.InfoOf(i));
  }
  const auto before = ::mallinfo2().uordblks;
  membership subject(options, time_point{});
  std::vector<membership_action> actions;
  subject.Handle(table, time_point{}, actions);
  actions = {};
  const auto after = ::mallinfo2().uordblks;
  std::uint64_t bytes = 0;
  std::uint64_t rounds = 0;
  const auto second = [&] {
    const time_point now = subject.NextTimer();
    subject.Handle(membership_timer{}, now, actions);
    membership_message probe;
    probe.mSender = "instance-1";
    probe.mIncarnation = table.mMembers.front().mIncarnation;
    const auto sent = std::exchange(actions, {});
    for (const auto& action : sent) {
      const auto* send = std::get_if<send_membership>(&action);
      if (send == nullptr) {
        continue;
      }
      bytes += EncodeDatagram(send->mMessage, "key", send->mVersion).size();
      if (send->mMessage.mKind == membership_kind::Probe) {
        ++rounds;
        probe.mKind = membership_kind::Ack;
        probe.mSequence = send->mMessage.mSequence;
        subject.Handle(membership_received{ send->mTo, probe }, now, actions);
        probe.mKind = membership_kind::Probe;
        subject.Handle(membership_received{ send->mTo, probe }, now, actions);
      }
    }
  };
  // Passes on the updates about the members before anything is counted.
  for (int i = 0; i < kWarmUpRounds; ++i) {
    second();
  }
  bytes = 0;
  rounds = 0;
  for ([[maybe_unused]] auto iteration : state) {
    second();
  }
  state.counters["bytes_per_round"] =
    static_cast<double>(bytes) /
    static_cast<double>(std::max<std::uint64_t>(1, rounds));
  state.counters["bytes_per_member"] =
    static_cast<double>(after - before) / static_cast<double>(count);
}
BENCHMARK(MembershipSecond)->Arg(10)->Arg(100)->Arg(1'000)->Arg(5'000);

} // namespace
} // namespace snipewalk

BENCHMARK_MAIN();
