// Implementation of the listener.
#include "snipewalk/connection/listener.h"

#include "snipewalk/base/log.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <absl/strings/str_cat.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>
#include <utility>

namespace snipewalk {

namespace {

constexpr int kBacklog = 1024;
// The caller's system regards a connection that the full queue held back as
// established. It is accepted when the handshake is repeated, after a second,
// or the caller's first request, sooner.
constexpr milliseconds kHandshakeRepeatTime{ 1'200 };
// Without free descriptors the socket stays readable; a pause prevents the loop
// from spinning.
constexpr milliseconds kPauseAfterFailure{ 100 };
// Offset of the flags in a TCP header, in bytes.
constexpr std::uint32_t kTcpFlagsOffset = 13;
// Flag of the packet that asks for a connection.
constexpr std::uint32_t kSynFlag = 0x02;
// Return value of a socket filter that drops nothing.
constexpr std::uint32_t kKeepWholePacket = 0xffffffff;

// Makes the system drop further attempts to connect. The callers' systems
// repeat them after a second, when the socket is closed. Returns false if it
// failed.
bool
IgnoreNewConnections(const Poco::Net::ServerSocket& aSocket)
{
  std::array<sock_filter, 4> instructions{ {
    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kTcpFlagsOffset),
    BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSynFlag, 0, 1),
    BPF_STMT(BPF_RET | BPF_K, 0),
    BPF_STMT(BPF_RET | BPF_K, kKeepWholePacket),
  } };
  const sock_fprog program{ static_cast<unsigned short>(instructions.size()),
                            instructions.data() };
  return setsockopt(aSocket.impl()->sockfd(),
                    SOL_SOCKET,
                    SO_ATTACH_FILTER,
                    &program,
                    sizeof(program)) == 0;
}

bool
IsQueueFull(const Poco::Net::ServerSocket& aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(
        aSocket.impl()->sockfd(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return false;
  }
  // For a listening socket the system gives the queue's length and limit here.
  return info.tcpi_unacked > info.tcpi_sacked;
}

} // namespace

listener::listener(event_loop& aLoop, accept_handler aOnAccept)
  : mLoop(aLoop)
  , mOnAccept(std::move(aOnAccept))
{
}

listener::~listener()
{
  if (mOpen) {
    CloseSocket();
  }
}

absl::StatusOr<std::unique_ptr<listener>>
listener::Open(event_loop& aLoop,
               const std::string& aAddress,
               accept_handler aOnAccept)
{
  std::unique_ptr<listener> opened(new listener(aLoop, std::move(aOnAccept)));
  try {
    opened->mSocket.bind(Poco::Net::SocketAddress(aAddress), true, true);
    opened->mSocket.listen(kBacklog);
    opened->mSocket.setBlocking(false);
    aLoop.Add(opened->mSocket, opened.get(), false);
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(
      absl::StrCat("cannot listen on ", aAddress, ": ", error.displayText()));
  }
  opened->mOpen = true;
  return opened;
}

std::string
listener::Address() const
{
  return mSocket.address().toString();
}

bool
listener::AcceptOne(time_point aNow)
{
  try {
    const Poco::Net::StreamSocket accepted = mSocket.acceptConnection();
    mOnAccept(accepted, aNow);
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

void
listener::OnReadable(time_point aNow)
{
  if (IsQueueFull(mSocket)) {
    mQueueFullAt = aNow;
  }
  // One connection an event: the socket stays readable while more wait.
  if (!AcceptOne(aNow)) {
    Pause(aNow);
  }
}

void
listener::Pause(time_point aNow)
{
  Log(log_level::Warning, "listener", "cannot accept a connection");
  mLoop.SetWantRead(mSocket, false);
  mResume = mLoop.RunAt(aNow + kPauseAfterFailure, [this](time_point) {
    mLoop.SetWantRead(mSocket, true);
  });
}

void
listener::Close(time_point aNow)
{
  if (!mOpen || mClosing) {
    return;
  }
  mClosing = true;
  // A connection established between the last accept and the close would be
  // reset.
  if (!IgnoreNewConnections(mSocket)) {
    Log(log_level::Warning,
        "listener",
        "connections established while the listener closes may be lost");
  }
  if (IsQueueFull(mSocket)) {
    mQueueFullAt = aNow;
  }
  while (AcceptOne(aNow)) {
  }
  if (!mQueueFullAt || aNow >= *mQueueFullAt + kHandshakeRepeatTime) {
    CloseSocket();
    return;
  }
  mCloseTimer = mLoop.RunAt(*mQueueFullAt + kHandshakeRepeatTime,
                            [this](time_point) { CloseSocket(); });
}

void
listener::CloseSocket()
{
  mOpen = false;
  mLoop.Cancel(mResume);
  mLoop.Cancel(mCloseTimer);
  mLoop.Remove(mSocket);
  mSocket.close();
}

} // namespace snipewalk
