// Process of the session front end: sockets, signals, and the order of start-up
// and shutdown. Decisions are made by the session engine and the session
// controller.
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

// Requests promotions of servers from the platform.
class promotion_client
{
public:
  virtual ~promotion_client() = default;
  virtual void OrderPromotion(const order_promotion& aOrder,
                              promotion_authority aAuthority,
                              control_links::promotion_handler aOnResult) = 0;
};

// Platform-specific parts of the session front end.
struct session_adapter
{
  const session_protocol* mProtocol = nullptr;
  store_dialect mStoreDialect;
  platform_objects mObjects;
  // URL path of the readiness probe.
  std::string mReadyPath;
  std::function<std::unique_ptr<promotion_client>(event_loop&,
                                                  const std::string& aAddress)>
    mMakePromotionClient;
};

class session_daemon
{
public:
  // Reads the settings again; returns std::nullopt after adding findings if
  // they are not valid.
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
  // Runs the event loop until the shutdown has finished.
  void Run();
  // Requests an orderly shutdown. May be called from a signal handler.
  void RequestShutdown();
  // Requests that the settings are read again. If they are valid, those that
  // may change at run time take effect. May be called from a signal handler.
  void RequestReload();

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_DAEMON_H_
