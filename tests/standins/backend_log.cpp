// Implementation of the stand-in backend server's log.
#include "standins/backend_log.h"

#include <algorithm>

namespace snipewalk::standins {

std::uint64_t
standin_log::Append(std::uint64_t aTerm,
                    std::string aIdempotencyKey,
                    std::string aOutcome,
                    std::vector<std::pair<std::string, std::string>> aSet)
{
  log_entry entry;
  entry.mTerm = aTerm;
  entry.mIndex = Received() + 1;
  entry.mIdempotencyKey = std::move(aIdempotencyKey);
  entry.mOutcome = std::move(aOutcome);
  entry.mEffects = std::move(aSet);
  AppendReceived(std::move(entry));
  return Received();
}

void
standin_log::AppendReceived(log_entry aEntry)
{
  if (!aEntry.mIdempotencyKey.empty()) {
    mKeys.emplace(aEntry.mIdempotencyKey, aEntry.mIndex);
  }
  mEntries.push_back(std::move(aEntry));
}

void
standin_log::TruncateAfter(std::uint64_t aIndex)
{
  while (Received() > aIndex) {
    const log_entry& last = mEntries.back();
    const auto key = mKeys.find(last.mIdempotencyKey);
    if (key != mKeys.end() && key->second == last.mIndex) {
      mKeys.erase(key);
    }
    mEntries.pop_back();
  }
  if (mApplied > aIndex) {
    mState.clear();
    mApplied = 0;
    ApplyUpTo(aIndex);
  }
}

void
standin_log::ApplyUpTo(std::uint64_t aIndex)
{
  const std::uint64_t target = std::min(aIndex, Received());
  while (mApplied < target) {
    const log_entry& entry = mEntries[mApplied];
    for (const auto& [key, value] : entry.mEffects) {
      mState[key] = { value, entry.mIndex };
    }
    ++mApplied;
  }
}

std::uint64_t
standin_log::TermAt(std::uint64_t aIndex) const
{
  const log_entry* entry = At(aIndex);
  return entry == nullptr ? 0 : entry->mTerm;
}

const log_entry*
standin_log::FindKey(const std::string& aIdempotencyKey) const
{
  const auto found = mKeys.find(aIdempotencyKey);
  return found == mKeys.end() ? nullptr : At(found->second);
}

const log_entry*
standin_log::At(std::uint64_t aIndex) const
{
  return aIndex == 0 || aIndex > Received() ? nullptr : &mEntries[aIndex - 1];
}

const stored_value*
standin_log::Get(const std::string& aKey) const
{
  const auto found = mState.find(aKey);
  return found == mState.end() ? nullptr : &found->second;
}

std::uint64_t
standin_log::LastAtOrBelowTerm(std::uint64_t aIndex, std::uint64_t aTerm) const
{
  std::uint64_t index = std::min(aIndex == 0 ? 0 : aIndex - 1, Received());
  while (index > 0 && TermAt(index) > aTerm) {
    --index;
  }
  return index;
}

} // namespace snipewalk::standins
