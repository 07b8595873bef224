// Cache of the store's objects on every instance.
//
// Objects reach an instance by store watches, pushes and pulls, in any order
// and repeatedly. Two rules keep one revision number a kind, its head, sound:
//
// - Per object the higher version wins, and deletions stay as tombstones, so
//   the cache never goes back.
// - The head of a kind states: for each change of the kind with a version up to
//   the head, the cache holds that version or a newer one of the object. The
//   head rises only by ApplyRange(), whose objects are all changes in
//   (since, head], and only when the cache was already complete up to `since`.
//   Completeness up to `since` and the range together are completeness up to
//   `head`. Objects of any other origin enter the cache but leave the head
//   alone.
//
// Ranges come from a store watch (all changes after its start), from a push
// that repeats such a range, or from a pull. A pull is sent in chunks in the
// order of versions, restricted to versions up to the sender's head, and only
// its last chunk is a range: an object that changes while the pull runs moves
// behind the cursor, so that until the last chunk an older change may be
// missing. Nothing can appear in front of the cursor, because the sender is
// complete up to its head and the cursor never passes the head.
//
// Each kind has a head of its own because the store is watched by kind: a
// change of one kind says nothing about another kind's changes.
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

// One head a kind, in the order of kObjectKinds.
using object_heads = std::array<std::uint64_t, kObjectKinds.size()>;

// Index in kObjectKinds, or nothing for other kinds.
std::optional<std::size_t>
KindIndex(std::string_view aKind);

struct object_chunk
{
  std::vector<stored_object> mObjects;
  // Continue from this version while mMore is set.
  std::uint64_t mCursor = 0;
  bool mMore = false;
  // Start of the range. Lower than asked for when tombstones after the asked
  // start were dropped: then it is zero and the range is the whole kind.
  std::uint64_t mSince = 0;
  // End of the range that the chunks cover together; valid in the last one.
  std::uint64_t mHead = 0;
  // Deletions up to this version may be missing.
  std::uint64_t mFloor = 0;
};

struct object_range
{
  std::string_view mKind;
  std::uint64_t mSince = 0;
  std::uint64_t mHead = 0;
  // Deletions up to this version may be missing in mObjects. The store's answer
  // to a watch from zero lists no deletions: its floor is its revision.
  std::uint64_t mFloor = 0;
  const std::vector<stored_object>& mObjects;
};

class object_cache
{
public:
  // `aTombstones` is the number of deletions kept for each kind.
  explicit object_cache(std::size_t aTombstones = 4'096)
    : mTombstoneLimit(aTombstones)
  {
  }

  // Takes an object without any claim about others. Returns whether it was
  // newer than the cached one.
  bool Apply(const stored_object& aObject);

  // Takes all changes of a kind in (mSince, mHead] of the range. With mSince =
  // 0 the objects are the whole kind, and cached ones up to mHead that are
  // missing are dropped. Appends the keys that changed to `aChanged`. Returns
  // whether the head covers mHead now; when not, changes before mSince are
  // missing.
  bool ApplyRange(const object_range& aRange,
                  std::vector<object_key>& aChanged);

  // Nothing when the object is unknown or deleted.
  const stored_object* Find(std::string_view aKind,
                            const std::string& aName) const;

  // Objects of a kind by name, tombstones included.
  const std::map<std::string, stored_object>& Objects(
    std::string_view aKind) const;

  std::uint64_t Head(std::string_view aKind) const;
  const object_heads& Heads() const { return mHeads; }

  // Covers keys and versions of all objects up to the heads.
  std::uint64_t Digest() const;

  // Changes of a kind after `aSince`, continued at `aCursor`, of about
  // `aBytes` at most but at least one object.
  object_chunk Delta(std::string_view aKind,
                     std::uint64_t aSince,
                     std::uint64_t aCursor,
                     std::size_t aBytes) const;

private:
  struct kind_state
  {
    std::map<std::string, stored_object> mObjects;
    // Names by version; exactly one entry an object.
    std::set<std::pair<std::uint64_t, std::string>> mByVersion;
    std::size_t mTombstones = 0;
    // Deletions up to this version may be missing; never above the head.
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
