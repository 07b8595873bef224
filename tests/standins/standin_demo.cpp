// Program: walks through the main job on stand-ins and prints what happened.
#include "snipewalk/base/command_line.h"
#include "standins/system_fleet.h"

#include <absl/flags/parse.h>

#include <chrono>
#include <iostream>

namespace {

using namespace snipewalk;
using namespace snipewalk::standins;

constexpr int kExitFailed = 1;

void
Say(const std::string& aText)
{
  std::cout << aText << std::endl;
}

// Prints a step's result; ends the program when it failed.
void
Expect(bool aHolds, const std::string& aText)
{
  Say((aHolds ? "  ok      " : "  FAILED  ") + aText);
  if (!aHolds) {
    // Leaves through main's caller so that the processes are ended.
    throw std::runtime_error(aText);
  }
}

std::int64_t
MillisecondsSince(time_point aStart)
{
  return ToMilliseconds(std::chrono::steady_clock::now() - aStart);
}

std::string
WriteAndRead(const system_fleet& aFleet)
{
  Say("A workshop certifies a drum and looks it up through other instances:");
  const auto written = aFleet.Write(0, "set drum/4711 cleaned", "cert-4711");
  Expect(written.Done(),
         "written through instance1, primary " + written.mServer);
  for (int instance : { 1, 2 }) {
    const auto read = aFleet.Read(instance, "get drum/4711", written.mSession);
    Expect(read.mBody == "cleaned",
           "read through " + system_fleet::InstanceName(instance) + " from " +
             read.mServer + ": " + read.mBody);
  }
  const auto repeated = aFleet.Write(2, "set drum/4711 cleaned", "cert-4711");
  Expect(repeated.Done(), "the repeated request was not run a second time");
  return written.mSession;
}

void
KillPrimary(system_fleet& aFleet, const std::string& aSession)
{
  const std::string old = aFleet.Primary(0);
  Say("The primary " + old + " is killed:");
  aFleet.Server(old).Kill();
  const auto start = std::chrono::steady_clock::now();
  const bool writes =
    WaitFor([&] { return aFleet.Write(1, "set drum/4712 cleaned").Done(); });
  Expect(writes,
         "writes again after " + std::to_string(MillisecondsSince(start)) +
           " ms, primary " + aFleet.Primary(0));
  const auto read = aFleet.Read(2, "get drum/4711", aSession);
  Expect(read.mBody == "cleaned", "the acknowledged write is still there");
}

void
DrainPrimary(system_fleet& aFleet)
{
  const std::string leaving = aFleet.Primary(1);
  Say("The document of the second service says that " + leaving +
      " (its primary) is leaving:");
  Expect(aFleet.PutDocument(1, { leaving }).ok(), "document stored");
  caller_statement statement;
  statement.mService = system_fleet::ServiceName(1);
  statement.mKind = "write";
  int refused = 0;
  int number = 0;
  const bool moved = WaitFor([&] {
    statement.mBody = "set slip/" + std::to_string(++number) + " 1";
    refused += aFleet.Send(number % 3, statement).Done() ? 0 : 1;
    const std::string primary = aFleet.Primary(1);
    return !primary.empty() && primary != leaving;
  });
  Expect(moved, "writes moved to " + aFleet.Primary(1));
  Expect(refused == 0,
         std::to_string(number) + " writes meanwhile, none refused");
}

void
Run()
{
  Say("Starting a store, two services of three backend servers and three "
      "instances.");
  system_options options;
  options.mServices = 2;
  options.mBackendArguments = { "--apply_lag_ms=20" };
  const auto fleet = system_fleet::Start(options);
  if (!fleet.ok()) {
    throw std::runtime_error(std::string(fleet.status().message()));
  }
  const std::string session = WriteAndRead(**fleet);
  KillPrimary(**fleet, session);
  DrainPrimary(**fleet);
  Say("An instance is stopped:");
  Expect((*fleet)->StopInstance(0, seconds(30)) == 0, "it ended by itself");
  Expect((*fleet)->Write(1, "set drum/4713 cleaned").Done(),
         "the others go on");
  Say("Changes that the audit trail holds for service1:");
  const Json::Value audit = (*fleet)->StoreObject("audit", "service1");
  for (const auto& entry : audit["entries"]) {
    Say("  " + entry["who"].asString() + ": " + entry["action"].asString() +
        ", " + entry["reason"].asString());
  }
}

} // namespace

int
main(int argc, char** argv)
{
  snipewalk::DescribeProgram("standin-demo",
                             "demonstrates snipewalk on stand-ins");
  absl::ParseCommandLine(argc, argv);
  try {
    Run();
  } catch (const std::exception& exception) {
    std::cerr << "demo failed: " << exception.what() << "\n";
    return kExitFailed;
  }
  Say("done");
  return 0;
}
