// What the callers of the property test were told, and the checks of reads
// against it.
#ifndef SNIPEWALK_TESTS_REQUEST_CALLER_LEDGER_H_
#define SNIPEWALK_TESTS_REQUEST_CALLER_LEDGER_H_

#include "request/backend_model.h"
#include "snipewalk/messages/statement.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipewalk {

// One caller, with a register of its own.
struct caller
{
  int mNumber = 0;
  std::string mToken;
  std::string mTransaction;
  std::size_t mHolder = 0;
  std::vector<int> mInTransaction;
  std::set<int> mDone;
  std::optional<statement_request> mWaiting;
  // A write whose outcome is unknown, to be repeated with its key.
  std::optional<statement_request> mRepeat;
};

struct caller_ledger
{
  // Makes the next request of a caller; aNumber is new.
  statement_request NextRequest(caller& aCaller,
                                std::mt19937& aRandom,
                                int aNumber,
                                time_point aNow);

  // Takes an answer to a caller's request and checks what it promises.
  void Answered(caller& aCaller,
                const statement_request& aRequest,
                const statement_response& aResponse,
                time_point aNow);

  // Checks the log of the last primary against what the callers were told.
  void CheckLog(const backend_model& aModel, std::size_t aPrimary) const;

  std::vector<caller> mCallers;
  // Values written inside a transaction, by the key of its commit.
  std::map<std::string, std::vector<int>> mCommitValues;
  std::map<std::pair<int, int>, time_point> mDoneAt;
  // Keys by the outcome that their callers were told.
  std::set<std::string> mNotRun;
  std::set<std::string> mUnknown;
  std::set<std::string> mDoneKeys;
  int mCommits = 0;

private:
  void AnsweredInside(caller& aCaller,
                      const statement_request& aRequest,
                      const statement_response& aResponse);
  void Settled(caller& aCaller,
               const statement_request& aRequest,
               statement_outcome aOutcome,
               time_point aNow);
  void CheckRead(const caller& aCaller,
                 const statement_request& aRequest,
                 const statement_response& aResponse,
                 time_point aNow);
};

} // namespace snipewalk

#endif // SNIPEWALK_TESTS_REQUEST_CALLER_LEDGER_H_
