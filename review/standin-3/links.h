// Links of a case: TCP and UDP between two programs on loopback, which a
// partition cuts. As with a cut network, bytes are not lost but repeated by
// their sender at growing intervals, so that a connection from before or during
// the cut goes on only at the next repetition after its end.
#ifndef SNIPEWALK_REVIEW_LINKS_H_
#define SNIPEWALK_REVIEW_LINKS_H_

#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/listener.h"
#include "snipewalk/connection/stream_connection.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace snipewalk::review {

// Forwards TCP connections to a target. Loop thread only.
class tcp_link
{
public:
  // Called with bytes from the connecting side, also while the link is cut.
  using watcher = std::function<void(const std::string& aBytes)>;

  tcp_link(event_loop& aLoop, std::uint16_t aPort, std::string aTarget);
  ~tcp_link();
  tcp_link(const tcp_link&) = delete;
  tcp_link& operator=(const tcp_link&) = delete;

  std::string Address() const { return mListener->Address(); }
  void SetCut(bool aCut) { mCut = aCut; }
  void SetWatcher(watcher aWatcher) { mWatcher = std::move(aWatcher); }

private:
  enum direction : std::size_t
  {
    ToTarget,
    ToClient
  };

  // One direction of a connection.
  struct half
  {
    // The end that the bytes go to.
    std::unique_ptr<stream_connection> mStream;
    std::deque<std::string> mHeld;
    bool mEnding = false;
    // A repetition is scheduled; everything waits for it.
    bool mStalled = false;
  };
  using pair = std::array<half, 2>;

  void Accept(const Poco::Net::StreamSocket& aSocket);
  // Tries to reach the target after a lost attempt.
  void ConnectLater(std::uint64_t aPair, milliseconds aDelay);
  void ConnectTarget(std::uint64_t aPair);
  stream_connection::handlers HandlersOf(std::uint64_t aPair,
                                         direction aTowards);
  void Forward(std::uint64_t aPair, direction aTowards);
  void Stall(std::uint64_t aPair, direction aTowards, milliseconds aDelay);
  void End(std::uint64_t aPair);

  event_loop& mLoop;
  std::string mTarget;
  std::unique_ptr<listener> mListener;
  bool mCut = false;
  watcher mWatcher;
  std::map<std::uint64_t, pair> mPairs;
  std::uint64_t mNext = 1;
};

// Datagrams between two programs, each of which knows the other by an address
// of the relay. Loop thread only.
class udp_relay
{
public:
  udp_relay(event_loop& aLoop,
            const std::string& aFirst,
            std::uint16_t aFirstPort,
            const std::string& aSecond,
            std::uint16_t aSecondPort);
  ~udp_relay();
  udp_relay(const udp_relay&) = delete;
  udp_relay& operator=(const udp_relay&) = delete;

  void SetCut(bool aCut) { mCut = aCut; }

private:
  // Takes the datagrams for one program and sends those of the other.
  struct side : public socket_handler
  {
    udp_relay* mRelay = nullptr;
    side* mOther = nullptr;
    Poco::Net::SocketAddress mProgram;
    Poco::Net::DatagramSocket mSocket;

    void OnReadable(time_point aNow) override;
    void OnWritable(time_point) override {}
    void OnSocketError(time_point) override {}
  };

  event_loop& mLoop;
  bool mCut = false;
  // mSides[0] stands for the first program, to which it sends nothing itself.
  std::array<side, 2> mSides;
};

} // namespace snipewalk::review

#endif // SNIPEWALK_REVIEW_LINKS_H_
