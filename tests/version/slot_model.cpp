// Implementation of the model of slots.
#include "version/slot_model.h"

#include "snipewalk/version/term_record.h"

#include <algorithm>
#include <set>

namespace snipewalk {

namespace {

std::string
ServiceName(std::size_t aService)
{
  return "service" + std::to_string(aService);
}

std::string
NodeName(std::size_t aNode)
{
  return "instance" + std::to_string(aNode);
}

std::size_t
NodeOf(const std::string& aName)
{
  return static_cast<std::size_t>(
    std::stoul(aName.substr(std::string("instance").size())));
}

// The store client reports an outcome after this time at the latest.
constexpr int kStoreTimeoutMs = 2'000;

} // namespace

class slot_model::view : public slot_fleet
{
public:
  view(const slot_model& aModel, std::size_t aSelf)
    : mModel(aModel)
    , mSelf(aSelf)
  {
  }
  holder_liveness Liveness(const slot_record::holder& aHolder) const override;
  std::size_t Rank(const std::string& aService,
                   const std::vector<std::string>& aExcluded) const override;
  std::string AddressOf(const std::string& aInstance) const override
  {
    return aInstance;
  }

  // Beliefs that may be wrong.
  std::set<std::size_t> mBelievedDead;
  // Lives known to have ended; always true.
  std::set<std::uint64_t> mEnded;

private:
  const slot_model& mModel;
  std::size_t mSelf;
};

struct slot_model::node
{
  std::uint64_t mLife = 0;
  bool mRunning = false;
  std::unique_ptr<view> mView;
  std::unique_ptr<slot_assignment> mSlots;
  // Version of each service's document and record that it was given.
  std::map<std::size_t, document> mDocuments;
  std::map<std::string, std::uint64_t> mRecords;
};

holder_liveness
slot_model::view::Liveness(const slot_record::holder& aHolder) const
{
  if (mEnded.contains(aHolder.mIncarnation)) {
    return holder_liveness::Gone;
  }
  const std::size_t other = NodeOf(aHolder.mInstance);
  if (other == mSelf) {
    return aHolder.mIncarnation == mModel.mNodes[mSelf]->mLife
             ? holder_liveness::Live
             : holder_liveness::Gone;
  }
  return mBelievedDead.contains(other) ? holder_liveness::Dead
                                       : holder_liveness::Live;
}

std::size_t
slot_model::view::Rank(const std::string& aService,
                       const std::vector<std::string>& aExcluded) const
{
  const auto hash = [&](std::size_t aNode) {
    return std::hash<std::string>{}(aService + NodeName(aNode));
  };
  std::size_t rank = 0;
  for (std::size_t i = 0; i < mModel.mNodes.size(); ++i) {
    if (i != mSelf && !mBelievedDead.contains(i) && hash(i) > hash(mSelf) &&
        std::find(aExcluded.begin(), aExcluded.end(), NodeName(i)) ==
          aExcluded.end()) {
      ++rank;
    }
  }
  return rank;
}

slot_model::slot_model(slot_model_options aOptions)
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
    // The platform's list stays true for the next process.
    fresh->mEnded = started.mView->mEnded;
  }
  started.mView = std::move(fresh);
  slot_options options;
  options.mInstance = NodeName(aNode);
  options.mLife = started.mLife;
  options.mSeed = mRandom();
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
  // The platform's list lags differently for each instance.
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
  // Some datagrams are lost, some doubled, some late.
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
slot_model::CallStore(std::size_t aNode, const slot_store_call& aCall)
{
  const std::uint64_t life = mNodes[aNode]->mLife;
  const auto answer = [this, aNode, life, operation = aCall.mOperation](
                        milliseconds aDelay, store_reply aReply) {
    Later(aDelay, [this, aNode, life, operation, aReply] {
      if (mNodes[aNode]->mLife == life) {
        Give(aNode, slot_store_answered{ operation, aReply });
      }
    });
  };
  if (mStoreDown || mGroups[aNode] != mStoreGroup) {
    answer(Below(kStoreTimeoutMs),
           { Chance(0.5) ? store_status::Refused : store_status::Unknown,
             {},
             0,
             {} });
    return;
  }
  if (mChaos && Chance(0.05)) {
    answer(Below(50), { store_status::RateLimited, {}, 0, {} });
    return;
  }
  const bool requestLost = mChaos && Chance(0.05);
  const bool answerLost = mChaos && Chance(0.1);
  const milliseconds delay =
    mChaos && Chance(0.1) ? Below(kStoreTimeoutMs - 100) : Below(10);
  if (requestLost || answerLost) {
    answer(milliseconds(kStoreTimeoutMs), { store_status::Unknown, {}, 0, {} });
  }
  if (requestLost) {
    return;
  }
  Later(delay, [this, answerLost, answer, request = aCall.mRequest] {
    const store_reply reply = Execute(request);
    if (!answerLost) {
      answer(Below(10), reply);
    }
  });
}

