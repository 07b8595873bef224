// Implementation of the links to other instances.
#include "snipewalk/traffic/peer_hub.h"

#include <Poco/Net/StreamSocket.h>

#include <utility>

namespace snipewalk {

peer_hub::peer_hub(event_loop& aLoop,
                   peer_identity aIdentity,
                   handlers aHandlers)
  : mLoop(aLoop)
  , mIdentity(std::move(aIdentity))
  , mHandlers(std::move(aHandlers))
{
}

void
peer_hub::SetFleetKeys(std::vector<std::string> aFleetKeys)
{
  mIdentity.mFleetKeys = std::move(aFleetKeys);
}

void
peer_hub::Send(const std::string& aPeer,
               const std::string& aAddress,
               forwarded_request aRequest)
{
  auto found = mOutgoing.find(aPeer);
  if (found == mOutgoing.end()) {
    OpenLink(aPeer, aAddress);
    found = mOutgoing.find(aPeer);
  }
  outgoing& entry = found->second;
  entry.mLastUsed = mLoop.Now();
  ++entry.mOutstanding;
  if (!entry.mLink->IsReady()) {
    entry.mWaiting.push_back(std::move(aRequest));
    return;
  }
  std::visit(
    [&](auto& aTyped) { entry.mLink->Send(peer_message(std::move(aTyped))); },
    aRequest);
}

void
peer_hub::OpenLink(const std::string& aPeer, const std::string& aAddress)
{
  const std::uint64_t number = mNextNumber++;
  peer_link::handlers link;
  link.mOnReady = [this, aPeer](time_point) { OnOutgoingReady(aPeer); };
  link.mOnClosed = [this, aPeer, number](bool aWasReady, time_point aNow) {
    OnOutgoingClosed(aPeer, number, aWasReady, aNow);
  };
  link.mOnMessage = [this, aPeer](peer_message aMessage, time_point aNow) {
    OnOutgoingMessage(aPeer, std::move(aMessage), aNow);
  };
  outgoing& entry = mOutgoing[aPeer];
  entry.mAddress = aAddress;
  entry.mNumber = number;
  entry.mLink =
    peer_link::Connect(mLoop, mIdentity, aPeer, aAddress, std::move(link));
}

void
peer_hub::OnOutgoingReady(const std::string& aPeer)
{
  outgoing& entry = mOutgoing.at(aPeer);
  mHandlers.mOnReady(aPeer);
  std::vector<forwarded_request> waiting;
  waiting.swap(entry.mWaiting);
  for (auto& request : waiting) {
    std::visit(
      [&](auto& aTyped) { entry.mLink->Send(peer_message(std::move(aTyped))); },
      request);
  }
}

void
peer_hub::OnOutgoingClosed(const std::string& aPeer,
                           std::uint64_t aNumber,
                           bool aWasReady,
                           time_point aNow)
{
  const auto found = mOutgoing.find(aPeer);
  if (found == mOutgoing.end() || found->second.mNumber != aNumber) {
    return;
  }
  Discard(std::move(found->second.mLink));
  mOutgoing.erase(found);
  mHandlers.mOnClosed(aPeer, aWasReady, aNow);
}

void
peer_hub::OnOutgoingMessage(const std::string& aPeer,
                            peer_message aMessage,
                            time_point aNow)
{
  auto* response = std::get_if<statement_response>(&aMessage);
  // Requests travel only over links that their sender opened.
  if (!response) {
    return;
  }
  const auto found = mOutgoing.find(aPeer);
  if (found != mOutgoing.end() && found->second.mOutstanding > 0) {
    --found->second.mOutstanding;
    found->second.mLastUsed = aNow;
  }
  mHandlers.mOnResponse(std::move(*response), aNow);
}

void
peer_hub::Adopt(const Poco::Net::StreamSocket& aSocket)
{
  const std::uint64_t number = mNextNumber++;
  peer_link::handlers link;
  link.mOnClosed = [this, number](bool, time_point) {
    auto found = mIncoming.extract(number);
    if (!found.empty()) {
      Discard(std::move(found.mapped()));
    }
  };
  link.mOnMessage = [this, number](peer_message aMessage, time_point aNow) {
    OnIncomingMessage(number, std::move(aMessage), aNow);
  };
  mIncoming[number] =
    peer_link::Adopt(mLoop, mIdentity, aSocket, std::move(link));
}

void
peer_hub::OnIncomingMessage(std::uint64_t aNumber,
                            peer_message aMessage,
                            time_point aNow)
{
  forwarded_request request;
  if (auto* statement = std::get_if<statement_request>(&aMessage)) {
    request = std::move(*statement);
  } else if (auto* outcome = std::get_if<outcome_request>(&aMessage)) {
    request = std::move(*outcome);
  } else {
    return;
  }
  ++mIncomingRequests;
  mHandlers.mOnRequest(
    std::move(request),
    [this, aNumber](statement_response aResponse, time_point) {
      --mIncomingRequests;
      Answer(aNumber, std::move(aResponse));
    },
    aNow);
}

void
peer_hub::Answer(std::uint64_t aNumber, statement_response aResponse)
{
  const auto found = mIncoming.find(aNumber);
  if (found != mIncoming.end()) {
    found->second->Send(peer_message(std::move(aResponse)));
  }
}

void
peer_hub::Flush()
{
  for (auto& [peer, entry] : mOutgoing) {
    entry.mLink->Flush();
  }
  for (auto& [number, link] : mIncoming) {
    link->Flush();
  }
}

void
peer_hub::CloseIdle(time_point aNow)
{
  for (auto entry = mOutgoing.begin(); entry != mOutgoing.end();) {
    const bool idle = entry->second.mOutstanding == 0 &&
                      aNow - entry->second.mLastUsed >= kPeerIdleLimit;
    entry = idle ? mOutgoing.erase(entry) : std::next(entry);
  }
}

void
peer_hub::Discard(std::shared_ptr<peer_link> aLink)
{
  mLoop.Post([link = std::move(aLink)] {});
}

} // namespace snipewalk
