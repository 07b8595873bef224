// What the history says about each write: acknowledged, not run, or unknown.
// Shared by the checks of reads and of final logs.
#ifndef SNIPEWALK_LOAD_HISTORY_FATES_H_
#define SNIPEWALK_LOAD_HISTORY_FATES_H_

#include "snipewalk/load/history_check.h"

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace snipewalk {

enum class write_fate
{
  // Took effect: an answer, or a query of its outcome, says "done".
  Acknowledged,
  // Every answer says "not run".
  NotRun,
  // Belongs to a transaction that was not committed.
  RolledBack,
  // May or may not have taken effect.
  Unknown
};

struct traced_write
{
  std::string mKey;
  std::string mSession;
  std::uint64_t mTransaction = 0;
  write_fate mFate = write_fate::Unknown;
  // End of the first answer that acknowledged it.
  std::int64_t mAcknowledgedAt = std::numeric_limits<std::int64_t>::max();
};

// Session and number of a transaction.
using transaction_name = std::pair<std::string, std::uint64_t>;

struct traced_transaction
{
  write_fate mFate = write_fate::RolledBack;
  std::int64_t mAcknowledgedAt = std::numeric_limits<std::int64_t>::max();
  // Tokens that it wrote, by key.
  std::map<std::string, std::set<std::string>> mTokens;
};

// Fates of one service's writes and transactions.
struct service_fates
{
  // By token.
  std::unordered_map<std::string, traced_write> mWrites;
  // Tokens by key, in the order of their first request.
  std::unordered_map<std::string, std::vector<std::string>> mTokensByKey;
  std::map<transaction_name, traced_transaction> mTransactions;
};

// By service. Contradictions between answers are added to the findings.
std::map<std::string, service_fates>
TraceWrites(const std::vector<history_record>& aHistory,
            std::vector<history_finding>& aFindings);

// Checks a service's log at the end of the run.
void
CheckFinalLog(const std::string& aService,
              const service_fates& aFates,
              const std::vector<final_log_entry>& aLog,
              std::vector<history_finding>& aFindings);

} // namespace snipewalk

#endif // SNIPEWALK_LOAD_HISTORY_FATES_H_
