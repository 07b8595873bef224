// Messages between instances: the datagrams of membership and slot assignment,
// and the frames of the TCP control port.
#ifndef SNIPEWALK_VERSION_FLEET_MESSAGES_H_
#define SNIPEWALK_VERSION_FLEET_MESSAGES_H_

#include "snipewalk/messages/control_messages.h"
#include "snipewalk/messages/service_view.h"
#include "snipewalk/messages/store_client.h"
#include "snipewalk/version/object_cache.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipewalk {

// Maximum size of a datagram in bytes, including its authentication code. Fits
// into one Ethernet frame with room for the headers of tunnels.
inline constexpr std::size_t kDatagramBytes = 1'200;
// Longest datagram in bytes: a query to take a slot over carries the record of
// up to 64 holders with names of up to 64 bytes.
inline constexpr std::size_t kLongestDatagramBytes = 16 * 1'024;

enum class membership_kind
{
  Probe,
  Ack,
  // Asks the receiver to probe mTarget and to forward the answer.
  IndirectProbe,
  // Carries updates without probing; not answered.
  Update
};

struct membership_message
{
  membership_kind mKind = membership_kind::Probe;
  // Chosen by the sender of the probe and echoed by the answer.
  std::uint64_t mSequence = 0;
  std::string mSender;
  std::uint64_t mIncarnation = 0;
  // Control address of the member to probe; set for IndirectProbe.
  std::string mTarget;
  // For each object kind, the revision up to which the sender's cache is
  // complete.
  object_heads mHeads{};
  // Digest of the names and incarnations of the members that the sender regards
  // as alive.
  std::uint64_t mMemberDigest = 0;
  // Age of the newest answer of a store watch, on any instance, that the sender
  // knows of.
  std::uint64_t mWatchAgeMs = 0;
  // Updates about members. Data centre, region and addresses are empty in a
  // suspicion, death or departure.
  std::vector<member_info> mUpdates;
  // Protocol versions of the sender; absent if the receiver knows them.
  std::optional<version_range> mVersions;
  // One bit of the digest of each range of members (see member_digest); zero if
  // the sender does not support ranges.
  std::uint64_t mRangeBits = 0;
};

enum class slot_message_kind
{
  // A holder asks a co-holder to confirm that it still holds its slot.
  HoldQuery,
  HoldReply,
  // A claimant asks a holder to agree to the replacement of mHolder, which it
  // believes dead.
  TakeOverQuery,
  TakeOverReply
};

struct slot_message
{
  slot_message_kind mKind = slot_message_kind::HoldQuery;
  std::string mService;
  std::string mSender;
  std::uint64_t mSenderLife = 0;
  // The holder whose slot is to be confirmed or that is to be replaced.
  std::string mHolder;
  std::uint64_t mHolderLife = 0;
  // The sender's versions of the slots object and of the service document.
  std::uint64_t mRecordVersion = 0;
  std::uint64_t mDocumentVersion = 0;
  // Echoed by the reply.
  std::uint64_t mSequence = 0;
  // In a reply: whether the query is confirmed or agreed to.
  bool mGranted = false;
  // The sender's slots object, if the receiver has an older version; otherwise
  // empty, except in a TakeOverQuery.
  std::string mRecord;
};

using datagram_body = std::variant<membership_message, slot_message>;

// All changes of one kind in the revision range (mSince, mHead]: mObjects
// contains each object of the kind whose newest version as of mHead lies in
// that range.
struct change_push
{
  std::string mKind;
  std::uint64_t mSince = 0;
  std::uint64_t mHead = 0;
  std::vector<stored_object> mObjects;
};

// Requests the changes of one kind after mSince. mCursor is the cursor of the
// last chunk received, from which the next one continues.
struct pull_query
{
  std::uint64_t mSequence = 0;
  std::string mKind;
  std::uint64_t mSince = 0;
  std::uint64_t mCursor = 0;
};

struct pull_reply
{
  std::uint64_t mSequence = 0;
  std::string mKind;
  object_chunk mChunk;
};

struct member_query
{
  std::uint64_t mSequence = 0;
  // Requests the members whose names sort after this one.
  std::string mAfter;
  // If not zero, requests the live members of these ranges (one bit each)
  // instead of those after mAfter.
  std::uint64_t mRanges = 0;
  // Requests the complete entries of the members with these name hashes.
  std::vector<std::uint64_t> mWanted{};
};

// Short form of a live member, for a receiver that already knows its addresses.
struct member_brief
{
  std::uint64_t mNameHash = 0;
  std::uint64_t mIncarnation = 0;
};

struct member_reply
{
  std::uint64_t mSequence = 0;
  std::vector<member_info> mMembers;
  bool mMore = false;
  std::vector<member_brief> mBriefs{};
};

// A request or response about the primary of a service.
struct service_message
{
  std::string mSender;
  control_message mMessage;
};

using fleet_message = std::variant<change_push,
                                   pull_query,
                                   pull_reply,
                                   member_query,
                                   member_reply,
                                   service_message>;

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_FLEET_MESSAGES_H_
