// Placement of slots at the target size: 5,000 instances in 18 data centres,
// 6,500 services of three slots. Decisions and time are simulated with one
// membership view that is a second old; the store, the messages and the closing
// of connections take no time. The figures are counts and do not depend on the
// load of the machine.
#include "snipewalk/version/slot_placement.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>
#include <xxhash.h>

namespace snipewalk {
namespace {

constexpr std::size_t kInstances = 5'000;
constexpr std::size_t kServices = 6'500;
constexpr std::size_t kSlots = 3;
constexpr std::size_t kCentres = 18;
constexpr std::size_t kRegions = 5;
// Default of slot_options::mMoveSpacing, in seconds.
constexpr std::uint64_t kSpacing = 30;
constexpr std::uint64_t kQuietSeconds = 600;
constexpr std::uint64_t kLimitSeconds = 24 * 3'600;

enum class claim_order
{
  // The order without placement.
  Rendezvous,
  Placement
};

class fleet
{
public:
  explicit fleet(claim_order aOrder)
    : mOrder(aOrder)
    , mLive(kInstances, true)
    , mHeld(kInstances)
  {
    for (std::size_t i = 0; i < kInstances; ++i) {
      mNames.push_back("instance-" + std::to_string(i));
    }
    for (std::size_t i = 0; i < kCentres; ++i) {
      mCentres.push_back("centre-" + std::to_string(i));
      mRegions.push_back("region-" + std::to_string(i % kRegions));
    }
    for (std::size_t i = 0; i < kServices; ++i) {
      std::vector<std::string> nearby;
      for (std::size_t j = i % kRegions; j < kCentres; j += kRegions) {
        nearby.push_back(mCentres[j]);
      }
      std::shuffle(nearby.begin(), nearby.end(), mRandom);
      nearby.resize(3);
      mServices.push_back({ "service-" + std::to_string(i),
                            nearby,
                            std::vector<std::string>(kSlots) });
    }
    mHolders.assign(kServices, std::vector<std::size_t>(kSlots, kInstances));
    for (std::size_t i = 0; i < kServices; ++i) {
      if (i % 50 == 0) {
        Refresh();
      }
      for (std::size_t slot = 0; slot < kSlots; ++slot) {
        Claim(i, slot, kInstances);
      }
    }
  }

  void UsePlacement() { mOrder = claim_order::Placement; }

  // Stops and starts one instance after the other.
  void Restart()
  {
    for (std::size_t i = 0; i < kInstances; ++i) {
      mLive[i] = false;
      Refresh();
      for (const auto& [service, slot] : std::exchange(mHeld[i], {})) {
        Claim(service, slot, i);
      }
      mLive[i] = true;
    }
  }

  // Moves slots until none moved for kQuietSeconds.
  std::uint64_t Rebalance()
  {
    std::uint64_t moves = 0;
    std::vector<std::uint64_t> next;
    for (std::size_t i = 0; i < kInstances; ++i) {
      next.push_back(kSpacing + mRandom() % kSpacing);
    }
    std::uint64_t second = 0;
    for (mLastMove = 0;
         second < mLastMove + kQuietSeconds && second < kLimitSeconds;
         ++second) {
      Refresh();
      for (std::size_t i = 0; i < kInstances; ++i) {
        if (second >= next[i]) {
          next[i] = second + kSpacing + mRandom() % kSpacing;
          if (Move(i)) {
            ++moves;
            mLastMove = second;
          }
        }
      }
    }
    return moves;
  }

  std::uint64_t LastMove() const { return mLastMove; }

  void Report(benchmark::State& state, const std::string& aName) const
  {
    std::size_t most = 0;
    std::size_t least = kInstances;
    for (const auto& held : mHeld) {
      most = std::max(most, held.size());
      least = std::min(least, held.size());
    }
    std::size_t inOne = 0;
    std::size_t shared = 0;
    for (const auto& holders : mHolders) {
      std::set<std::size_t> centres;
      for (const std::size_t holder : holders) {
        centres.insert(holder % kCentres);
      }
      inOne += centres.size() == 1 ? 1 : 0;
      shared += centres.size() < kSlots ? 1 : 0;
    }
    // By the number of data centres of the region.
    std::array<double, 2> slots{};
    std::array<double, 2> instances{};
    std::size_t firstIdle = kInstances;
    for (std::size_t i = kInstances; i-- > 0;) {
      const std::size_t small = i % kCentres % kRegions >= kCentres % kRegions;
      slots[small] += static_cast<double>(mHeld[i].size());
      instances[small] += 1;
      firstIdle = mHeld[i].empty() ? i : firstIdle;
    }
    state.counters[aName + "_mean_four_centres"] = slots[0] / instances[0];
    state.counters[aName + "_mean_three_centres"] = slots[1] / instances[1];
    state.counters[aName + "_first_idle"] = static_cast<double>(firstIdle);
    state.counters[aName + "_one_centre"] = static_cast<double>(inOne);
    state.counters[aName + "_shared_centre"] = static_cast<double>(shared);
    state.counters[aName + "_most"] = static_cast<double>(most);
    state.counters[aName + "_least"] = static_cast<double>(least);
  }

private:
  void Refresh()
  {
    std::vector<placement_member> members;
    members.reserve(kInstances);
    for (std::size_t i = 0; i < kInstances; ++i) {
      if (mLive[i]) {
        members.push_back({ mNames[i],
                            mCentres[i % kCentres],
                            mRegions[i % kCentres],
                            mHeld[i].size() });
      }
    }
    mIndex = placement_index(members);
  }

