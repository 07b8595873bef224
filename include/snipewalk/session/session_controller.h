// Control plane of the session front end: watches the store, registers this
// instance, passes servers and primaries to the engine, and replaces failed
// primaries while this instance holds the failover duty.
#ifndef SNIPEWALK_SESSION_SESSION_CONTROLLER_H_
#define SNIPEWALK_SESSION_SESSION_CONTROLLER_H_

#include "snipewalk/account/allowance_allocator.h"
#include "snipewalk/account/allowance_owners.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/messages/store_client.h"
#include "snipewalk/session/desired_state.h"
#include "snipewalk/session/duty_lease.h"
#include "snipewalk/session/fleet_records.h"
#include "snipewalk/session/forwarded_messages.h"
#include "snipewalk/session/instance_directory.h"
#include "snipewalk/session/kind_watcher.h"
#include "snipewalk/session/peer_datagrams.h"
#include "snipewalk/session/primary_change.h"
#include "snipewalk/session/primary_monitor.h"
#include "snipewalk/session/server_directory.h"
#include "snipewalk/session/service_control.h"
#include "snipewalk/session/session_engine.h"
#include "snipewalk/session/session_hosts.h"
#include "snipewalk/session/version_hint.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace snipewalk {

// Names and decoders of the platform's own objects in the store.
struct platform_objects
{
  std::string mDesiredStateKind;
  std::string mDesiredStateName;
  std::string mServerKind;
  std::function<absl::StatusOr<desired_state>(const std::string& aValue)>
    mDecodeDesiredState;
  std::function<absl::StatusOr<registered_server>(const std::string& aId,
                                                  const std::string& aValue)>
    mDecodeServer;
};

// The right of the duty holder to order a promotion.
struct promotion_authority
{
  std::string mHolder;
  std::uint64_t mFence = 0;
  // Whether the order may be sent at the given time. The lease can end while
  // the connection is being made, so this is asked immediately before the order
  // is written, with the time read from the clock then.
  std::function<bool(time_point)> mIsValid;
};

// Outgoing calls of the controller, except those to the store.
class control_links
{
public:
  using status_handler =
    std::function<void(const std::optional<server_status>&, time_point)>;
  using promotion_handler = std::function<void(promotion_result, time_point)>;

  virtual ~control_links() = default;

  // Runs a control command on a server. The handler receives std::nullopt if
  // there is no usable reply within `aTimeout`.
  virtual void RunCommand(const registered_server& aServer,
                          const server_command& aCommand,
                          milliseconds aTimeout,
                          status_handler aOnStatus) = 0;
  // Keeps a control connection to the server open, so that a change of primary
  // does not have to compete with client statements for a connection slot.
  virtual void KeepControlConnection(const registered_server& aServer) = 0;
  // Closes all control connections. The handlers of the commands under way are
  // dropped without a call.
  virtual void CloseControlConnections() = 0;
  virtual void OrderPromotion(const order_promotion& aOrder,
                              promotion_authority aAuthority,
                              promotion_handler aOnResult) = 0;
  virtual void SendDatagram(const std::string& aAddress,
                            const peer_datagram& aDatagram) = 0;
  // Asks an instance for its desired state, which is passed to
  // session_controller::AdoptDesiredState().
  virtual void RequestDesiredState(const std::string& aPeerAddress) = 0;
};

struct controller_options
{
  std::string mInstance;
  // Start time of this process in Unix milliseconds.
  std::uint64_t mStarted = 0;
  std::string mDataCentre;
  std::string mPeerAddress;
  // Delay of this instance's claims of the duty. It differs between instances,
  // so that they do not all claim at once.
  milliseconds mClaimStagger{ 0 };
  allowance_rules mAllowanceRules = {};
};

