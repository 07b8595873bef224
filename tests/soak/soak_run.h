// One soak run: the instances, the stand-in of the platform, the links between
// them, and the tasks that are due. Used by RunSoak() only.
#ifndef SNIPEWALK_SOAK_SOAK_RUN_H_
#define SNIPEWALK_SOAK_SOAK_RUN_H_

#include "soak/promise_checks.h"
#include "soak/session_soak.h"
#include "standins/link_network.h"
#include "standins/platform_standin.h"
#include "standins/session_fleet.h"

#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace snipewalk::soak {

// State of an instance's process as the platform sees it.
enum class process_phase
{
  Running,
  Terminating,
  Down
};

// Not thread-safe, but for the orders that arrive on the stand-in's thread.
class soak_run
{
public:
  soak_run(const soak_options& aOptions, std::ostream& aLog);
  soak_run(const soak_run&) = delete;
  soak_run& operator=(const soak_run&) = delete;

  soak_result Run();

private:
  struct instance
  {
    std::string mName;
    std::uint16_t mCallerPort = 0;
    // Links to the store and, in plans of hand-overs, to the promotion call.
    std::size_t mStoreLink = 0;
    std::size_t mPromotionLink = 0;
    process_phase mPhase = process_phase::Running;
    milliseconds mTerminatedAt{ 0 };
    // The process was paused during its shutdown, so it need not end within the
    // grace period.
    bool mGraceExempt = false;
    bool mPaused = false;
    std::ofstream mOutput;
  };

  milliseconds Elapsed() const;
  void ScheduleAt(milliseconds aWhen, std::function<void()> aTask);
  void ScheduleAfter(milliseconds aDelay, std::function<void()> aTask);
  void LogEvent(const std::string& aWhat);
  std::vector<std::uint16_t> StartInstances();
  void Start(instance& aInstance);
  void RunUntilIdle();
  bool IsAnyNotRunning() const;
  void RunOnce();
  // Logs the promotion orders that arrived, and begins the faults that waited
  // for one.
  void HandleOrders();
  // Copies the output of a process to its log file, checks the time limit of a
  // shutdown, and restarts a process that has ended.
  void PollProcess(instance& aInstance);
  void Restart(instance& aInstance);

  // Defined in soak_faults.cpp.

  void InjectFault(const fault_step& aStep);
  void LogFault(const fault_step& aStep, const std::string& aTarget);
  instance& TargetInstance(const fault_step& aStep);
  std::vector<std::size_t> TargetLinks(const fault_step& aStep);
  void DelayPromotions(const fault_step& aStep);
  void InjectInstanceFault(const fault_step& aStep);
  void InjectLinkFault(const fault_step& aStep);
  void InjectLinkFault(const fault_step& aStep, std::size_t aLink);
  void InjectServerFault(const fault_step& aStep);
  // Reserves the time of a server failure; returns false if another server is
  // failing or recovering. Only one server of the group may fail at a time,
  // because a commit that only failed servers received would be lost on the
  // real platform as well.
  bool ReserveServerFailure(milliseconds aLength);
  void Replace(const std::string& aId);
  void SetServerFault(const std::string& aId,
                      fault_kind aKind,
                      bool aFaulty,
                      milliseconds aDuration);
  void InjectStoreFault(const fault_step& aStep);
  // What others than the instances wrote is written again one by one, in an
  // order that the step selects.
  void InjectStoreReturn(const fault_step& aStep);

  // Checks that each instance serves writes again after the last fault.
  void CheckRecovery();
  soak_result Finish();

  soak_options mOptions;
  std::ostream& mLog;
  promise_checks mChecks;
  standins::link_network mNetwork;
  standins::platform_standin mPlatform;
  standins::session_fleet mFleet;
  // A deque, since callbacks keep references to its elements.
  std::deque<instance> mInstances;
  time_point mStart;
  std::multimap<milliseconds, std::function<void()>> mTasks;
  // Faults that begin when the next promotion order arrives.
  std::vector<fault_step> mAwaitingOrder;
  std::mutex mOrdersMutex;
  // Orders that arrived since the last look; guarded by mOrdersMutex.
  std::vector<standins::promotion_order> mNewOrders;
  // Servers that are being replaced.
  std::set<std::string> mLeaving;
  // Time at which the servers will have recovered from the last server failure.
  milliseconds mServersRecoveredAt{ 0 };
};

} // namespace snipewalk::soak

#endif // SNIPEWALK_SOAK_SOAK_RUN_H_
