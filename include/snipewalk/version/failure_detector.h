// Decides which backend servers of a service are suspected and whether its
// primary failed. This is a pure state machine: it opens no sockets, starts no
// threads and reads no clock (question 11 of the design).
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
  // Names of the servers to monitor.
  std::vector<std::string> mServers;
  // Name of the primary; empty while the term has no serving primary.
  std::string mPrimary;
  std::string mPrimaryAddress;
  std::uint64_t mTerm = 0;
  // Whether this instance holds a slot of the service. Only slot holders probe
  // the servers regularly and reach verdicts.
  bool mIsHolder = false;
  // Other live instances that hold a slot of the service.
  std::vector<std::string> mOtherHolders;
  // Other live instances that hold no slot, in order of preference.
  std::vector<std::string> mOtherInstances;
  // Whether to probe at each probe interval, to refresh the servers' log
  // positions, even while the servers answer other traffic.
  bool mRefreshPositions = false;
};

enum class probe_result
{
  // The server returned its status.
  Answered,
  // The connection was never established.
  Refused,
  // No answer arrived in time, or the connection broke.
  Lost,
  // The server is alive but closed the new connection because it is at its
  // connection limit.
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

// Requests a server's status. The caller answers with exactly one probe_done,
// at the latest after `mTimeout`.
struct send_probe
{
  probe_id mProbe = 0;
  std::string mServer;
  // Address to probe, set only for a server that this instance does not monitor
  // itself.
  std::string mAddress;
  // Whether to use a new connection even if one is open.
  bool mNewConnection = false;
  milliseconds mTimeout{ 0 };
};

struct send_peer_message
{
  std::string mInstance;
  control_message mMessage;
};

// The value of failure_detector::Suspected() or PrimaryReachedBy() changed.
struct suspicion_changed
{};

// The verdict that the primary of the term failed was reached (`mFailed` is
// true) or withdrawn.
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
  // A server is probed when it has not answered any request for this long.
  milliseconds mProbeInterval{ 100 };
  // Least time without an answer after which unanswered probes can make a
  // server suspected. Refused connections can do so earlier.
  milliseconds mSilenceLimit{ 1'000 };
};

// Unanswered probes that are needed to suspect a silent server.
inline constexpr std::size_t kMinUnansweredProbes = 3;
// Least number of different connections among the failures of a silent server
// that make it suspected. At least one of its probes must have asked for a new
// connection.
inline constexpr std::size_t kMinUnansweredConnections = 2;
// Refused connections that are sufficient to suspect a server.
inline constexpr std::size_t kMinRefusedConnections = 2;
// Time that other instances have to report whether they reach the primary.
inline constexpr milliseconds kReportTimeout{ 300 };

class failure_detector
{
public:
  using actions = std::vector<detector_action>;

  explicit failure_detector(detector_options aOptions);

  // Sets the least time between two probes of a server that shows no failure,
  // if it is longer than the probe interval. It does not affect suspected
  // servers, servers with recent failures, or detectors that are configured
  // with mRefreshPositions, as during a drain.
  void SetProbeSpacing(milliseconds aSpacing);

  // Applies one event and appends the resulting actions to `aActions`. The
  // caller delivers detector_time_passed every 20 ms: a gap above
  // kPauseThreshold between two events is taken for a pause of the instance's
  // own event loop. `aNow` must not decrease between calls.
  void Handle(const detector_event& aEvent, time_point aNow, actions& aActions);

  // Names of the suspected servers, sorted.
  std::vector<std::string> Suspected() const;

  // Other slot holders that reported the primary as reachable while this
  // instance suspects it. If there are any, this instance's route to the
  // primary is broken rather than the primary. Empty otherwise.
  const std::set<std::string>& PrimaryReachedBy() const
  {
    return mHoldersReachingPrimary;
  }

