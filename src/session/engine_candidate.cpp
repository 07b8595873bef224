// The primary of a service as recorded, and the check of a server that is being
// promoted.
//
// A candidate gets work once its change of primary is recorded as done. If the
// duty holder is lost before it has written that, its successor does so seconds
// later. An instance with waiting statements therefore asks a candidate that
// reports that it leads; only the reply counts, as the entry can be from an
// earlier term.
#include "session/engine_state.h"
#include "snipewalk/base/log.h"

namespace snipewalk {

namespace {

// A change of primary is recorded as done within this time after the candidate
// has reported that it leads, unless the duty holder is lost.
constexpr milliseconds kUsualRecordingTime{ 150 };
// Interval at which a candidate is asked again.
constexpr milliseconds kAskInterval{ 250 };

} // namespace

void
session_engine::state::ApplyPrimary(known_service& aService,
                                    const service_primary& aPrimary,
                                    time_point aNow)
{
  service_primary& known = aService.mPrimary;
  const bool sameServer = known.mServer == aPrimary.mServer;
  // With another lead term, records of changes between may have been missed.
  const bool sameLead = sameServer && known.mLeadTerm == aPrimary.mLeadTerm;
  const bool continues = sameLead && known.mAcceptsWork;
  if (!aPrimary.mReportsToLead) {
    aService.mCandidate.reset();
  } else if (!aService.mCandidate || !sameServer ||
             known.mChangeTerm != aPrimary.mChangeTerm) {
    aService.mCandidate = candidate_check{ aNow };
  }
  if (!continues) {
    aService.mPrimarySince = aNow;
  }
  if (!sameLead) {
    OnOtherLead(aService, aPrimary.mServer);
  }
  known = aPrimary;
  known.mAcceptsWork = aPrimary.mAcceptsWork ||
                       (aService.mCandidate && aService.mCandidate->mLeads);
}

void
session_engine::state::OnOtherLead(known_service& aService,
                                   const std::string& aPrimary)
{
  aService.mLedPosition = {};
  if (const auto server = mServers.find(aPrimary); server != mServers.end()) {
    // What it lacked as a replica.
    server->second.mRefusedUntil = time_point::min();
  }
}

void
session_engine::state::AskCandidate(const std::string& aService,
                                    time_point aNow)
{
  known_service& service = mServices[aService];
  const auto server = mServers.find(service.mPrimary.mServer);
  auto& candidate = service.mCandidate;
  if (!candidate || candidate->mLeads || server == mServers.end() ||
      aNow < candidate->mSince + kUsualRecordingTime ||
      (candidate->mAskedAt != time_point::min() &&
       aNow < candidate->mAskedAt + kAskInterval)) {
    return;
  }
  if (server_connection* idle = FindIdleConnection(server->second)) {
    candidate->mAskedAt = aNow;
    SendCommands(*idle, { status_command{} }, expected_reply_kind::Check, aNow);
  } else if (CanOpen(server->second, aNow)) {
    OpenConnection(server->second, std::string(), aNow);
  }
}

void
session_engine::state::OnCandidateStatus(const server_connection& aConnection,
                                         const statement_reply& aReply,
                                         time_point aSent,
                                         time_point aNow)
{
  known_service& service = mServices[aConnection.mService];
  auto& candidate = service.mCandidate;
  if (!candidate || candidate->mLeads || aSent < candidate->mSince ||
      aConnection.mServer != service.mPrimary.mServer) {
    return;
  }
  const auto status = mOptions.mParseStatus(aReply);
  if (!status.ok() || status->mRole != server_role::Primary) {
    return;
  }
  candidate->mLeads = true;
  service.mPrimary.mAcceptsWork = true;
  service.mPrimarySince = aNow;
  Log(log_level::Info,
      "session",
      "candidate leads before its change of primary is recorded as done",
      { { "service", aConnection.mService },
        { "server", aConnection.mServer },
        { "term", static_cast<std::int64_t>(status->mTerm) } });
}

} // namespace snipewalk
