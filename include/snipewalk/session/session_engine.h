// Sessions of callers and their statements: pins transactions to connections,
// places statements on backend servers, and decides what callers are told. It
// neither reads clocks nor uses sockets: events come in through the methods,
// orders leave through session_links. One thread.
#ifndef SNIPEWALK_SESSION_SESSION_ENGINE_H_
#define SNIPEWALK_SESSION_SESSION_ENGINE_H_

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

// Orders of the engine to the connections. None of them calls back into the
// engine before it returns.
class session_links
{
public:
  virtual ~session_links() = default;

  // Answers the opening message.
  virtual void Opened(session_id aSession) = 0;
  virtual void Reply(session_id aSession, const statement_reply& aReply) = 0;
  // Answers the opening message with an error and closes the connection.
  virtual void Refuse(session_id aSession,
                      result_code aCode,
                      const std::string& aText) = 0;
  // Closes the connection after its output was sent.
  virtual void CloseCaller(session_id aSession) = 0;

  virtual void OpenServer(server_connection_id aConnection,
                          const server_entry& aServer) = 0;
  virtual void Send(server_connection_id aConnection,
                    const std::vector<server_command>& aCommands) = 0;
  virtual void CloseServer(server_connection_id aConnection) = 0;
};

// Which server is the primary of a service.
struct service_primary
{
  // Empty while unknown.
  std::string mServer;
  // Term in which the last stable primary leads; zero before the first change.
  std::uint64_t mLeadTerm = 0;
  // False while the primary is being replaced: no new work goes to it.
  bool mAcceptsWork = false;
  // mServer led when the last commits were acknowledged; not so a server that
  // is only being promoted.
  bool mHasLed = true;
};

struct session_engine_options
{
  std::string mDataCentre;
  // Reads the answer to a status command.
  std::function<absl::StatusOr<server_status>(const statement_reply&)>
    mParseStatus;
  // How the connections of a service are divided; without it between all
  // instances.
  std::function<service_hosting(const std::string&)> mHostingOf;
};

// Reachability of a server as the statements of this instance show it.
struct server_observation
{
  std::string mServer;
  // Last byte received from the server, or its last refusal to connect.
  time_point mLastAnswer = time_point::min();
  // Oldest command without an answer.
  std::optional<time_point> mWaitingSince;
  // Oldest write or commit without an answer.
  std::optional<time_point> mWriteWaitingSince;
  // Connection attempts that failed in a row.
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
  // A server is known or has changed; connections to one that restarted or has
  // another address are closed.
  void PutServer(const server_entry& aServer, time_point aNow);
  // A server is gone; connections to it are closed.
  void RemoveServer(const std::string& aServer, time_point aNow);
  void SetPrimary(const std::string& aService,
                  const service_primary& aPrimary,
                  time_point aNow);
  // No other server takes over any service before `aUntil`.
  void SetPrimariesConfirmed(time_point aUntil, time_point aNow);
  // Number of instances that share the connections of a server.
  void SetInstances(std::size_t aCount, time_point aNow);

  // Callers.

  void OnCaller(session_id aSession,
                const caller_message& aMessage,
                time_point aNow);
  void OnCallerClosed(session_id aSession, time_point aNow);

  // Connections to backend servers.

  void OnServerReply(server_connection_id aConnection,
                     const statement_reply& aReply,
                     time_point aNow);
  void OnServerClosed(server_connection_id aConnection, time_point aNow);

  // Timeouts, and statements that wait for a connection. Call at least every
  // 20 ms while HasWork().
  void OnTick(time_point aNow);
  bool HasWork() const;

  // Ends sessions as soon as they are idle; see shutdown phases.
  void CloseIdleSessions(time_point aNow);
  // Rolls back open transactions and refuses waiting statements.
  void AbortTransactions(time_point aNow);

  // What the statements of this instance show of the services' primaries;
  // services without a connection to theirs are left out.
  std::vector<primary_observation> ObservePrimaries() const;
  session_engine_counts Counts() const;
  const metrics_registry& Metrics() const;

private:
  class state;
  std::unique_ptr<state> mState;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_ENGINE_H_
