// Checks of primaries by questions to the servers, for times without
// confirmations by the store.
//
// A commit is acknowledged once its primary and k replicas have received it (k
// is the service's number of synchronous replicas). If all but k servers of the
// service, the known primary among them, still are in its term, then no commit
// of a newer primary can have been acknowledged before they were asked.
#include "session/engine_state.h"
#include "snipewalk/base/log.h"

#include <algorithm>

namespace snipewalk {

namespace {

// Between two checks of a service by one instance: each costs the servers a
// slot for a moment.
constexpr milliseconds kCheckEvery{ 250 };

} // namespace

bool
session_engine::state::IsPrimaryKnown(const known_service& aService,
                                      time_point aMoment) const
{
  return mConfirmedUntil > aMoment || aService.mCheckedAt >= aMoment;
}

void
session_engine::state::StartCheck(const std::string& aService, time_point aNow)
{
  known_service& service = mServices[aService];
  if (service.mCheck && aNow < service.mCheck->mStarted + kCheckEvery) {
    return;
  }
  service.mCheck = primary_check{ aNow, {} };
  for (auto& [id, server] : mServers) {
    if (server.mEntry.mService != aService) {
      continue;
    }
    if (server_connection* idle = IdleConnection(server, {})) {
      Transmit(*idle, { status_command{} }, expected_kind::Check, aNow);
    } else if (CanOpen(server, aNow)) {
      OpenConnection(server, aNow);
    }
  }
  mMetrics.Count("primary_checks");
}

void
session_engine::state::OnCheckReply(const server_connection& aConnection,
                                    const statement_reply& aReply,
                                    time_point aSent)
{
  known_service& service = mServices[aConnection.mService];
  const auto status = mOptions.mParseStatus(aReply);
  if (!status.ok() || !service.mCheck || aSent < service.mCheck->mStarted) {
    return;
  }
  auto& answers = service.mCheck->mAnswers;
  answers[aConnection.mServer] = *status;
  const auto primary = answers.find(service.mPrimary.mServer);
  if (primary == answers.end() ||
      primary->second.mRole != server_role::Primary) {
    return;
  }
  const std::uint64_t term = primary->second.mTerm;
  const auto inTerm =
    std::count_if(answers.begin(), answers.end(), [&](const auto& aIt) {
      return aIt.second.mTerm <= term && aIt.second.mReceived.mTerm <= term;
    });
  const auto servers =
    std::count_if(mServers.begin(), mServers.end(), [&](const auto& aIt) {
      return aIt.second.mEntry.mService == aConnection.mService;
    });
  const auto needed =
    std::max<std::int64_t>(1, servers - service.mLimits.mSyncReplicas);
  if (inTerm < needed || service.mCheckedAt >= service.mCheck->mStarted) {
    return;
  }
  service.mCheckedAt = service.mCheck->mStarted;
  service.mSamples.Add(service.mCheckedAt, primary->second.mReceived);
  const std::string position = primary->second.mReceived.ToString();
  Log(log_level::Info,
      "session",
      "servers confirm the primary",
      { { "service", aConnection.mService },
        { "primary", service.mPrimary.mServer },
        { "term", static_cast<std::int64_t>(term) },
        { "servers", static_cast<std::int64_t>(inTerm) },
        { "position", position } });
}

} // namespace snipewalk
