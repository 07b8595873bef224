// Decides when the primary of a service has to be replaced. Nobody reports that
// a primary is dead: the instances report what their statements show, and the
// holder of the duty confirms it with questions of its own.
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

// How an instance finds the primary of a service.
enum class primary_health
{
  // No statement says anything.
  NoTraffic,
  Answers,
  // Reads are answered, writes are not.
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
JudgeObservation(const server_observation& aObservation, time_point aNow);

enum class change_reason
{
  None,
  // The server is about to leave.
  Leaving,
  // It neither answers the instances nor the holder's own questions.
  Dead,
  // Many instances cannot reach it.
  CutOff,
  // Its commits are not confirmed by replicas.
  WritesStall,
  // It runs, but not as primary.
  LostRole,
  // No change was ever recorded, and no server calls itself primary.
  Unknown
};

inline constexpr name_table<change_reason, 7> kChangeReasonNames{ {
  { change_reason::None, "none" },
  { change_reason::Leaving, "leaving" },
  { change_reason::Dead, "dead" },
  { change_reason::CutOff, "cut_off" },
  { change_reason::WritesStall, "writes_stall" },
  { change_reason::LostRole, "lost_role" },
  { change_reason::Unknown, "unknown" },
} };

// What the holder's own questions show.
enum class probe_result
{
  None,
  Answered,
  Failed
};

class primary_monitor
{
public:
  // A report counts for this long.
  static constexpr milliseconds kReportLifetime{ 1'000 };

  void OnReport(const std::string& aInstance,
                primary_health aHealth,
                time_point aNow);
  // The primary as its registration shows it; nothing while it has none.
  void OnEntry(const std::optional<server_entry>& aEntry, time_point aNow);
  // No primary is recorded and no registered server calls itself primary.
  void OnUnknown(time_point aNow);
  void OnProbe(bool aAnswered, time_point aNow);
  // Starts anew, for another primary.
  void Reset(time_point aNow);

  // Whether the holder should ask the primary for its status now.
  bool WantsProbe(time_point aNow) const;
  change_reason Decide(time_point aNow) const;

private:
  struct report
  {
    primary_health mHealth = primary_health::NoTraffic;
    time_point mAt;
    // Since when the instance reports mHealth without interruption.
    time_point mSince;
  };

  // Fresh reports with a health, that was reported for at least `aFor`.
  int Count(primary_health aHealth, duration aFor, time_point aNow) const;

  std::map<std::string, report> mReports;
  std::optional<server_entry> mEntry;
  // Since when the entry is missing, or names another role.
  std::optional<time_point> mMissingSince;
  std::optional<time_point> mNotPrimarySince;
  // Since when no primary is known at all.
  std::optional<time_point> mUnknownSince;
  probe_result mProbe = probe_result::None;
  time_point mProbedAt = time_point::min();
  // Failed probes in a row.
  int mFailedProbes = 0;
  // No change is due before: the servers settle.
  time_point mQuietUntil = time_point::min();
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_PRIMARY_MONITOR_H_
