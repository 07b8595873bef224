// A single change of the primary of a service, carried out by the holder of the
// failover duty. It is a state machine without I/O: events come in, actions
// come out.
//
// Steps: ask the servers for their status, record the change, wait until every
// instance has released the old primary, step it down, pause all replicas,
// choose the one with the newest log, record and promote it, wait until it
// leads, record it as stable, resume the others.
//
// The promoted log must contain every acknowledged commit. One of three proofs
// is used:
// - The old primary has reported, after it was stepped down, a log that the
//   server's log contains. What the other replicas have received is part of
//   that log, so those that do not reply are not waited for long.
// - All replicas that may have confirmed a commit of the old primary have been
//   paused, and the server has the newest of their logs.
// - Every instance that may have acknowledged a commit has said up to which
//   position, and the server's log reaches it.
// If none holds and the old primary was stepped down, it is promoted again. If
// it does not answer, the change waits for it, as a server that has crashed
// returns with its log. After a time limit the newest log of the known replicas
// has to do, unless it lacks a commit that an instance has acknowledged.
#ifndef SNIPEWALK_SESSION_PRIMARY_CHANGE_H_
#define SNIPEWALK_SESSION_PRIMARY_CHANGE_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/base/time.h"
#include "snipewalk/session/fleet_records.h"
#include "snipewalk/session/session_messages.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipewalk {

// What the instances have acknowledged to callers of the old primary's commits,
// once they acknowledge no more of them.
struct acknowledged_commits
{
  // The instances that were asked have acknowledged a commit at this position,
  // or before it but not after it.
  log_position mNewest;
  // No other instance can have acknowledged a later commit.
  bool mAllKnown = false;
};

// Actions. The comment of each action names the event that reports its result.

// Sends a control command to a server; the result is reported by
// OnServerStatus().
struct send_command
{
  std::string mServer;
  server_command mCommand;
};
// Writes the primary record; the result is reported by OnRecordWritten().
struct write_primary_record
{
  primary_record mRecord;
};
// Asks all instances to release the old primary; OnInstancesReleased() is
// called once none routes to it any more, and all servers that had registered
// by then were passed to OnServerAdded().
struct release_instances
{
  std::string mService;
  std::uint64_t mTerm = 0;
  // The instances must not acknowledge commits of the old primary any more,
  // because it may still be running when another server takes over.
  bool mEndsWrites = false;
};
// Orders the promotion of a server; the result is reported by OnPromoted().
struct order_promotion
{
  std::string mService;
  std::string mServer;
};

using change_action = std::variant<send_command,
                                   write_primary_record,
                                   release_instances,
                                   order_promotion>;

enum class promotion_result
{
  Accepted,
  // The named server is not running.
  Rejected,
  // The order was refused or got no reply, and may still take effect.
  Unknown,
  // The order was not sent.
  NotSent
};

enum class change_step
{
  Probing,
  Recording,
  Releasing,
  SteppingDown,
  Pausing,
  Choosing,
  Promoting,
  Settling,
  RecordingStable,
  Resuming,
  Reverting,
  Done,
  Failed
};

inline constexpr name_table<change_step, 13> kChangeStepNames{ {
  { change_step::Probing, "probing" },
  { change_step::Recording, "recording" },
  { change_step::Releasing, "releasing" },
  { change_step::SteppingDown, "stepping_down" },
  { change_step::Pausing, "pausing" },
  { change_step::Choosing, "choosing" },
  { change_step::Promoting, "promoting" },
  { change_step::Settling, "settling" },
  { change_step::RecordingStable, "recording_stable" },
  { change_step::Resuming, "resuming" },
  { change_step::Reverting, "reverting" },
  { change_step::Done, "done" },
  { change_step::Failed, "failed" },
} };

struct replica_info
{
  std::string mId;
  bool mDraining = false;
};

struct change_plan
{
  std::string mService;
  // Server id of the old primary; empty if the service has no known primary.
  std::string mOldPrimary;
  // All other servers of the service, including draining ones: each may hold
  // the only copy of an acknowledged commit besides the old primary's.
  std::vector<replica_info> mReplicas;
  // Term of the last recorded change.
  std::uint64_t mKnownTerm = 0;
  // Term in which the old primary leads; zero before the first change.
  std::uint64_t mLeadTerm = 0;
  std::uint64_t mFence = 0;
  // Whether mReplicas contains every server that may have confirmed a commit of
  // the old primary. If not, the old primary's log counts before an older one
  // of these.
  bool mReplicasComplete = true;
  // Position that the new primary's log must contain. A replica that has left
  // may have been the only one that received the commits up to it, so a log
  // without them can be older than what was acknowledged.
  log_position mRequiredPosition;
  // Position at which instances have acknowledged a commit, as told to earlier
  // changes. The server may have stated a later position than that of the
  // commit, so a proof that does not need it goes before it.
  log_position mAcknowledgedPosition;
  // The old primary is reachable and is stepped down after a grace period for
  // open transactions.
  bool mPlanned = false;
  // Record of a change that an earlier duty holder began and did not finish.
  std::optional<primary_record> mResumed;
  // mOldPrimary has started again without its log; or it is the server that an
  // earlier holder ordered to be promoted, and has left. In both cases it may
  // have led and acknowledged commits before, and the change is not reverted to
  // it.
  bool mOldPrimaryLost = false;
};

class primary_change
{
public:
  using actions = std::vector<change_action>;

  explicit primary_change(change_plan aPlan);

