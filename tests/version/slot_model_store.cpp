// Implementation of the slot model: the lossy store.
#include "version/slot_model.h"

#include "version/slot_model_nodes.h"

#include "snipewalk/version/term_record.h"

namespace snipewalk {

namespace {

// Maximum time after which the store client reports an outcome.
constexpr int kStoreTimeoutMs = 2'000;

} // namespace

void
slot_model::CallStore(std::size_t aNode, const slot_store_call& aCall)
{
  const std::uint64_t incarnation = mNodes[aNode]->mIncarnation;
  const auto answer = [this, aNode, incarnation, operation = aCall.mOperation](
                        milliseconds aDelay, const store_reply& aReply) {
    Schedule(aDelay, [this, aNode, incarnation, operation, aReply] {
      if (mNodes[aNode]->mIncarnation == incarnation) {
        Deliver(aNode, slot_store_answered{ operation, aReply });
      }
    });
  };
  if (mStoreDown || mPartitions[aNode] != mStorePartition) {
    answer(RandomDelay(kStoreTimeoutMs),
           { Chance(0.5) ? store_status::Refused : store_status::Unknown,
             {},
             0,
             {} });
    return;
  }
  if (mFaultInjection && Chance(0.05)) {
    answer(RandomDelay(50), { store_status::RateLimited, {}, 0, {} });
    return;
  }
  if (std::holds_alternative<store_put>(aCall.mRequest) && !MayWrite()) {
    answer(RandomDelay(10), { store_status::RateLimited, {}, 0, {} });
    return;
  }
  const bool requestLost = mFaultInjection && Chance(0.05);
  const bool answerLost = mFaultInjection && Chance(0.1);
  const milliseconds delay = mFaultInjection && Chance(0.1)
                               ? RandomDelay(kStoreTimeoutMs - 100)
                               : RandomDelay(10);
  if (requestLost || answerLost) {
    answer(milliseconds(kStoreTimeoutMs), { store_status::Unknown, {}, 0, {} });
  }
  if (requestLost) {
    return;
  }
  Schedule(delay, [this, answerLost, answer, request = aCall.mRequest] {
    const store_reply reply = Execute(request);
    if (!answerLost) {
      answer(RandomDelay(10), reply);
    }
  });
}

bool
slot_model::MayWrite()
{
  if (mNow >= mWritesSince + milliseconds(100)) {
    mWritesSince = mNow;
    mWrites = 0;
  }
  const bool accepted = ++mWrites <= mOptions.mWritesPerSecond / 10;
  mRefusedWrites += accepted ? 0 : 1;
  return accepted;
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

} // namespace snipewalk
