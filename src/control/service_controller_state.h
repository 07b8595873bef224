// State of a service controller: carries out the actions of its state machines.
#ifndef SNIPEWALK_CONTROL_SERVICE_CONTROLLER_STATE_H_
#define SNIPEWALK_CONTROL_SERVICE_CONTROLLER_STATE_H_

#include "control/server_link.h"
#include "snipewalk/control/service_controller.h"
#include "snipewalk/store/audit_trail.h"
#include "snipewalk/version/failover.h"
#include "snipewalk/version/failure_detector.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipewalk {

class service_controller_state
{
public:
  service_controller_state(event_loop& aLoop,
                           store_client& aStore,
                           audit_trail& aAudit,
                           std::string aService,
                           controller_options aOptions,
                           controller_callbacks aCallbacks);

  void Tick(time_point aNow, wall_time aWallNow);
  void Feed(const failover_event& aEvent, time_point aNow);
  void Feed(const detector_event& aEvent, time_point aNow);
  // Passes document, slots, members and term to the state machines.
  void Configure(time_point aNow);
  void PublishIfChanged();

  event_loop& mLoop;
  store_client& mStore;
  audit_trail& mAudit;
  const std::string mService;
  const controller_options mOptions;
  const controller_callbacks mCallbacks;
  std::optional<service_document> mDocument;
  slot_record mSlots;
  std::vector<live_instance> mMembers;
  failover mFailover;
  failure_detector mDetector;
  drain mDrain;
  wall_time mWallNow;

private:
  void Perform(const failover_action& aAction, time_point aNow);
  void Perform(const detector_action& aAction, time_point aNow);
  void Do(const read_term& aAction, time_point aNow);
  void Do(const write_term& aAction, time_point aNow);
  void Do(const send_to_server& aAction, time_point aNow);
  void Do(const term_changed& aAction, time_point aNow);
  void Do(const term_recorded& aAction, time_point aNow);
  void Do(const send_probe& aAction, time_point aNow);
  void Do(const send_peer_message& aAction, time_point aNow);
  void Do(const suspicion_changed& aAction, time_point aNow);
  void Do(const verdict_changed& aAction, time_point aNow);

  void SubmitTermCall(failover_call_id aCall, store_request aRequest);
  void OnTermReply(failover_call_id aCall,
                   bool aIsWrite,
                   const store_reply& aReply,
                   time_point aNow);
  void OnProbed(const send_probe& aProbe,
                const link_reply& aReply,
                time_point aNow);
  server_link& LinkTo(const server_endpoint& aServer);
  // Closes links to servers that left the document, or all without a slot.
  void CloseUnusedLinks();
  // Ends a link; its requests are reported as lost, since the detector and the
  // failover wait for each of them.
  void Retire(server_link& aLink);
  std::optional<int> OwnSlot() const;
  detector_configured DetectorConfig() const;
  void AdvanceDrain(time_point aNow);
  // Holders whose transactions a planned change waits for.
  std::vector<std::string> LiveHolders() const;
  void AskHolders(const transactions_query& aQuery);
  void AnnounceBreaches(const drain_status& aStatus, int aSlot);
  void WriteDrainStatus(const drain_status& aStatus, time_point aNow);
  void OnStatusReply(const store_reply& aReply, time_point aNow);

  std::map<std::string, std::unique_ptr<server_link>> mLinks;
  // Links opened only because another instance asked.
  std::set<std::string> mForeignLinks;
  // What was published last.
  std::optional<term_record> mPublishedTerm;
  std::vector<std::string> mPublishedSuspected;
  std::set<std::string> mPublishedReachedBy;
  drain_status mPublishedDrain;
  // The object status/<service>.
  bool mStatusCalling = false;
  bool mStatusKnown = false;
  std::uint64_t mStatusVersion = 0;
  time_point mNextStatus;
  drain_status mWrittenStatus;
  std::set<std::string> mAnnouncedBreaches;
  // Events raised while one is handled wait here: the state machines are not
  // entered twice.
  bool mFeeding = false;
  std::vector<failover_event> mFailoverEvents;
  std::vector<detector_event> mDetectorEvents;
  void DeliverEvents(time_point aNow);
  // Expires with the controller; guards replies that arrive later.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace snipewalk

#endif // SNIPEWALK_CONTROL_SERVICE_CONTROLLER_STATE_H_
