// Control side of the session front end: follows the store, registers this
// instance, tells the engine which servers and primaries there are, and, while
// it holds the duty, replaces primaries.
#ifndef SNIPEWALK_SESSION_SESSION_CONTROLLER_H_
#define SNIPEWALK_SESSION_SESSION_CONTROLLER_H_

#include "snipewalk/connection/event_loop.h"
#include "snipewalk/messages/store_client.h"
#include "snipewalk/session/desired_state.h"
#include "snipewalk/session/duty_lease.h"
#include "snipewalk/session/fleet_records.h"
#include "snipewalk/session/forwarded_messages.h"
#include "snipewalk/session/kind_watcher.h"
#include "snipewalk/session/peer_datagrams.h"
#include "snipewalk/session/primary_change.h"
#include "snipewalk/session/primary_monitor.h"
#include "snipewalk/session/server_directory.h"
#include "snipewalk/session/session_engine.h"
#include "snipewalk/session/session_hosts.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace snipewalk {

// How the platform keeps its own objects in the store.
struct platform_objects
{
  std::string mDesiredStateKind;
  std::string mDesiredStateName;
  std::string mServerKind;
  std::function<absl::StatusOr<desired_state>(const std::string& aValue)>
    mDecodeDesiredState;
  std::function<absl::StatusOr<server_entry>(const std::string& aId,
                                             const std::string& aValue)>
    mDecodeServer;
};

// Calls of the controller to the outside, besides the store.
class control_links
{
public:
  using status_handler =
    std::function<void(const std::optional<server_status>&, time_point)>;
  using promotion_handler = std::function<void(promotion_result, time_point)>;

  virtual ~control_links() = default;

  // Runs a control command; nothing when no answer came within `aTimeout`.
  virtual void AskServer(const server_entry& aServer,
                         const server_command& aCommand,
                         milliseconds aTimeout,
                         status_handler aOnStatus) = 0;
  // Keeps a connection for control commands open, so that a change of primary
  // does not have to win one from the callers' statements.
  virtual void KeepConnected(const server_entry& aServer) = 0;
  // Ends all connections for control commands.
  virtual void ForgetServers() = 0;
  virtual void OrderPromotion(const order_promotion& aOrder,
                              const std::string& aHolder,
                              std::uint64_t aFence,
                              promotion_handler aOnResult) = 0;
  virtual void SendDatagram(const std::string& aAddress,
                            const peer_datagram& aDatagram) = 0;
};

struct controller_options
{
  std::string mInstance;
  // Unix milliseconds of the process's start.
  std::uint64_t mStarted = 0;
  std::string mDataCentre;
  std::string mPeerAddress;
  // Spreads this instance's claims; differs between instances.
  milliseconds mClaimStagger{ 0 };
};

