// Implementation of the control port.
#include "snipewalk/control/control_port.h"

#include "control_link.h"
#include "fleet/fleet_codec.h"

#include "snipewalk/base/log.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>

namespace snipewalk {

namespace {

constexpr int kBacklog = 128;
// Events handled before the loop looks at its other sockets again.
constexpr int kDatagramsAtOnce = 64;
constexpr int kAcceptsAtOnce = 16;
// Bursts of probes wait in the kernel while the loop is busy.
constexpr int kReceiveBufferBytes = 1024 * 1024;
// An instance of another version sends some datagrams a second.
constexpr milliseconds kVersionReportInterval{ 60'000 };

} // namespace

class datagram_socket : public socket_handler
{
public:
  datagram_socket(control_port& aPort, const Poco::Net::SocketAddress& aAddress)
    : mPort(aPort)
    , mSocket(aAddress, false)
  {
    mSocket.setBlocking(false);
    mSocket.setReceiveBufferSize(kReceiveBufferBytes);
    mPort.mLoop.Add(mSocket, this, false);
  }
  ~datagram_socket() override { mPort.mLoop.Remove(mSocket); }

  void Send(const std::string& aTo, const std::string& aBytes)
  {
    try {
      mSocket.sendTo(aBytes.data(),
                     static_cast<int>(aBytes.size()),
                     Poco::Net::SocketAddress(aTo));
    } catch (const Poco::Exception&) {
      // Datagrams may be lost at any place, also here.
    }
  }

  void OnReadable(time_point aNow) override
  {
    std::array<char, kLongestDatagramBytes> buffer;
    for (int i = 0; i < kDatagramsAtOnce; ++i) {
      Poco::Net::SocketAddress from;
      int received = 0;
      try {
        received = mSocket.receiveFrom(
          buffer.data(), static_cast<int>(buffer.size()), from);
      } catch (const Poco::Exception&) {
        // An earlier datagram was refused by its receiver's host.
        continue;
      }
      if (received <= 0) {
        return;
      }
      mPort.OnDatagram(
        from.toString(),
        std::string_view(buffer.data(), static_cast<std::size_t>(received)),
        aNow);
    }
  }
  void OnWritable(time_point) override {}
  void OnSocketError(time_point) override {}

private:
  control_port& mPort;
  Poco::Net::DatagramSocket mSocket;
};

class control_acceptor : public socket_handler
{
public:
  control_acceptor(control_port& aPort,
                   const Poco::Net::SocketAddress& aAddress)
    : mPort(aPort)
  {
    mSocket.bind(aAddress, true, false);
    mSocket.listen(kBacklog);
    mSocket.setBlocking(false);
    mPort.mLoop.Add(mSocket, this, false);
  }
  ~control_acceptor() override { mPort.mLoop.Remove(mSocket); }

