// Admission control of the session engine: refuses waiting statements that
// cannot be placed in time.
#include "session/engine_state.h"

#include <algorithm>
#include <vector>

namespace snipewalk {

namespace {

// Bounds of the retry delay that refused callers are advised to wait. The queue
// hardly changes within the lower bound, and a forecast is not meaningful
// beyond the upper bound.
constexpr milliseconds kMinRetryAfter{ 100 };
constexpr milliseconds kMaxRetryAfter{ 2'000 };

} // namespace

wait_forecast&
session_engine::state::ForecastOf(const caller_session& aSession)
{
  known_service& service = mServices[aSession.mPending->mRoute.mService];
  return NeedsPrimary(aSession) ? service.mPrimaryForecast
                                : service.mReadForecast;
}

void
session_engine::state::UpdateBacklog(const std::string& aService,
                                     time_point aNow)
{
  known_service& service = mServices[aService];
  const auto primary = std::count_if(
    service.mWaiting.begin(), service.mWaiting.end(), [this](session_id aId) {
      return NeedsPrimary(mSessions.at(aId));
    });
  const auto onlyPrimary = static_cast<std::size_t>(primary);
  service.mPrimaryForecast.SetBacklog(onlyPrimary, aNow);
  service.mReadForecast.SetBacklog(service.mWaiting.size() - onlyPrimary, aNow);
}

void
session_engine::state::RefuseAllUnservable(time_point aNow)
{
  for (const auto& name : ServicesWithWaitingStatements()) {
    RefuseUnservable(name, aNow);
  }
}

void
session_engine::state::RefuseUnservable(const std::string& aService,
                                        time_point aNow)
{
  // Waiting statements that share a forecast, in the order of placement.
  struct queue
  {
    const wait_forecast* mForecast = nullptr;
    std::vector<session_id> mSessions;
    std::vector<waiting_statement> mStatements;
  };
  SortWaiting(aService, aNow);
  known_service& service = mServices[aService];
  queue primary{ &service.mPrimaryForecast, {}, {} };
  queue reads{ &service.mReadForecast, {}, {} };
  for (const auto id : service.mWaiting) {
    const caller_session& session = mSessions.at(id);
    const pending_statement& pending = *session.mPending;
    const wait_rank rank = RankOf(pending, aNow);
    queue& forecastQueue = NeedsPrimary(session) ? primary : reads;
    forecastQueue.mSessions.push_back(id);
    forecastQueue.mStatements.push_back({ { rank.mLate, rank.mPriority },
                                          rank.mDue - aNow,
                                          pending.mDeadline - aNow });
  }
  for (const queue* forecastQueue : { &primary, &reads }) {
    for (const auto index : forecastQueue->mForecast->FindUnservable(
           forecastQueue->mStatements, aNow)) {
      caller_session& session = mSessions.at(forecastQueue->mSessions[index]);
      std::erase(service.mWaiting, session.mId);
      failure_facts facts = MakeFailureFacts(session, aNow);
      facts.mFailure = statement_failure::NotSent;
      facts.mMayRepeat = false;
      mMetrics.Count("statements_refused_early");
      OnStatementFailed(
        session, facts, "", "no capacity within the time limit", aNow);
    }
  }
  UpdateBacklog(aService, aNow);
}

milliseconds
session_engine::state::RetryAfter(const std::string& aService,
                                  time_point aNow) const
{
  const known_service& service = mServices.at(aService);
  const auto reads = service.mReadForecast.TimeToClear(aNow);
  const auto primary = service.mPrimaryForecast.TimeToClear(aNow);
  const duration longest =
    std::max(reads.value_or(duration(0)), primary.value_or(duration(0)));
  return std::clamp(std::chrono::duration_cast<milliseconds>(longest),
                    kMinRetryAfter,
                    kMaxRetryAfter);
}

} // namespace snipewalk
