// Implementation of the stand-in store's state.
#include "standins/store_state.h"

#include <algorithm>

namespace snipewalk::standins {

const kept_object*
store_objects::Get(const object_name& aName) const
{
  const auto found = mObjects.find(aName);
  return found == mObjects.end() || found->second.mDeleted ? nullptr
                                                           : &found->second;
}

bool
store_objects::Holds(const object_name& aName,
                     const change_condition& aCondition) const
{
  const kept_object* present = Get(aName);
  if (aCondition.mMustBeAbsent) {
    return present == nullptr;
  }
  return !aCondition.mVersion ||
         (present != nullptr && present->mVersion == *aCondition.mVersion);
}

std::optional<std::uint64_t>
store_objects::Put(const object_name& aName,
                   std::string aValue,
                   const change_condition& aCondition)
{
  if (!Holds(aName, aCondition)) {
    return std::nullopt;
  }
  mObjects[aName] = { ++mRevision, false, std::move(aValue) };
  return mRevision;
}

std::optional<std::uint64_t>
store_objects::Delete(const object_name& aName,
                      const change_condition& aCondition)
{
  if (Get(aName) == nullptr || !Holds(aName, aCondition)) {
    return std::nullopt;
  }
  mObjects[aName] = { ++mRevision, true, {} };
  return mRevision;
}

std::vector<std::pair<std::string, kept_object>>
store_objects::ChangedAfter(const std::string& aKind, std::uint64_t aFrom) const
{
  std::vector<std::pair<std::string, kept_object>> changed;
  for (auto entry = mObjects.lower_bound({ aKind, "" });
       entry != mObjects.end() && entry->first.first == aKind;
       ++entry) {
    const kept_object& object = entry->second;
    if (object.mVersion > aFrom && (aFrom > 0 || !object.mDeleted)) {
      changed.emplace_back(entry->first.second, object);
    }
  }
  std::sort(
    changed.begin(), changed.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mVersion < aRight.second.mVersion;
    });
  return changed;
}

void
instance_list::Set(instances aInstances, time_point aNow)
{
  mComing.emplace_back(aNow + mLag, std::move(aInstances));
}

const instance_list::instances&
instance_list::Visible(time_point aNow)
{
  while (!mComing.empty() && mComing.front().first <= aNow) {
    mVisible = std::move(mComing.front().second);
    mComing.pop_front();
  }
  return mVisible;
}

std::uint64_t
call_meter::window::Add(time_point aNow)
{
  while (!mCalls.empty() && mCalls.front() + seconds(1) <= aNow) {
    mCalls.pop_front();
  }
  mCalls.push_back(aNow);
  mPeak = std::max<std::uint64_t>(mPeak, mCalls.size());
  return mCalls.size();
}

bool
call_meter::Count(const std::string& aKind, call_class aClass, time_point aNow)
{
  ++mByKind[aKind];
  mAll.Add(aNow);
  window& counted = aClass == call_class::Read ? mReads : mWrites;
  const bool within =
    counted.Add(aNow) <= counted.mLimit || counted.mLimit == 0;
  mRefused += within ? 0 : 1;
  return within;
}

void
call_meter::SetLimits(std::uint64_t aReads, std::uint64_t aWrites)
{
  mReads.mLimit = aReads;
  mWrites.mLimit = aWrites;
}

} // namespace snipewalk::standins
