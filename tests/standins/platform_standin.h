// Stand-in of the users' platform in one thread: the object store and the
// promotion call over HTTP, and the backend servers of one service.
#ifndef SNIPEWALK_STANDINS_PLATFORM_STANDIN_H_
#define SNIPEWALK_STANDINS_PLATFORM_STANDIN_H_

#include "snipewalk/connection/event_loop.h"
#include "standins/http_service.h"
#include "standins/line_server_group.h"
#include "standins/platform_store.h"
#include "standins/promotion_service.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <thread>

namespace snipewalk::standins {

class platform_standin
{
public:
  static constexpr const char* kService = "ledger";

  static constexpr int kMaxConnections = 20;

  // Starts servers "s1" (the primary) to "s<n>", which take `aMaxConnections`
  // each, and the desired state with the databases "main" (primary) and "own"
  // (read your writes). `aAddress` maps the address of a server to the one that
  // its entry names.
  explicit platform_standin(
    int aServers,
    int aMaxConnections = kMaxConnections,
    std::function<std::string(const std::string&)> aAddress = {});
  ~platform_standin();
  platform_standin(const platform_standin&) = delete;
  platform_standin& operator=(const platform_standin&) = delete;

  std::string StoreAddress() const;

  // Any thread; each waits until it is done.

  // Runs a task that changes the servers or the store on their thread.
  void Change(
    const std::function<void(line_server_group&, platform_store&)>& aTask);
  // Ends a server without a word: its connections are closed.
  void Crash(const std::string& aServer);
  // A server reports that it leaves soon.
  void Drain(const std::string& aServer);
  // The store refuses all calls.
  void SetStoreDown(bool aDown);
  // Instance that the store's record names as the holder of the failover duty;
  // empty if there is none.
  std::string DutyHolder();
  // Phase of the service's primary in the store's record; empty if there is no
  // record.
  std::string RecordedPhase();
  // Runs a task that changes the promotion call on its thread.
  void ChangePromotions(const std::function<void(promotion_service&)>& aTask);
  // Server that leads, or empty.
  std::string Primary();
  // Promotions ordered so far.
  int Promotions();
  // Items with their values on the leading server.
  std::map<std::string, std::string> Items();

private:
  void OnCall(connection_number aConnection, const http_request& aRequest);
  void RunOnLoop(const std::function<void()>& aTask);

  event_loop mLoop;
  http_service mHttp;
  platform_store mStore;
  line_server_group mServers;
  promotion_service mPromotions;
  std::uint16_t mHttpPort = 0;
  std::thread mThread;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_PLATFORM_STANDIN_H_