class session_controller
{
public:
  // An instance routes to a recorded primary only for this long after the time
  // as of which the record was confirmed. A change of primary waits as long for
  // instances that cannot be reached.
  static constexpr milliseconds kConfirmationLifetime{ 2'200 };
  // A server or process that left before this instance knew of it may have been
  // the only one that received commits, or that acknowledged them. After this
  // time the present servers are taken to have received these commits.
  static constexpr milliseconds kCatchUpTime{ 10'000 };

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
  // Handles the refusal of a control connection by a server whose connections
  // are all in use: asks all instances to keep to their shares of them.
  void OnControlConnectionRefused(const std::string& aServer, time_point aNow);
  // Called after the process was suspended for a time that the steady clock did
  // not count.
  void OnSuspended(time_point aNow);
  // Abandons running changes, and gives up the duty if this instance holds it,
  // as soon as no order is under way.
  void Resign(time_point aNow);
  // Stops routing to primaries and marks this instance as gone in its record.
  void Unregister(time_point aNow);

  // Whether the desired state, the servers and the fleet records have been
  // read.
  bool IsReady() const;
  bool HoldsDuty(time_point aNow) const { return mDuty.Holds(aNow); }
  service_hosting HostingOf(const std::string& aService) const
  {
    return mHosts.HostingOf(aService);
  }
  // Returns the instance that hosts a new session, or std::nullopt if that is
  // this instance or the session will be refused.
  std::optional<host_candidate> HostFor(const open_session& aOpen,
                                        time_point aNow) const;
  void OnHostFailed(const std::string& aInstance, time_point aNow)
  {
    mHosts.OnHostFailed(aInstance, aNow);
  }
  // Store revision of the last desired state that was read, even if it could
  // not be decoded.
  std::uint64_t DesiredRevision() const { return mDesiredRevision; }
  // Reads the desired state from the store if another instance has a newer
  // revision.
  void RequestDesiredRevision(std::uint64_t aRevision, time_point aNow);
  // Returns the desired state known to this instance, to be relayed to
  // instances that cannot read the store; empty if none is known.
  relayed_desired_state DesiredState() const;
  // Whether the store's reply with a desired state is arriving.
  bool IsDesiredStateArriving(time_point aNow) const
  {
    return mDesiredWatcher.IsReplyArriving(aNow);
  }
  // Size of the desired state known to this instance; zero if none is known.
  std::size_t DesiredStateBytes() const;
  // Puts a desired state in force that another instance relayed, if it is
  // newer.
  void AdoptDesiredState(const relayed_desired_state& aState, time_point aNow);
  // Sets the handler that is called when a new desired state is in force.
  void SetOnDesiredState(std::function<void()> aHandler)
  {
    mOnDesiredState = std::move(aHandler);
  }
  // Requests tokens of the accounts' rate limits from the accounts' owners, if
  // any are needed.
  void RequestAllowances(time_point aNow);
  // Sends a confirmation request to an instance to check that it is alive. Its
  // answer is reported to the handler set by SetOnInstanceReply().
  void ProbeInstance(const std::string& aPeerAddress, time_point aNow);
  void SetOnInstanceReply(
    std::function<void(const std::string& aInstance, time_point)> aHandler)
  {
    mOnInstanceReply = std::move(aHandler);
  }
  // Operator's version of the desired state in force; zero if there is none.
  std::uint64_t DesiredVersion() const
  {
    return mDesired ? mDesired->mVersion : 0;
  }
  // How long another instance has been known to have a newer desired state;
  // zero if none has.
  duration DesiredStateBehindFor(time_point aNow) const
  {
    return mDesiredHint.BehindFor(aNow);
  }
  // How often a watch of the store was restarted because it had missed a
  // change.
  std::uint64_t WatchRestarts() const
  {
    return mDesiredWatcher.Restarts() + mServerWatcher.Restarts();
  }
  // Era of the store as last read; zero if it has none.
  std::uint64_t StoreEra() const { return mStoreEra.value_or(0); }
  // How often the store came back from an older copy since the start.
  std::uint64_t StoreReturns() const { return mStoreReturns; }
  std::optional<duration> ConfirmationAge(time_point aNow) const;
  // Number of servers whose entries are present.
  std::size_t ServerCount() const { return mServers.All().size(); }

private:
  // Detects by a missing tick that the process has not run for a while.
  void NoteStandstill(time_point aNow);
  void OnDesiredState(time_point aNow);
  void OnServers(const kind_watcher::update& aUpdate, time_point aNow);
  // Applies the added, changed or removed entry of one server, and adds the
  // services it affects to `aServices`.
  void ApplyServer(const std::string& aServer,
                   std::set<std::string>& aServices,
                   time_point aNow);
  // Whether the server was the primary when the latest commits were
  // acknowledged. Requires a known service.
  bool IsLastPrimary(const registered_server& aServer) const;
  // Notes that the log of a server that is not the last primary is gone,
  // because the server has left or started again without it.
  void OnLogLost(const registered_server& aServer, time_point aNow);
  // Notes that the entry of a server is missing or cannot be decoded. `aLast`
  // is its last known entry, if there was one.
  void OnEntryLost(const std::string& aServer,
                   const std::optional<registered_server>& aLast,
                   time_point aNow);
  // Notes which process of a server an entry is about.
  void NoteProcess(const registered_server& aServer);
  void ForgetExpiredServers(time_point aNow);
  void OnFleet(const kind_watcher::update& aUpdate, time_point aNow);
  void ApplyFleetObject(const stored_object& aObject,
                        time_point aAsOf,
                        time_point aNow);
  // Handles replies from an era of the store: a new one shows that the store
  // came back from an older copy.
  void NoteEra(std::uint64_t aEra, time_point aNow);
  // Applies a record of the given version. Keeps a later one that is known,
  // even though the store has forgotten it.
  void ApplyPrimaryRecord(const primary_record& aRecord,
                          std::uint64_t aVersion,
                          time_point aNow);
  static void NoteForgotten(service_control& aControl, time_point aNow);
  // Finds records that a list, complete up to the given revision, lacks.
  void FindForgottenRecords(std::uint64_t aCompleteTo, time_point aNow);
  // Whether the records of primaries known here are not older than a change
  // that was carried out before the store came back.
  bool IsHistoryComplete() const;
  // Lets the duty holder record that forgotten records have been written again.
  void MarkRestored(time_point aNow);
  // Writes forgotten records of primaries again.
  void RestoreRecords(time_point aNow);
  void RestoreRecord(const std::string& aService,
                     const primary_record& aRecord,
                     std::uint64_t aExpectedVersion);
  // Passes the live instances, among which the services are divided, to the
  // host selection and the engine.
  void PublishInstances(time_point aNow);
  confirmation_request NewConfirmationRequest(time_point aNow);
  // Notes that the recorded primaries known here were up to date at `aAsOf`.
  // `aSource` names for the log who has confirmed them: an instance, or
  // "store".
  void Confirm(const std::string& aSource, time_point aAsOf, time_point aNow);
  // Passes the primary of a service to the engine and the monitor; called after
  // any change that may affect it.
  void PublishPrimary(const std::string& aService, time_point aNow);
  service_primary PrimaryOf(const std::string& aService) const;
  // Servers of the service whose entries call them the primary.
  std::vector<std::string> ReportedPrimaries(const std::string& aService) const;
  // The primary of a service without a record. No change of primary has been
  // ordered as far as this instance knows, so that the server whose entry says
  // so is the primary. With two such entries one of them has been replaced, and
  // which one only the record shows.
  service_primary UnrecordedPrimaryOf(const std::string& aService) const;
  static void NoteRelease(service_control& aControl,
                          std::uint64_t aTerm,
                          bool aEndsWrites);
  static write_permission WritePermission(const service_control& aControl);

  void Register(time_point aNow);
  bool IsRegistered() const;
  // Lets the duty holder register an instance again that was marked as gone, or
  // whose record the store has forgotten, but that goes on asking for
  // confirmations, as the store may refuse its own calls.
  void RegisterAgain(const confirmation_request& aRequest, time_point aNow);
  // Reads the fleet records, the desired state and the servers if a read is
  // due: regularly on the duty holder, which confirms the records and reports
  // the newest versions to all instances, and on others only if no instance
  // confirms the records to them.
  void ReadFleet(time_point aNow);
  void AskForConfirmation(time_point aNow);
  // Whether this instance may issue tokens of the account's rate limit.
  bool MayIssue(const std::string& aAccount, time_point aNow) const;
  // Answers a request of a process for the accounts that this instance owns.
  std::optional<allowance_grant> IssueAllowances(
    const allowance_datagram& aDatagram,
    time_point aNow);
  // Whether an instance may have been live, or this one gone, without this
  // instance having noticed it at the time.
  bool MissedChangeOfOwners() const;
  // Whether all live instances have started at about the same time as this one,
  // so that no process knows, or holds, anything from before.
  bool HasFleetRestarted() const;
  // Whether the former process of this instance was certainly the owner of the
  // account until it ended, so that no other instance issues tokens of it.
  bool HasInherited(const std::string& aAccount) const;
  // When this instance can begin to issue tokens of an account that it owns
  // since `aSince`.
  time_point IssuesFrom(const std::string& aAccount, time_point aSince) const;
  void NoteFirstInstances(time_point aNow);
  void PublishAllowanceOwners(const std::vector<host_candidate>& aLive,
                              time_point aNow);
  // Names of the instances that may hold the duty: by the record known here and
  // by the latest confirmation. They differ while the store refuses this
  // instance.
  std::set<std::string> PossibleHolders() const;
  // Handles a read or write of the duty record. It is known to reflect every
  // change before `aAsOf`.
  void OnHolderRecorded(time_point aAsOf, bool aChanged);
  // Holder of the duty in the record known here; empty if there is none.
  std::string RecordedHolder() const;
  // When the holder that this instance names was last heard from.
  time_point ConfirmedHolderSeenAt(time_point aNow) const;
  // Restarts a watch that has missed a version seen by another instance.
  static void RestartIfBehind(version_hint& aHint,
                              kind_watcher& aWatcher,
                              time_point aNow);
  // Asks another instance for its desired state if the store does not deliver
  // a version that others have seen.
  void RequestDesiredStateIfBehind(time_point aNow);
  void OnConfirmation(const confirmation_answer& aAnswer, time_point aNow);
  // As of when this instance can confirm the recorded primaries to others: it
  // also has to know which of them are registered.
  time_point ConfirmsOthersAsOf() const;
  confirmation_answer AnswerConfirmation(const confirmation_request& aRequest,
                                         time_point aNow) const;
  // Adds the records that are newer than the revision stated in the request.
  void AddNewerRecords(confirmation_answer& aAnswer,
                       std::uint64_t aRevision) const;
  void ApplyConfirmedInstances(const confirmation_answer& aAnswer,
                               time_point aConfirmedAt,
                               time_point aNow);

  void WriteDuty(const duty_write& aWrite);
  // Clears the holder in the record of the duty if this instance has resigned
  // and no order of its own is under way.
  void VacateDuty(time_point aNow);
  void ReportHealth(time_point aNow);
  void OnHealthReport(const health_report& aReport, time_point aNow);
  void MonitorServices(time_point aNow);
  void Probe(const std::string& aService, time_point aNow);
  // Learns from the primary's status which position the logs of lost replicas
  // may have reached. `aSent` is the time at which the status was requested.
  static void UpdateRequiredPosition(service_control& aControl,
                                     const server_status& aStatus,
                                     time_point aSent);
  void StartChange(const std::string& aService,
                   change_reason aReason,
                   time_point aNow);
  // Whether entries that expired while the store was unavailable have had the
  // time to reappear since.
  bool AreEntriesSettled(time_point aNow) const;
  // Whether the servers known here, and those seen leaving, include every
  // replica that may have confirmed a commit of the service's primary.
  bool KnowsAllReplicas(const service_control& aControl, time_point aNow) const;
  // Tells a change in progress of a server that registered or started again.
  void AddToChange(const registered_server& aServer, time_point aNow);
  // Tells a change in progress of a server that is about to leave.
  void NoteDraining(const registered_server& aServer);
  // Tells a change in progress of a server that reports itself as primary.
  void AskCandidate(const registered_server& aServer, time_point aNow);
  void RunChange(const std::string& aService, time_point aNow);
  void Perform(const std::string& aService,
               const primary_change::actions& aActions,
               time_point aNow);
  void OrderPromotion(const order_promotion& aOrder, time_point aNow);
  void OnOrderEnded(const order_promotion& aOrder,
                    promotion_result aResult,
                    time_point aNow);
  // Returns a change that this instance has begun, or nullptr if it has ended.
  running_change* FindChange(const std::string& aService,
                             std::uint64_t aNumber);
  // Writes a record of a change. If it names a candidate, first writes which
  // process was chosen, so that no instance knows the one without the other.
  void WriteRecord(const std::string& aService,
                   const primary_record& aRecord,
                   time_point aNow);
  void WriteCandidate(const std::string& aService,
                      const primary_record& aRecord);
  void SubmitRecord(const std::string& aService, const primary_record& aRecord);
  // Passes on that the records of a step were written, or were not.
  void OnRecordWritten(const std::string& aService,
                       std::uint64_t aChange,
                       bool aWritten,
                       time_point aNow);
  void BeginRelease(const release_instances& aRelease, time_point aNow);
  void OnInstancesListed(const std::string& aService,
                         const store_reply& aReply,
                         time_point aNow);
  // Lets a change wait for an instance, unless that one has been gone for so
  // long that its confirmations have expired.
  void AwaitRelease(const std::string& aService,
                    const instance_directory::known_instance& aInstance,
                    time_point aNow);
  void ContinueRelease(const std::string& aService, time_point aNow);
  // Notes what an instance has acknowledged of a service's commits; `aUptime`
  // is how long its process has been running.
  static void NoteAcknowledged(running_change& aRunning,
                               const log_position& aNewest,
                               duration aUptime);
  // Passes on that no instance uses the old primary any more.
  void NoteReleased(const std::string& aService, time_point aNow);
  void OnReleaseAnswer(const release_answer& aAnswer, time_point aNow);
  void AbandonChanges(time_point aNow);
  // Marks instances as gone whose health reports have stopped.
  void MarkSilentInstances(time_point aNow);
  void MarkGone(const instance_record& aInstance);
  // Replaces the given version of an instance's record; `aEvent` names the
  // write in the log.
  void WriteInstance(const instance_record& aRecord,
                     const char* aEvent,
                     std::uint64_t aExpectedVersion);

  event_loop& mLoop;
  store_client& mStore;
  session_engine& mEngine;
  control_links& mLinks;
  platform_objects mObjects;
  controller_options mOptions;
  time_point mStartedAt;
  kind_watcher mDesiredWatcher;
  kind_watcher mServerWatcher;
  kind_watcher mFleetWatcher;
  duty_lease mDuty;

  std::shared_ptr<const desired_state> mDesired;
  std::uint64_t mDesiredRevision = 0;
  server_directory mServers;
  // Since when every running server that can reach the store is known here.
  std::optional<time_point> mServersKnownSince;
  std::map<std::string, service_control> mServices;
  instance_directory mInstances;
  session_hosts mHosts;
  allowance_owners mAllowanceOwners;
  // Used for the accounts that this instance owns.
  allowance_allocator mAllowances;
  // Records of the instances at their latest change, by name.
  std::map<std::string, instance_directory::known_instance> mPublishedInstances;
  // The same at the first change.
  std::map<std::string, instance_directory::known_instance> mFirstInstances;
  // When they became known.
  time_point mFirstInstancesAt = time_point::min();
  // Owners of the accounts if all known instances were live.
  allowance_owners mPossibleOwners;
  // When all instances had restarted.
  std::optional<time_point> mFleetRestartedAt;
  // Since when this instance has been the owner, as of the latest request for
  // tokens of each account.
  std::map<std::string, time_point> mIssuingSince;
  std::function<void(const std::string&, time_point)> mOnInstanceReply;
  std::function<void()> mOnDesiredState;
  time_point mDesiredReadAt = time_point::min();
  std::optional<std::uint64_t> mStoreEra;
  std::uint64_t mStoreReturns = 0;
  // Era that this instance has seen begin while its records were confirmed. It
  // knew all changes of primary that had been carried out by then.
  std::uint64_t mEraSeenBegin = 0;
  // Era of the restored record.
  std::uint64_t mRestoredEra = 0;
  // Earliest time to write that record.
  time_point mMarkRestoredAfter = time_point::min();
  // All records of primaries and instances up to this store revision are known.
  std::uint64_t mKnownRevision = 0;
  // The records of primaries known here were up to date at this time.
  time_point mConfirmedAt = time_point::min();
  // The same for the records of instances.
  time_point mInstancesAsOf = time_point::min();
  // When the process went on after its last suspension. What was confirmed as
  // of an earlier time may be older than it seems.
  time_point mSuspendedUntil = time_point::min();
  // Since when instances that RegisterAgain() is about have been asking for
  // confirmations, by name.
  std::map<std::string, time_point> mGoneAskingSince;
  bool mRegistering = false;
  bool mUnregistered = false;
  time_point mRegisterAfter = time_point::min();
  std::optional<time_point> mTickedAt;
  bool mHeldDuty = false;
  // Whether the live instances are known, and the same as when they first were.
  bool mOwnersKnown = false;
  bool mSameInstancesAsFirst = true;
  // Whether a former process of this instance had been live for long by then.
  bool mReplacesProcess = false;
  // Number of changes of primary that this instance has begun.
  std::uint64_t mChangesBegun = 0;
  // Promotion orders whose calls have not ended.
  std::size_t mOrdersUnderWay = 0;
  // When the platform will have carried out the orders without an answer.
  time_point mOrdersEndedAt = time_point::min();
  // Last health report of each instance to this duty holder, initially the time
  // of the first check after the duty was taken.
  std::map<std::string, time_point> mLastReportAt;
  // When the instances were last asked to yield connections of each server.
  std::map<std::string, time_point> mYieldRequestedAt;
  time_point mReportedAt = time_point::min();
  bool mReportedProblem = false;
  // Services that had a health other than NoTraffic in the last report.
  std::set<std::string> mReportedServices;
  // Holder of the duty as the latest read of the store or the latest
  // confirmation named it, and the time as of which that was confirmed. Empty
  // if there was none.
  std::string mConfirmedHolder;
  time_point mHolderConfirmedAt = time_point::min();
  // When that holder was last heard from, as known at that time.
  time_point mConfirmedHolderSeenAt = time_point::min();
  // Number of the last confirmation request, and the send times of recent
  // requests by number.
  std::uint64_t mLastRequestNumber = 0;
  std::map<std::uint64_t, time_point> mRequestSentAt;
  time_point mRequestedAt = time_point::min();
  time_point mFleetReadAt = time_point::min();
  time_point mServersReadAt = time_point::min();
  version_hint mDesiredHint;
  // Number of requests for the desired state of another instance.
  std::uint64_t mStateRequests = 0;
  version_hint mServerHint;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_CONTROLLER_H_
