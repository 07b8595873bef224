// Statements that callers sent, and their comparison with those that backend
// servers ran: same text, prepared shape and session values.
#ifndef SNIPEWALK_STANDINS_SENT_STATEMENTS_H_
#define SNIPEWALK_STANDINS_SENT_STATEMENTS_H_

#include "standins/line_server_group.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace snipewalk::standins {

// What a caller has set up in its session.
struct session_setup
{
  line_server_group::item_map mValues;
  // Access kind and shape ("READ q1") of prepared statements by their names.
  line_server_group::item_map mPrepared;
};

// Thread-safe.
class sent_statements
{
public:
  // Records a statement before it is sent. Ids must be unique.
  void Add(const std::string& aRequestId,
           const std::string& aText,
           const session_setup& aSetup);
  // Compares a statement that a server ran. Returns what is wrong with it;
  // empty if it is what its caller sent.
  std::string Compare(
    const line_server_group::executed_statement& aExecuted) const;
  // Returns what is wrong with each of the statements.
  std::vector<std::string> Compare(
    const std::vector<line_server_group::executed_statement>& aExecuted) const;

private:
  struct sent
  {
    std::string mText;
    // Access kind and shape of the statement that it executes; empty if it
    // executes none.
    std::string mShape;
    line_server_group::item_map mValues;
  };

  mutable std::mutex mMutex;
  // By request id; guarded by mMutex.
  std::map<std::string, sent> mSent;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_SENT_STATEMENTS_H_
