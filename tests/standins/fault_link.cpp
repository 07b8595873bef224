// Implementation of a link of the fault-injecting TCP proxy.
#include "standins/fault_link.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <utility>
#include <vector>

namespace snipewalk::standins {

namespace {

constexpr int kBacklog = 1024;
constexpr milliseconds kCloseCheck{ 5 };

void
ResetSocket(Poco::Net::StreamSocket& aSocket)
{
  try {
    aSocket.setLinger(true, 0);
  } catch (const Poco::Exception&) {
    // Already closed by the peer.
  }
}

} // namespace

fault_link::fault_link(event_loop& aLoop,
                       std::string aTarget,
                       std::uint16_t aPort,
                       std::uint64_t aSeed)
  : mLoop(aLoop)
  , mTarget(std::move(aTarget))
  , mPort(aPort)
  , mRandom(aSeed)
{
  Listen();
}

fault_link::~fault_link()
{
  if (mListening) {
    mLoop.Remove(mSocket);
  }
}

void
fault_link::Listen()
{
  mSocket = Poco::Net::ServerSocket();
  mSocket.bind(Poco::Net::SocketAddress("127.0.0.1", mPort), true);
  mSocket.listen(kBacklog);
  mSocket.setBlocking(false);
  mPort = mSocket.address().port();
  mLoop.Add(mSocket, this, false);
  mListening = true;
}

bool
fault_link::IsCut(direction aTowards) const
{
  return mFaults.mCut == link_cut::Both ||
         mFaults.mCut ==
           (aTowards == ToTarget ? link_cut::ToTarget : link_cut::ToClient);
}

void
fault_link::OnReadable(time_point)
{
  while (mListening && mSocket.poll(0, Poco::Net::Socket::SELECT_READ)) {
    try {
      Poco::Net::StreamSocket socket = mSocket.acceptConnection();
      const auto draw = static_cast<int>(mRandom() % 100);
      if (draw < mFaults.mDropPercent) {
        ++mCounts.mDropped;
        ResetSocket(socket);
        socket.close();
        continue;
      }
      Open(socket);
    } catch (const Poco::Exception&) {
      return;
    }
  }
}

void
fault_link::Open(const Poco::Net::StreamSocket& aSocket)
{
  ++mCounts.mAccepted;
  const pair_number number = mNext++;
  pair& opened = mPairs[number];
  opened.mClientSocket = aSocket;
  opened.mEnds[ToClient].mStream =
    stream_connection::Adopt(mLoop, aSocket, HandlersOf(number, ToTarget));
  if (mFaults.mCut != link_cut::None) {
    // The set-up needs both directions and is lost; the kernel already accepted
    // for the target.
    opened.mSilent = true;
    return;
  }
  opened.mEnds[ToTarget].mStream =
    stream_connection::Connect(mLoop, mTarget, HandlersOf(number, ToClient));
}

// Handlers of the end whose input goes towards `aTowards`.
stream_connection::handlers
fault_link::HandlersOf(pair_number aPair, direction aTowards)
{
  stream_connection::handlers handlers;
  handlers.mOnInput = [this, aPair, aTowards](std::string& aInput,
                                              time_point aNow) {
    Forward(aPair, aTowards, aInput, aNow);
  };
  handlers.mOnClosed = [this, aPair, aTowards](close_cause aCause,
                                               time_point aNow) {
    EndClosed(aPair, aTowards, aCause, aNow);
  };
  return handlers;
}

void
fault_link::Forward(pair_number aPair,
                    direction aTowards,
                    std::string& aInput,
                    time_point aNow)
{
  const auto found = mPairs.find(aPair);
  std::string bytes = std::exchange(aInput, {});
  if (found == mPairs.end()) {
    return;
  }
  if (found->second.mSilent || IsCut(aTowards)) {
    mCounts.mBytesLost += bytes.size();
    found->second.mLostBytes = true;
    return;
  }
  (aTowards == ToTarget ? mCounts.mBytesToTarget : mCounts.mBytesToClient) +=
    bytes.size();
  found->second.mEnds[aTowards].mHeld.push_back(
    { aNow + mFaults.mDelay, std::move(bytes) });
  Deliver(aPair, aTowards, aNow);
}

void
fault_link::EndClosed(pair_number aPair,
                      direction aTowards,
                      close_cause aCause,
                      time_point aNow)
{
  const auto found = mPairs.find(aPair);
  if (found == mPairs.end()) {
    return;
  }
  if (aCause == close_cause::ResetByPeer) {
    // What was under way is not sent again.
    Drop(aPair, true);
    return;
  }
  pair& ending = found->second;
  if (ending.mSilent || IsCut(aTowards)) {
    ending.mLostBytes = true;
    // Nobody is left once both ends closed.
    const auto& other = ending.mEnds[aTowards].mStream;
    if (!other || !other->IsOpen()) {
      Drop(aPair, false);
    }
    return;
  }
  ending.mEnds[aTowards].mEnding = true;
  Deliver(aPair, aTowards, aNow);
}

void
fault_link::Deliver(pair_number aPair, direction aTowards, time_point aNow)
{
  const auto found = mPairs.find(aPair);
  if (found == mPairs.end() || mFaults.mFrozen) {
    return;
  }
  half& end = found->second.mEnds[aTowards];
  while (!end.mHeld.empty() && end.mHeld.front().mDue <= aNow) {
    if (end.mStream) {
      end.mStream->Send(end.mHeld.front().mBytes);
    }
    end.mHeld.pop_front();
  }
  if (!end.mHeld.empty()) {
    DeliverAt(aPair, aTowards, end.mHeld.front().mDue);
    return;
  }
  if (!end.mEnding) {
    return;
  }
  if (end.mStream && end.mStream->PendingOutput() > 0 &&
      end.mStream->IsOpen()) {
    // The stream closes silently, so the pair is looked at again.
    end.mStream->CloseAfterOutput();
    DeliverAt(aPair, aTowards, aNow + kCloseCheck);
    return;
  }
  Drop(aPair, false);
}

void
fault_link::DeliverAt(pair_number aPair, direction aTowards, time_point aWhen)
{
  mLoop.RunAt(aWhen,
              [this, aPair, aTowards, alive = std::weak_ptr<bool>(mAlive)](
                time_point aNow) {
                if (!alive.expired()) {
                  Deliver(aPair, aTowards, aNow);
                }
              });
}

void
fault_link::Drop(pair_number aPair, bool aReset)
{
  const auto found = mPairs.find(aPair);
  if (found == mPairs.end()) {
    return;
  }
  if (aReset) {
    ResetSocket(found->second.mClientSocket);
  }
  for (half& end : found->second.mEnds) {
    if (end.mStream) {
      end.mStream->Close();
    }
  }
  // A handler of one of the streams may be running.
  auto dropped = std::make_shared<pair>(std::move(found->second));
  mPairs.erase(found);
  mLoop.Post([dropped] {});
}

void
fault_link::SetFaults(const link_faults& aFaults, time_point aNow)
{
  const link_faults old = std::exchange(mFaults, aFaults);
  if (aFaults.mRefuse && mListening) {
    mLoop.Remove(mSocket);
    mSocket.close();
    mListening = false;
  } else if (!aFaults.mRefuse && !mListening) {
    Listen();
  }
  std::vector<pair_number> numbers;
  for (const auto& [number, opened] : mPairs) {
    numbers.push_back(number);
  }
  const bool cutEnds =
    old.mCut != link_cut::None && aFaults.mCut == link_cut::None;
  for (const pair_number number : numbers) {
    const pair& opened = mPairs.at(number);
    if (cutEnds && (opened.mLostBytes || !opened.mEnds[ToTarget].mStream)) {
      Drop(number, true);
      continue;
    }
    Deliver(number, ToTarget, aNow);
    Deliver(number, ToClient, aNow);
  }
}

void
fault_link::Reset()
{
  while (!mPairs.empty()) {
    Drop(mPairs.begin()->first, true);
  }
}

void
fault_link::SilenceEstablished()
{
  for (auto& [number, opened] : mPairs) {
    opened.mSilent = true;
    for (half& end : opened.mEnds) {
      // Reading the end of a stream would close the socket and so tell that
      // side of it.
      if (end.mStream) {
        end.mStream->PauseInput();
      }
    }
  }
}

void
fault_link::DropSilencedAtTarget()
{
  for (auto& [number, opened] : mPairs) {
    half& end = opened.mEnds[ToTarget];
    if (opened.mSilent && end.mStream) {
      end.mStream->Close();
    }
  }
}

} // namespace snipewalk::standins