store_reply
slot_model::Execute(const store_request& aRequest)
{
  const auto* put = std::get_if<store_put>(&aRequest);
  const object_key& key =
    put != nullptr ? put->mKey : std::get<store_get>(aRequest).mKey;
  const auto found = mStore.find(key.mName);
  const std::uint64_t version =
    found == mStore.end() ? 0 : found->second.mVersion;
  if (put == nullptr) {
    return version == 0
             ? store_reply{ store_status::NotFound, {}, mRevision, {} }
             : store_reply{
                 store_status::Ok, { found->second }, mRevision, {}
               };
  }
  if (put->mExpectedVersion != version) {
    return { store_status::Conflict,
             version == 0 ? std::vector<stored_object>{}
                          : std::vector<stored_object>{ found->second },
             mRevision,
             {} };
  }
  CountChange(key.mName, put->mValue);
  stored_object object{ key, ++mRevision, false, put->mValue };
  mStore.insert_or_assign(key.mName, object);
  return { store_status::Ok, { object }, mRevision, {} };
}

void
slot_model::CountChange(const std::string& aName, const std::string& aValue)
{
  const auto after = DecodeSlotRecord(aValue);
  const auto found = mStore.find(aName);
  const auto before = found == mStore.end()
                        ? slot_record{}
                        : *DecodeSlotRecord(found->second.mValue);
  for (std::size_t i = 0; i < after->mHolders.size(); ++i) {
    const auto& holder = after->mHolders[i];
    if (holder.mInstance.empty()) {
      continue;
    }
    const bool occupied =
      i < before.mHolders.size() && !before.mHolders[i].mInstance.empty();
    if (!occupied) {
      ++mClaims;
    } else if (before.mHolders[i].mIncarnation != holder.mIncarnation) {
      ++mTakeOvers;
    }
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
slot_model::InjectFaults()
{
  if (Chance(0.002)) {
    // Partition into up to three groups, or heal.
    const int groups = static_cast<int>(1 + mRandom() % 3);
    for (auto& group : mGroups) {
      group = static_cast<int>(mRandom() % static_cast<unsigned>(groups));
    }
    mStoreGroup = static_cast<int>(mRandom() % static_cast<unsigned>(groups));
  }
  if (Chance(0.001)) {
    mStoreDown = !mStoreDown;
    if (!mStoreDown) {
      for (std::size_t i = 0; i < mNodes.size(); ++i) {
        Give(i, slot_store_recovered{});
      }
    }
  }
  if (Chance(0.003)) {
    mRumoured = mRandom() % mNodes.size();
    mRumourUntil = mNow + seconds(20);
  }
  const std::size_t victim = mRandom() % mNodes.size();
  if (mNodes[victim]->mRunning) {
    if (Chance(0.002)) {
      End(victim);
    } else if (Chance(0.001)) {
      Give(victim, slots_released{});
      Later(milliseconds(8'000) + Below(8'000), [this, victim] {
        if (mNodes[victim]->mRunning) {
          End(victim);
        }
      });
    }
  } else if (Chance(0.02)) {
    Start(victim);
  }
  if (mOptions.mChangeDocuments && Chance(0.003)) {
    document& changed = mDocuments[mRandom() % mDocuments.size()];
    changed = { static_cast<int>(1 + mRandom() % 4),
                static_cast<int>(4 + mRandom() % 30),
                ++mRevision };
  }
}

void
slot_model::ChangeViews()
{
  const std::size_t i = mRandom() % mNodes.size();
  const std::size_t j = mRandom() % mNodes.size();
  auto& dead = mNodes[i]->mView->mBelievedDead;
  const bool reachable = mNodes[j]->mRunning && Connected(i, j);
  // A reachable member is suspected wrongly now and then.
  const bool rumoured = j == mRumoured && mNow < mRumourUntil;
  const bool believedDead =
    !reachable || (mChaos && i != j && (rumoured || Chance(0.03)));
  if (believedDead ? dead.insert(j).second : dead.erase(j) > 0) {
    Give(i, slot_member_changed{ NodeName(j) });
  }
}

void
slot_model::Spread()
{
  const std::size_t i = mRandom() % mNodes.size();
  const std::size_t from = mRandom() % mNodes.size();
  const bool hasStore = mGroups[i] == mStoreGroup && !mStoreDown;
  node& receiver = *mNodes[i];
  if (!receiver.mRunning) {
    return;
  }
  for (std::size_t service = 0; service < mDocuments.size(); ++service) {
    document next = mDocuments[service];
    if (!hasStore) {
      if (!Connected(i, from) || !mNodes[from]->mRunning) {
        return;
      }
      next = mNodes[from]->mDocuments[service];
    }
    if (next.mVersion > receiver.mDocuments[service].mVersion) {
      receiver.mDocuments[service] = next;
      Give(i,
           slots_configured{ ServiceName(service),
                             next.mSlots,
                             next.mConnections,
                             next.mVersion });
    }
    const auto object = mStore.find(ServiceName(service));
    if (hasStore && object != mStore.end() &&
        object->second.mVersion > receiver.mRecords[object->first]) {
      receiver.mRecords[object->first] = object->second.mVersion;
      Give(i, slots_recorded{ object->second });
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
