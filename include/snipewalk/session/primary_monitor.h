// Decides when the primary of a service has to be replaced. A failed primary is
// detected indirectly: the instances report how the primary handles their
// statements, and the holder of the failover duty verifies these reports with
// its own probes.
#ifndef SNIPEWALK_SESSION_PRIMARY_MONITOR_H_
#define SNIPEWALK_SESSION_PRIMARY_MONITOR_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/base/time.h"
#include "snipewalk/session/desired_state.h"
#include "snipewalk/session/session_engine.h"

#include <map>
#include <optional>
#include <string>

namespace snipewalk {

// Health of a primary as observed by one instance.
enum class primary_health
{
  // The server has sent no reply recently, and no statement has waited long
  // enough for one to indicate a failure.
  NoTraffic,
  Answers,
  // Reads are answered, but writes are not.
  WritesStall,
  Unreachable
};

inline constexpr name_table<primary_health, 4> kPrimaryHealthNames{ {
  { primary_health::NoTraffic, "no_traffic" },
  { primary_health::Answers, "answers" },
  { primary_health::WritesStall, "writes_stall" },
  { primary_health::Unreachable, "unreachable" },
} };

primary_health
ClassifyObservation(const server_observation& aObservation, time_point aNow);

enum class change_reason
{
  None,
  // The server is draining.
  Leaving,
  // Neither the instances nor the holder's probes get replies from the server.
  Dead,
  // At least two of the reporting instances, and at least a third of them,
  // cannot reach the server, although the holder's probes succeed.
  CutOff,
  // The server's commits are not confirmed by its replicas.
  WritesStall,
  // The server has started again without its log.
  Restarted,
  // The server is running, but not as primary; or an earlier change was
  // interrupted.
  LostRole,
  // No change was ever recorded, and no server reports itself as primary.
  Unknown
};

inline constexpr name_table<change_reason, 8> kChangeReasonNames{ {
  { change_reason::None, "none" },
  { change_reason::Leaving, "leaving" },
  { change_reason::Dead, "dead" },
  { change_reason::CutOff, "cut_off" },
  { change_reason::WritesStall, "writes_stall" },
  { change_reason::Restarted, "restarted" },
  { change_reason::LostRole, "lost_role" },
  { change_reason::Unknown, "unknown" },
} };

// Result of the duty holder's last probe.
enum class probe_result
{
  None,
  Answered,
  Failed
};

class primary_monitor
{
public:
  // How long a report or probe result remains valid.
  static constexpr milliseconds kReportLifetime{ 1'000 };

  void OnReport(const std::string& aInstance,
                primary_health aHealth,
                time_point aNow);
  // Handles the registration of the primary; std::nullopt while there is none.
  void OnEntry(const std::optional<registered_server>& aEntry, time_point aNow);
  // Called while no primary is recorded and no registered server reports itself
  // as primary.
  void OnPrimaryUnknown(time_point aNow);
  // Sets whether the primary has started again without its log since it was
  // recorded.
  void SetRestarted(bool aRestarted) { mRestarted = aRestarted; }
  void OnProbe(bool aAnswered, time_point aNow);
  // Discards all observations and starts a quiet period; called when the
  // primary has changed.
  void Reset(time_point aNow);

  // Whether the duty holder should probe the primary now.
  bool NeedsProbe(time_point aNow) const;
  change_reason Decide(time_point aNow) const;

private:
  struct report
  {
    primary_health mHealth = primary_health::NoTraffic;
    time_point mReceivedAt;
    // Since when the instance has reported mHealth without a gap.
    time_point mSince;
  };

  // Counts the instances whose last report is still valid and that have
  // reported `aHealth` for at least `aMinDuration`.
  int CountReports(primary_health aHealth,
                   duration aMinDuration,
                   time_point aNow) const;

  std::map<std::string, report> mReports;
  std::optional<registered_server> mEntry;
  // Since when the entry has been missing, and since when it has not reported
  // itself as primary.
  std::optional<time_point> mMissingSince;
  std::optional<time_point> mNotPrimarySince;
  // Since when no primary has been known.
  std::optional<time_point> mUnknownSince;
  bool mRestarted = false;
  probe_result mProbe = probe_result::None;
  time_point mProbedAt = time_point::min();
  // Number of consecutive failed probes.
  int mFailedProbes = 0;
  // End of the quiet period after a change. No other change is started before,
  // because the servers need time to take on their new roles.
  time_point mQuietUntil = time_point::min();
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_PRIMARY_MONITOR_H_
