// The admin port: HTTP with few threads. Reads published data only.
#ifndef SNIPEWALK_ADMINISTRATION_ADMIN_SERVER_H_
#define SNIPEWALK_ADMINISTRATION_ADMIN_SERVER_H_

#include "snipewalk/messages/service_view.h"
#include "snipewalk/request/service_engine.h"
#include "snipewalk/traffic/traffic_thread.h"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace snipewalk {

struct control_status;

// What the other threads publish for the admin port. Any thread.
class status_board
{
public:
  void SetSnapshot(std::shared_ptr<const routing_snapshot> aSnapshot);
  void SetEngine(const std::string& aService, const engine_status& aStatus);
  void SetControl(std::shared_ptr<const control_status> aStatus);

  // Null until the first snapshot is published.
  std::shared_ptr<const routing_snapshot> Snapshot() const;
  // Null until the control thread reported for the first time.
  std::shared_ptr<const control_status> Control() const;
  std::map<std::string, engine_status> Engines() const;

private:
  mutable std::mutex mMutex;
  std::shared_ptr<const routing_snapshot> mSnapshot;
  std::shared_ptr<const control_status> mControl;
  std::map<std::string, engine_status> mEngines;
};

struct admin_options
{
  std::string mInstance;
  // "IP:port"; port 0 lets the system choose.
  std::string mAddress = "127.0.0.1:0";
  int mThreads = 2;
};

// Called on the admin threads.
struct admin_sources
{
  const status_board* mBoard = nullptr;
  std::function<std::string()> mPhase;
  std::function<traffic_counts()> mCounts;
  std::function<std::vector<thread_metrics>()> mMetrics;
  std::function<std::string(const statement_request&)> mExplain;
  // Bearer token that all requests but /v1/health need; none when empty.
  std::function<std::string()> mToken;
};

class admin_server
{
public:
  admin_server(admin_options aOptions, admin_sources aSources);
  ~admin_server();
  admin_server(const admin_server&) = delete;
  admin_server& operator=(const admin_server&) = delete;

  // Errors: Unavailable when the address cannot be bound.
  absl::Status Start();
  void Stop();
  std::string Address() const;

private:
  struct server;

  admin_options mOptions;
  admin_sources mSources;
  std::unique_ptr<server> mServer;
};

} // namespace snipewalk

#endif // SNIPEWALK_ADMINISTRATION_ADMIN_SERVER_H_
