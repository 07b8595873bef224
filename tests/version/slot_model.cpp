// Implementation of the slot model.
#include "version/slot_model.h"

#include "version/slot_model_nodes.h"

#include <algorithm>

namespace snipewalk {

slot_model::slot_model(const slot_model_options& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mNow(std::chrono::hours(1))
  , mPartitions(aOptions.mInstances, 0)
{
  for (std::size_t i = 0; i < mOptions.mServices; ++i) {
    mDocuments.push_back(
      { mOptions.mSlots, mOptions.mConnections, ++mRevision });
  }
  for (std::size_t i = 0; i < mOptions.mInstances; ++i) {
    mNodes.push_back(std::make_unique<node>());
  }
  for (std::size_t i = 0; i < mOptions.mInstances; ++i) {
    Start(i);
  }
}

slot_model::~slot_model() = default;

bool
slot_model::Chance(double aProbability)
{
  return static_cast<double>(mRandom() % 1'000'000) < aProbability * 1'000'000;
}

milliseconds
slot_model::RandomDelay(int aMilliseconds)
{
  return milliseconds(mRandom() % static_cast<std::uint64_t>(aMilliseconds));
}

bool
slot_model::Connected(std::size_t aLeft, std::size_t aRight) const
{
  return mPartitions[aLeft] == mPartitions[aRight];
}

void
slot_model::Start(std::size_t aNode)
{
  node& started = *mNodes[aNode];
  started.mIncarnation = mNextIncarnation++;
  started.mRunning = true;
  auto fresh = std::make_unique<fleet_view>(*this, aNode);
  if (started.mView) {
    // What the platform's list showed to the previous process is still valid.
    fresh->mEnded = started.mView->mEnded;
  }
  started.mView = std::move(fresh);
  slot_options options;
  options.mInstance = NodeName(aNode);
  options.mLife = started.mIncarnation;
  options.mSeed = mRandom();
  started.mView->mStableSince = mNow;
  if (mFaultInjection) {
    options.mMoveSpacing = milliseconds(2'000);
    options.mMoveStableTime = milliseconds(500);
  }
  started.mSlots = std::make_unique<slot_assignment>(options, *started.mView);
  started.mDocuments.clear();
  started.mRecords.clear();
}

void
slot_model::Crash(std::size_t aNode)
{
  node& ended = *mNodes[aNode];
  ended.mRunning = false;
  ++mCrashes;
  const std::uint64_t incarnation = ended.mIncarnation;
  // Each instance receives the update of the platform's list after another
  // delay.
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    Schedule(milliseconds(1'000) + RandomDelay(20'000), [this, i, incarnation] {
      mNodes[i]->mView->mEnded.insert(incarnation);
      for (std::size_t other = 0; other < mNodes.size(); ++other) {
        Deliver(i, slot_member_changed{ NodeName(other) });
      }
    });
  }
}

void
slot_model::Schedule(milliseconds aDelay, std::function<void()> aTask)
{
  mScheduledTasks.emplace(mNow + aDelay, std::move(aTask));
}

void
slot_model::Deliver(std::size_t aNode, const slot_event& aEvent)
{
  node& receiver = *mNodes[aNode];
  if (!receiver.mRunning) {
    return;
  }
  std::vector<slot_action> actions;
  receiver.mSlots->Handle(aEvent, mNow, actions);
  for (const auto& action : actions) {
    PerformAction(aNode, action);
  }
}

void
slot_model::PerformAction(std::size_t aNode, const slot_action& aAction)
{
  if (const auto* call = std::get_if<slot_store_call>(&aAction)) {
    CallStore(aNode, *call);
    return;
  }
  const auto* send = std::get_if<send_slot_message>(&aAction);
  if (send == nullptr) {
    return;
  }
  const std::size_t to = NodeOf(send->mTo);
  // Some datagrams are lost, duplicated or delayed.
  const int copies = mFaultInjection && Chance(0.1)    ? 0
                     : mFaultInjection && Chance(0.05) ? 2
                                                       : 1;
  for (int i = 0; i < copies; ++i) {
    const milliseconds delay =
      mFaultInjection && Chance(0.03) ? RandomDelay(4'000) : RandomDelay(20);
    Schedule(delay, [this, aNode, to, message = send->mMessage] {
      if (Connected(aNode, to)) {
        Deliver(to, slot_message_received{ NodeName(aNode), message });
      }
    });
  }
}

void
slot_model::SetFaultInjection(bool aOn)
{
  mFaultInjection = aOn;
  if (aOn) {
    return;
  }
  mStoreDown = false;
  std::fill(mPartitions.begin(), mPartitions.end(), 0);
  mStorePartition = 0;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    if (!mNodes[i]->mRunning) {
      Start(i);
    }
  }
}

void
slot_model::Step()
{
  mNow += milliseconds(1) + RandomDelay(100);
  while (!mScheduledTasks.empty() && mScheduledTasks.begin()->first <= mNow) {
    auto task = std::move(mScheduledTasks.begin()->second);
    mScheduledTasks.erase(mScheduledTasks.begin());
    task();
  }
  if (mFaultInjection) {
    InjectFaults();
  }
  ChangeViews();
  PropagateUpdates();
  ReportUse();
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    const auto due = mNodes[i]->mSlots->NextTimer();
    if (mNodes[i]->mRunning && due && *due <= mNow) {
      Deliver(i, slot_timer{});
    }
  }
}

int
slot_model::OpenConnections(std::size_t aService) const
{
  int sum = 0;
  for (const auto& each : mNodes) {
    sum += each->mRunning ? each->mSlots->Share(ServiceName(aService)) : 0;
  }
  return sum;
}

int
slot_model::Limit(std::size_t aService) const
{
  int limit = 0;
  for (const auto& each : mNodes) {
    const auto used = each->mDocuments.find(aService);
    if (each->mRunning && used != each->mDocuments.end()) {
      limit = std::max(limit, used->second.mConnections);
    }
  }
  return limit;
}

bool
slot_model::AllSlotsHeld() const
{
  for (std::size_t i = 0; i < mDocuments.size(); ++i) {
    if (OpenConnections(i) != mDocuments[i].mConnections) {
      return false;
    }
  }
  return true;
}

} // namespace snipewalk
