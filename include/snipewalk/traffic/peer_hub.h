// The links of one traffic thread to other instances: outgoing ones carry this
// instance's requests, incoming ones those of other instances.
#ifndef SNIPEWALK_TRAFFIC_PEER_HUB_H_
#define SNIPEWALK_TRAFFIC_PEER_HUB_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/peer_link.h"
#include "snipewalk/request/forwarder.h"
#include "snipewalk/traffic/engine_host.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipewalk {

// An outgoing link without requests is closed after this time.
inline constexpr milliseconds kPeerIdleLimit{ 30'000 };

// Loop thread only.
class peer_hub
{
public:
  struct handlers
  {
    std::function<void(const std::string& aPeer)> mOnReady;
    std::function<void(const std::string& aPeer, bool aWasReady, time_point)>
      mOnClosed;
    std::function<void(statement_response, time_point)> mOnResponse;
    // A request of a peer; the responder may be called once, from this loop.
    std::function<void(forwarded_request, responder, time_point)> mOnRequest;
  };

  peer_hub(event_loop& aLoop, peer_identity aIdentity, handlers aHandlers);

  // Used by links that are opened from now on. All verify, the first signs.
  void SetFleetKeys(std::vector<std::string> aFleetKeys);

  // Sends the request once a link is ready; opens one if there is none. When
  // the link fails first, mOnClosed reports it as not ready.
  void Send(const std::string& aPeer,
            const std::string& aAddress,
            forwarded_request aRequest);

  void Adopt(const Poco::Net::StreamSocket& aSocket);

  // Writes what the links collected. Called after each round.
  void Flush();

  void CloseIdle(time_point aNow);

  // Requests of peers that were not answered yet.
  std::size_t Incoming() const { return mIncomingRequests; }

private:
  struct outgoing
  {
    std::string mAddress;
    // Identifies the link in callbacks of links that were replaced.
    std::uint64_t mNumber = 0;
    std::shared_ptr<peer_link> mLink;
    // Requests that wait for the handshake.
    std::vector<forwarded_request> mWaiting;
    time_point mLastUsed;
    std::size_t mOutstanding = 0;
  };

  void OpenLink(const std::string& aPeer, const std::string& aAddress);
  void OnOutgoingReady(const std::string& aPeer);
  void OnOutgoingClosed(const std::string& aPeer,
                        std::uint64_t aNumber,
                        bool aWasReady,
                        time_point aNow);
  void OnOutgoingMessage(const std::string& aPeer,
                         peer_message aMessage,
                         time_point aNow);
  void OnIncomingMessage(std::uint64_t aNumber,
                         peer_message aMessage,
                         time_point aNow);
  void Answer(std::uint64_t aNumber, statement_response aResponse);
  void Discard(std::shared_ptr<peer_link> aLink);

  event_loop& mLoop;
  peer_identity mIdentity;
  handlers mHandlers;
  std::map<std::string, outgoing> mOutgoing;
  std::unordered_map<std::uint64_t, std::shared_ptr<peer_link>> mIncoming;
  std::uint64_t mNextNumber = 1;
  std::size_t mIncomingRequests = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_TRAFFIC_PEER_HUB_H_
