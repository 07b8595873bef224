// Chooses the primary and the voters of a term from the answers of fenced
// servers.
#ifndef SNIPEWALK_VERSION_CANDIDATE_SELECTION_H_
#define SNIPEWALK_VERSION_CANDIDATE_SELECTION_H_

#include "snipewalk/messages/backend_messages.h"
#include "snipewalk/messages/service_document.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipewalk {

// Statuses that servers returned when they were fenced at the new term, by
// server name. The log of a fenced server does not change until the term has a
// primary.
using fenced_servers = std::map<std::string, server_status>;

// A change of primary or voters that is made while the primary is healthy.
struct planned_change
{
  // Server to become primary. It must be a voter of the current term and may be
  // the current primary.
  std::string mCandidate;
  // Voters of the new term, including the candidate.
  std::vector<std::string> mVoters;
  std::string mReason;

  bool operator==(const planned_change&) const = default;
};

struct selection_input
{
  const service_document* mDocument = nullptr;
  // Voters of the previous term.
  std::vector<std::string> mVoters;
  // Primary of the previous term; empty on a first start.
  std::string mOldPrimary;
  std::optional<planned_change> mPlan;
  // True when no earlier term is known to have had a primary. Each server of
  // the document is then eligible, not only the voters.
  bool mFirstStart = false;
};

struct selection
{
  std::string mPrimary;
  std::vector<std::string> mVoters;
};

bool
Contains(const std::vector<std::string>& aNames, const std::string& aName);

// Whether more than half of the voters are among the fenced servers.
bool
HasMajority(const std::vector<std::string>& aVoters,
            const fenced_servers& aFenced);

// Names of the document's servers that are not leaving, in document order.
std::vector<std::string>
StayingServers(const service_document& aDocument);

// Chooses the primary and the voters of the new term. Returns nothing unless a
// majority of the voters is fenced.
//
// The planned candidate is chosen if a majority of the voters is fenced with
// logs that are not longer than its own. Otherwise the voter with the highest
// (log term, last received index) is chosen; on a first start each server can
// be chosen. Among equal logs, these are preferred in this order: a server that
// is not leaving, a server other than the old primary unless the change is
// planned, and a server in the old primary's data centre.
//
// The planned voters are used only if a majority of them holds the whole log of
// the chosen server. Every later majority of them then includes a server with
// all acknowledged entries of earlier terms.
std::optional<selection>
SelectCandidate(const selection_input& aInput, const fenced_servers& aFenced);

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_CANDIDATE_SELECTION_H_
