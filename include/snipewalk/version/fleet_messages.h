// Typed messages between instances: datagrams of the membership and of the
// holders of slots, and frames of the TCP control port.
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

// Bytes of a datagram including its authentication code; fits in one Ethernet
// frame with room for tunnels.
inline constexpr std::size_t kDatagramBytes = 1'200;

enum class membership_kind
{
  Probe,
  Ack,
  // Asks the receiver to probe mTarget and to pass the answer on.
  IndirectProbe,
  // Carries updates only; not answered.
  Update
};

struct membership_message
{
  membership_kind mKind = membership_kind::Probe;
  // Chosen by the prober and echoed by the answer.
  std::uint64_t mSequence = 0;
  std::string mSender;
  std::uint64_t mIncarnation = 0;
  // Control address of the member to probe; set for IndirectProbe.
  std::string mTarget;
  // Revisions up to which the sender's cache is complete, by kind.
  object_heads mHeads{};
  // Covers names and incarnations of the members that the sender holds alive.
  std::uint64_t mMemberDigest = 0;
  // Age of the newest answer of a store watch that the sender knows of.
  std::uint64_t mWatchAgeMs = 0;
  // Suspicions, deaths and departures leave data centre, region and
  // addresses empty.
  std::vector<member_info> mUpdates;
  // The sender's versions; left out where the receiver knows them.
  std::optional<version_range> mVersions;
  // One bit of the digest of each range of members (see member_digest); zero
  // from a sender that does not know ranges.
  std::uint64_t mRangeBits = 0;
};

enum class slot_message_kind
{
  // A holder asks a co-holder to confirm that it still holds its slot.
  HoldQuery,
  HoldReply,
  // A claimant asks a holder to agree that mHolder is dead.
  TakeOverQuery,
  TakeOverReply
};

struct slot_message
{
  slot_message_kind mKind = slot_message_kind::HoldQuery;
  std::string mService;
  std::string mSender;
  std::uint64_t mSenderLife = 0;
  // The holder that the message is about.
  std::string mHolder;
  std::uint64_t mHolderLife = 0;
  // Versions of the slots object and of the service document at the sender.
  std::uint64_t mRecordVersion = 0;
  std::uint64_t mDocumentVersion = 0;
  // Echoed by the reply.
  std::uint64_t mSequence = 0;
  bool mGranted = false;
  // The sender's slots object, when the other end's version is lower.
  std::string mRecord;
};

using datagram_body = std::variant<membership_message, slot_message>;

// All changes of one kind in (mSince, mHead]: each object of the kind whose
// newest version as of mHead lies in that range is in mObjects.
struct change_push
{
  std::string mKind;
  std::uint64_t mSince = 0;
  std::uint64_t mHead = 0;
  std::vector<stored_object> mObjects;
};

// Asks for the changes of one kind after mSince; mCursor continues a reply.
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
  // Members with names above this one follow.
  std::string mAfter;
  // If set, asks for the live members of these ranges (one bit each) instead.
  std::uint64_t mRanges = 0;
  // Asks for the complete entries of members by the hashes of their names.
  std::vector<std::uint64_t> mWanted{};
};

// A live member as far as another one needs it that knows its addresses.
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

// A question or answer about the primary of a service.
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
