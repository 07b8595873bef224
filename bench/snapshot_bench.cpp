// Cost of a routing snapshot by the number of services: memory of cached
// objects and views, and time to publish one change.
#include "snipewalk/base/findings.h"
#include "snipewalk/messages/service_view.h"
#include "snipewalk/version/document_validation.h"
#include "snipewalk/version/object_cache.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <map>
#include <memory>
#include <string>

namespace snipewalk {
namespace {

constexpr int kMembers = 5'000;

std::string
DocumentText(int aNumber)
{
  std::string text =
    "{\"service\":\"service" + std::to_string(aNumber) + "\",\"servers\":[";
  for (int i = 0; i < 3; ++i) {
    const std::string server =
      std::to_string(aNumber) + "-" + std::to_string(i);
    text += (i ? ",{" : "{") + std::string("\"name\":\"server") + server +
            "\",\"address\":\"10.0.0.1:" + std::to_string(5'000 + i) +
            "\",\"data_centre\":\"centre" + std::to_string(i) + "\"}";
  }
  return text + "],\"slots\":3,\"connections_per_server\":20}";
}

std::shared_ptr<const service_view>
ViewOf(const std::string& aText)
{
  findings found;
  auto view = std::make_shared<service_view>();
  view->mDocument =
    ParseServiceDocument(aText, "service", found).value_or(service_document());
  view->mTerm = { 7,
                  "server-1",
                  { "server-1", "server-2", "server-3" },
                  {},
                  "instance-1234/1796364068705/17",
                  "instance-1234" };
  view->mSlots.mHolders.assign(3, { "instance-1234", 1'796'364'068'705 });
  return view;
}

std::map<std::string, member_info>
Members()
{
  std::map<std::string, member_info> members;
  for (int i = 0; i < kMembers; ++i) {
    const std::string name = "instance-" + std::to_string(i);
    members[name] = {
      name, 1, "centre-1", "region-1", "10.0.0.1:700", "10.0.0.1:7001", {}
    };
  }
  return members;
}

std::size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

// Bytes of heap for each service: cached document, term and slots, and view.
void
MemoryPerService(benchmark::State& aState)
{
  const int services = static_cast<int>(aState.range(0));
  for ([[maybe_unused]] auto iteration : aState) {
    const std::size_t before = HeapBytes();
    object_cache cache;
    std::map<std::string, std::shared_ptr<const service_view>> views;
    for (int i = 0; i < services; ++i) {
      const std::string name = "service" + std::to_string(i);
      const std::string text = DocumentText(i);
      const auto version = 3 * static_cast<std::uint64_t>(i);
      cache.Apply({ { "services", name }, version + 1, false, text });
      cache.Apply(
        { { "terms", name }, version + 2, false, std::string(200, 't') });
      cache.Apply(
        { { "slots", name }, version + 3, false, std::string(180, 's') });
      views[name] = ViewOf(text);
    }
    aState.counters["bytes_per_service"] =
      static_cast<double>(HeapBytes() - before) / services;
  }
}
BENCHMARK(MemoryPerService)->Arg(500)->Arg(1'000)->Arg(2'000)->Arg(6'500);

// Time to build the snapshot that follows from one change.
void
PublishSnapshot(benchmark::State& aState)
{
  const int services = static_cast<int>(aState.range(0));
  const auto members = Members();
  const auto view = ViewOf(DocumentText(1));
  std::map<std::string, std::shared_ptr<const service_view>> views;
  for (int i = 0; i < services; ++i) {
    views["service" + std::to_string(i)] = view;
  }
  for ([[maybe_unused]] auto iteration : aState) {
    auto snapshot = std::make_shared<routing_snapshot>();
    for (const auto& [name, one] : views) {
      snapshot->mServices.emplace_hint(snapshot->mServices.end(), name, one);
    }
    snapshot->mMembers = members;
    benchmark::DoNotOptimize(snapshot);
  }
}
BENCHMARK(PublishSnapshot)
  ->Arg(500)
  ->Arg(1'000)
  ->Arg(2'000)
  ->Arg(6'500)
  ->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace snipewalk

BENCHMARK_MAIN();
