// Simulation for property tests: several instances with slot assignment, a
// lossy store and a lossy network in one process. The membership views of the
// instances are random and differ.
#ifndef SNIPEWALK_VERSION_SLOT_MODEL_H_
#define SNIPEWALK_VERSION_SLOT_MODEL_H_

#include "snipewalk/version/slot_assignment.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace snipewalk {

struct slot_model_options
{
  std::size_t mInstances = 6;
  std::size_t mServices = 2;
  int mSlots = 3;
  int mConnections = 20;
  // Whether service documents with other numbers of slots and connections are
  // put in force at random times.
  bool mChangeDocuments = false;
  // Maximum rate of writes; the store refuses writes above it.
  int mWritesPerSecond = 1'000'000;
  // Number of data centres, to which the instances are assigned in turn. If not
  // zero, slots move between instances, with shorter delays than the default
  // while faults are injected.
  std::size_t mDataCentres = 0;
  std::uint64_t mSeed = 1;
};

class slot_model
{
public:
  explicit slot_model(const slot_model_options& aOptions);
  ~slot_model();

  // Advances the time by up to 100 ms. Injects faults unless
  // SetFaultInjection(false) was called.
  void Step();
  // Turns the injection of faults on or off. Turning it off ends all faults and
  // restarts the instances that are not running.
  void SetFaultInjection(bool aOn);
  // Stops the instances from index `aFirst` on. The membership views of all
  // others and the platform's list show this immediately.
  void FailFrom(std::size_t aFirst);

  // Number of connections to one server of the service that all running
  // processes may have open.
  int OpenConnections(std::size_t aService) const;
  // Highest connection limit among the documents that running processes use.
  int Limit(std::size_t aService) const;
  // Whether each slot of each service is held with its whole share.
  bool AllSlotsHeld() const;
  std::uint64_t TakeOvers() const { return mTakeOvers; }
  std::uint64_t Crashes() const { return mCrashes; }
  // Number of slots that the current processes released to better candidates.
  std::uint64_t Moves() const;
  // Number of holders in a data centre that already has another holder of the
  // same service.
  std::size_t HoldersSharingDataCentre() const;
  std::uint64_t Claims() const { return mClaims; }
  std::uint64_t RefusedWrites() const { return mRefusedWrites; }
  time_point Now() const { return mNow; }

private:
  struct node;
  class fleet_view;
  struct document
  {
    int mSlots = 0;
    int mConnections = 0;
    std::uint64_t mVersion = 0;
  };

  bool Chance(double aProbability);
  milliseconds RandomDelay(int aMilliseconds);
  bool Connected(std::size_t aLeft, std::size_t aRight) const;
  void Start(std::size_t aNode);
  void Crash(std::size_t aNode);
  void Schedule(milliseconds aDelay, std::function<void()> aTask);
  void Deliver(std::size_t aNode, const slot_event& aEvent);
  void PerformAction(std::size_t aNode, const slot_action& aAction);
  void CallStore(std::size_t aNode, const slot_store_call& aCall);
  store_reply Execute(const store_request& aRequest);
  // Counts a write and returns whether the rate limit of the store allows it.
  bool MayWrite();
  void CountChange(const std::string& aName, const std::string& aValue);
  void InjectFaults();
  void ChangeViews();
  void PropagateUpdates();
  void ReportUse();
  placement_index Index(std::size_t aViewer) const;

  slot_model_options mOptions;
  std::mt19937_64 mRandom;
  time_point mNow{};
  bool mFaultInjection = true;
  std::vector<std::unique_ptr<node>> mNodes;
  // Network partition of each instance; the store is in mStorePartition.
  std::vector<int> mPartitions;
  int mStorePartition = 0;
  bool mStoreDown = false;
  // Until mFalseSuspicionUntil, all other instances believe this instance dead.
  std::size_t mFalselySuspected = 0;
  time_point mFalseSuspicionUntil{};
  std::map<std::string, stored_object> mStore;
  std::uint64_t mRevision = 100;
  std::uint64_t mNextIncarnation = 1;
  std::vector<document> mDocuments;
  std::multimap<time_point, std::function<void()>> mScheduledTasks;
  std::uint64_t mTakeOvers = 0;
  std::uint64_t mCrashes = 0;
  std::uint64_t mClaims = 0;
  // Start of the current interval of 100 ms and number of writes in it.
  time_point mWritesSince{};
  int mWrites = 0;
  std::uint64_t mRefusedWrites = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_SLOT_MODEL_H_
