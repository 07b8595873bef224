// Serves the statements of one service on an instance that holds a slot of it:
// admission, routing, retries, acknowledgement, transactions and the pool of
// connections to the backend servers. A state machine without sockets, threads
// or clocks: events and the present time go in, actions come out.
#ifndef SNIPEWALK_REQUEST_SERVICE_ENGINE_H_
#define SNIPEWALK_REQUEST_SERVICE_ENGINE_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/backend_messages.h"
#include "snipewalk/messages/service_view.h"
#include "snipewalk/messages/statement.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipewalk {

// Chosen by the engine; never used again after the connection closed.
using connection_id = std::uint64_t;

// Events -------------------------------------------------------------------

struct statement_submitted
{
  // mDeadline is set; the session token was not verified yet.
  statement_request mRequest;
};

struct outcome_submitted
{
  outcome_request mRequest;
};

struct connection_opened
{
  connection_id mConnection = 0;
};

// The connection is gone; its outstanding request, if any, gets no reply.
struct connection_closed
{
  connection_id mConnection = 0;
  // True when it was never established.
  bool mRefused = false;
};

struct reply_received
{
  connection_id mConnection = 0;
  backend_reply mReply;
};

// A status answer that the control thread obtained by probing a server.
struct status_observed
{
  std::string mServer;
  server_status mStatus;
  // Taken before the probe was sent: the status is no older than this.
  time_point mSentAt;
};

// A new view; also the first one. Keys verify and sign session tokens.
struct view_changed
{
  std::shared_ptr<const service_view> mView;
  std::vector<session_key> mSessionKeys;
};

// The instance is shutting down: no new transactions; begin to finish.
struct drain_requested
{};

// A change of the primary or the voters is planned: no transaction begins in
// this term for kBeginHold.
struct begins_held
{
  std::uint64_t mTerm = 0;
};

// Longer than the age at which a count of open transactions permits the change.
inline constexpr milliseconds kBeginHold{ 2'000 };

// The server has closed a connection that was closed with `mAwaitEnd`.
struct connection_ended
{
  connection_id mConnection = 0;
};

struct timer_expired
{};

using engine_event = std::variant<statement_submitted,
                                  outcome_submitted,
                                  connection_opened,
                                  connection_closed,
                                  reply_received,
                                  status_observed,
                                  view_changed,
                                  drain_requested,
                                  begins_held,
                                  connection_ended,
                                  timer_expired>;

// Actions ------------------------------------------------------------------

struct open_connection
{
  connection_id mConnection = 0;
  server_endpoint mServer;
};

// Without `mAwaitEnd` no event follows for this connection. With it, only
// connection_ended follows, once the server has closed its side; until then the
// server may count the connection, and a second close gives up waiting.
struct close_connection
{
  connection_id mConnection = 0;
  bool mAwaitEnd = false;
};

// At most one request is outstanding on a connection.
struct send_request
{
  connection_id mConnection = 0;
  backend_request mRequest;
};

// Exactly one for each submitted statement or outcome request.
struct answer_request
{
  statement_response mResponse;
};

enum class server_evidence
{
  Answered,
  Refused,
  Silent
};

inline constexpr name_table<server_evidence, 3> kServerEvidenceNames{ {
  { server_evidence::Answered, "answered" },
  { server_evidence::Refused, "refused" },
  { server_evidence::Silent, "silent" },
} };

// For the failure detector of the control thread. `Answered` is reported at
// most once in 100 ms a server; the others each time.
struct report_evidence
{
  std::string mServer;
  server_evidence mEvidence = server_evidence::Answered;
  // Highest term seen in an answer; zero when none.
  std::uint64_t mTerm = 0;
};

using engine_action = std::variant<open_connection,
                                   close_connection,
                                   send_request,
                                   answer_request,
                                   report_evidence>;

// Numbers for metrics, status and drain.
struct engine_status
{
  std::size_t mQueued = 0;
  std::size_t mInFlight = 0;
  std::size_t mTransactions = 0;
  std::size_t mConnections = 0;
  std::uint64_t mReadsByReplicas = 0;
  std::uint64_t mReadsByPrimary = 0;
  std::uint64_t mWritesDone = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mRetries = 0;
  // Connections and open transactions a server, by name.
  struct server
  {
    std::string mName;
    std::size_t mConnections = 0;
    std::size_t mTransactions = 0;
    std::uint64_t mAppliedIndex = 0;
  };
  std::vector<server> mServers;
};

struct engine_options
{
  std::string mInstance;
  std::uint64_t mIncarnation = 0;
  std::string mDataCentre;
  // Makes jitter and generated keys reproducible in tests.
  std::uint64_t mSeed = 1;
};

class service_engine_state;

class service_engine
{
public:
  service_engine(std::string aService, engine_options aOptions);
  ~service_engine();
  service_engine(const service_engine&) = delete;
  service_engine& operator=(const service_engine&) = delete;

  // Applies one event and appends the actions that follow from it to
  // `aActions`. `aNow` never goes back; `aWallNow` is used for session tokens.
  void Handle(const engine_event& aEvent,
              time_point aNow,
              wall_time aWallNow,
              std::vector<engine_action>& aActions);

  // When to deliver `timer_expired` next; nothing when no timer is pending.
  std::optional<time_point> NextTimer() const;

  engine_status Status() const;

  // Text for `snipewalkctl explain`: which server a request would go to and
  // why. Does not change the engine.
  std::string Explain(const statement_request& aRequest, time_point aNow) const;

private:
  std::unique_ptr<service_engine_state> mState;
};

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_SERVICE_ENGINE_H_
