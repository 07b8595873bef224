// One TLS connection as a state machine without a socket: records in, bytes
// out, and the other way round. Keeps no buffers of its own while idle.
#ifndef SNIPEWALK_CONNECTION_TLS_SESSION_H_
#define SNIPEWALK_CONNECTION_TLS_SESSION_H_

#include "snipewalk/connection/tls_context.h"

#include <memory>
#include <string>
#include <string_view>

struct ssl_st;
struct ssl_session_st;

namespace snipewalk {

enum class tls_state
{
  Handshaking,
  Established,
  // The other side sent close_notify.
  Closed,
  // Final; the output holds the alert for the other side.
  Failed
};

class tls_session
{
public:
  static std::unique_ptr<tls_session> Server(
    std::shared_ptr<const tls_context> aContext);
  // `aServerAddress` is the IP number that the server's certificate must name.
  static std::unique_ptr<tls_session> Client(
    std::shared_ptr<const tls_context> aContext,
    const std::string& aServerAddress);
  ~tls_session();
  tls_session(const tls_session&) = delete;
  tls_session& operator=(const tls_session&) = delete;

  // Begins a client's handshake.
  void Start(std::string& aOutput);

  // Takes records as received. Appends decrypted bytes to `aInput` and records
  // to be sent to `aOutput`.
  tls_state Receive(std::string_view aRecords,
                    std::string& aInput,
                    std::string& aOutput);

  // Appends the records of `aBytes` to `aOutput`. Nothing happens unless the
  // session is established.
  void Send(std::string_view aBytes, std::string& aOutput);

  // Appends close_notify to `aOutput`; nothing can be sent afterwards. The
  // other side's records are still taken.
  void Close(std::string& aOutput);

  tls_state State() const { return mState; }
  // Why the session failed; has no secrets.
  const std::string& Failure() const { return mFailure; }
  // Subject common name of the other side's certificate, empty until the
  // session is established.
  std::string PeerName() const;
  // Whether a ticket replaced the certificates.
  bool IsResumed() const;

  // For clients that resume: the newest ticket's session, for another session
  // before its Start(). Null when the server sent none.
  std::shared_ptr<ssl_session_st> Ticket() const;
  void Resume(const std::shared_ptr<ssl_session_st>& aTicket);

private:
  // What the records of one call are read from and written to.
  struct exchange
  {
    std::string_view mRecords;
    std::string* mOutput = nullptr;
  };
  friend struct tls_transport;

  tls_session(std::shared_ptr<const tls_context> aContext, bool aIsServer);
  void Handshake();
  void Read(std::string& aInput);
  void Fail();

  // OpenSSL keeps its own reference; this one makes the lifetime evident.
  std::shared_ptr<const tls_context> mContext;
  exchange mExchange;
  ssl_st* mNative = nullptr;
  tls_state mState = tls_state::Handshaking;
  // close_notify was sent; the other side may still send.
  bool mOutputClosed = false;
  std::string mFailure;
};

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_TLS_SESSION_H_
