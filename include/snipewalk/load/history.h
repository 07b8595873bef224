// History of the requests of a load run: what was asked, when, and what the
// answer claimed. Kept as JSON lines; snipewalk-check verifies it.
#ifndef SNIPEWALK_LOAD_HISTORY_H_
#define SNIPEWALK_LOAD_HISTORY_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/messages/statement.h"

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace snipewalk {

enum class history_kind
{
  Read,
  Write,
  Begin,
  Commit,
  Rollback,
  // Query of the outcome of an idempotency key.
  Outcome
};

inline constexpr name_table<history_kind, 6> kHistoryKindNames{ {
  { history_kind::Read, "read" },
  { history_kind::Write, "write" },
  { history_kind::Begin, "begin" },
  { history_kind::Commit, "commit" },
  { history_kind::Rollback, "rollback" },
  { history_kind::Outcome, "outcome" },
} };

// One request and its answer. Each write appends one unique token to the value
// of its key, so that a value shows which writes took effect and in which
// order.
struct history_record
{
  // Microseconds on the load generator's monotonic clock.
  std::int64_t mStart = 0;
  std::int64_t mEnd = 0;
  std::string mSession;
  std::string mAccount;
  std::string mService;
  history_kind mKind = history_kind::Read;
  std::string mKey;
  // Token that a write appends; empty otherwise.
  std::string mToken;
  // Body of the answer: the value read or the new value.
  std::string mValue;
  statement_outcome mOutcome = statement_outcome::Unknown;
  // Empty when done; otherwise the answer's or the load generator's reason.
  std::string mReason;
  std::string mServer;
  std::string mInstance;
  std::string mIdempotencyKey;
  // Stated age of a read; nothing for reads with session consistency.
  std::optional<std::int64_t> mMaxAgeMs;
  // Age that the answer reported.
  std::optional<std::int64_t> mDataAgeMs;
  // Number of the transaction in its session; zero outside one.
  std::uint64_t mTransaction = 0;
  // Whether the answer carried the request's own id.
  bool mIdMatched = true;
};

// One entry of a backend server's log at the end of a run.
struct final_log_entry
{
  std::uint64_t mTerm = 0;
  std::uint64_t mIndex = 0;
  std::string mIdempotencyKey;
  // Keys and their new values.
  std::map<std::string, std::string> mEffects;
};

// By service.
using final_logs = std::map<std::string, std::vector<final_log_entry>>;

// One line without its end.
std::string
WriteHistoryLine(const history_record& aRecord);

// Reads all lines; the error names each malformed line, up to a limit.
absl::StatusOr<std::vector<history_record>>
ReadHistory(std::istream& aInput);

// Reads {"entries":[...]} as a stand-in backend server writes it under
// /standin/log. Several pages may follow each other, one a line.
absl::StatusOr<std::vector<final_log_entry>>
ReadFinalLog(std::istream& aInput);

// Token "<key>/<session>/<number>;". Keys and sessions contain neither
// separator.
std::string
MakeToken(const std::string& aKey,
          const std::string& aSession,
          std::uint64_t aNumber);

// Tokens of a value with their ends. A value that is not a sequence of tokens
// yields its rest as the last one.
std::vector<std::string>
SplitTokens(const std::string& aValue);

// Key of a token; empty when the text is none.
std::string
KeyOfToken(const std::string& aToken);

} // namespace snipewalk

#endif // SNIPEWALK_LOAD_HISTORY_H_
