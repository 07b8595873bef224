// The control thread of an instance: membership, dissemination, object cache,
// slots, and the control of the services held. It publishes immutable routing
// snapshots to the traffic threads and a status to the admin port.
#ifndef SNIPEWALK_CONTROL_CONTROL_LOOP_H_
#define SNIPEWALK_CONTROL_CONTROL_LOOP_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/messages/control_messages.h"
#include "snipewalk/messages/service_view.h"
#include "snipewalk/messages/store_client.h"
#include "snipewalk/request/service_engine.h"
#include "snipewalk/settings/settings.h"
#include "snipewalk/version/drain.h"
#include "snipewalk/version/object_cache.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <absl/status/status.h>

namespace snipewalk {

struct control_loop_options
{
  instance_settings mSettings;
  // The first key signs, all verify.
  std::vector<std::string> mFleetKeys;
  // Start time of the process in milliseconds since 1970; identifies its life.
  std::uint64_t mStartMs = 0;
  std::uint64_t mSeed = 1;
};

struct control_status;

struct control_loop_callbacks
{
  // Called on the control thread.
  std::function<void(std::shared_ptr<const routing_snapshot>)> mPublish;
  std::function<void(const std::string& aService, const status_observed&)>
    mObserved;
  // Holds new transactions and counts the open ones; the answer goes to
  // ReportTransactions(), for the instance that asks.
  std::function<void(const std::string& aAsker,
                     const transactions_query& aQuery)>
    mHoldBegins;
  // A newer instance of this name is in the fleet: exit with an error.
  std::function<void(const std::string& aAddress)> mDuplicateName;
  // The state of the control thread, once in a while.
  std::function<void(std::shared_ptr<const control_status>)> mStatus;
};

struct service_status
{
  std::string mService;
  // Version of the document in force.
  std::uint64_t mDocumentVersion = 0;
  // Findings of a later document that is invalid; empty otherwise.
  std::string mInvalidDocument;
  slot_record mSlots;
  // Connections of this instance to each server, control connection included.
  int mShare = 0;
  term_record mTerm;
  std::vector<std::string> mSuspected;
  // Set for services held.
  std::optional<drain_status> mDrain;
};

struct control_status
{
  std::string mInstance;
  std::uint64_t mIncarnation = 0;
  // All members, this instance first.
  std::vector<member_info> mMembers;
  std::size_t mLiveMembers = 0;
  version_range mVersions;
  // Highest version that all live members support; 0 when there is none.
  int mFleetVersion = 0;
  // Newest revision of the service documents that is complete here.
  std::uint64_t mRevision = 0;
  // The same for each kind, in the order of kObjectKinds.
  object_heads mHeads{};
  std::uint64_t mDigest = 0;
  bool mIsWatcher = false;
  // Time since the store last answered, while its calls fail.
  std::optional<milliseconds> mStoreUnreachableFor;
  // Age of the newest answer of a watch by any instance.
  milliseconds mWatchAge{ 0 };
  std::uint64_t mControlBytesSent = 0;
  std::size_t mSlotsHeld = 0;
  // Slots that it released to better candidates since its start.
  std::uint64_t mSlotsMoved = 0;
  std::vector<service_status> mServices;
};

class control_state;

class control_loop
{
public:
  using store_factory =
    std::function<std::unique_ptr<store_client>(event_loop&)>;

  control_loop(control_loop_options aOptions,
               control_loop_callbacks aCallbacks,
               store_factory aMakeStore);
  // Stops the thread when it still runs.
  ~control_loop();
  control_loop(const control_loop&) = delete;
  control_loop& operator=(const control_loop&) = delete;

  // Binds the control port and starts the thread. Unavailable when the address
  // is in use.
  absl::Status Start();
  void Stop();

  // "IP:port" of the control port; valid after Start().
  const std::string& Address() const { return mAddress; }

  // The following functions may be called by any thread.

  void ReportEvidence(const std::string& aService,
                      const report_evidence& aEvidence);
  void ReportConnections(const std::string& aService,
                         const std::string& aServer,
                         std::size_t aConnections);
  // Connections and transactions open to all servers of the service.
  void ReportUse(const std::string& aService,
                 std::size_t aConnections,
                 std::size_t aTransactions);
  // Answers mHoldBegins.
  void ReportTransactions(const std::string& aAsker,
                          const transactions_query& aQuery,
                          std::size_t aOpen);
  void SetFleetKeys(std::vector<std::string> aKeys);

  // Closes the shares and gives up all slots; calls back on the control thread
  // once none is held, or after `aLimit`.
  void ReleaseSlots(milliseconds aLimit, std::function<void()> aDone);
  // Sends the leave message; call after ReleaseSlots().
  void Leave();

  // The newest status; never null after Start(). At most a second old.
  std::shared_ptr<const control_status> Status() const;

private:
  void PublishStatus(std::shared_ptr<const control_status> aStatus);

  control_loop_options mOptions;
  control_loop_callbacks mCallbacks;
  store_factory mMakeStore;
  std::string mAddress;
  std::unique_ptr<event_loop> mLoop;
  // Used by the control thread only after Start().
  std::unique_ptr<control_state> mState;
  std::thread mThread;
  mutable std::mutex mMutex;
  // Guarded by mMutex.
  std::shared_ptr<const control_status> mStatus;
};

} // namespace snipewalk

#endif // SNIPEWALK_CONTROL_CONTROL_LOOP_H_