class session_controller
{
public:
  // An instance uses a primary as such for this long after the moment of which
  // a confirmation speaks; a change waits as long for instances that it cannot
  // ask.
  static constexpr milliseconds kConfirmationLifetime{ 2'200 };

  session_controller(event_loop& aLoop,
                     store_client& aStore,
                     session_engine& aEngine,
                     control_links& aLinks,
                     platform_objects aObjects,
                     controller_options aOptions);

  void Start();
  void OnTick(time_point aNow);
  void OnDatagram(const std::string& aFrom,
                  const peer_datagram& aDatagram,
                  time_point aNow);
  // The process stood still for a time that the steady clock did not count.
  void OnSuspended(time_point aNow);
  // Gives up the duty.
  void Resign(time_point aNow);
  // Ends the use of primaries and says so in the instance's record.
  void Unregister(time_point aNow);

  // The desired state, the servers and the fleet are known.
  bool IsReady() const;
  bool HoldsDuty(time_point aNow) const { return mDuty.Holds(aNow); }
  service_hosting HostingOf(const std::string& aService) const
  {
    return mHosts.HostingOf(aService);
  }
  // Instance that serves new sessions of a database; nothing for this one, and
  // for a database without a route.
  std::optional<host_candidate> HostFor(const std::string& aDatabase,
                                        time_point aNow) const;
  void OnHostFailed(const std::string& aInstance, time_point aNow)
  {
    mHosts.OnHostFailed(aInstance, aNow);
  }
  // Store revision of the desired state in force.
  std::uint64_t DesiredRevision() const { return mDesiredRevision; }
  // Reads the desired state if it is older than another instance's.
  void WantDesiredRevision(std::uint64_t aRevision, time_point aNow);
  // The desired state in force, for instances that the store turns away; and
  // one that another instance has in force.
  relayed_state DesiredState() const;
  void LearnDesiredState(const relayed_state& aState, time_point aNow);
  void SetOnDesiredState(std::function<void()> aHandler)
  {
    mOnDesiredState = std::move(aHandler);
  }
  // Asks an instance for a sign of life; the handler set below hears of it.
  void AskInstance(const std::string& aPeerAddress, time_point aNow);
  void SetOnInstanceHeard(
    std::function<void(const std::string& aInstance, time_point)> aHandler)
  {
    mOnInstanceHeard = std::move(aHandler);
  }
  // Zero while no desired state is in force.
  std::uint64_t DesiredVersion() const
  {
    return mDesired ? mDesired->mVersion : 0;
  }
  std::optional<duration> ConfirmationAge(time_point aNow) const;

private:
  // A version that another instance has seen.
  struct version_hint
  {
    std::uint64_t mVersion = 0;
    // Since when this instance's view lacks it.
    std::optional<time_point> mBehindSince;
  };

  // One change under way, and the instances that it waits for.
  struct running_change
  {
    running_change();

    std::unique_ptr<primary_change> mChange;
    // Instances that have to let go of the old primary, by name.
    std::map<std::string, instance_record> mUnreleased;
    bool mListingInstances = false;
    bool mReleasing = false;
    // When confirmations given before the change have lapsed.
    time_point mReleasedAt;
    time_point mAskedAt;
  };

  struct service_control
  {
    std::optional<primary_record> mRecord;
    std::uint64_t mRecordVersion = 0;
    // Highest term for which the holder asked to let go of the primary.
    std::uint64_t mReleasedTerm = 0;
    primary_monitor mMonitor;
    std::optional<running_change> mRunning;
    // A probe of the monitor is under way.
    bool mProbing = false;
    // No change starts before.
    time_point mChangeAfter = time_point::min();
  };

  void OnDesiredState(time_point aNow);
  void OnServers(const kind_watcher::update& aUpdate, time_point aNow);
  // Takes over the entry of one server, or its end; its services are added to
  // `aServices`.
  void ApplyServer(const std::string& aServer,
                   std::set<std::string>& aServices,
                   time_point aNow);
  void ForgetExpiredServers(time_point aNow);
  void OnFleet(const kind_watcher::update& aUpdate, time_point aNow);
  void ApplyFleetObject(const stored_object& aObject,
                        time_point aAsOf,
                        time_point aNow);
  // The instances between which the services are divided.
  void PublishInstances(time_point aNow);
  confirmation_request NewQuestion(time_point aNow);
  void Confirm(time_point aAsOf, time_point aNow);
  // The primary of one service, after something that decides it has changed.
  void PublishPrimary(const std::string& aService, time_point aNow);
  service_primary PrimaryOf(const std::string& aService) const;

  void Register(time_point aNow);
  bool IsRegistered() const;
  // Reads the records for the whole fleet, or for itself when nobody else does.
  void ReadFleet(time_point aNow);
  void AskForConfirmation(time_point aNow);
  // Starts a watch again that has missed what another instance has seen.
  static void FollowHint(version_hint& aHint,
                         kind_watcher& aWatcher,
                         time_point aNow);
  void OnConfirmation(const confirmation_answer& aAnswer, time_point aNow);
  confirmation_answer AnswerConfirmation(const confirmation_request& aRequest,
                                         time_point aNow) const;

  void WriteDuty(const duty_write& aWrite);
  void ReportHealth(time_point aNow);
  void OnHealthReport(const health_report& aReport, time_point aNow);
  void MonitorServices(time_point aNow);
  void Probe(const std::string& aService, time_point aNow);
  void StartChange(const std::string& aService,
                   change_reason aReason,
                   time_point aNow);
  void RunChange(const std::string& aService, time_point aNow);
  void Perform(const std::string& aService,
               const primary_change::actions& aActions,
               time_point aNow);
  void WriteRecord(const std::string& aService,
                   const primary_record& aRecord,
                   time_point aNow);
  void BeginRelease(const std::string& aService, time_point aNow);
  void OnInstancesListed(const std::string& aService,
                         const store_reply& aReply,
                         time_point aNow);
  void ContinueRelease(const std::string& aService, time_point aNow);
  void OnReleaseAnswer(const release_answer& aAnswer, time_point aNow);
  void EndChanges(time_point aNow);
  // Takes instances for dead that have not reported for long.
  void MarkSilentInstances(time_point aNow);
  void MarkGone(const instance_record& aInstance);

  event_loop& mLoop;
  store_client& mStore;
  session_engine& mEngine;
  control_links& mLinks;
  platform_objects mObjects;
  controller_options mOptions;
  kind_watcher mDesiredWatcher;
  kind_watcher mServerWatcher;
  kind_watcher mFleetWatcher;
  duty_lease mDuty;

  std::shared_ptr<const desired_state> mDesired;
  std::uint64_t mDesiredRevision = 0;
  server_directory mServers;
  std::map<std::string, service_control> mServices;
  std::map<std::string, instance_record> mInstances;
  session_hosts mHosts;
  std::function<void(const std::string&, time_point)> mOnInstanceHeard;
  std::function<void()> mOnDesiredState;
  time_point mDesiredReadAt = time_point::min();
  // When each instance was first seen as gone.
  std::map<std::string, time_point> mGoneSince;
  // Every record of a primary up to this store revision is known.
  std::uint64_t mKnownRevision = 0;
  // The view of the fleet's records was right at this moment.
  time_point mConfirmedAt = time_point::min();
  bool mRegistering = false;
  time_point mRegisterAfter = time_point::min();
  bool mLeft = false;
  bool mHeldDuty = false;
  // Last report of each instance to this holder, or when the duty began.
  std::map<std::string, time_point> mHeardAt;
  time_point mReportedAt = time_point::min();
  bool mReportedTrouble = false;
  // Services of the last report whose primary showed anything.
  std::set<std::string> mReportedServices;
  // The last confirmation request and when it was sent.
  std::uint64_t mQuestion = 0;
  std::map<std::uint64_t, time_point> mQuestions;
  time_point mAskedAt = time_point::min();
  time_point mFleetReadAt = time_point::min();
  version_hint mDesiredHint;
  version_hint mServerHint;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_CONTROLLER_H_
