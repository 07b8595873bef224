// The service controllers of an instance: one for each service that it holds a
// slot of or was asked about lately.
#ifndef SNIPEWALK_CONTROL_SERVICE_CONTROLS_H_
#define SNIPEWALK_CONTROL_SERVICE_CONTROLS_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/control/service_controller.h"
#include "snipewalk/messages/store_client.h"
#include "snipewalk/store/audit_trail.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipewalk {

// Objects of a service, as a new controller needs them; each may be null.
struct service_objects
{
  const service_document* mDocument = nullptr;
  std::uint64_t mDocumentVersion = 0;
  const stored_object* mTerm = nullptr;
  // Names this process only while it may have connections open: its control
  // connections are part of its share.
  slot_record mSlots;
  bool mIsHeld = false;
};

class service_controls
{
public:
  using lookup = std::function<service_objects(const std::string& aService)>;

  service_controls(event_loop& aLoop,
                   store_client& aStore,
                   controller_options aOptions,
                   controller_callbacks aCallbacks,
                   lookup aLookup);
  ~service_controls();

  // Creates, informs or removes the service's controller after any of its
  // objects changed.
  void Update(const std::string& aService, time_point aNow);
  void SetMembers(std::vector<live_instance> aMembers, time_point aNow);
  void OnEvidence(const std::string& aService,
                  const report_evidence& aEvidence,
                  time_point aNow);
  void OnConnections(const std::string& aService,
                     const std::string& aServer,
                     std::size_t aConnections,
                     time_point aNow);
  void OnPeerMessage(const std::string& aInstance,
                     const control_message& aMessage,
                     time_point aNow);
  // The engine's answer to controller_callbacks::mHoldBegins.
  void OnTransactions(const std::string& aAsker,
                      const transactions_query& aQuery,
                      std::size_t aOpen,
                      time_point aNow);
  void Tick(time_point aNow, wall_time aWallNow);

  // Fills in the term and the suspected servers. Without a controller the term
  // is the one that the store records.
  void Describe(const std::string& aService, service_view& aView) const;
  // Nothing for a service without a controller.
  std::optional<drain_status> DrainStatus(const std::string& aService) const;

private:
  struct entry
  {
    std::unique_ptr<service_controller> mController;
    bool mIsHeld = false;
    // Of the document.
    std::size_t mServers = 0;
    // A controller that only answers queries is removed after this time.
    time_point mKeepUntil;
  };

  entry& Create(const std::string& aService, time_point aNow);
  static void Inform(entry& aEntry,
                     const service_objects& aObjects,
                     time_point aNow);
  // Divides the probes a second among the servers of the services held.
  void SpreadProbes();
  void RemoveUnused(time_point aNow);
  service_controller* Find(const std::string& aService) const;

  event_loop& mLoop;
  store_client& mStore;
  controller_options mOptions;
  controller_callbacks mCallbacks;
  lookup mLookup;
  audit_trail mAudit;
  std::vector<live_instance> mMembers;
  std::map<std::string, entry> mEntries;
};

} // namespace snipewalk

#endif // SNIPEWALK_CONTROL_SERVICE_CONTROLS_H_
