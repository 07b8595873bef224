// Verifies a load run's history against the guarantees of the design (section
// 1.2). Reports all findings together.
#ifndef SNIPEWALK_LOAD_HISTORY_CHECK_H_
#define SNIPEWALK_LOAD_HISTORY_CHECK_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/load/history.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace snipewalk {

enum class violation
{
  // A read with session consistency misses a write that was acknowledged to
  // its session before.
  ReadYourWrites,
  // A read misses what an earlier read of its session returned.
  MonotonicReads,
  // An acknowledged write is missing at the end.
  LostWrite,
  // One write took effect twice.
  DoubledWrite,
  // A request called "not run" took effect.
  UntrueNotRun,
  // An answer belongs to another request or key.
  CrossedAnswer,
  // A read returned data older than it stated.
  AgeExceeded,
  // Effects of a transaction are visible in part, after its rollback, or
  // together with those of another.
  MixedTransaction
};

inline constexpr name_table<violation, 8> kViolationNames{ {
  { violation::ReadYourWrites, "read_your_writes" },
  { violation::MonotonicReads, "monotonic_reads" },
  { violation::LostWrite, "lost_write" },
  { violation::DoubledWrite, "doubled_write" },
  { violation::UntrueNotRun, "untrue_not_run" },
  { violation::CrossedAnswer, "crossed_answer" },
  { violation::AgeExceeded, "age_exceeded" },
  { violation::MixedTransaction, "mixed_transaction" },
} };

struct history_finding
{
  violation mViolation = violation::LostWrite;
  std::string mService;
  std::string mKey;
  std::string mSession;
  // Start of the request that shows it, in microseconds; zero for a finding in
  // a final log.
  std::int64_t mAt = 0;
  std::string mText;
};

struct history_report
{
  std::vector<history_finding> mFindings;
  std::size_t mRequests = 0;
  std::size_t mReads = 0;
  std::size_t mAcknowledgedWrites = 0;
  std::size_t mUnresolvedWrites = 0;
  std::size_t mTransactions = 0;
  std::size_t mLogEntries = 0;

  std::map<violation, std::size_t> CountsByViolation() const;
};

// Reads within a transaction count only if its commit was done. Logs may be
// empty; a service without a log is checked by its reads alone.
history_report
CheckHistory(const std::vector<history_record>& aHistory,
             const final_logs& aLogs = {});

} // namespace snipewalk

#endif // SNIPEWALK_LOAD_HISTORY_CHECK_H_
