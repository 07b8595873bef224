// Typed messages that the control threads of different instances exchange
// about the primary of a service and the transactions open there.
#ifndef SNIPEWALK_MESSAGES_CONTROL_MESSAGES_H_
#define SNIPEWALK_MESSAGES_CONTROL_MESSAGES_H_

#include "snipewalk/base/name_table.h"

#include <cstdint>
#include <string>
#include <variant>

namespace snipewalk {

// How an instance sees a backend server.
enum class server_reachability
{
  // Answered after the query arrived, or within the last probe interval.
  Reachable,
  // Suspected, or probed without an answer since the query arrived.
  Unreachable
};

inline constexpr name_table<server_reachability, 2> kServerReachabilityNames{ {
  { server_reachability::Reachable, "reachable" },
  { server_reachability::Unreachable, "unreachable" },
} };

// Asks an instance whether it reaches the primary of a service.
struct primary_report_query
{
  std::string mService;
  std::string mServer;
  // Address of the server in the sender's document.
  std::string mAddress;
  // Term in which the server is primary, as the sender knows it.
  std::uint64_t mTerm = 0;
  // Chosen by the sender; echoed in the report.
  std::uint64_t mQuery = 0;
};

// Answer to a primary_report_query.
struct primary_report
{
  std::string mService;
  std::string mServer;
  std::uint64_t mTerm = 0;
  std::uint64_t mQuery = 0;
  server_reachability mReachability = server_reachability::Reachable;
};

// Asks a holder to begin no transactions in this term for kBeginHold, and for
// the number that its engine has open on the primary. Sent only while a planned
// change waits for open transactions.
struct transactions_query
{
  std::string mService;
  // The primary of mTerm.
  std::string mServer;
  std::uint64_t mTerm = 0;
  // Chosen by the sender; echoed in the report.
  std::uint64_t mQuery = 0;
};

// Answer to a transactions_query: while it is repeated, the number does not
// grow.
struct transactions_report
{
  std::string mService;
  std::string mServer;
  std::uint64_t mTerm = 0;
  std::uint64_t mQuery = 0;
  // Document in force at the holder: from this version on it begins no
  // transactions on a server that leaves.
  std::uint64_t mDocumentVersion = 0;
  std::uint64_t mTransactions = 0;
};

using control_message = std::variant<primary_report_query,
                                     primary_report,
                                     transactions_query,
                                     transactions_report>;

} // namespace snipewalk

#endif // SNIPEWALK_MESSAGES_CONTROL_MESSAGES_H_
