// Cache of the store's objects, which every instance has.
//
// An instance receives objects by store watches, pushes and pulls, in any order
// and possibly several times. The head of an object kind is the revision up to
// which the cache is complete: for each change of the kind with a version up to
// the head, the cache contains that version of the object or a newer one. Two
// rules keep the head valid:
//
// - A cached object is replaced only by a higher version, and deletions stay as
//   tombstones, so that the cache never reverts to an older state.
// - Only ApplyRange() raises the head. Its objects are all changes in the range
//   (since, head], and it raises the head only if the cache was already
//   complete up to `since`, so that it is complete up to `head` afterwards.
//   Objects from any other source are cached without changing the head.
//
// Ranges come from a store watch (all changes after its start), from a push
// that forwards such a range, or from a pull. A pull is answered in chunks in
// the order of versions, restricted to versions up to the sender's head, and
// only the last chunk completes a range: an object that changes during the pull
// gets a version after the cursor, so its older change may be missing until the
// last chunk has arrived. No object can be inserted at or before the cursor,
// because the sender is complete up to its head and the cursor never exceeds
// the head.
//
// Each kind has a head of its own, because the store is watched by kind: a
// watch of one kind does not show whether changes of another kind are missing.
#ifndef SNIPEWALK_VERSION_OBJECT_CACHE_H_
#define SNIPEWALK_VERSION_OBJECT_CACHE_H_

#include "snipewalk/messages/store_client.h"
#include "snipewalk/version/term_record.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace snipewalk {

inline constexpr std::string_view kServicesKind = "services";
inline constexpr std::array<std::string_view, 4> kObjectKinds{ kServicesKind,
                                                               kTermsKind,
                                                               kSlotsKind,
                                                               kKeysKind };

// The heads of all kinds, in the order of kObjectKinds.
using object_heads = std::array<std::uint64_t, kObjectKinds.size()>;

// Index of a kind in kObjectKinds; nothing for an unknown kind.
std::optional<std::size_t>
KindIndex(std::string_view aKind);

// One part of the answer to a pull.
struct object_chunk
{
  std::vector<stored_object> mObjects;
  // Version after which the next chunk continues if mMore is set.
  std::uint64_t mCursor = 0;
  bool mMore = false;
  // Start of the range. Zero instead of the requested start if tombstones after
  // the requested start were dropped: the range is then the whole kind.
  std::uint64_t mSince = 0;
  // End of the range that the chunks cover together; valid in the last chunk.
  std::uint64_t mHead = 0;
  // Deletions with versions up to this one may be missing.
  std::uint64_t mFloor = 0;
};

// All changes of a kind in (mSince, mHead].
struct object_range
{
  std::string_view mKind;
  std::uint64_t mSince = 0;
  std::uint64_t mHead = 0;
  // Deletions with versions up to this one may be missing in mObjects. The
  // store's answer to a watch from zero lists no deletions, so its floor is its
  // revision.
  std::uint64_t mFloor = 0;
  const std::vector<stored_object>& mObjects;
};

class object_cache
{
public:
  // `aTombstones` is the maximum number of tombstones kept for each kind.
  explicit object_cache(std::size_t aTombstones = 4'096)
    : mTombstoneLimit(aTombstones)
  {
  }

  // Caches a single object without changing the head. Returns whether it was
  // newer than the cached version.
  bool Apply(const stored_object& aObject);

  // Caches all changes of a kind in (mSince, mHead] of the range. If mSince is
  // 0, the range is the whole kind: cached objects with versions up to mHead
  // that it does not contain are dropped. Appends the keys of the changed
  // objects to `aChanged`. Returns whether the head is now at least mHead; if
  // not, the cache lacks changes before mSince.
  bool ApplyRange(const object_range& aRange,
                  std::vector<object_key>& aChanged);

  // Returns null if the object is unknown or deleted.
  const stored_object* Find(std::string_view aKind,
                            const std::string& aName) const;

  // Objects of a kind by name, including tombstones.
  const std::map<std::string, stored_object>& Objects(
    std::string_view aKind) const;

  std::uint64_t Head(std::string_view aKind) const;
  const object_heads& Heads() const { return mHeads; }

  // Digest of the keys and versions of all existing objects up to the heads.
  std::uint64_t Digest() const;

  // Next chunk of the changes of a kind after `aSince`, starting after
  // `aCursor`. The chunk has about `aBytes` bytes at most, but at least one
  // object if any remains.
  object_chunk Delta(std::string_view aKind,
                     std::uint64_t aSince,
                     std::uint64_t aCursor,
                     std::size_t aBytes) const;

private:
  struct kind_state
  {
    std::map<std::string, stored_object> mObjects;
    // Names in the order of versions; exactly one entry for each object.
    std::set<std::pair<std::uint64_t, std::string>> mByVersion;
    std::size_t mTombstones = 0;
    // Deletions with versions up to this one may be missing; never above the
    // head.
    std::uint64_t mFloor = 0;
  };

  bool Store(std::size_t aKind, const stored_object& aObject);
  void DropMissing(std::size_t aKind,
                   const object_range& aRange,
                   std::vector<object_key>& aChanged);
  void DropTombstones(std::size_t aKind);

  std::size_t mTombstoneLimit;
  std::array<kind_state, kObjectKinds.size()> mKinds;
  object_heads mHeads{};
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_OBJECT_CACHE_H_
