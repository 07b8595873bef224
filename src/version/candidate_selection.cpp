// Implementation of the selection of a term's primary and voters.
#include "snipewalk/version/candidate_selection.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

namespace snipewalk {

namespace {

std::pair<std::uint64_t, std::uint64_t>
LogPosition(const server_status& aStatus)
{
  return { aStatus.mLogTerm, aStatus.mReceived };
}

// Returns a sort key; the server with the greatest key is preferred. Among
// equal keys SelectCandidate keeps the first server in name order, so that
// all instances choose the same one.
auto
CandidateRank(const selection_input& aInput, const server_status& aStatus)
{
  const server_entry* entry = aInput.mDocument->Find(aStatus.mServer);
  const server_entry* old = aInput.mDocument->Find(aInput.mOldPrimary);
  const bool staying =
    entry != nullptr && entry->mState == server_state::Active;
  const bool notFailedPrimary =
    aInput.mPlan.has_value() || aStatus.mServer != aInput.mOldPrimary;
  const bool sameDataCentre = entry != nullptr && old != nullptr &&
                              entry->mDataCentre == old->mDataCentre;
  return std::make_tuple(
    LogPosition(aStatus), staying, notFailedPrimary, sameDataCentre);
}

// Returns the planned candidate if a majority of the voters is fenced with logs
// that are not longer than its own; it then has every acknowledged entry.
// Entries that only the old primary received were never acknowledged, so their
// writes are tried again. Returns null if there is no such candidate.
const server_status*
PlannedCandidate(const selection_input& aInput, const fenced_servers& aFenced)
{
  if (!aInput.mPlan || !Contains(aInput.mVoters, aInput.mPlan->mCandidate)) {
    return nullptr;
  }
  const auto candidate = aFenced.find(aInput.mPlan->mCandidate);
  if (candidate == aFenced.end()) {
    return nullptr;
  }
  fenced_servers notAhead;
  for (const auto& [name, status] : aFenced) {
    if (LogPosition(status) <= LogPosition(candidate->second)) {
      notAhead.emplace(name, status);
    }
  }
  return HasMajority(aInput.mVoters, notAhead) ? &candidate->second : nullptr;
}

std::vector<std::string>
VotersFor(const selection_input& aInput,
          const fenced_servers& aFenced,
          const server_status& aChosen)
{
  std::vector<std::string> voters = aInput.mVoters;
  if (!Contains(voters, aChosen.mServer)) {
    voters.push_back(aChosen.mServer);
  }
  if (!aInput.mPlan || !Contains(aInput.mPlan->mVoters, aChosen.mServer)) {
    return voters;
  }
  fenced_servers sameLog;
  for (const auto& [name, status] : aFenced) {
    if (LogPosition(status) == LogPosition(aChosen)) {
      sameLog.emplace(name, status);
    }
  }
  return HasMajority(aInput.mPlan->mVoters, sameLog) ? aInput.mPlan->mVoters
                                                     : voters;
}

} // namespace

bool
Contains(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

bool
HasMajority(const std::vector<std::string>& aVoters,
            const fenced_servers& aFenced)
{
  const auto fenced =
    std::count_if(aVoters.begin(), aVoters.end(), [&](const auto& aVoter) {
      return aFenced.count(aVoter) > 0;
    });
  return 2 * static_cast<std::size_t>(fenced) > aVoters.size();
}

std::vector<std::string>
StayingServers(const service_document& aDocument)
{
  std::vector<std::string> names;
  for (const auto& server : aDocument.mServers) {
    if (server.mState == server_state::Active) {
      names.push_back(server.mName);
    }
  }
  return names;
}

std::optional<selection>
SelectCandidate(const selection_input& aInput, const fenced_servers& aFenced)
{
  if (!HasMajority(aInput.mVoters, aFenced)) {
    return std::nullopt;
  }
  const server_status* planned = PlannedCandidate(aInput, aFenced);
  if (planned != nullptr) {
    return selection{ planned->mServer, VotersFor(aInput, aFenced, *planned) };
  }
  const server_status* best = nullptr;
  for (const auto& [name, status] : aFenced) {
    if (!aInput.mFirstStart && !Contains(aInput.mVoters, name)) {
      continue;
    }
    if (best == nullptr ||
        CandidateRank(aInput, status) > CandidateRank(aInput, *best)) {
      best = &status;
    }
  }
  return selection{ best->mServer, VotersFor(aInput, aFenced, *best) };
}

} // namespace snipewalk
