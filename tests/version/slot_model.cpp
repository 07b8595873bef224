// Implementation of the slot model.
#include "version/slot_model.h"

#include "version/slot_model_nodes.h"

#include <algorithm>

namespace snipewalk {

slot_model::slot_model(const slot_model_options& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mNow(std::chrono::hours(1))
  , mGroups(aOptions.mInstances, 0)
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
slot_model::Chance(double aShare)
{
  return static_cast<double>(mRandom() % 1'000'000) < aShare * 1'000'000;
}

milliseconds
slot_model::Below(int aMilliseconds)
{
  return milliseconds(mRandom() % static_cast<std::uint64_t>(aMilliseconds));
}

bool
slot_model::Connected(std::size_t aLeft, std::size_t aRight) const
{
  return mGroups[aLeft] == mGroups[aRight];
}

void
slot_model::Start(std::size_t aNode)
{
  node& started = *mNodes[aNode];
  started.mLife = mNextLife++;
  started.mRunning = true;
  auto fresh = std::make_unique<view>(*this, aNode);
  if (started.mView) {
    // What the platform's list showed to the previous process is still valid.
    fresh->mEnded = started.mView->mEnded;
  }
  started.mView = std::move(fresh);
  slot_options options;
  options.mInstance = NodeName(aNode);
  options.mLife = started.mLife;
  options.mSeed = mRandom();
  started.mView->mStable = mNow;
  if (mChaos) {
    options.mMoveSpacing = milliseconds(2'000);
    options.mMoveStableTime = milliseconds(500);
  }
  started.mSlots = std::make_unique<slot_assignment>(options, *started.mView);
  started.mDocuments.clear();
  started.mRecords.clear();
}

void
slot_model::End(std::size_t aNode)
{
  node& ended = *mNodes[aNode];
  ended.mRunning = false;
  ++mCrashes;
  const std::uint64_t life = ended.mLife;
  // Each instance receives the update of the platform's list after another
  // delay.
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    Later(milliseconds(1'000) + Below(20'000), [this, i, life] {
      mNodes[i]->mView->mEnded.insert(life);
      for (std::size_t other = 0; other < mNodes.size(); ++other) {
        Give(i, slot_member_changed{ NodeName(other) });
      }
    });
  }
}

void
slot_model::Later(milliseconds aDelay, std::function<void()> aTask)
{
  mLater.emplace(mNow + aDelay, std::move(aTask));
}

void
slot_model::Give(std::size_t aNode, const slot_event& aEvent)
{
  node& receiver = *mNodes[aNode];
  if (!receiver.mRunning) {
    return;
  }
  std::vector<slot_action> actions;
  receiver.mSlots->Handle(aEvent, mNow, actions);
  for (const auto& action : actions) {
    Carry(aNode, action);
  }
}

void
slot_model::Carry(std::size_t aNode, const slot_action& aAction)
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
  const int copies = mChaos && Chance(0.1) ? 0 : mChaos && Chance(0.05) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const milliseconds delay =
      mChaos && Chance(0.03) ? Below(4'000) : Below(20);
    Later(delay, [this, aNode, to, message = send->mMessage] {
      if (Connected(aNode, to)) {
        Give(to, slot_message_received{ NodeName(aNode), message });
      }
    });
  }
}

void
slot_model::SetChaos(bool aOn)
{
  mChaos = aOn;
  if (aOn) {
    return;
  }
  mStoreDown = false;
  std::fill(mGroups.begin(), mGroups.end(), 0);
  mStoreGroup = 0;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    if (!mNodes[i]->mRunning) {
      Start(i);
    }
  }
}

void
slot_model::Step()
{
  mNow += milliseconds(1) + Below(100);
  while (!mLater.empty() && mLater.begin()->first <= mNow) {
    auto task = std::move(mLater.begin()->second);
    mLater.erase(mLater.begin());
    task();
  }
  if (mChaos) {
    InjectFaults();
  }
  ChangeViews();
  Spread();
  ReportUse();
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    const auto due = mNodes[i]->mSlots->NextTimer();
    if (mNodes[i]->mRunning && due && *due <= mNow) {
      Give(i, slot_timer{});
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
slot_model::IsFull() const
{
  for (std::size_t i = 0; i < mDocuments.size(); ++i) {
    if (OpenConnections(i) != mDocuments[i].mConnections) {
      return false;
    }
  }
  return true;
}

} // namespace snipewalk
