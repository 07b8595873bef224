// Plans, statuses and replies for tests of a change of the primary.
#ifndef SNIPEWALK_TESTS_SESSION_PRIMARY_CHANGE_FIXTURE_H_
#define SNIPEWALK_TESTS_SESSION_PRIMARY_CHANGE_FIXTURE_H_

#include "snipewalk/session/primary_change.h"

#include <string>
#include <vector>

namespace snipewalk {

inline time_point
At(int aMs)
{
  return time_point() + milliseconds(100'000 + aMs);
}

inline change_plan
Plan(bool aPlanned = false)
{
  change_plan plan;
  plan.mService = "s";
  plan.mOldPrimary = "p";
  plan.mReplicas = { { "a", false }, { "b", false } };
  plan.mKnownTerm = 1;
  plan.mFence = 9;
  plan.mPlanned = aPlanned;
  return plan;
}

inline server_status
Status(server_role aRole, std::uint64_t aTerm, std::uint64_t aNumber)
{
  return { aRole, aTerm, { aTerm, aNumber }, {} };
}

template<typename Action>
std::vector<Action>
ActionsOfType(const primary_change::actions& aActions)
{
  std::vector<Action> found;
  for (const auto& action : aActions) {
    if (const auto* match = std::get_if<Action>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

// Delivers the reply to the command that the present step has sent.
inline primary_change::actions
Reply(primary_change& aChange,
      const std::string& aServer,
      const server_status& aStatus,
      time_point aNow)
{
  server_command command = status_command{};
  if (aChange.Step() == change_step::Pausing) {
    command = pause_command{ aChange.Term() };
  } else if (aChange.Step() == change_step::Resuming) {
    command = resume_command{};
  }
  return aChange.OnServerStatus(aServer, command, aStatus, aNow);
}

// Advances a change to the step that pauses the replicas.
inline void
AdvanceToPausing(primary_change& aChange,
                 const acknowledged_commits& aAcknowledged = {})
{
  aChange.Start(At(0));
  Reply(aChange, "a", Status(server_role::Replica, 3, 10), At(1));
  Reply(aChange, "b", Status(server_role::Replica, 3, 10), At(1));
  aChange.OnRecordWritten(true, At(10));
  aChange.OnInstancesReleased(At(20), aAcknowledged);
}

// A change with a replica that may have left, whose others are paused at 4.10
// and 4.12. The old primary does not answer.
inline primary_change
ChangeWithAWitnessGone(const acknowledged_commits& aAcknowledged)
{
  change_plan plan = Plan();
  plan.mReplicasComplete = false;
  primary_change change(plan);
  AdvanceToPausing(change, aAcknowledged);
  Reply(change, "a", Status(server_role::Replica, 4, 10), At(21));
  Reply(change, "b", Status(server_role::Replica, 4, 12), At(22));
  return change;
}

// Reply of the old primary to the command to step down.
inline primary_change::actions
ReplySteppedDown(primary_change& aChange,
                 const server_status& aStatus,
                 time_point aNow)
{
  return aChange.OnServerStatus(
    "p", step_down_command{ aChange.Term() }, aStatus, aNow);
}

} // namespace snipewalk

#endif // SNIPEWALK_TESTS_SESSION_PRIMARY_CHANGE_FIXTURE_H_