  actions Start(time_point aNow);
  // Handles the reply to a command; std::nullopt if the server did not reply.
  // Replies to commands of earlier steps are ignored: a status from before a
  // pause does not show what the server received until it was paused.
  actions OnServerStatus(const std::string& aServer,
                         const server_command& aCommand,
                         const std::optional<server_status>& aStatus,
                         time_point aNow);
  actions OnRecordWritten(bool aWritten, time_point aNow);
  actions OnInstancesReleased(time_point aNow,
                              const acknowledged_commits& aAcknowledged = {});
  actions OnPromoted(promotion_result aResult, time_point aNow);
  // Handles a server of the service that registered, or started again, after
  // the plan was made. Its earlier replies no longer count: a restart ends a
  // pause and may lose the log.
  actions OnServerAdded(const replica_info& aServer, time_point aNow);
  // Handles the removal of a server whose entry has expired. Such a server is
  // regarded as lost together with its log, so the change no longer waits for
  // it and does not choose it.
  actions OnServerRemoved(const std::string& aServer, time_point aNow);
  // Notes that a server has said that it leaves since the plan was made.
  void OnServerDraining(const std::string& aServer);
  // Handles an entry by which a server is the primary. The entry can be from an
  // earlier term, so a candidate is asked; its reply shows whether it leads.
  actions OnReportedAsPrimary(const std::string& aServer);
  // Repeats commands that got no reply, and ends steps that have exceeded their
  // time limit.
  actions OnTick(time_point aNow);

  change_step Step() const { return mStep; }
  bool IsOver() const
  {
    return mStep == change_step::Done || mStep == change_step::Failed;
  }
  // Whether the change has failed because no server that answered has a log
  // with all commits that are required.
  bool IsLogMissing() const { return mLogMissing; }
  const std::string& Candidate() const { return mCandidate; }
  std::uint64_t Term() const { return mTerm; }
  const change_plan& Plan() const { return mPlan; }

private:
  void EnterStep(change_step aStep, time_point aNow);
  actions SendCommand(const std::vector<std::string>& aServers,
                      const server_command& aCommand);
  actions SendToReplicas(const server_command& aCommand);
  // Sends to the replicas and the old primary.
  actions SendToAll(const server_command& aCommand);
  actions SendPauseCommands();
  actions MakeRecord(primary_phase aPhase, const std::string& aPrimary) const;
  // Handles the old primary's reply to the command to step down.
  void OnSteppedDown(const server_status& aStatus);
  // Goes on from Probing once the replies show that a server can be promoted,
  // or fails.
  actions EvaluateProbes(time_point aNow);
  // Whether the change can go on from Probing without the replicas that do not
  // reply: the old primary answers, so that it can be stepped down and tell its
  // last position, and the newest log contains what it has told now.
  bool CanSkipSilentReplicas(const replica_info& aNewest,
                             time_point aNow) const;
  // Forgets the replies of replicas that lack what the old primary has told, so
  // that they are asked again.
  void ForgetOlderReplies();
  actions BeginPausing(time_point aNow);
  // Chooses the candidate once the replies prove that its log contains every
  // acknowledged commit.
  actions TryChoose(time_point aNow);
  // Chooses a candidate, or reverts, without the replies that are missing at
  // the time limit.
  actions ChooseAtTimeLimit(time_point aNow);
  // Whether the newest log of the replicas that replied is proved to contain
  // every acknowledged commit.
  bool IsProved(const replica_info& aNewest) const;
  actions Promote(const std::string& aCandidate, time_point aNow);
  actions Revert(time_point aNow);
  // Replica with the newest log among those that replied, preferably one that
  // is not draining; nullptr if none replied.
  const replica_info* NewestReplica() const;
  // Whether a log reaches the old primary's term and the positions that are
  // required.
  bool IsRecent(const log_position& aReceived) const;
  // The same for the log of a replica that replied.
  bool IsLogRecent(const replica_info& aReplica) const;
  // Whether the log of a replica that replied contains that of the old primary,
  // which has reported it after it was stepped down.
  bool ContainsFinalLog(const replica_info& aReplica) const;
  bool IsReplica(const std::string& aServer) const;
  // Lead term to store in a record with this phase and primary.
  std::uint64_t LeadTerm(primary_phase aPhase,
                         const std::string& aPrimary) const;
  bool AllReplicasReplied() const;
  // Whether the change can't go on without the log that the server had.
  bool NeedsLogOf(const std::string& aServer) const;
  // Whether the present step is waiting for the reply to this command.
  bool IsExpected(const std::string& aServer,
                  const server_command& aCommand) const;

  change_plan mPlan;
  change_step mStep = change_step::Probing;
  time_point mStepStartedAt;
  // When the commands of the present step were last sent.
  time_point mLastSentAt;
  std::uint64_t mTerm = 0;
  std::string mCandidate;
  // Whether this change has ordered the promotion itself.
  bool mOrdered = false;
  // Replies received in the present step, by server id.
  std::map<std::string, server_status> mReplies;
  // Whether a record of this change was written.
  bool mRecorded = false;
  // Position of the old primary's log when it confirmed that it was stepped
  // down. It acknowledges no commit after that.
  std::optional<log_position> mFinalPosition;
  // Position of its log when it was probed. A shorter log later on means that
  // it has started again without its log.
  log_position mProbedPosition;
  // Whether mPlan.mAcknowledgedPosition covers every acknowledged commit.
  bool mAcknowledgedKnown = false;
  bool mLogMissing = false;
  // Term in which the promoted candidate leads.
  std::uint64_t mCandidateTerm = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_PRIMARY_CHANGE_H_