  std::size_t Winner(std::size_t aService, std::size_t aExcept) const
  {
    const placement_question& service = mServices[aService];
    const std::uint64_t hash =
      XXH64(service.mService.data(), service.mService.size(), 5);
    std::size_t winner = kInstances;
    std::uint64_t best = 0;
    for (std::size_t i = 0; i < kInstances; ++i) {
      const auto& holders = mHolders[aService];
      if (!mLive[i] || i == aExcept ||
          std::find(holders.begin(), holders.end(), i) != holders.end()) {
        continue;
      }
      const std::uint64_t score =
        mOrder == claim_order::Placement
          ? kInstances - mIndex.Rank(service, mNames[i], mHeld[i].size())
          : XXH64(mNames[i].data(), mNames[i].size(), hash);
      if (winner == kInstances || score > best) {
        winner = i;
        best = score;
      }
      if (mOrder == claim_order::Placement && best == kInstances) {
        break;
      }
    }
    return winner;
  }

  void Claim(std::size_t aService, std::size_t aSlot, std::size_t aBefore)
  {
    mHolders[aService][aSlot] = kInstances;
    mServices[aService].mHolders[aSlot].clear();
    const std::size_t winner = Winner(aService, aBefore);
    mHolders[aService][aSlot] = winner;
    mServices[aService].mHolders[aSlot] = mNames[winner];
    mHeld[winner].emplace(aService, aSlot);
  }

  bool Move(std::size_t aInstance)
  {
    std::pair<std::size_t, std::size_t> chosen{ kServices, 0 };
    for (const auto& held : mHeld[aInstance]) {
      const auto reason = mIndex.ReasonToRelease(
        mServices[held.first], mNames[aInstance], mHeld[aInstance].size());
      if (reason == release_reason::Spread ||
          (reason && chosen.first == kServices)) {
        chosen = held;
      }
    }
    if (chosen.first == kServices) {
      return false;
    }
    mHeld[aInstance].erase(chosen);
    Claim(chosen.first, chosen.second, aInstance);
    return true;
  }

  claim_order mOrder;
  std::mt19937_64 mRandom{ 7 };
  std::vector<std::string> mNames;
  std::vector<std::string> mCentres;
  std::vector<std::string> mRegions;
  std::vector<placement_question> mServices;
  // Instances by service and slot; kInstances is none.
  std::vector<std::vector<std::size_t>> mHolders;
  std::vector<bool> mLive;
  // Services and slots held by each instance.
  std::vector<std::set<std::pair<std::size_t, std::size_t>>> mHeld;
  placement_index mIndex{ {} };
  std::uint64_t mLastMove = 0;
};

void
Run(benchmark::State& state, claim_order aOrder)
{
  for ([[maybe_unused]] auto iteration : state) {
    fleet subject(aOrder);
    subject.Report(state, "1_claimed");
    subject.Restart();
    subject.Report(state, "2_restarted");
    subject.UsePlacement();
    state.counters["3_moves"] = static_cast<double>(subject.Rebalance());
    state.counters["3_seconds"] = static_cast<double>(subject.LastMove());
    subject.Report(state, "4_balanced");
  }
}

void
PlacedByRendezvous(benchmark::State& state)
{
  Run(state, claim_order::Rendezvous);
}
BENCHMARK(PlacedByRendezvous)->Iterations(1)->Unit(benchmark::kSecond);

void
PlacedByPlacement(benchmark::State& state)
{
  Run(state, claim_order::Placement);
}
BENCHMARK(PlacedByPlacement)->Iterations(1)->Unit(benchmark::kSecond);

} // namespace
} // namespace snipewalk

BENCHMARK_MAIN();
