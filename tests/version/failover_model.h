// Model of the platform for tests of failover: one store object, backend
// servers with logs, a network that loses, delays and duplicates, and several
// orderers. Checks the guarantees at each promotion.
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
  // The log agrees with the primary's; only then a wait is confirmed.
  bool mMatched = false;
  std::vector<model_entry> mLog;

  server_status Status(const std::string& aName) const;
  backend_reply Fence(const std::string& aName, std::uint64_t aTerm);
  backend_reply Promote(const std::string& aName, std::uint64_t aTerm);
  backend_reply Follow(const std::string& aName, const backend_follow& aFollow);
  void ReplicateFrom(const model_server& aPrimary, std::size_t aEntries);
};

// A write whose confirmations arrive one by one.
struct model_write
{
  std::size_t mOrderer = 0;
  std::uint64_t mTerm = 0;
  std::string mPrimary;
  std::vector<std::string> mVoters;
  // Position in the log, from 1.
  std::size_t mIndex = 0;
  model_entry mEntry;
  std::set<std::string> mConfirmed;
};

class failover_model
{
public:
  failover_model(std::uint64_t aSeed,
                 const std::vector<std::string>& aServers,
                 std::size_t aOrderers);

  // Moves the time on and delivers what is due.
  void Run(milliseconds aTime);
  // One random disturbance or ordinary event.
  void RandomStep();
  // Ends all disturbances: everything is up and connected.
  void Heal();
  // Reports a server that is down or cut off, as the failure detector would.
  void Detect();
  void Replicate();
  void Write(std::size_t aOrderer);
  void Confirm();

  void Deliver(std::size_t aOrderer, const failover_event& aEvent);
  bool Chance(int aPercent);
  std::size_t Below(std::size_t aLimit);

  time_point mNow = time_point(seconds(1'000));
  std::mt19937_64 mRandom;
  service_document mDocument;
  std::map<std::string, model_server> mServers;
  std::vector<std::unique_ptr<failover>> mOrderers;
  std::vector<bool> mPaused;

  // Store.
  std::optional<term_record> mRecord;
  std::uint64_t mVersion = 0;
  bool mStoreUp = true;
  int mLostAnswerPercent = 0;
  // Fails each store call without effect.
  int mRefusedPercent = 0;
  bool mStoreSilentToCache = false;

  // Network.
  int mLossPercent = 0;
  milliseconds mDelay{ 2 };
  milliseconds mStoreDelay{ 4 };
  // Pairs (orderer, server) without connection.
  std::set<std::pair<std::size_t, std::string>> mCut;

  // Findings.
  std::map<std::uint64_t, std::string> mPromoted;
  std::vector<std::pair<std::size_t, model_entry>> mAcknowledged;
  std::vector<std::string> mViolations;
  std::size_t mPromotions = 0;
  // Called before a store write; true drops it as an outage would.
  std::function<bool(const write_term&)> mBeforeWrite;

private:
  void RandomServerStep();
  void RandomStoreStep();
  void RandomOrder();
  void Later(milliseconds aAfter, std::function<void()> aWork);
  milliseconds Jittered(milliseconds aTime);
  void Perform(std::size_t aOrderer, const failover_action& aAction);
  void Perform(std::size_t aOrderer, const read_term& aAction);
  void Perform(std::size_t aOrderer, const write_term& aAction);
  void Perform(std::size_t aOrderer, const send_to_server& aAction);
  void Apply(std::size_t aOrderer, const write_term& aAction);
  void Probe();
  void Disseminate();
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
