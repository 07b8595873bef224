// The primary is cut off from its replicas until another is promoted, and from
// the store for five seconds, so that its entry goes on to call it the primary.
// Then its successor leaves, and the first primary is chosen again. Callers
// commit transactions and read the items on a route of the kind "primary".
#include "standin-2/callers.hh"
#include "standin-2/deployment.hh"

#include <deque>

using namespace review;

namespace {

constexpr int kRounds = 5;
constexpr int kWriters = 6;
constexpr int kReadersAnItem = 2;

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
  platform& users = fleet.Platform();
  std::string holder;
  if (!WaitFor([&] {
        holder = users.DutyHolder();
        return !holder.empty();
      })) {
    return 2;
  }
  lines.Line("nine instances run; " + holder + " holds the duty");
  const auto change =
    [&](const std::function<void(line_server_group&)>& aTask) {
      users.Change([&](line_server_group& aServers, platform_store&) {
        aTask(aServers);
        for (const auto& id : aServers.Running()) {
          // As far behind as the replicas of the site.
          aServers.SetLag(id, milliseconds(60));
        }
      });
    };
  change([](line_server_group&) {});

  std::atomic<bool> stop{ false };
  std::atomic<int> stale{ 0 };
  std::atomic<int> reads{ 0 };
  std::deque<written_item> items;
  std::vector<std::thread> callers;
  for (int i = 0; i < kWriters; ++i) {
    written_item& item = items.emplace_back(std::string(1, char('a' + i)));
    const std::string writer = names[static_cast<std::size_t>(i)];
    callers.emplace_back([&, writer] {
      WriteItemsInTransactions(
        fleet.Ports(writer).mCallers, writer, item, lines, stop);
    });
    for (int k = 0; k < kReadersAnItem; ++k) {
      const std::string reader =
        names[static_cast<std::size_t>(i + 3 * k + 1) % names.size()];
      callers.emplace_back([&, reader] {
        ReadItems(fleet.Ports(reader).mCallers,
                  reader,
                  item,
                  lines,
                  stop,
                  reads,
                  stale);
      });
    }
  }
  SleepMs(11'000);
  for (int round = 0; round < kRounds && stale == 0; ++round) {
    const auto start = NowMs();
    const auto until = [&](int aMs) {
      const auto left = start + aMs - NowMs();
      if (left > 0) {
        SleepMs(static_cast<int>(left));
      }
    };
    lines.Line("round " + std::to_string(round + 1));
    const std::string first = users.Primary();
    const int promotions = users.Promotions();
    if (options.mTrouble) {
      users.CutFromStore(first);
      change([&](line_server_group& aServers) {
        for (const auto& id : aServers.Running()) {
          aServers.SetDeaf(id, id != first);
        }
      });
      lines.Line("primary " + first +
                 " is cut off from its replicas and from the store");
      WaitFor([&] { return users.Promotions() > promotions; },
              milliseconds(5'000));
      change([&](line_server_group& aServers) {
        for (const auto& id : aServers.Running()) {
          aServers.SetDeaf(id, false);
        }
      });
      lines.Line(users.Primary() + " leads; " + first + " receives from it");
    }
    until(2'000);
    change([](line_server_group& aServers) { aServers.Add(); });
    until(2'700);
    const std::string second = users.Primary();
    users.Drain(second);
    lines.Line("primary " + second + " leaves");
    until(5'000);
    if (options.mTrouble) {
      users.EndCut(first);
      lines.Line(first + " reaches the store again");
    }
    lines.Line("primary is " + users.Primary());
    until(9'700);
    change([&](line_server_group& aServers) { aServers.Remove(second); });
    lines.Line(second + " has left");
    until(16'000);
  }
  stop = true;
  for (auto& each : callers) {
    each.join();
  }
  lines.Line("reads answered: " + std::to_string(reads) +
             ", stale: " + std::to_string(stale));
  return reads == 0 ? 2 : stale > 0 ? 1 : 0;
}
