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

// Statuses that servers returned when they were fenced at the new term. Their
// logs do not change until the term has a primary.
using fenced_servers = std::map<std::string, server_status>;

// A change of primary or voters that is made while the primary is healthy.
struct planned_change
{
  // A voter of the present term; may be the present primary.
  std::string mCandidate;
  // Voters of the new term; contain the candidate.
  std::vector<std::string> mVoters;
  std::string mReason;

  bool operator==(const planned_change&) const = default;
};

struct selection_input
{
  const service_document* mDocument = nullptr;
  // Voters of the previous term.
  std::vector<std::string> mVoters;
  // Empty on a first start.
  std::string mOldPrimary;
  std::optional<planned_change> mPlan;
  // No term was recorded before: each server of the document is eligible.
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

// Names of the document's servers that are not leaving, in its order.
std::vector<std::string>
StayingServers(const service_document& aDocument);

// A planned candidate is chosen when it holds the longest log of a majority of
// the voters. Otherwise the highest (log term, received) decides; among equals
// a staying server, any but the failed primary, and one in its data centre.
// The planned voters are taken only when a majority of them holds the whole log
// of the chosen server: a later majority of them then includes one that holds
// all acknowledged entries of earlier terms. Nothing without a majority.
std::optional<selection>
SelectCandidate(const selection_input& aInput, const fenced_servers& aFenced);

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_CANDIDATE_SELECTION_H_
