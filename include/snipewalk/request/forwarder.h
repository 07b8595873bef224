// Chooses the instance that serves a request and settles requests whose peer
// fails. A state machine without I/O: one per traffic thread.
#ifndef SNIPEWALK_REQUEST_FORWARDER_H_
#define SNIPEWALK_REQUEST_FORWARDER_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/service_view.h"
#include "snipewalk/messages/statement.h"
#include "snipewalk/request/retry_budget.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

namespace snipewalk {

using forwarded_request = std::variant<statement_request, outcome_request>;

const std::string&
RequestIdOf(const forwarded_request& aRequest);
const std::string&
ServiceOf(const forwarded_request& aRequest);
time_point
DeadlineOf(const forwarded_request& aRequest);

// Give the request to this instance's own engine of the service.
struct serve_here
{
  forwarded_request mRequest;
};

// Send the request over the link to the peer; open the link if there is none.
struct send_to_peer
{
  std::string mPeer;
  std::string mAddress;
  forwarded_request mRequest;
};

// The final response; mRequestId is that of the submitted request.
struct finish_request
{
  statement_response mResponse;
};

using forwarder_action = std::variant<serve_here, send_to_peer, finish_request>;

struct forwarder_options
{
  std::string mInstance;
  std::string mDataCentre;
  // Attempts at holders, the first included.
  int mMaxTries = 3;
  // Requests that may wait at the same time for a holder to appear.
  std::size_t mWaitLimit = 1'000;
  std::uint64_t mSeed = 1;
};

// Each submitted request leads to exactly one finish_request. Attempts carry
// request ids of their own, so that a late response to an earlier attempt is
// recognised and ignored.
class forwarder
{
public:
  explicit forwarder(forwarder_options aOptions);

  void SetSnapshot(std::shared_ptr<const routing_snapshot> aSnapshot,
                   time_point aNow,
                   std::vector<forwarder_action>& aActions);

  // Precondition: mRequestId is unique among the pending requests.
  void Submit(forwarded_request aRequest,
              time_point aNow,
              std::vector<forwarder_action>& aActions);

  // The own engine or a peer answered an attempt.
  void OnResponse(statement_response aResponse,
                  time_point aNow,
                  std::vector<forwarder_action>& aActions);

  // A peer accepted a link: it may be used again at once.
  void OnPeerReady(const std::string& aPeer);

  // The link to a peer ended. `aWasReady` tells whether attempts may have
  // reached it.
  void OnPeerClosed(const std::string& aPeer,
                    bool aWasReady,
                    time_point aNow,
                    std::vector<forwarder_action>& aActions);

  void OnTimer(time_point aNow, std::vector<forwarder_action>& aActions);
  std::optional<time_point> NextTimer() const;

  std::size_t Pending() const { return mPending.size(); }
  // Attempts outstanding at peers, not at the own engine.
  std::size_t PendingAtPeers() const;

private:
  struct pending
  {
    forwarded_request mRequest;
    std::string mOriginalId;
    // Where the present attempt is; empty while the request waits.
    std::string mHolder;
    int mTries = 0;
    // An attempt whose effect is unknown was sent: the request may have run.
    bool mMayHaveRun = false;
    // The next attempt repeats one that may have run, and needs the budget.
    bool mIsRetry = false;
    // Holders that failed or refused this request.
    std::vector<std::string> mTried;
    // The last refusal; returned when no further attempt is possible.
    std::optional<statement_response> mRefusal;
    // A request without a usable holder waits until then at most.
    time_point mGiveUpAt;
    // Entry in mOverdue while the attempt is at a peer.
    std::optional<std::multimap<time_point, std::string>::iterator> mOverdue;
  };

  struct peer_record
  {
    std::size_t mOutstanding = 0;
    int mFailures = 0;
    time_point mAvoidUntil;
  };

  struct choice
  {
    std::string mHolder;
    // When no holder can be used now.
    refusal_reason mReason = refusal_reason::None;
    bool mMayWait = false;
  };

  choice Choose(const pending& aPending, time_point aNow) const;
  choice ChooseForTransaction(const statement_request& aStatement) const;
  choice ChooseHolder(const pending& aPending,
                      const service_view& aView,
                      time_point aNow) const;
  bool IsUsable(const std::string& aInstance, time_point aNow) const;
  // Lower is better: a lost route to the primary, suspicion, distance,
  // outstanding attempts, then a hash that spreads equal candidates.
  std::tuple<int, int, int, std::size_t, std::size_t> RankOf(
    const pending& aPending,
    const member_info& aMember,
    const service_view& aView) const;
  int DistanceTo(const member_info& aMember) const;
  void Dispatch(pending aPending,
                time_point aNow,
                std::vector<forwarder_action>& aActions);
  void Attempt(pending aPending,
               const std::string& aHolder,
               time_point aNow,
               std::vector<forwarder_action>& aActions);
  void WaitOrFinish(pending aPending,
                    const choice& aChoice,
                    time_point aNow,
                    std::vector<forwarder_action>& aActions);
  // Keeps the request until the next look at the holders or the budget.
  void Wait(pending aPending, time_point aUntil, time_point aNow);
  void SettleLost(pending aPending,
                  bool aSent,
                  time_point aNow,
                  std::vector<forwarder_action>& aActions);
  void Finish(const pending& aPending,
              statement_response aResponse,
              std::vector<forwarder_action>& aActions);
  // Ends an attempt; nothing when it is not outstanding.
  std::optional<pending> Take(const std::string& aAttemptId);
  // Tries waiting requests that are due by `aDue` again.
  void ResumeWaiting(time_point aDue,
                     time_point aNow,
                     std::vector<forwarder_action>& aActions);

  forwarder_options mOptions;
  std::shared_ptr<const routing_snapshot> mSnapshot;
  // Attempts at a holder, by attempt id.
  std::unordered_map<std::string, pending> mPending;
  // Requests without a usable holder, by time of the next try.
  std::multimap<time_point, pending> mWaiting;
  // Attempt ids by the time after which the holder is not waited for.
  std::multimap<time_point, std::string> mOverdue;
  std::map<std::string, peer_record> mPeers;
  retry_budget mBudget;
  std::mt19937_64 mRandom;
};

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_FORWARDER_H_
