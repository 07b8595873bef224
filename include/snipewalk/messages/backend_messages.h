// Typed requests to and replies from a backend server. The adapter turns them
// into the server's own protocol; everything else works on these types.
#ifndef SNIPEWALK_MESSAGES_BACKEND_MESSAGES_H_
#define SNIPEWALK_MESSAGES_BACKEND_MESSAGES_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/base/time.h"
#include "snipewalk/messages/statement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipewalk {

enum class server_role
{
  Primary,
  Replica,
  Fenced
};

inline constexpr name_table<server_role, 3> kServerRoleNames{ {
  { server_role::Primary, "primary" },
  { server_role::Replica, "replica" },
  { server_role::Fenced, "fenced" },
} };

// State of a backend server at the time of its answer.
struct server_status
{
  std::string mServer;
  std::uint64_t mTerm = 0;
  server_role mRole = server_role::Replica;
  // Term of the last entry of the log.
  std::uint64_t mLogTerm = 0;
  // Index of the last entry in the log.
  std::uint64_t mReceived = 0;
  // Index of the last entry visible to reads. Never above mReceived.
  std::uint64_t mApplied = 0;
};

struct server_endpoint
{
  std::string mName;
  // "IP:port".
  std::string mAddress;
};

struct backend_statement
{
  std::string mRequestId;
  // The server refuses the statement when its own term differs.
  std::uint64_t mTerm = 0;
  statement_kind mKind = statement_kind::Read;
  std::string mIdempotencyKey;
  // A read is executed once the server has applied this index.
  std::uint64_t mMinIndex = 0;
  milliseconds mWait{ 0 };
  std::string mBody;
};

// Asks a replica to answer once its log holds `mIndex`, while in `mTerm`.
struct backend_wait
{
  std::uint64_t mTerm = 0;
  std::uint64_t mIndex = 0;
  milliseconds mWait{ 0 };
};

struct backend_status_query
{};

struct backend_outcome_query
{
  std::string mIdempotencyKey;
};

// Raises the server's term and stops it from serving lower terms.
struct backend_fence
{
  std::uint64_t mTerm = 0;
};

struct backend_promote
{
  std::uint64_t mTerm = 0;
  std::vector<server_endpoint> mMembers;
};

struct backend_follow
{
  std::uint64_t mTerm = 0;
  server_endpoint mPrimary;
};

using backend_request = std::variant<backend_statement,
                                     backend_wait,
                                     backend_status_query,
                                     backend_outcome_query,
                                     backend_fence,
                                     backend_promote,
                                     backend_follow>;

// Each error but `Malformed` and `Internal` means that the server did not
// execute the request.
enum class backend_error
{
  None,
  TermMismatch,
  NotPrimary,
  Behind,
  InProgress,
  Conflict,
  NoTransaction,
  Malformed,
  Internal
};

inline constexpr name_table<backend_error, 9> kBackendErrorNames{ {
  { backend_error::None, "none" },
  { backend_error::TermMismatch, "term_mismatch" },
  { backend_error::NotPrimary, "not_primary" },
  { backend_error::Behind, "behind" },
  { backend_error::InProgress, "in_progress" },
  { backend_error::Conflict, "conflict" },
  { backend_error::NoTransaction, "no_transaction" },
  { backend_error::Malformed, "malformed" },
  { backend_error::Internal, "internal" },
} };

enum class key_state
{
  Done,
  Absent,
  InProgress
};

inline constexpr name_table<key_state, 3> kKeyStateNames{ {
  { key_state::Done, "done" },
  { key_state::Absent, "absent" },
  { key_state::InProgress, "in_progress" },
} };

struct backend_reply
{
  // Echo of the statement's request id; empty for other requests.
  std::string mRequestId;
  backend_error mError = backend_error::None;
  // The server's term when it answered.
  std::uint64_t mTerm = 0;
  // Index of the write, the applied index of a read, or the received index of
  // a wait.
  std::uint64_t mIndex = 0;
  bool mReplayed = false;
  std::string mBody;
  // Set for status, fence, promote and follow.
  std::optional<server_status> mStatus;
  // Set for an outcome query.
  std::optional<key_state> mKeyState;
};

} // namespace snipewalk

#endif // SNIPEWALK_MESSAGES_BACKEND_MESSAGES_H_
