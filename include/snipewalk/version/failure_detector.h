// Decides which backend servers of a service are suspected and whether its
// primary failed. A state machine without sockets, threads or clocks (question
// 11 of the design).
#ifndef SNIPEWALK_VERSION_FAILURE_DETECTOR_H_
#define SNIPEWALK_VERSION_FAILURE_DETECTOR_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/control_messages.h"
#include "snipewalk/request/service_engine.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace snipewalk {

using probe_id = std::uint64_t;

// Events -------------------------------------------------------------------

struct detector_configured
{
  // Servers to watch, by name.
  std::vector<std::string> mServers;
  // Empty while the term has no serving primary.
  std::string mPrimary;
  std::string mPrimaryAddress;
  std::uint64_t mTerm = 0;
  // Only a holder of a slot probes and reaches verdicts.
  bool mIsHolder = false;
  // Other holders of slots that are alive.
  std::vector<std::string> mOtherHolders;
  // Other live instances that hold no slot, the preferred ones first.
  std::vector<std::string> mOtherInstances;
  // Statuses are wanted at each probe interval, also while servers answer.
  bool mWatchPositions = false;
};

enum class probe_result
{
  Answered,
  // The connection was never established.
  Refused,
  // No answer in time, or the connection broke.
  Lost,
  // The server is alive, but closed the new connection because of its limit.
  Full
};

struct probe_done
{
  probe_id mProbe = 0;
  probe_result mResult = probe_result::Lost;
  // Identifies the connection that carried the probe.
  std::uint64_t mConnection = 0;
};

struct peer_message_received
{
  std::string mInstance;
  control_message mMessage;
};

struct detector_time_passed
{};

using detector_event = std::variant<detector_configured,
                                    report_evidence,
                                    probe_done,
                                    peer_message_received,
                                    detector_time_passed>;

// Actions ------------------------------------------------------------------

// Asks a server for its status. Exactly one probe_done follows, at the latest
// after `mTimeout`.
struct send_probe
{
  probe_id mProbe = 0;
  std::string mServer;
  // Set for a server that is not in this instance's document.
  std::string mAddress;
  // Use a new connection, also when one is open.
  bool mNewConnection = false;
  milliseconds mTimeout{ 0 };
};

struct send_peer_message
{
  std::string mInstance;
  control_message mMessage;
};

// Suspected() or PrimaryReachedBy() changed.
struct suspicion_changed
{};

// The primary of the term failed, or that no longer holds.
struct verdict_changed
{
  std::uint64_t mTerm = 0;
  bool mFailed = false;
};

using detector_action = std::
  variant<send_probe, send_peer_message, suspicion_changed, verdict_changed>;

struct detector_options
{
  std::string mService;
  // A server is probed when no answer was seen for this long.
  milliseconds mProbeInterval{ 100 };
  // Silence after which a server can be suspected.
  milliseconds mSilenceLimit{ 1'000 };
};

inline constexpr std::size_t kSilentProbes = 3;
inline constexpr std::size_t kSilentConnections = 2;
inline constexpr std::size_t kRefusedLimit = 2;
// Other instances have this long to report.
inline constexpr milliseconds kReportTime{ 300 };

class failure_detector
{
public:
  using actions = std::vector<detector_action>;

  explicit failure_detector(detector_options aOptions);

  // Least time between two probes of a server that gives no cause for concern,
  // where it is longer than the probe interval. Servers that fail to answer and
  // those of a drain are probed as often as before.
  void SetProbeSpacing(milliseconds aSpacing);

  // Applies one event and appends the actions that follow. Deliver
  // detector_time_passed every 20 ms; a gap above kPauseGap between two events
  // is a pause of the instance's own loop. `aNow` never goes back.
  void Handle(const detector_event& aEvent, time_point aNow, actions& aActions);

  // Sorted by name.
  std::vector<std::string> Suspected() const;

  // Other holders that reported the primary as reachable while this instance
  // suspects it: its own route is broken, not the primary. Empty otherwise.
  const std::set<std::string>& PrimaryReachedBy() const { return mReachedBy; }

