// One link of the fault-injecting TCP proxy: forwards connections from a local
// port to a target and injects network faults.
#ifndef SNIPEWALK_STANDINS_FAULT_LINK_H_
#define SNIPEWALK_STANDINS_FAULT_LINK_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/stream_connection.h"

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include <Poco/Net/ServerSocket.h>

namespace snipewalk::standins {

// Directions in which bytes and closes are lost.
enum class link_cut
{
  None,
  ToTarget,
  ToClient,
  Both
};

inline constexpr name_table<link_cut, 4> kLinkCutNames{ {
  { link_cut::None, "none" },
  { link_cut::ToTarget, "to_target" },
  { link_cut::ToClient, "to_client" },
  { link_cut::Both, "both" },
} };

struct link_faults
{
  link_cut mCut = link_cut::None;
  // Bytes are held and delivered once the link is no longer frozen, also if
  // their sender has closed the connection since, but not if it has reset it.
  bool mFrozen = false;
  // Delay of bytes in each direction.
  milliseconds mDelay{ 0 };
  // New connections are refused.
  bool mRefuse = false;
  // Share of new connections that are reset at once, in percent.
  int mDropPercent = 0;
};

struct link_counts
{
  std::uint64_t mAccepted = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mBytesToTarget = 0;
  std::uint64_t mBytesToClient = 0;
  std::uint64_t mBytesLost = 0;
};

class fault_link : private socket_handler
{
public:
  fault_link(event_loop& aLoop,
             std::string aTarget,
             std::uint16_t aPort,
             std::uint64_t aSeed);
  ~fault_link() override;

  std::uint16_t Port() const { return mPort; }
  const std::string& Target() const { return mTarget; }
  std::size_t Connections() const { return mPairs.size(); }
  const link_faults& Faults() const { return mFaults; }
  const link_counts& Counts() const { return mCounts; }

  // When a cut ends, connections that lost bytes are reset: what TCP would
  // retransmit is gone.
  void SetFaults(const link_faults& aFaults, time_point aNow);
  // Resets all connections.
  void Reset();
  // All present connections stay open and carry nothing any more.
  void SilenceEstablished();
  // The target drops the silenced connections, as a server does after some time
  // without a sign of life; the client's side learns nothing of it.
  void DropSilencedAtTarget();

private:
  enum direction : std::size_t
  {
    ToTarget,
    ToClient
  };
  struct held_bytes
  {
    time_point mDue;
    std::string mBytes;
  };
  struct half
  {
    std::unique_ptr<stream_connection> mStream;
    // Bytes on their way to this end.
    std::deque<held_bytes> mHeld;
    // The other end closed; this one follows after the held bytes.
    bool mEnding = false;
  };
  struct pair
  {
    Poco::Net::StreamSocket mClientSocket;
    // Indexed by the direction that leads to the end.
    std::array<half, 2> mEnds;
    bool mSilent = false;
    bool mLostBytes = false;
  };
  using pair_number = std::uint64_t;

  void OnReadable(time_point aNow) override;
  void OnWritable(time_point) override {}
  void OnSocketError(time_point) override {}
  void Listen();
  void Open(const Poco::Net::StreamSocket& aSocket);
  stream_connection::handlers HandlersOf(pair_number aPair, direction aTowards);
  bool IsCut(direction aTowards) const;
  void Forward(pair_number aPair,
               direction aTowards,
               std::string& aInput,
               time_point aNow);
  void EndClosed(pair_number aPair,
                 direction aTowards,
                 close_cause aCause,
                 time_point aNow);
  // Delivers what is due to one end.
  void Deliver(pair_number aPair, direction aTowards, time_point aNow);
  void DeliverAt(pair_number aPair, direction aTowards, time_point aWhen);
  void Drop(pair_number aPair, bool aReset);

  event_loop& mLoop;
  std::string mTarget;
  std::uint16_t mPort;
  Poco::Net::ServerSocket mSocket;
  bool mListening = false;
  link_faults mFaults;
  link_counts mCounts;
  std::mt19937_64 mRandom;
  pair_number mNext = 1;
  std::unordered_map<pair_number, pair> mPairs;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_FAULT_LINK_H_
