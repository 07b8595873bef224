// What the control thread publishes to the traffic threads about a service:
// the document, the term, the holders and the state of the servers.
#ifndef SNIPEWALK_MESSAGES_SERVICE_VIEW_H_
#define SNIPEWALK_MESSAGES_SERVICE_VIEW_H_

#include "snipewalk/base/protocol_version.h"
#include "snipewalk/messages/service_document.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipewalk {

enum class term_phase
{
  // No primary is known for the term yet; voters are being fenced.
  Electing,
  // The candidate is recorded and is being promoted.
  Promoting,
  // The primary serves.
  Stable
};

inline constexpr name_table<term_phase, 3> kTermPhaseNames{ {
  { term_phase::Electing, "electing" },
  { term_phase::Promoting, "promoting" },
  { term_phase::Stable, "stable" },
} };

// The object `terms/<service>` of the platform's store.
struct term_record
{
  std::uint64_t mTerm = 0;
  // Empty while electing.
  std::string mPrimary;
  // Servers whose majority acknowledges writes and permits a promotion.
  std::vector<std::string> mVoters;
  term_phase mPhase = term_phase::Stable;
  // Identifies the conditional update that wrote the record.
  std::string mOperation;
  // Instance that ordered the term.
  std::string mOrderedBy;
};

// The object `slots/<service>`: one holder a slot; an empty name is vacant.
struct slot_record
{
  struct holder
  {
    std::string mInstance;
    std::uint64_t mIncarnation = 0;
  };
  std::vector<holder> mHolders;
  // No holder was ever replaced or removed by another instance, so only the
  // holders named here can have connections open.
  bool mInitial = false;
};

// Immutable once published.
struct service_view
{
  service_document mDocument;
  term_record mTerm;
  slot_record mSlots;
  // Names of servers that the failure detector suspects.
  std::vector<std::string> mSuspected;
  // Other holders that reach the primary while this instance suspects it:
  // requests that need the primary go to them. Empty otherwise.
  std::vector<std::string> mPrimaryReachedBy;
  // Connections that this instance may open to each server, the control
  // connection not included; zero when it holds no slot.
  int mConnectionShare = 0;
  // Connections to each server beyond mConnectionShare that only replace ones
  // that went silent.
  int mConnectionReserve = 0;
};

enum class member_state
{
  Alive,
  Suspect,
  Dead,
  Left
};

inline constexpr name_table<member_state, 4> kMemberStateNames{ {
  { member_state::Alive, "alive" },
  { member_state::Suspect, "suspect" },
  { member_state::Dead, "dead" },
  { member_state::Left, "left" },
} };

// One instance of the system as its peers know it.
struct member_info
{
  std::string mName;
  // Higher after each restart or refutation.
  std::uint64_t mIncarnation = 0;
  std::string mDataCentre;
  std::string mRegion;
  // "IP:port" for forwarded statements and for control messages.
  std::string mPeerAddress;
  std::string mControlAddress;
  member_state mState = member_state::Alive;
  // Versions of the messages between instances that it supports.
  version_range mVersions = {};
};

struct session_key
{
  std::string mId;
  std::string mSecret;
  // The key signs new tokens from this time on; it verifies at once.
  wall_time mSignAfter;
};

// Everything a traffic thread needs to route; immutable once published.
struct routing_snapshot
{
  std::map<std::string, std::shared_ptr<const service_view>> mServices;
  std::map<std::string, member_info> mMembers;
  std::vector<session_key> mSessionKeys;
  // Highest store revision that is in force; zero while documents may be
  // missing because the instance has just started.
  std::uint64_t mRevision = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_MESSAGES_SERVICE_VIEW_H_
