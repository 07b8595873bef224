// Measures the statement path over loopback: statements per second of one
// traffic thread, and the latency that an instance adds.
#include "traffic/traffic_fixture.h"

#include <Poco/Net/ServerSocket.h>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>

namespace snipewalk {
namespace {

using clock = std::chrono::steady_clock;

double
Microseconds(clock::duration aTime)
{
  return std::chrono::duration<double, std::micro>(aTime).count();
}

double
Quantile(std::vector<double>& aValues, double aShare)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(
    aShare * static_cast<double>(aValues.size() - 1))];
}

std::size_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// Sequential reads at 1,000 a second, through the instance and directly.
void
MeasureLatency(traffic_fixture& aFixture)
{
  http_client caller(aFixture.mHolder.CallerAddress());
  http_client entry(aFixture.mEntry.CallerAddress());
  http_client server(aFixture.mServers.Endpoints()[1].mAddress);
  http_request direct;
  direct.mMethod = "POST";
  direct.mTarget = "/v1/statements";
  direct.mHeaders.Add("Term", "1");
  direct.mHeaders.Add("Kind", "read");
  direct.mHeaders.Add("Request-Id", "bench");
  direct.mBody = "get a";
  const auto through = Statement("read", "get a");
  std::vector<double> own;
  std::vector<double> forwarded;
  std::vector<double> bare;
  const auto timed = [](http_client& aClient,
                        const http_request& aRequest,
                        std::vector<double>& aInto) {
    const auto start = clock::now();
    const auto response = aClient.Call(aRequest);
    if (response.mStatus != 200) {
      std::printf("status %d %s\n", response.mStatus, response.mBody.c_str());
    }
    aInto.push_back(Microseconds(clock::now() - start));
    std::this_thread::sleep_until(start + milliseconds(1));
  };
  for (int i = 0; i < 3'000; ++i) {
    timed(server, direct, bare);
    timed(caller, through, own);
    timed(entry, through, forwarded);
  }
  std::printf("read latency us p50/p99: server %.0f/%.0f, holder %.0f/%.0f, "
              "forwarded %.0f/%.0f\n",
              Quantile(bare, 0.5),
              Quantile(bare, 0.99),
              Quantile(own, 0.5),
              Quantile(own, 0.99),
              Quantile(forwarded, 0.5),
              Quantile(forwarded, 0.99));
}

// Reads by callers that wait for each response, from a few client threads.
void
MeasureThroughput(traffic_fixture& aFixture, std::size_t aCallers)
{
  constexpr std::size_t kClientThreads = 2;
  const auto end = clock::now() + seconds(3);
  const std::string bytes = WriteRequest(Statement("read", "get a"), "bench");
  std::vector<std::thread> clients;
  std::atomic<std::uint64_t> done{ 0 };
  for (std::size_t t = 0; t < kClientThreads; ++t) {
    clients.emplace_back([&] {
      std::vector<std::unique_ptr<http_client>> callers;
      for (std::size_t i = 0; i < aCallers / kClientThreads; ++i) {
        callers.push_back(
          std::make_unique<http_client>(aFixture.mHolder.CallerAddress()));
      }
      while (clock::now() < end) {
        for (auto& caller : callers) {
          caller->Send(bytes);
        }
        for (auto& caller : callers) {
          const auto response = caller->Receive();
          done += response && response->mStatus == 200 ? 1 : 0;
        }
      }
    });
  }
  for (auto& client : clients) {
    client.join();
  }
  std::printf("reads per second with %zu callers: %.0f\n",
              aCallers,
              static_cast<double>(done.load()) / 3.0);
}

void
MeasureIdleCallers(traffic_fixture& aFixture)
{
  constexpr std::size_t kCallers = 6'400;
  rlimit limit{ 20'000, 20'000 };
  ::setrlimit(RLIMIT_NOFILE, &limit);
  const std::size_t before = ResidentBytes();
  std::vector<Poco::Net::StreamSocket> callers;
  const Poco::Net::SocketAddress address(aFixture.mHolder.CallerAddress());
  while (callers.size() < kCallers) {
    callers.emplace_back(address);
  }
  while (aFixture.mHolder.Counts().mCallers < kCallers) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  // The client sockets of this process are part of the figure.
  std::printf("resident bytes per idle caller, client socket included: %zu\n",
              (ResidentBytes() - before) / kCallers);
}

} // namespace
} // namespace snipewalk

int
main()
{
  snipewalk::traffic_fixture fixture(1);
  // First, so that no memory freed by the other runs hides the callers' need.
  snipewalk::MeasureIdleCallers(fixture);
  snipewalk::MeasureLatency(fixture);
  for (const std::size_t callers : { 20, 100, 400 }) {
    snipewalk::MeasureThroughput(fixture, callers);
  }
  return 0;
}
