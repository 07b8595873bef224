// Implementation of the object cache.
#include "snipewalk/version/object_cache.h"

#include <xxhash.h>

#include <algorithm>

namespace snipewalk {

std::optional<std::size_t>
KindIndex(std::string_view aKind)
{
  const auto found = std::find(kObjectKinds.begin(), kObjectKinds.end(), aKind);
  if (found == kObjectKinds.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - kObjectKinds.begin());
}

bool
object_cache::Apply(const stored_object& aObject)
{
  const auto kind = KindIndex(aObject.mKey.mKind);
  return kind && Store(*kind, aObject);
}

bool
object_cache::Store(std::size_t aKind, const stored_object& aObject)
{
  kind_state& state = mKinds[aKind];
  const auto found = state.mObjects.find(aObject.mKey.mName);
  if (found == state.mObjects.end()) {
    // The floor is never above the head, up to which the cache is complete. An
    // uncached object with a version up to the floor was therefore deleted, and
    // its tombstone was dropped.
    if (aObject.mVersion <= state.mFloor) {
      return false;
    }
  } else {
    if (aObject.mVersion <= found->second.mVersion) {
      return false;
    }
    state.mByVersion.erase({ found->second.mVersion, found->first });
    state.mTombstones -= found->second.mDeleted ? 1 : 0;
  }
  state.mByVersion.emplace(aObject.mVersion, aObject.mKey.mName);
  state.mTombstones += aObject.mDeleted ? 1 : 0;
  state.mObjects.insert_or_assign(aObject.mKey.mName, aObject);
  return true;
}

bool
object_cache::ApplyRange(const object_range& aRange,
                         std::vector<object_key>& aChanged)
{
  const auto kind = KindIndex(aRange.mKind);
  if (!kind) {
    return false;
  }
  for (const auto& object : aRange.mObjects) {
    if (object.mKey.mKind == aRange.mKind && Store(*kind, object)) {
      aChanged.push_back(object.mKey);
    }
  }
  if (mHeads[*kind] < aRange.mSince) {
    return false;
  }
  if (aRange.mSince == 0 && aRange.mHead > mHeads[*kind]) {
    DropMissing(*kind, aRange, aChanged);
  }
  mHeads[*kind] = std::max(mHeads[*kind], aRange.mHead);
  DropTombstones(*kind);
  return true;
}

void
object_cache::DropMissing(std::size_t aKind,
                          const object_range& aRange,
                          std::vector<object_key>& aChanged)
{
  kind_state& state = mKinds[aKind];
  std::set<std::string_view> present;
  for (const auto& object : aRange.mObjects) {
    present.insert(object.mKey.mName);
  }
  for (auto next = state.mObjects.begin(); next != state.mObjects.end();) {
    const stored_object& object = next->second;
    if (object.mVersion > aRange.mHead || present.contains(next->first)) {
      ++next;
      continue;
    }
    state.mTombstones -= object.mDeleted ? 1 : 0;
    state.mByVersion.erase({ object.mVersion, next->first });
    if (!object.mDeleted) {
      aChanged.push_back(object.mKey);
    }
    next = state.mObjects.erase(next);
  }
  state.mFloor = std::max(state.mFloor, std::min(aRange.mFloor, aRange.mHead));
}

void
object_cache::DropTombstones(std::size_t aKind)
{
  kind_state& state = mKinds[aKind];
  auto next = state.mByVersion.begin();
  while (state.mTombstones > mTombstoneLimit &&
         next != state.mByVersion.end() && next->first <= mHeads[aKind]) {
    const auto object = state.mObjects.find(next->second);
    if (!object->second.mDeleted) {
      ++next;
      continue;
    }
    state.mFloor = std::max(state.mFloor, next->first);
    --state.mTombstones;
    state.mObjects.erase(object);
    next = state.mByVersion.erase(next);
  }
}

const stored_object*
object_cache::Find(std::string_view aKind, const std::string& aName) const
{
  const auto& objects = Objects(aKind);
  const auto found = objects.find(aName);
  return found == objects.end() || found->second.mDeleted ? nullptr
                                                          : &found->second;
}

const std::map<std::string, stored_object>&
object_cache::Objects(std::string_view aKind) const
{
  static const std::map<std::string, stored_object> none;
  const auto kind = KindIndex(aKind);
  return kind ? mKinds[*kind].mObjects : none;
}

std::uint64_t
object_cache::Head(std::string_view aKind) const
{
  const auto kind = KindIndex(aKind);
  return kind ? mHeads[*kind] : 0;
}

std::uint64_t
object_cache::Digest() const
{
  std::uint64_t digest = 0;
  for (std::size_t kind = 0; kind < mKinds.size(); ++kind) {
    for (const auto& [version, name] : mKinds[kind].mByVersion) {
      const bool live = !mKinds[kind].mObjects.at(name).mDeleted;
      if (live && version <= mHeads[kind]) {
        digest ^= XXH64(name.data(), name.size(), version * 8 + kind);
      }
    }
  }
  return digest;
}

object_chunk
object_cache::Delta(std::string_view aKind,
                    std::uint64_t aSince,
                    std::uint64_t aCursor,
                    std::size_t aBytes) const
{
  object_chunk chunk;
  const auto kind = KindIndex(aKind);
  if (!kind) {
    return chunk;
  }
  const kind_state& state = mKinds[*kind];
  chunk.mHead = mHeads[*kind];
  chunk.mFloor = state.mFloor;
  chunk.mSince = aSince < state.mFloor ? 0 : aSince;
  chunk.mCursor = std::max(chunk.mSince, aCursor);
  auto next = state.mByVersion.lower_bound({ chunk.mCursor + 1, "" });
  std::size_t bytes = 0;
  for (; next != state.mByVersion.end() && next->first <= chunk.mHead; ++next) {
    const stored_object& object = state.mObjects.at(next->second);
    bytes += object.mValue.size() + object.mKey.mName.size() + 32;
    if (bytes > aBytes && !chunk.mObjects.empty()) {
      chunk.mMore = true;
      break;
    }
    chunk.mObjects.push_back(object);
    chunk.mCursor = next->first;
  }
  return chunk;
}

} // namespace snipewalk
