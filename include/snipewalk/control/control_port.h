// Control port of an instance: UDP datagrams of the membership and of slots,
// and TCP connections for pushes, pulls and service messages, on one port
// number. Each datagram carries an HMAC, each connection starts with a
// challenge in both directions; without the fleet key nothing gets through.
#ifndef SNIPEWALK_CONTROL_CONTROL_PORT_H_
#define SNIPEWALK_CONTROL_CONTROL_PORT_H_

#include "snipewalk/base/protocol_version.h"
#include "snipewalk/base/time.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/version/fleet_messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

namespace snipewalk {

class control_link;
class control_acceptor;
class datagram_socket;

using link_id = std::uint64_t;

struct control_port_handlers
{
  // `aFrom` is the sender's "IP:port".
  std::function<void(const std::string& aFrom, datagram_body, time_point)>
    mOnDatagram;
  // `aFrom` is the control address that the sender stated. Answer with Reply().
  std::function<
    void(link_id, const std::string& aFrom, fleet_message, time_point)>
    mOnMessage;
};

struct control_port_options
{
  std::string mName;
  // "IP:port"; port 0 takes a free one.
  std::string mAddress;
  // The first key signs, all verify.
  std::vector<std::string> mKeys;
  version_range mVersions = kBuildVersions;
  // Connections without traffic are closed after this time.
  milliseconds mIdleTime{ 30'000 };
  milliseconds mHandshakeTime{ 3'000 };
  std::size_t mMaxOutgoing = 64;
  std::size_t mMaxIncoming = 512;
};

struct control_port_counters
{
  std::uint64_t mDatagramsSent = 0;
  std::uint64_t mDatagramsReceived = 0;
  std::uint64_t mDatagramsRejected = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mConnectionsRejected = 0;
};

// Loop thread only.
class control_port
{
public:
  control_port(event_loop& aLoop,
               control_port_options aOptions,
               control_port_handlers aHandlers);
  ~control_port();
  control_port(const control_port&) = delete;
  control_port& operator=(const control_port&) = delete;

  // Binds both sockets. Fails with Unavailable when the address is in use or
  // malformed.
  absl::Status Open();
  // "IP:port" with the port actually bound.
  const std::string& Address() const { return mAddress; }

  void SetKeys(std::vector<std::string> aKeys);

  // Lost without notice when the address is malformed or the network full.
  // `aVersion` is one that the receiver supports.
  void SendDatagram(const std::string& aTo,
                    const datagram_body& aBody,
                    int aVersion);
  // Sends over a connection that is opened on demand; lost when that fails.
  void Send(const std::string& aTo, const fleet_message& aMessage);
  // Sends over the connection on which a message arrived, if it still exists.
  void Reply(link_id aLink, const fleet_message& aMessage);

  // Closes idle and unfinished connections. Call about once a second.
  void Tick(time_point aNow);

  const control_port_counters& Counters() const { return mCounters; }

private:
  friend class control_link;
  friend class control_acceptor;
  friend class datagram_socket;

  void OnDatagram(const std::string& aFrom,
                  std::string_view aBytes,
                  time_point aNow);
  // Reports a datagram of the fleet whose version is not supported.
  void NoteRejected(const std::string& aFrom,
                    std::string_view aBytes,
                    time_point aNow);
  void OnAccept(time_point aNow);
  void CloseOldestOutgoing();
  // Closes the link after the present callback returned.
  void Drop(link_id aLink);

  event_loop& mLoop;
  control_port_options mOptions;
  control_port_handlers mHandlers;
  std::string mAddress;
  std::unique_ptr<control_acceptor> mAcceptor;
  std::unique_ptr<datagram_socket> mDatagrams;
  std::map<link_id, std::unique_ptr<control_link>> mLinks;
  // Outgoing links by the address that they lead to.
  std::map<std::string, link_id> mOutgoing;
  link_id mNextLink = 1;
  control_port_counters mCounters;
  time_point mNextVersionReport;
  // Expires with the port; guards tasks posted to the loop.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace snipewalk

#endif // SNIPEWALK_CONTROL_CONTROL_PORT_H_
