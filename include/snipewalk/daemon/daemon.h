// A whole instance: traffic threads, admin port and control thread, joined by
// their callbacks.
#ifndef SNIPEWALK_DAEMON_DAEMON_H_
#define SNIPEWALK_DAEMON_DAEMON_H_

#include "snipewalk/control/control_loop.h"
#include "snipewalk/daemon/instance.h"
#include "snipewalk/settings/secret_files.h"
#include "snipewalk/settings/settings.h"
#include "snipewalk/settings/tls_files.h"

#include <atomic>
#include <memory>

#include <absl/status/status.h>

namespace snipewalk {

struct daemon_secrets
{
  std::string mFleetKey;
  std::string mAdminToken;
};

class daemon
{
public:
  // `aStartMs` is the start time of the process in milliseconds since 1970.
  daemon(const instance_settings& aSettings,
         const daemon_secrets& aSecrets,
         std::uint64_t aStartMs);
  ~daemon();
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  // Opens all ports. Errors: Unavailable when one cannot be bound,
  // FailedPrecondition when the TLS files cannot be used.
  absl::Status Start();

  // Serves until a shutdown is complete. False when another instance took over
  // this instance's name.
  bool Run();

  // Any thread; also from a signal handler.
  void RequestShutdown() { mInstance.RequestShutdown(); }

private:
  static instance_options OptionsOf(const instance_settings& aSettings,
                                    const daemon_secrets& aSecrets,
                                    std::uint64_t aStartMs,
                                    std::shared_ptr<const tls_context> aTls);
  static control_loop_options ControlOptionsOf(
    const instance_settings& aSettings,
    const daemon_secrets& aSecrets,
    std::uint64_t aStartMs);
  instance_hooks Hooks();
  control_loop_callbacks ControlCallbacks();
  // Reads the files of secrets again when a check is due.
  void CheckSecrets(time_point aNow);
  // Reads the TLS files. Null while there is nothing to change.
  std::shared_ptr<const tls_context> CheckTls();

  instance_settings mSettings;
  // Used by the thread that runs Run() only.
  secret_rotation mSecrets;
  tls_rotation mTls;
  bool mTlsReady = false;
  time_point mNextSecretCheck;
  std::atomic<bool> mReplaced{ false };
  instance mInstance;
  // Declared last: it stops before the threads that it calls.
  control_loop mControl;
};

} // namespace snipewalk

#endif // SNIPEWALK_DAEMON_DAEMON_H_
