// Executes the statements of caller sessions: pins transactions to connections,
// places statements on backend servers, and decides which replies callers
// receive. The engine neither reads clocks nor uses sockets: events arrive
// through its methods, and it requests actions through session_links. Not
// thread-safe.
#ifndef SNIPEWALK_SESSION_SESSION_ENGINE_H_
#define SNIPEWALK_SESSION_SESSION_ENGINE_H_

#include "snipewalk/account/allowance_messages.h"
#include "snipewalk/base/metrics.h"
#include "snipewalk/base/time.h"
#include "snipewalk/session/desired_state.h"
#include "snipewalk/session/session_hosts.h"
#include "snipewalk/session/session_messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace snipewalk {

using session_id = std::uint64_t;
using server_connection_id = std::uint64_t;

// Actions that the engine requests from the connection layer. Implementations
// must not call back into the engine before they return.
class session_links
{
public:
  virtual ~session_links() = default;

  // Accepts the opening message.
  virtual void AcceptSession(session_id aSession) = 0;
  virtual void SendReply(session_id aSession,
                         const statement_reply& aReply) = 0;
  // Sends an error to the caller and closes its connection.
  virtual void RefuseSession(session_id aSession,
                             result_code aCode,
                             const std::string& aText) = 0;
  // Closes the connection once all pending output has been sent.
  virtual void CloseCallerConnection(session_id aSession) = 0;

  // Opens a connection for the statements of a client account, or for the
  // instance itself if `aAccount` is empty.
  virtual void OpenServerConnection(server_connection_id aConnection,
                                    const registered_server& aServer,
                                    const std::string& aAccount) = 0;
  virtual void SendCommands(server_connection_id aConnection,
                            const std::vector<server_command>& aCommands) = 0;
  virtual void CloseServerConnection(server_connection_id aConnection) = 0;
};

// Whether commits that a primary reports as done may be acknowledged to
// callers.
enum class write_permission
{
  // During a planned change too: it steps the primary down before another
  // server takes over.
  Allowed,
  // The primary is being replaced, and it is not known whether that is planned.
  Unknown,
  // Another server may have taken over.
  Ended
};

// The primary of a service.
struct service_primary
{
  // Server id; empty while unknown.
  std::string mServer;
  // Term in which the last stable primary leads; zero before the first change
  // of primary.
  std::uint64_t mLeadTerm = 0;
  // False while the primary is being replaced; no new statements or
  // transactions are placed on it then.
  bool mAcceptsWork = false;
  // Whether mServer was the primary when the latest commits were acknowledged.
  // False for a server that is still being promoted.
  bool mHasLed = true;
  write_permission mWrites = write_permission::Allowed;
  // Term of the latest change of primary; zero before the first one.
  std::uint64_t mChangeTerm = 0;
  // The server is being promoted and its entry says that it leads. The entry
  // can be from an earlier term, so it is only a reason to ask the server.
  bool mReportsToLead = false;
};

struct session_engine_options
{
  std::string mDataCentre;
  // Parses the reply to a status command.
  std::function<absl::StatusOr<server_status>(const statement_reply&)>
    mParseStatus;
  // Returns how the connections of a service are divided between instances. If
  // unset, they are divided between all instances.
  std::function<service_hosting(const std::string&)> mHostingOf;
};

// Reachability of a server as observed through the statements of this instance.
struct server_observation
{
  std::string mServer;
  // Time of the last reply from the server, or of its last refusal of a
  // connection.
  time_point mLastAnswer = time_point::min();
  // Time at which the oldest unanswered command was sent or the oldest
  // unanswered connection attempt was made; std::nullopt if there is none.
  std::optional<time_point> mWaitingSince;
  // Time at which the oldest unanswered write or commit was sent, or, while
  // other writes are pending, the first of those that have timed out since the
  // last confirmed one.
  std::optional<time_point> mWriteWaitingSince;
  // Number of consecutive failed connection attempts.
  int mFailedConnects = 0;
};

struct primary_observation
{
  std::string mService;
  server_observation mPrimary;
};

struct session_engine_counts
{
  std::size_t mSessions = 0;
  std::size_t mOpenTransactions = 0;
  std::size_t mPendingStatements = 0;
  std::size_t mServerConnections = 0;
};

class session_engine
{
public:
  session_engine(session_engine_options aOptions, session_links& aLinks);
  ~session_engine();
  session_engine(const session_engine&) = delete;
  session_engine& operator=(const session_engine&) = delete;

  // Control state.

  void SetDesiredState(std::shared_ptr<const desired_state> aState,
                       time_point aNow);
  // Adds or updates a server. Connections to a server that has restarted or
  // changed its address or service are closed.
  void PutServer(const registered_server& aServer, time_point aNow);
  // Removes a server and closes the connections to it.
  void RemoveServer(const std::string& aServer, time_point aNow);
  void SetPrimary(const std::string& aService,
                  const service_primary& aPrimary,
                  time_point aNow);
  // States that no other server becomes primary of any service before `aUntil`.
  void SetPrimariesConfirmed(time_point aUntil, time_point aNow);
  // Called after the process was suspended for a time that the steady clock did
  // not count: what servers and instances told before is older than it seems.
  void OnSuspended(time_point aNow);
  // Sets the number of instances that share the connections of a server.
  void SetInstanceCount(std::size_t aCount, time_point aNow);

  // Returns the request for tokens of the accounts' rate limits that is to be
  // sent now, if there is one.
  std::optional<allowance_request> AllowanceRequestIfDue(time_point aNow);
  // Whether AllowanceRequestIfDue() should be called before the next tick.
  bool NeedsAllowances() const;
  void OnAllowanceGrant(const allowance_grant& aGrant, time_point aNow);

  // Keeps this instance to its share of the server's connections, rounded down,
  // for a while, so that the duty holder can open a control connection.
  void YieldConnections(const std::string& aServer, time_point aNow);

  // Callers.

  void OnCallerMessage(session_id aSession,
                       const caller_message& aMessage,
                       time_point aNow);
  void OnCallerClosed(session_id aSession, time_point aNow);

  // Connections to backend servers.

  void OnServerReply(server_connection_id aConnection,
                     const statement_reply& aReply,
                     time_point aNow);
  void OnServerClosed(server_connection_id aConnection, time_point aNow);

  // Handles timeouts and places waiting statements. Must be called at least
  // every 20 ms while HasWork() returns true.
  void OnTick(time_point aNow);
  bool HasWork() const;

  // Closes idle sessions now and all others as soon as they become idle. Used
  // during shutdown.
  void CloseIdleSessions(time_point aNow);
  // Aborts open transactions: those without a pending statement immediately,
  // the others once their statement has been answered if CloseIdleSessions()
  // was called before.
  void AbortTransactions(time_point aNow);

  // Returns the reachability of the services' primaries as observed by this
  // instance. Services without a connection, or failed attempt to connect, to
  // their primary are left out.
  std::vector<primary_observation> ObservePrimaries() const;
  // Newest position at which a commit of the service was acknowledged to a
  // caller; zero if there was none.
  log_position AcknowledgedPosition(const std::string& aService) const;
  session_engine_counts Counts() const;
  const metrics_registry& Metrics() const;

private:
  class state;
  std::unique_ptr<state> mState;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_ENGINE_H_
