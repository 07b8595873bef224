// Several instances with slot assignment, a lossy store and a lossy network in
// one process, for property tests. Membership views are made up and diverge.
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
  // Documents change slots and connections now and then.
  bool mChangeDocuments = false;
  // The store refuses writes above this rate.
  int mWritesPerSecond = 1'000'000;
  // Instances take turns in this many data centres; slots move between them,
  // sooner than by default when chaos is on.
  std::size_t mDataCentres = 0;
  std::uint64_t mSeed = 1;
};

class slot_model
{
public:
  explicit slot_model(const slot_model_options& aOptions);
  ~slot_model();

  // Advances the time by up to 100 ms, with faults while chaos is on.
  void Step();
  void SetChaos(bool aOn);
  // Ends the instances from `aFirst` on; all others and the platform's list
  // learn it at once.
  void Fail(std::size_t aFirst);

  // Connections to one server of a service that running processes may have.
  int OpenConnections(std::size_t aService) const;
  // Highest limit of a document that some running process still uses.
  int Limit(std::size_t aService) const;
  // Whether each slot of each service is held with its whole share.
  bool IsFull() const;
  std::uint64_t TakeOvers() const { return mTakeOvers; }
  std::uint64_t Crashes() const { return mCrashes; }
  // Slots released to better candidates by the running processes.
  std::uint64_t Moves() const;
  // Holders that share a data centre with another holder of the service.
  std::size_t SharedCentres() const;
  std::uint64_t Claims() const { return mClaims; }
  std::uint64_t RefusedWrites() const { return mRefusedWrites; }
  time_point Now() const { return mNow; }

private:
  struct node;
  class view;
  struct document
  {
    int mSlots = 0;
    int mConnections = 0;
    std::uint64_t mVersion = 0;
  };

  bool Chance(double aShare);
  milliseconds Below(int aMilliseconds);
  bool Connected(std::size_t aLeft, std::size_t aRight) const;
  void Start(std::size_t aNode);
  void End(std::size_t aNode);
  void Later(milliseconds aDelay, std::function<void()> aTask);
  void Give(std::size_t aNode, const slot_event& aEvent);
  void Carry(std::size_t aNode, const slot_action& aAction);
  void CallStore(std::size_t aNode, const slot_store_call& aCall);
  store_reply Execute(const store_request& aRequest);
  // Whether the store accepts the write at its rate.
  bool MayWrite();
  void CountChange(const std::string& aName, const std::string& aValue);
  void InjectFaults();
  void ChangeViews();
  void Spread();
  void ReportUse();
  placement_index Index(std::size_t aViewer) const;

  slot_model_options mOptions;
  std::mt19937_64 mRandom;
  time_point mNow{};
  bool mChaos = true;
  std::vector<std::unique_ptr<node>> mNodes;
  // Partition of each instance; the store belongs to mStoreGroup.
  std::vector<int> mGroups;
  int mStoreGroup = 0;
  bool mStoreDown = false;
  // A running instance that all others believe dead until the time is over.
  std::size_t mRumoured = 0;
  time_point mRumourUntil{};
  std::map<std::string, stored_object> mStore;
  std::uint64_t mRevision = 100;
  std::uint64_t mNextLife = 1;
  std::vector<document> mDocuments;
  std::multimap<time_point, std::function<void()>> mLater;
  std::uint64_t mTakeOvers = 0;
  std::uint64_t mCrashes = 0;
  std::uint64_t mClaims = 0;
  // Writes of the present tenth of a second.
  time_point mWritesSince{};
  int mWrites = 0;
  std::uint64_t mRefusedWrites = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_SLOT_MODEL_H_
