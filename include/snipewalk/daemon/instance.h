// An instance: traffic threads, admin port and shutdown. The source of routing
// snapshots, the control thread, is attached by hooks.
#ifndef SNIPEWALK_DAEMON_INSTANCE_H_
#define SNIPEWALK_DAEMON_INSTANCE_H_

#include "snipewalk/administration/admin_server.h"
#include "snipewalk/daemon/shutdown.h"
#include "snipewalk/traffic/traffic_group.h"

#include <absl/status/status.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace snipewalk {

struct instance_options
{
  traffic_options mTraffic;
  admin_options mAdmin;
  shutdown_limits mShutdown;
  // Bearer token of the admin port; none when empty.
  std::string mAdminToken;
};

// Called by the thread that runs Run(), but for the callbacks of traffic.
struct instance_hooks
{
  traffic_callbacks mTraffic;
  // Starts to release the slots; SlotsReleased() reports the end.
  std::function<void()> mReleaseSlots;
  std::function<void()> mSendLeave;
  // Periodic work; called about every 50 ms.
  std::function<void(time_point aNow)> mTick;
};

class instance
{
public:
  instance(instance_options aOptions, instance_hooks aHooks);
  ~instance();
  instance(const instance&) = delete;
  instance& operator=(const instance&) = delete;

  // Opens the ports. Errors: Unavailable when one cannot be bound.
  absl::Status Start();

  // Serves until the shutdown is complete. Without a call to RequestShutdown()
  // it does not return.
  void Run();

  // Ends the admin and traffic threads; no hook is called afterwards.
  void Stop();

  // The functions below may be called from any thread; RequestShutdown() also
  // from a signal handler.
  void RequestShutdown() { mStopRequested.store(true); }
  void SlotsReleased() { mSlotsReleased.store(true); }
  void Publish(const std::shared_ptr<const routing_snapshot>& aSnapshot);
  void SetAdminToken(std::string aToken);

  traffic_group& Traffic() { return mTraffic; }
  status_board& Board() { return mBoard; }
  std::string AdminAddress() const { return mAdmin.Address(); }

private:
  admin_sources Sources();
  traffic_callbacks Callbacks();
  void Step();
  void Apply(shutdown_action aAction);
  std::string AdminToken() const;

  instance_options mOptions;
  instance_hooks mHooks;
  status_board mBoard;
  traffic_group mTraffic;
  admin_server mAdmin;
  shutdown_sequence mShutdown;
  bool mExit = false;
  // Lock-free, so that a signal handler may set it.
  std::atomic<bool> mStopRequested{ false };
  std::atomic<bool> mSlotsReleased{ false };
  std::atomic<shutdown_phase> mPhase{ shutdown_phase::Serving };
  mutable std::mutex mMutex;
  // Guarded by mMutex.
  std::string mAdminToken;
};

} // namespace snipewalk

#endif // SNIPEWALK_DAEMON_INSTANCE_H_