  // Whether the primary of the present term is held to have failed.
  bool HasVerdict() const { return mVerdictAt.has_value(); }

private:
  // A refused connection, or a probe without answer.
  struct negative
  {
    time_point mAt;
    bool mRefused = false;
    // Zero for observations of traffic threads.
    std::uint64_t mConnection = 0;
    // The connection was opened after the last answer.
    bool mNewConnection = false;
  };

  struct server
  {
    // Last answer, or when the server was first watched, or the end of the
    // last pause.
    time_point mLastAnswer;
    time_point mLastProbeSent;
    // Failures since the last answer, oldest first.
    std::deque<negative> mNegatives;
    bool mSuspected = false;
    // A probe outstanding; at most one.
    std::optional<probe_id> mProbe;
    bool mProbeIsNew = false;
    // Probe again without waiting for the interval.
    bool mProbeSoon = false;
    // The next probe has to use a new connection.
    bool mWantNew = false;
    // Probes without answer in a row; sets the next timeout.
    std::size_t mUnanswered = 0;
    // Probes in a row that a server at its limit closed; sets the next gap.
    int mFull = 0;
  };

  // Queries of another instance that wait for the result of a probe.
  struct pending_report
  {
    std::string mInstance;
    primary_report_query mQuery;
    time_point mArrived;
  };

  // Asking the other instances about the primary.
  struct query_round
  {
    std::uint64_t mQuery = 0;
    std::set<std::string> mAsked;
    std::map<std::string, server_reachability> mReports;
    time_point mStarted;
  };

  void On(const detector_configured& aEvent, time_point aNow, actions& aOut);
  void On(const report_evidence& aEvent, time_point aNow, actions& aOut);
  void On(const probe_done& aEvent, time_point aNow, actions& aOut);
  void On(const peer_message_received& aEvent, time_point aNow, actions& aOut);
  void On(const detector_time_passed& aEvent, time_point aNow, actions& aOut);

  void ForgetEvidence(time_point aNow, actions& aOut);
  void NoteAnswer(const std::string& aServer, time_point aNow, actions& aOut);
  void NoteFailure(const std::string& aServer,
                   negative aFailure,
                   time_point aNow,
                   actions& aOut);
  void Evaluate(server& aState, time_point aNow, actions& aOut);
  bool HasEnoughEvidence(const server& aState, time_point aNow) const;

  void SendProbes(time_point aNow, actions& aOut);
  void SendProbe(const std::string& aServer,
                 const std::string& aAddress,
                 server& aState,
                 time_point aNow,
                 actions& aOut);
  duration ProbeGap(const std::string& aServer, const server& aState) const;

  void AnswerQuery(const std::string& aInstance,
                   const primary_report_query& aQuery,
                   time_point aNow,
                   actions& aOut);
  void SendReports(const std::string& aServer,
                   server_reachability aReachability,
                   actions& aOut);
  void AdvanceQuery(time_point aNow, actions& aOut);
  void StartQuery(time_point aNow, actions& aOut);
  // Whether the reports so far, and this instance's own view, are a majority.
  bool IsConfirmed() const;
  void SetVerdict(bool aFailed, time_point aNow, actions& aOut);
  void SetReachedBy(std::set<std::string> aHolders, actions& aOut);
  // Other holders that reported the primary as reachable in this round.
  std::set<std::string> ReachingHolders() const;

  detector_options mOptions;
  milliseconds mProbeSpacing{ 0 };
  detector_configured mConfig;
  std::map<std::string, server> mServers;
  // Servers probed only because another instance asked.
  std::map<std::string, server> mForeign;
  std::map<probe_id, std::string> mProbes;
  std::vector<pending_report> mPending;
  std::optional<query_round> mRound;
  time_point mNextRound;
  // The last round got no report at all: ask instances without a slot, too.
  bool mAskAll = false;
  // Empty while the primary is not suspected or a verdict holds.
  std::set<std::string> mReachedBy;
  std::optional<time_point> mVerdictAt;
  std::optional<time_point> mLastEvent;
  // Failures that are reported until then may date from before a pause.
  time_point mIgnoreFailuresUntil;
  std::uint64_t mNextId = 1;
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_FAILURE_DETECTOR_H_