  Poco::Net::ServerSocket& Socket() { return mSocket; }
  void OnReadable(time_point aNow) override { mPort.OnAccept(aNow); }
  void OnWritable(time_point) override {}
  void OnSocketError(time_point) override {}

private:
  control_port& mPort;
  Poco::Net::ServerSocket mSocket;
};

control_port::control_port(event_loop& aLoop,
                           control_port_options aOptions,
                           control_port_handlers aHandlers)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mHandlers(std::move(aHandlers))
{
}

control_port::~control_port() = default;

absl::Status
control_port::Open()
{
  try {
    mAcceptor = std::make_unique<control_acceptor>(
      *this, Poco::Net::SocketAddress(mOptions.mAddress));
    const Poco::Net::SocketAddress bound = mAcceptor->Socket().address();
    mAddress = bound.toString();
    mDatagrams = std::make_unique<datagram_socket>(*this, bound);
  } catch (const Poco::Exception& error) {
    mAcceptor.reset();
    return absl::UnavailableError("control port " + mOptions.mAddress + ": " +
                                  error.displayText());
  }
  return absl::OkStatus();
}

void
control_port::SetKeys(std::vector<std::string> aKeys)
{
  mOptions.mKeys = std::move(aKeys);
}

void
control_port::SendDatagram(const std::string& aTo,
                           const datagram_body& aBody,
                           int aVersion)
{
  if (mOptions.mKeys.empty() || !mDatagrams) {
    return;
  }
  const std::string bytes =
    EncodeDatagram(aBody, mOptions.mKeys.front(), aVersion);
  ++mCounters.mDatagramsSent;
  mCounters.mBytesSent += bytes.size();
  mDatagrams->Send(aTo, bytes);
}

void
control_port::OnDatagram(const std::string& aFrom,
                         std::string_view aBytes,
                         time_point aNow)
{
  ++mCounters.mDatagramsReceived;
  auto body = DecodeDatagram(aBytes, mOptions.mKeys, mOptions.mVersions);
  if (!body) {
    NoteRejected(aFrom, aBytes, aNow);
    return;
  }
  mHandlers.mOnDatagram(aFrom, std::move(*body), aNow);
}

void
control_port::NoteRejected(const std::string& aFrom,
                           std::string_view aBytes,
                           time_point aNow)
{
  ++mCounters.mDatagramsRejected;
  const auto version = VersionOfDatagram(aBytes, mOptions.mKeys);
  if (!version || mOptions.mVersions.Contains(*version) ||
      aNow < mNextVersionReport) {
    return;
  }
  mNextVersionReport = aNow + kVersionReportInterval;
  Log(
    log_level::Warning,
    "control_port",
    "no common protocol version: ignoring the datagrams of an instance",
    { { "peer", std::string_view(aFrom) },
      { "version", static_cast<std::int64_t>(*version) },
      { "lowest", static_cast<std::int64_t>(mOptions.mVersions.mLowest) },
      { "highest", static_cast<std::int64_t>(mOptions.mVersions.mHighest) } });
}

void
control_port::OnAccept(time_point)
{
  for (int i = 0; i < kAcceptsAtOnce; ++i) {
    Poco::Net::StreamSocket socket;
    try {
      if (!mAcceptor->Socket().poll(Poco::Timespan(0),
                                    Poco::Net::Socket::SELECT_READ)) {
        return;
      }
      socket = mAcceptor->Socket().acceptConnection();
    } catch (const Poco::Exception&) {
      return;
    }
    if (mLinks.size() >= mOptions.mMaxIncoming + mOptions.mMaxOutgoing) {
      ++mCounters.mConnectionsRejected;
      continue;
    }
    const link_id id = mNextLink++;
    mLinks.emplace(id, std::make_unique<control_link>(*this, id, socket));
  }
}

void
control_port::Send(const std::string& aTo, const fleet_message& aMessage)
{
  auto found = mOutgoing.find(aTo);
  if (found == mOutgoing.end()) {
    if (mOutgoing.size() >= mOptions.mMaxOutgoing) {
      CloseOldestOutgoing();
    }
    const link_id id = mNextLink++;
    mLinks.emplace(id, std::make_unique<control_link>(*this, id, aTo));
    found = mOutgoing.emplace(aTo, id).first;
  }
  Reply(found->second, aMessage);
}

void
control_port::Reply(link_id aLink, const fleet_message& aMessage)
{
  const auto link = mLinks.find(aLink);
  if (link != mLinks.end()) {
    link->second->Send(aMessage);
  }
}

void
control_port::CloseOldestOutgoing()
{
  const auto oldest =
    std::min_element(mOutgoing.begin(),
                     mOutgoing.end(),
                     [&](const auto& aLeft, const auto& aRight) {
                       return mLinks.at(aLeft.second)->LastUse() <
                              mLinks.at(aRight.second)->LastUse();
                     });
  Drop(oldest->second);
}

void
control_port::Drop(link_id aLink)
{
  const auto link = mLinks.find(aLink);
  if (link == mLinks.end()) {
    return;
  }
  const auto outgoing = mOutgoing.find(link->second->To());
  if (outgoing != mOutgoing.end() && outgoing->second == aLink) {
    mOutgoing.erase(outgoing);
  }
  // The link may be calling, so that it is destroyed later.
  mLoop.Post([this, aLink, alive = std::weak_ptr<bool>(mAlive)] {
    if (!alive.expired()) {
      mLinks.erase(aLink);
    }
  });
}

void
control_port::Tick(time_point aNow)
{
  std::vector<link_id> expired;
  for (const auto& [id, link] : mLinks) {
    const milliseconds limit =
      link->IsReady() ? mOptions.mIdleTime : mOptions.mHandshakeTime;
    if (aNow - link->LastUse() >= limit) {
      expired.push_back(id);
    }
  }
  for (const link_id id : expired) {
    Drop(id);
  }
}

} // namespace snipewalk
