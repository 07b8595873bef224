// A small deployment for the scripts of this review: nine instances of the
// session front end as processes, each with a link of its own to the stand-in
// of the platform, and a record of what callers sent and were answered.
#ifndef REVIEW_STANDIN_2_DEPLOYMENT_H_
#define REVIEW_STANDIN_2_DEPLOYMENT_H_

#include "standin-2/platform.hh"
#include "standins/free_ports.h"
#include "standins/link_network.h"
#include "standins/process_fleet.h"
#include "standins/session_caller.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using namespace snipewalk;
using namespace snipewalk::standins;

inline std::int64_t
NowMs()
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::steady_clock::now() - start)
    .count();
}

inline void
SleepMs(int aMs)
{
  std::this_thread::sleep_for(milliseconds(aMs));
}

// Lines of record.txt, with the time in milliseconds.
class record
{
public:
  explicit record(const std::string& aPath)
    : mFile(aPath)
  {
  }
  void Line(const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFile << NowMs() << " ms  " << aText << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

class deployment
{
public:
  struct ports
  {
    std::uint16_t mCallers = 0;
    std::uint16_t mReady = 0;
    std::uint16_t mPeers = 0;
  };

  deployment(std::string aBinaryDir, std::string aFolder, int aServers)
    : mNetwork(1)
    , mPlatform(aServers)
    , mProcesses(std::move(aBinaryDir))
    , mFolder(std::move(aFolder))
  {
  }

  // Starts an instance and waits until it is ready.
  bool Start(const std::string& aName)
  {
    if (!mPorts.contains(aName)) {
      Configure(aName);
    }
    if (mProcesses.Has(aName)) {
      mProcesses.Remove(aName);
    }
    ::setenv("SNIPEWALK_BOOT", SettingsPath(aName).c_str(), 1);
    return mProcesses
             .Start(aName,
                    "snipewalk-sessions",
                    {},
                    mFolder + "/" + aName + ".err")
             .ok() &&
           WaitFor([&] { return IsReady(aName); });
  }

  bool IsReady(const std::string& aName) const
  {
    const auto probe = HttpCall(mPorts.at(aName).mReady,
                                "GET",
                                "/v1/readyz",
                                {},
                                {},
                                milliseconds(1'000));
    return probe.ok() && probe->mStatus == 200;
  }

  // The store turns an instance away: its connections are reset, new ones are
  // refused.
  void SetRefused(const std::string& aName, bool aRefused)
  {
    mNetwork.SetFaults(mLinks.at(aName), { .mRefuse = aRefused });
    if (aRefused) {
      mNetwork.Reset(mLinks.at(aName));
    }
  }

  const ports& Ports(const std::string& aName) const
  {
    return mPorts.at(aName);
  }
  child_process& At(const std::string& aName) { return mProcesses.At(aName); }
  platform& Platform() { return mPlatform; }

  // State of an instance in its record: empty if there is none.
  std::string InstanceState(const std::string& aName)
  {
    return mPlatform.RecordField(InstanceRecordName(aName), "state");
  }

private:
  std::string SettingsPath(const std::string& aName) const
  {
    return mFolder + "/" + aName + ".json";
  }

  void Configure(const std::string& aName)
  {
    const auto free = FreePorts(3);
    mPorts[aName] = { free.at(0), free.at(1), free.at(2) };
    mLinks[aName] = mNetwork.Size();
    const std::uint16_t store = mNetwork.Add(mPlatform.StoreAddress());
    const auto address = [](std::uint16_t aPort) {
      return "\"127.0.0.1:" + std::to_string(aPort) + "\"";
    };
    std::ofstream(SettingsPath(aName))
      << "{ \"instance\": \"" << aName << "\", \"data_centre\": \"dc1\",\n"
      << "\"caller_address\": " << address(free.at(0))
      << ", \"ready_address\": " << address(free.at(1))
      << ", \"peer_address\": " << address(free.at(2))
      << ",\n\"store_address\": " << address(store)
      << ", \"promotion_address\": \"" << mPlatform.StoreAddress()
      << "\", \"shutdown_grace_seconds\": 6 }\n";
  }

  link_network mNetwork;
  platform mPlatform;
  process_fleet mProcesses;
  std::string mFolder;
  std::map<std::string, ports> mPorts;
  std::map<std::string, std::size_t> mLinks;
};

// The binary folder, the folder for temporary files and the record's path, from
// the arguments, and whether the disruption happens.
struct run_options
{
  std::string mBinaryDir;
  std::string mFolder;
  std::string mRecord;
  bool mTrouble = true;
};

inline run_options
ReadOptions(int aCount, char** aWords)
{
  if (aCount < 4) {
    std::fprintf(stderr, "usage: PROGRAM BINARY_DIR FOLDER RECORD\n");
    std::exit(2);
  }
  const char* trouble = std::getenv("TROUBLE");
  return { aWords[1],
           aWords[2],
           aWords[3],
           trouble == nullptr || std::string(trouble) != "0" };
}

} // namespace review

#endif // REVIEW_STANDIN_2_DEPLOYMENT_H_
