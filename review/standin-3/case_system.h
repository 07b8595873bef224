// A small deployment for a case: the platform and the backend servers of one
// service as stand-ins on a thread of their own, instances of the session front
// end as processes, and links between all of them that a case can cut.
#ifndef SNIPEWALK_REVIEW_CASE_SYSTEM_H_
#define SNIPEWALK_REVIEW_CASE_SYSTEM_H_

#include "databases.h"
#include "links.h"
#include "object_store.h"
#include "snipewalk/base/time.h"
#include "snipewalk/connection/event_loop.h"

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <json/json.h>
#include <sys/types.h>

namespace snipewalk::review {

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

time_point
Now();

// Whether the case shall bring its disruption about.
bool
HasTrouble();

// Writes what happens to record.txt. Any thread.
class case_record
{
public:
  explicit case_record(const std::string& aFolder);
  void Note(const std::string& aText);

private:
  std::mutex mMutex;
  std::ofstream mFile;
  time_point mStarted;
};

// The databases "main" (primary), "look" (bounded staleness) and "own" (read
// your writes) of the service "ledger".
class case_system
{
public:
  static constexpr const char* kService = "ledger";
  static constexpr milliseconds kMaxStaleness{ 1'500 };

  // `aServers`: ids, the primary first.
  case_system(case_record& aRecord,
              const std::vector<std::string>& aInstances,
              const std::vector<std::string>& aServers);
  ~case_system();
  case_system(const case_system&) = delete;
  case_system& operator=(const case_system&) = delete;

  // Starts an instance with the command of the deploy file.
  bool Start(const std::string& aInstance);
  bool WaitUntilReady(const std::string& aInstance, milliseconds aTimeout);
  std::uint16_t CallerPort(const std::string& aInstance) const;

  // Instance that the instances' record in the store names as the one that
  // orders promotions; empty if there is none.
  std::string DutyHolder();

  // The platform takes no orders of promotions, or takes them again.
  void SetPromotionsDown(bool aDown);
  // Server named in the latest order, also in one that was not taken; empty
  // without an order.
  std::string LastOrdered();

  // Runs a task on the thread of the stand-ins, and waits until it is done.
  void Run(const std::function<void(databases&)>& aTask);
  // Adds a server to which all instances have a direct way.
  void AddServer(const std::string& aId);
  // Links of an instance. Any thread.
  void CutStore(const std::string& aInstance, bool aCut);
  void CutServer(const std::string& aInstance,
                 const std::string& aServer,
                 bool aCut);
  void CutPeer(const std::string& aInstance,
               const std::string& aOther,
               bool aCut);
  // Calls back on the stand-ins' thread with what an instance sends to the
  // store.
  void WatchStore(const std::string& aInstance, tcp_link::watcher aWatcher);

private:
  struct instance
  {
    std::uint16_t mCallers = 0;
    std::uint16_t mReady = 0;
    std::uint16_t mMetrics = 0;
    std::uint16_t mPeers = 0;
    std::unique_ptr<tcp_link> mStoreLink;
    std::map<std::string, std::unique_ptr<tcp_link>> mServerLinks;
    std::string mSettingsPath;
    pid_t mProcess = 0;
  };

  void RunOnLoop(const std::function<void()>& aTask);
  void WriteDesiredState();
  // Gives each pair of instances a relay, and each instance its address of the
  // store. Returns the addresses under which each sees the others.
  void LinkInstances();
  http_response OnPromotion(const http_request& aRequest);

  case_record& mRecord;
  std::string mFolder;
  bool mPromotionsDown = false;
  std::string mLastOrdered;
  event_loop mLoop;
  object_store mStore;
  databases mDatabases;
  std::map<std::string, std::string> mServerAddresses;
  std::map<std::string, instance> mInstances;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<udp_relay>>
    mRelays;
  std::thread mThread;
};

} // namespace snipewalk::review

#endif // SNIPEWALK_REVIEW_CASE_SYSTEM_H_