  // Whether the verdict that the primary of the current term failed is in
  // force.
  bool HasVerdict() const { return mVerdictAt.has_value(); }

private:
  // A refused connection or an unanswered probe.
  struct probe_failure
  {
    time_point mAt;
    bool mRefused = false;
    // Connection that carried the probe; zero for failures that the traffic
    // threads reported.
    std::uint64_t mConnection = 0;
    // Whether the probe asked for a new connection. Always true for reports of
    // the traffic threads, which are refused connections.
    bool mNewConnection = false;
  };

  struct server
  {
    // Time of the last answer, of the start of monitoring, or of the end of the
    // last pause of the event loop, whichever is latest.
    time_point mLastAnswer;
    time_point mLastProbeSent;
    // Failures since the last answer and within kMaxEvidenceAge, oldest first.
    std::deque<probe_failure> mFailures;
    bool mSuspected = false;
    // The outstanding probe, if any; at most one per server.
    std::optional<probe_id> mProbe;
    // Whether the last probe sent asked for a new connection.
    bool mProbeUsesNewConnection = false;
    // Whether to probe again without waiting for the probe interval.
    bool mProbeSoon = false;
    // Whether the next probe must use a new connection.
    bool mNextProbeNeedsNewConnection = false;
    // Number of consecutive unanswered probes; it determines the timeout of the
    // next probe.
    std::size_t mConsecutiveUnanswered = 0;
    // Number of consecutive probes that the server rejected because it was at
    // its connection limit; it determines the time until the next probe.
    int mConsecutiveFull = 0;
  };

  // A query of another instance that waits for the result of a probe.
  struct pending_report
  {
    std::string mInstance;
    primary_report_query mQuery;
    time_point mArrived;
  };

  // A round of queries that asks other instances whether they reach the
  // primary.
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

  void ResetEvidence(time_point aNow, actions& aOut);
  void RecordAnswer(const std::string& aServer, time_point aNow, actions& aOut);
  void RecordFailure(const std::string& aServer,
                     probe_failure aFailure,
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
  duration MinProbeInterval(const std::string& aServer,
                            const server& aState) const;

  void AnswerQuery(const std::string& aInstance,
                   const primary_report_query& aQuery,
                   time_point aNow,
                   actions& aOut);
  void SendReports(const std::string& aServer,
                   server_reachability aReachability,
                   actions& aOut);
  void AdvanceQuery(time_point aNow, actions& aOut);
  void StartQuery(time_point aNow, actions& aOut);
  // Whether the reports received so far and this instance's own suspicion form
  // a majority for the failure of the primary.
  bool IsConfirmed() const;
  void SetVerdict(bool aFailed, time_point aNow, actions& aOut);
  void SetHoldersReachingPrimary(std::set<std::string> aHolders, actions& aOut);
  // Other slot holders that reported the primary as reachable in the current
  // round of queries.
  std::set<std::string> HoldersReachingPrimary() const;

  detector_options mOptions;
  milliseconds mProbeSpacing{ 0 };
  detector_configured mConfig;
  std::map<std::string, server> mServers;
  // Servers that are not monitored here but probed because another instance
  // asked for a report on them.
  std::map<std::string, server> mProbedForPeers;
  std::map<probe_id, std::string> mProbes;
  std::vector<pending_report> mPending;
  std::optional<query_round> mQueryRound;
  time_point mNextQueryRoundAt;
  // Whether the next round also asks instances without a slot, because the last
  // round received no report at all.
  bool mAskInstancesWithoutSlot = false;
  // Value of PrimaryReachedBy(); emptied when the primary answers or changes,
  // when the verdict is reached, and after a pause of the event loop.
  std::set<std::string> mHoldersReachingPrimary;
  // Time at which the verdict was last reached; empty while there is none.
  std::optional<time_point> mVerdictAt;
  std::optional<time_point> mLastEvent;
  // Failures reported before this time are ignored, because they may have been
  // observed before a pause of the event loop.
  time_point mIgnoreFailuresUntil;
  std::uint64_t mNextId = 1;
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_FAILURE_DETECTOR_H_
