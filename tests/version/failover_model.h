// Model of the platform for tests of failover: a store with one term record,
// backend servers with logs, a network that loses, delays and duplicates
// messages, and several instances that run failover. At each promotion, the
// model checks the guarantees of failover.
#ifndef SNIPEWALK_TESTS_VERSION_FAILOVER_MODEL_H_
#define SNIPEWALK_TESTS_VERSION_FAILOVER_MODEL_H_

#include "snipewalk/version/failover.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipewalk {

struct model_entry
{
  std::uint64_t mTerm = 0;
  std::uint64_t mId = 0;

  bool operator==(const model_entry&) const = default;
};

struct model_server
{
  bool mUp = true;
  std::uint64_t mTerm = 0;
  server_role mRole = server_role::Replica;
  std::string mPrimary;
  // Whether the log agrees with the primary's because entries were replicated
  // in this term. A backend_wait request succeeds only then.
  bool mMatched = false;
  std::vector<model_entry> mLog;

  server_status Status(const std::string& aName) const;
  backend_reply Fence(const std::string& aName, std::uint64_t aTerm);
  backend_reply Promote(const std::string& aName, std::uint64_t aTerm);
  backend_reply Follow(const std::string& aName, const backend_follow& aFollow);
  void ReplicateFrom(const model_server& aPrimary, std::size_t aEntries);
};

// A write that the voters confirm one by one.
struct model_write
{
  std::size_t mInstance = 0;
  std::uint64_t mTerm = 0;
  std::string mPrimary;
  std::vector<std::string> mVoters;
  // Position in the log, starting at 1.
  std::size_t mIndex = 0;
  model_entry mEntry;
  std::set<std::string> mConfirmed;
};

class failover_model
{
public:
  failover_model(std::uint64_t aSeed,
                 const std::vector<std::string>& aServers,
                 std::size_t aInstances);

  // Advances the model's time and runs the events that become due.
  void Run(milliseconds aTime);
  // Injects one random fault or performs one ordinary operation.
  void RandomStep();
  // Removes all faults: everything is up, connected and not paused.
  void RemoveFaults();
  // Tells each instance whether its primary is down or unreachable, as the
  // failure detector would.
  void DetectFailures();
  // Copies some log entries from the primaries to their replicas.
  void Replicate();
  // Appends an entry to the primary's log if the instance knows a serving one.
  void Write(std::size_t aInstance);
  // Lets voters confirm writes and acknowledges those with a majority.
  void ConfirmWrites();

  void Deliver(std::size_t aInstance, const failover_event& aEvent);
  bool RandomChance(int aPercent);
  std::size_t RandomBelow(std::size_t aLimit);

  time_point mNow = time_point(seconds(1'000));
  std::mt19937_64 mRandom;
  service_document mDocument;
  std::map<std::string, model_server> mServers;
  std::vector<std::unique_ptr<failover>> mInstances;
  std::vector<bool> mPaused;

  // State and faults of the store.
  std::optional<term_record> mRecord;
  std::uint64_t mVersion = 0;
  bool mStoreUp = true;
  int mLostAnswerPercent = 0;
  // Percentage of store writes that are refused without effect.
  int mRefusedPercent = 0;
  // Whether the instances are not told about changes of the record.
  bool mStoreNotificationsLost = false;

  // Delays and faults of the network.
  int mLossPercent = 0;
  milliseconds mDelay{ 2 };
  milliseconds mStoreDelay{ 4 };
  // Pairs (instance, server) that cannot reach each other.
  std::set<std::pair<std::size_t, std::string>> mUnreachable;

  // Results: the promoted server of each term, the acknowledged entries with
  // their log positions, violated guarantees and the number of promotions.
  std::map<std::uint64_t, std::string> mPromoted;
  std::vector<std::pair<std::size_t, model_entry>> mAcknowledged;
  std::vector<std::string> mViolations;
  std::size_t mPromotions = 0;
  // Called before each store write. If it returns true, the write is dropped as
  // in a store outage.
  std::function<bool(const write_term&)> mBeforeWrite;

private:
  void RandomServerStep();
  void RandomStoreStep();
  void RandomFailoverEvent();
  void Schedule(milliseconds aAfter, std::function<void()> aWork);
  milliseconds Jittered(milliseconds aTime);
  void Perform(std::size_t aInstance, const failover_action& aAction);
  void Perform(std::size_t aInstance, const read_term& aAction);
  void Perform(std::size_t aInstance, const write_term& aAction);
  void Perform(std::size_t aInstance, const send_to_server& aAction);
  void Apply(std::size_t aInstance, const write_term& aAction);
  void Probe();
  void NotifyInstances();
  void CheckPromotion(const std::string& aServer, std::uint64_t aTerm);
  std::optional<backend_reply> Execute(const std::string& aServer,
                                       const backend_request& aRequest);

  std::multimap<time_point, std::function<void()>> mQueue;
  std::vector<model_write> mWrites;
  std::uint64_t mNextId = 1;
  time_point mNextProbe;
  time_point mNextTick;
};

} // namespace snipewalk

#endif // SNIPEWALK_TESTS_VERSION_FAILOVER_MODEL_H_
