// Controls one service on one instance: joins the failure detector, failover,
// drain and the control connections to the backend servers.
#ifndef SNIPEWALK_CONTROL_SERVICE_CONTROLLER_H_
#define SNIPEWALK_CONTROL_SERVICE_CONTROLLER_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/address_translation.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/messages/control_messages.h"
#include "snipewalk/messages/service_document.h"
#include "snipewalk/messages/service_view.h"
#include "snipewalk/messages/store_client.h"
#include "snipewalk/request/service_engine.h"
#include "snipewalk/version/drain.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipewalk {

class audit_trail;

struct controller_options
{
  std::string mInstance;
  // Identifies the life of the process, as in slot records: a slot claimed in
  // an earlier life does not count.
  std::uint64_t mIncarnation = 0;
  std::string mDataCentre;
  // A server is probed when no answer was seen for this long.
  milliseconds mProbeInterval{ 100 };
  // Silence after which a server can be suspected.
  milliseconds mSilenceLimit{ 1'000 };
  // Bound for the probes a second of all services' servers that are idle and
  // without a fault.
  int mProbesPerSecond = 40;
  // Makes jitter reproducible in tests.
  std::uint64_t mSeed = 1;
  address_translation mAddressTranslation;
};

// An instance that can be asked for its view of a primary.
struct live_instance
{
  std::string mName;
  std::string mDataCentre;
  // False when only the platform's list still names it.
  bool mIsMember = true;
};

struct controller_callbacks
{
  // Term in force, suspected servers or drain status of the service changed.
  // Called from within the methods of the controller.
  std::function<void(const std::string& aService)> mPublish;
  // Sends a message to another instance; it may be lost.
  std::function<void(const std::string& aInstance,
                     const control_message& aMessage)>
    mSendPeer;
  // A status answer of a server, for the engines of the service.
  std::function<void(const std::string& aService,
                     const status_observed& aObserved)>
    mObserved;
  // An object that this instance wrote to the store, for the object cache and
  // the other instances.
  std::function<void(const stored_object& aObject)> mStored;
  // Asks the engine of this instance to begin no transactions and for the
  // number of open ones, on behalf of the instance given, perhaps this one.
  // Without it, planned changes do not wait for transactions.
  std::function<void(const std::string& aAsker,
                     const transactions_query& aQuery)>
    mHoldBegins;
};

class service_controller_state;

// Loop thread only. The store client, the loop and the audit trail outlive the
// controller. `aNow` never goes back.
class service_controller
{
public:
  service_controller(event_loop& aLoop,
                     store_client& aStore,
                     audit_trail& aAudit,
                     std::string aService,
                     controller_options aOptions,
                     controller_callbacks aCallbacks);
  ~service_controller();
  service_controller(const service_controller&) = delete;
  service_controller& operator=(const service_controller&) = delete;

  // `aVersion` is the store's version of the document.
  void OnDocument(const service_document& aDocument,
                  std::uint64_t aVersion,
                  time_point aNow);

  // The object `terms/<service>` as the object cache has it; call it for each
  // version that arrives, older ones are ignored. A value that cannot be
  // decoded is logged and ignored.
  void OnTermObject(const stored_object& aObject, time_point aNow);

  // The object `slots/<service>`. Only a holder probes, fences and promotes.
  void OnSlots(const slot_record& aSlots, time_point aNow);

  // Other instances that membership believes alive, and those that the
  // platform's list still names live: an instance that lost contact with all
  // others must not take itself for the only one. Without this instance.
  void OnMembers(const std::vector<live_instance>& aMembers, time_point aNow);

  // See failure_detector::SetProbeSpacing().
  void SetProbeSpacing(milliseconds aSpacing);

  // Observation of a traffic thread.
  void OnEvidence(const report_evidence& aEvidence, time_point aNow);

  // Connections that this instance's engine has open to a server.
  void OnConnections(const std::string& aServer,
                     std::size_t aConnections,
                     time_point aNow);

  // Of another instance, or a transactions_report of this one.
  void OnPeerMessage(const std::string& aInstance,
                     const control_message& aMessage,
                     time_point aNow);

  // Call every 20 ms; a gap above 500 ms counts as a pause of the loop.
  void Tick(time_point aNow, wall_time aWallNow);

  // Record to publish: a recorded promotion counts as stable as soon as the
  // candidate answered as primary of the term. Nothing before the first term.
  std::optional<term_record> Term() const;

  // Names of servers that are suspected now, sorted.
  std::vector<std::string> Suspected() const;

  // Other holders that reach the primary while this instance suspects it,
  // sorted.
  std::vector<std::string> PrimaryReachedBy() const;

  drain_status DrainStatus() const;

private:
  std::unique_ptr<service_controller_state> mState;
};

} // namespace snipewalk

#endif // SNIPEWALK_CONTROL_SERVICE_CONTROLLER_H_
