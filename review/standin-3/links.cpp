// Implementation of the links of a case.
#include "links.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace snipewalk::review {

namespace {

// Delay of the first repetition of bytes and of a connection attempt. Each
// further one takes twice as long.
constexpr milliseconds kFirstRepetition{ 200 };
constexpr milliseconds kFirstAttempt{ 1'000 };
constexpr std::size_t kMaxDatagramBytes = 65'536;

std::string
Loopback(std::uint16_t aPort)
{
  return absl::StrCat("127.0.0.1:", aPort);
}

} // namespace

tcp_link::tcp_link(event_loop& aLoop, std::uint16_t aPort, std::string aTarget)
  : mLoop(aLoop)
  , mTarget(std::move(aTarget))
{
  auto opened = listener::Open(mLoop,
                               Loopback(aPort),
                               [this](const Poco::Net::StreamSocket& aSocket,
                                      time_point) { Accept(aSocket); });
  mListener = *std::move(opened);
}

tcp_link::~tcp_link() = default;

void
tcp_link::Accept(const Poco::Net::StreamSocket& aSocket)
{
  const std::uint64_t number = mNext++;
  pair& opened = mPairs[number];
  opened[ToClient].mStream =
    stream_connection::Adopt(mLoop, aSocket, HandlersOf(number, ToTarget));
  if (mCut) {
    opened[ToTarget].mStalled = true;
    ConnectLater(number, kFirstAttempt);
  } else {
    ConnectTarget(number);
  }
}

void
tcp_link::ConnectLater(std::uint64_t aPair, milliseconds aDelay)
{
  mLoop.RunAt(mLoop.Now() + aDelay, [this, aPair, aDelay](time_point) {
    if (!mPairs.contains(aPair)) {
      return;
    }
    if (mCut) {
      ConnectLater(aPair, 2 * aDelay);
      return;
    }
    mPairs.at(aPair)[ToTarget].mStalled = false;
    ConnectTarget(aPair);
    Forward(aPair, ToTarget);
  });
}

void
tcp_link::ConnectTarget(std::uint64_t aPair)
{
  mPairs.at(aPair)[ToTarget].mStream =
    stream_connection::Connect(mLoop, mTarget, HandlersOf(aPair, ToClient));
}

stream_connection::handlers
tcp_link::HandlersOf(std::uint64_t aPair, direction aTowards)
{
  stream_connection::handlers handlers;
  handlers.mOnInput = [this, aPair, aTowards](std::string& aInput, time_point) {
    std::string bytes = std::exchange(aInput, {});
    if (!mPairs.contains(aPair)) {
      return;
    }
    if (mWatcher && aTowards == ToTarget) {
      mWatcher(bytes);
    }
    mPairs.at(aPair)[aTowards].mHeld.push_back(std::move(bytes));
    Forward(aPair, aTowards);
  };
  handlers.mOnClosed = [this, aPair, aTowards](close_cause, time_point) {
    if (mPairs.contains(aPair)) {
      mPairs.at(aPair)[aTowards].mEnding = true;
      Forward(aPair, aTowards);
    }
  };
  return handlers;
}

void
tcp_link::Forward(std::uint64_t aPair, direction aTowards)
{
  half& towards = mPairs.at(aPair)[aTowards];
  if (towards.mStalled || (towards.mHeld.empty() && !towards.mEnding)) {
    return;
  }
  if (mCut) {
    towards.mStalled = true;
    Stall(aPair, aTowards, kFirstRepetition);
    return;
  }
  for (const auto& bytes : std::exchange(towards.mHeld, {})) {
    towards.mStream->Send(bytes);
  }
  if (towards.mEnding) {
    End(aPair);
  }
}

void
tcp_link::Stall(std::uint64_t aPair, direction aTowards, milliseconds aDelay)
{
  mLoop.RunAt(mLoop.Now() + aDelay,
              [this, aPair, aTowards, aDelay](time_point) {
                if (!mPairs.contains(aPair)) {
                  return;
                }
                if (mCut) {
                  Stall(aPair, aTowards, 2 * aDelay);
                  return;
                }
                mPairs.at(aPair)[aTowards].mStalled = false;
                Forward(aPair, aTowards);
              });
}

void
tcp_link::End(std::uint64_t aPair)
{
  const auto ended =
    std::make_shared<pair>(std::move(mPairs.extract(aPair).mapped()));
  for (auto& towards : *ended) {
    if (towards.mStream) {
      towards.mStream->CloseAfterOutput();
    }
  }
  // Handlers of the streams may be running.
  mLoop.RunAt(mLoop.Now() + seconds(1), [ended](time_point) {});
}

udp_relay::udp_relay(event_loop& aLoop,
                     const std::string& aFirst,
                     std::uint16_t aFirstPort,
                     const std::string& aSecond,
                     std::uint16_t aSecondPort)
  : mLoop(aLoop)
{
  const std::array<std::string, 2> programs{ aFirst, aSecond };
  const std::array<std::uint16_t, 2> ports{ aFirstPort, aSecondPort };
  for (std::size_t i = 0; i < mSides.size(); ++i) {
    side& self = mSides.at(i);
    self.mRelay = this;
    self.mOther = &mSides.at(1 - i);
    self.mProgram = Poco::Net::SocketAddress(programs.at(i));
    self.mSocket.bind(Poco::Net::SocketAddress(Loopback(ports.at(i))));
    self.mSocket.setBlocking(false);
    mLoop.Add(self.mSocket, &self, false);
  }
}

udp_relay::~udp_relay()
{
  for (auto& one : mSides) {
    mLoop.Remove(one.mSocket);
  }
}

void
udp_relay::side::OnReadable(time_point)
{
  std::string bytes(kMaxDatagramBytes, '\0');
  Poco::Net::SocketAddress sender;
  const int received =
    mSocket.receiveFrom(bytes.data(), static_cast<int>(bytes.size()), sender);
  if (received <= 0 || mRelay->mCut) {
    return;
  }
  // The receiver answers to the address that stands for the sender.
  mOther->mSocket.sendTo(bytes.data(), received, mProgram);
}

} // namespace snipewalk::review
