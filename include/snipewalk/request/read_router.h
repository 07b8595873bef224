// Knows the positions of a service's backend servers and chooses where a read
// goes. Positions are learned from replies and status observations.
#ifndef SNIPEWALK_REQUEST_READ_ROUTER_H_
#define SNIPEWALK_REQUEST_READ_ROUTER_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/backend_messages.h"
#include "snipewalk/messages/service_view.h"
#include "snipewalk/request/session_token.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace snipewalk {

// Longest wait of a replica for a position before the next one is tried.
inline constexpr milliseconds kPositionWaitMax{ 50 };

// What the router knows about one server.
struct server_position
{
  std::string mName;
  std::string mDataCentre;
  // False for servers that are no longer in the document.
  bool mPresent = false;
  bool mLeaving = false;
  bool mSuspected = false;
  bool mVoter = false;
  // Highest term in which the server was seen as primary, or as a replica with
  // an entry of that term. Before that it may hold entries that the primary
  // lacks, so it serves neither reads nor acknowledgements.
  std::uint64_t mServingTerm = 0;
  // Valid for mServingTerm.
  std::uint64_t mApplied = 0;
  // Newest send time of a request that was answered in the current term.
  std::optional<time_point> mTermSeenAt;
};

enum class read_need
{
  // The session's position must be visible.
  Position,
  // The data must be no older than the stated age.
  Age,
  // Only the primary can serve it.
  Primary
};

struct read_request_facts
{
  read_need mNeed = read_need::Position;
  log_position mPosition;
  milliseconds mMaxAge{ 0 };
  // One bit a server that was tried in vain.
  std::uint64_t mTried = 0;
  time_point mDeadline;
};

enum class route_verdict
{
  // Send to mServer.
  Send,
  // Suitable servers exist but have no free connection.
  Wait,
  // No replica can serve it: ask the primary.
  ToPrimary,
  // Positions must be learned before the age can be promised.
  Refresh
};

struct read_route
{
  route_verdict mVerdict = route_verdict::Wait;
  std::size_t mServer = 0;
  std::uint64_t mMinIndex = 0;
  milliseconds mWait{ 0 };
};

class read_router
{
public:
  // Adopts the servers, the term and the suspicions of a view. The index of a
  // server never changes.
  void SetView(const service_view& aView, const std::string& aDataCentre);

  // A server answered a request sent at `aSentAt` while in `aTerm`.
  void ObserveTerm(std::size_t aServer,
                   std::uint64_t aTerm,
                   time_point aSentAt);
  void ObserveStatus(std::size_t aServer,
                     const server_status& aStatus,
                     time_point aSentAt);
  // The server executed a statement; `aIndex` was visible there.
  void ObserveIndex(std::size_t aServer,
                    std::uint64_t aTerm,
                    std::uint64_t aIndex,
                    time_point aSentAt);
  // The server refused a statement for its role or term.
  void ObserveRefusal(std::size_t aServer);

  // `aFree` says whether a server has a free connection, `aOutstanding` how
  // many statements are under way there.
  read_route Route(
    const read_request_facts& aFacts,
    time_point aNow,
    const std::function<bool(std::size_t)>& aFree,
    const std::function<std::size_t(std::size_t)>& aOutstanding) const;

  // Upper bound of the age of data in which `aIndex` is visible at a server of
  // the current term; nothing when none can be promised.
  std::optional<duration> AgeOf(std::uint64_t aIndex, time_point aNow) const;

  // Upper bound of the age of data that the primary serves.
  std::optional<duration> PrimaryAge(time_point aNow) const;

  // Whether the server was seen as primary or following replica of this term.
  bool Serving(std::size_t aServer) const;

  const std::vector<server_position>& Servers() const { return mServers; }
  std::optional<std::size_t> IndexOf(const std::string& aName) const;
  std::optional<std::size_t> Primary() const { return mPrimary; }
  std::uint64_t Term() const { return mTerm; }

private:
  // The primary held aIndex when it answered a request sent at mSentAt, so data
  // with this index visible is no older than that.
  struct sample
  {
    time_point mSentAt;
    std::uint64_t mIndex = 0;
  };

  // Servers that a read may go to, all with a free connection.
  struct candidates
  {
    // Cheapest of the servers that suit the read.
    std::optional<std::size_t> mBest;
    // Freshest of the others.
    std::optional<std::size_t> mFreshest;
    // Whether any server may be used at all, and whether one suits, free or
    // not.
    bool mUsable = false;
    bool mReached = false;
  };

  bool Suits(std::size_t aServer,
             const read_request_facts& aFacts,
             time_point aNow) const;
  candidates FindCandidates(
    const read_request_facts& aFacts,
    time_point aNow,
    const std::function<bool(std::size_t)>& aFree,
    const std::function<std::size_t(std::size_t)>& aOutstanding) const;
  std::size_t Adopt(const server_entry& aEntry);
  void AddSample(std::uint64_t aIndex, time_point aSentAt);
  // Latest time at which a majority of voters was still in the current term.
  std::optional<time_point> MajorityTime() const;
  bool Usable(std::size_t aServer, std::uint64_t aTried) const;
  std::size_t Cost(std::size_t aServer, std::size_t aOutstanding) const;

  std::vector<server_position> mServers;
  std::optional<std::size_t> mPrimary;
  std::uint64_t mTerm = 0;
  std::string mDataCentre;
  // Both fields strictly increase; all samples belong to mTerm. One that is
  // newer than the confirmation of the term counts from the confirmation.
  std::deque<sample> mSamples;
};

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_READ_ROUTER_H_
