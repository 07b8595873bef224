// What the control thread owns: joins the state machines of the fleet with the
// control port, the store client and the service controllers.
#ifndef SNIPEWALK_CONTROL_CONTROL_STATE_H_
#define SNIPEWALK_CONTROL_CONTROL_STATE_H_

#include "fleet/membership_fleet.h"
#include "service_controls.h"
#include "store/platform_list_schedule.h"

#include "snipewalk/control/control_loop.h"
#include "snipewalk/control/control_port.h"
#include "snipewalk/fleet/dissemination.h"
#include "snipewalk/fleet/membership.h"
#include "snipewalk/version/object_cache.h"
#include "snipewalk/version/slot_assignment.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace snipewalk {

inline constexpr milliseconds kSecond{ 1'000 };
// A list grows with the fleet, so that its interval does, too: a fleet of 100
// is listed this often, and the bytes a second stay the same above.
inline constexpr milliseconds kListInterval{ 30'000 };

// A service document in force.
struct service_in_force
{
  std::optional<service_document> mDocument;
  std::uint64_t mVersion = 0;
  std::string mInvalid;
  // Rebuilt when the service changed.
  std::shared_ptr<const service_view> mView;
};

class control_state
{
public:
  using status_handler =
    std::function<void(std::shared_ptr<const control_status>)>;

  control_state(event_loop& aLoop,
                control_loop_options aOptions,
                const control_loop_callbacks& aCallbacks,
                std::unique_ptr<store_client> aStore,
                status_handler aOnStatus);
  ~control_state();

  absl::Status Open();
  const std::string& Address() const { return mPort.Address(); }

  // Loop thread only.
  void Begin();
  void OnEvidence(const std::string& aService, const report_evidence&);
  void OnUse(const slot_use_reported& aUse);
  void OnConnections(const std::string& aService,
                     const std::string& aServer,
                     std::size_t aConnections);
  void OnTransactions(const std::string& aAsker,
                      const transactions_query& aQuery,
                      std::size_t aOpen);
  void SetKeys(std::vector<std::string> aKeys)
  {
    mPort.SetKeys(std::move(aKeys));
  }
  void ReleaseSlots(milliseconds aLimit, std::function<void()> aDone);
  void Leave();

private:
  void Tick(time_point aNow);
  void EverySecond(time_point aNow);
  void RunTimers(time_point aNow);

  void OnDatagram(const std::string& aFrom, datagram_body aBody, time_point);
  void OnMessage(link_id aLink,
                 const std::string& aFrom,
                 fleet_message aMessage,
                 time_point aNow);
  void On(link_id, const std::string&, const change_push&, time_point);
  void On(link_id, const std::string&, const pull_query&, time_point);
  void On(link_id, const std::string&, const pull_reply&, time_point);
  void On(link_id, const std::string&, const member_query&, time_point);
  void On(link_id, const std::string&, const member_reply&, time_point);
  void On(link_id, const std::string&, const service_message&, time_point);

  void Give(const membership_event& aEvent, time_point aNow);
  void Give(const dissemination_event& aEvent, time_point aNow);
  void Give(const slot_event& aEvent, time_point aNow);

  void Do(const send_membership&, time_point);
  void Do(const member_changed&, time_point);
  void Do(const fetch_members&, time_point);
  void Do(const peer_seen&, time_point);
  void Do(const duplicate_name_found&, time_point);
  void Do(const start_watch&, time_point);
  void Do(const send_push&, time_point);
  void Do(const send_pull&, time_point);
  void Do(const objects_changed&, time_point);
  void Do(const slot_store_call&, time_point);
  void Do(const send_slot_message&, time_point);
  void Do(const share_changed&, time_point);
  void Do(const record_learned&, time_point);

  // Notes whether the store answers before it passes the reply on.
  void Submit(store_request aRequest,
              store_priority aPriority,
              store_client::reply_handler aOnReply);
  void NoteStore(store_status aStatus, time_point aNow);
  void AskPlatformList(time_point aNow);
  milliseconds ListInterval() const;

  // Stores new session keys when there are none or the newest is old.
  void ReplaceKeysIfDue(time_point aNow);
  void OnObject(const object_key& aKey, time_point aNow);
  void OnServiceObject(const std::string& aName, time_point aNow);
  void MarkChanged(const std::string& aService);
  void GiveMembersToControls(time_point aNow);

  void PublishIfChanged(time_point aNow);
  std::shared_ptr<const service_view> BuildView(
    const std::string& aName,
    const service_in_force& aService) const;
  void PublishStatus(time_point aNow);
  service_status StatusOf(const std::string& aName,
                          const service_in_force& aService) const;

  event_loop& mLoop;
  control_loop_options mOptions;
  const control_loop_callbacks& mCallbacks;
  std::unique_ptr<store_client> mStore;
  status_handler mOnStatus;
  control_port mPort;
  membership mMembership;
  membership_fleet mFleet;
  object_cache mCache;
  dissemination mDissemination;
  slot_assignment mSlots;
  service_controls mControls;
  std::mt19937_64 mRandom;

  std::map<std::string, service_in_force> mServices;
  std::vector<session_key> mSessionKeys;
  std::set<std::string> mChangedServices;
  bool mMembersChanged = true;
  bool mControlMembersChanged = true;
  bool mSnapshotChanged = true;
  time_point mLastPublished;
  time_point mNextSecond;
  platform_list_schedule mListSchedule;
  bool mListOutstanding = false;
  time_point mNextKeys;
  bool mKeysOutstanding = false;
  std::set<std::string> mListedLive;
  std::optional<time_point> mStoreFailedSince;
  std::uint64_t mNextSequence = 1;

  std::function<void()> mOnReleased;
  time_point mReleaseUntil;
  // Expires with this object; guards replies and timers of the loop.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace snipewalk

#endif // SNIPEWALK_CONTROL_CONTROL_STATE_H_
