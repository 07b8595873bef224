// A process of the session front end: sockets, signals and the order of
// starting and stopping. What is decided, the engine and the controller decide.
#ifndef SNIPEWALK_SESSION_SESSION_DAEMON_H_
#define SNIPEWALK_SESSION_SESSION_DAEMON_H_

#include "snipewalk/connection/event_loop.h"
#include "snipewalk/session/session_controller.h"
#include "snipewalk/session/session_protocol.h"
#include "snipewalk/session/session_settings.h"
#include "snipewalk/store/store_http_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/status.h>

namespace snipewalk {

// Orders a promotion at the platform.
class promotion_client
{
public:
  virtual ~promotion_client() = default;
  virtual void Order(const order_promotion& aOrder,
                     const std::string& aHolder,
                     std::uint64_t aFence,
                     control_links::promotion_handler aOnResult) = 0;
};

// What the platform's adapter provides.
struct session_adapter
{
  const session_protocol* mProtocol = nullptr;
  store_dialect mStoreDialect;
  platform_objects mObjects;
  // Path of the readiness probe.
  std::string mReadyPath;
  std::function<std::unique_ptr<promotion_client>(event_loop&,
                                                  const std::string& aAddress)>
    mMakePromotionClient;
};

class session_daemon
{
public:
  // Reads the settings again; nothing after adding findings when they are not
  // valid.
  using settings_reader =
    std::function<std::optional<session_settings>(findings&)>;

  session_daemon(session_settings aSettings,
                 settings_reader aReadSettings,
                 session_adapter aAdapter,
                 std::uint64_t aStartedMs);
  ~session_daemon();
  session_daemon(const session_daemon&) = delete;
  session_daemon& operator=(const session_daemon&) = delete;

  // Errors: Unavailable when an address cannot be bound.
  absl::Status Start();
  // Until the shutdown has ended.
  void Run();
  // From a signal handler.
  void RequestShutdown();
  // Valid settings replace those that may change while the process runs.
  void RequestReload();

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_DAEMON_H_
