// Implementation of the wait forecast.
#include "snipewalk/session/wait_forecast.h"

#include <algorithm>
#include <map>

namespace snipewalk {

namespace {

// Longest and shortest time over which rates are measured. Shorter times are
// not representative, because answers of transactions and of slow servers
// arrive in bursts.
constexpr milliseconds kMaxRateSpan{ 1'000 };
constexpr milliseconds kMinRateSpan{ 200 };
// If no statement was executed for this long, the queue is regarded as blocked.
constexpr milliseconds kBlockedAfter{ 250 };

double
Seconds(duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// Number of statements of one group that are ahead in the queue, and the rate
// at which they are executed.
struct group_queue
{
  std::size_t mAhead = 0;
  // In statements per second.
  double mRate = 0;
};

// Returns the seconds until a statement with `aAhead` others before it is
// placed.
double
WaitBehind(std::size_t aAhead, double aRate)
{
  return static_cast<double>(aAhead + 1) / aRate;
}

} // namespace

void
wait_forecast::SetBacklog(std::size_t aWaiting, time_point aNow)
{
  mWaiting = aWaiting;
  if (aWaiting == 0) {
    mBacklogSince.reset();
    mExecuted.clear();
  } else if (!mBacklogSince) {
    mBacklogSince = aNow;
  }
}

void
wait_forecast::OnExecuted(const wait_group& aGroup, time_point aNow)
{
  if (!mBacklogSince) {
    return;
  }
  mExecuted.push_back({ aNow, aGroup });
  while (mExecuted.front().mAt < aNow - kMaxRateSpan) {
    mExecuted.pop_front();
  }
}

std::optional<time_point>
wait_forecast::RateWindowStart(time_point aNow) const
{
  if (!mBacklogSince || mExecuted.empty() ||
      aNow - mExecuted.back().mAt > kBlockedAfter) {
    return std::nullopt;
  }
  const time_point from = std::max(*mBacklogSince, aNow - kMaxRateSpan);
  if (aNow - from < kMinRateSpan) {
    return std::nullopt;
  }
  return from;
}

double
wait_forecast::RateOf(const std::optional<wait_group>& aGroup,
                      time_point aFrom,
                      time_point aNow) const
{
  const auto counted = std::count_if(
    mExecuted.begin(), mExecuted.end(), [&](const auto& aExecuted) {
      return aExecuted.mAt >= aFrom && (!aGroup || aExecuted.mGroup == *aGroup);
    });
  // One is added to the count, because a rate of zero would predict an infinite
  // wait.
  return static_cast<double>(counted + 1) / Seconds(aNow - aFrom);
}

std::vector<std::size_t>
wait_forecast::FindUnservable(std::span<const waiting_statement> aWaiting,
                              time_point aNow) const
{
  const auto from = RateWindowStart(aNow);
  if (!from) {
    return {};
  }
  const double all = RateOf(std::nullopt, *from, aNow);
  std::map<wait_group, group_queue> groups;
  const auto waitIn = [&](const wait_group& aGroup) {
    auto [found, added] = groups.try_emplace(aGroup);
    if (added) {
      found->second.mRate = RateOf(aGroup, *from, aNow);
    }
    return WaitBehind(found->second.mAhead, found->second.mRate);
  };
  std::vector<std::size_t> unservable;
  std::size_t ahead = 0;
  for (std::size_t index = 0; index < aWaiting.size(); ++index) {
    const waiting_statement& statement = aWaiting[index];
    wait_group group = statement.mGroup;
    double wait = std::max(WaitBehind(ahead, all), waitIn(group));
    if (!group.mLate && wait > Seconds(statement.mUntilLate)) {
      group.mLate = true;
      wait = std::max(wait, waitIn(group));
    }
    if (wait > Seconds(statement.mUntilDeadline)) {
      unservable.push_back(index);
      continue;
    }
    ++ahead;
    ++groups[group].mAhead;
  }
  return unservable;
}

std::optional<duration>
wait_forecast::TimeToClear(time_point aNow) const
{
  const auto from = RateWindowStart(aNow);
  if (!from) {
    return std::nullopt;
  }
  const double rate = RateOf(std::nullopt, *from, aNow);
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(static_cast<double>(mWaiting) / rate));
}

} // namespace snipewalk
