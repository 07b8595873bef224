// Selects the instances that host services, and exchanges desired states with
// other instances.
#include "snipewalk/session/session_controller.h"

#include <absl/hash/hash.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace snipewalk {

namespace {

// Minimum time between reads of the desired state while another instance has a
// newer one.
constexpr milliseconds kDesiredReadInterval{ 60 };

} // namespace

void
session_controller::RequestDesiredRevision(std::uint64_t aRevision,
                                           time_point aNow)
{
  mDesiredHint.Note(aRevision);
  const bool due = aNow >= mDesiredReadAt + kDesiredReadInterval;
  // Allows one read at a time, so that calls do not pile up while the store is
  // unresponsive and overload it when it recovers.
  if (aRevision > mDesiredRevision && due && mDesiredWatcher.IsListed() &&
      !mDesiredWatcher.IsRefreshing() &&
      !mDesiredWatcher.IsReplyArriving(aNow)) {
    mDesiredReadAt = aNow;
    mDesiredWatcher.Refresh();
  }
}

void
session_controller::RequestDesiredStateIfBehind(time_point aNow)
{
  if (mUnregistered || mDesiredWatcher.IsReplyArriving(aNow) ||
      !mDesiredHint.TakeRequest(aNow)) {
    return;
  }
  std::vector<std::string> peers;
  for (const auto& [name, known] : mInstances.All()) {
    const instance_record& record = known.mRecord;
    if (name != mOptions.mInstance && record.mState == instance_state::Live) {
      peers.push_back(record.mPeerAddress);
    }
  }
  if (peers.empty()) {
    return;
  }
  // Many instances may be behind at once: each starts with another peer, and
  // goes on to the next one if that peer is behind, too.
  const std::uint64_t choice =
    absl::HashOf(mOptions.mInstance) + mStateRequests++;
  mLinks.RequestDesiredState(peers[choice % peers.size()]);
}

relayed_desired_state
session_controller::DesiredState() const
{
  const auto found = mDesiredWatcher.Objects().find(mObjects.mDesiredStateName);
  return found == mDesiredWatcher.Objects().end()
           ? relayed_desired_state{}
           : relayed_desired_state{ found->second.mVersion,
                                    found->second.mValue };
}

std::size_t
session_controller::DesiredStateBytes() const
{
  const auto found = mDesiredWatcher.Objects().find(mObjects.mDesiredStateName);
  return found == mDesiredWatcher.Objects().end() ? 0
                                                  : found->second.mValue.size();
}

void
session_controller::AdoptDesiredState(const relayed_desired_state& aState,
                                      time_point aNow)
{
  if (aState.mRevision <= mDesiredRevision) {
    return;
  }
  mDesiredWatcher.ApplyNewer(
    { { mObjects.mDesiredStateKind, mObjects.mDesiredStateName },
      aState.mRevision,
      false,
      aState.mValue });
  OnDesiredState(aNow);
}

void
session_controller::PublishInstances(time_point aNow)
{
  std::vector<host_candidate> live;
  for (const auto& [name, known] : mInstances.All()) {
    const instance_record& record = known.mRecord;
    if (record.mState == instance_state::Live) {
      live.push_back({ name, record.mDataCentre, record.mPeerAddress });
    }
  }
  PublishAllowanceOwners(live, aNow);
  const std::size_t count = live.size();
  mHosts.SetInstances(std::move(live));
  mEngine.SetInstanceCount(count, aNow);
}

std::optional<host_candidate>
session_controller::HostFor(const open_session& aOpen, time_point aNow) const
{
  if (!mDesired) {
    return std::nullopt;
  }
  const auto found = mDesired->mRoutes.find(aOpen.mDatabase);
  if (found == mDesired->mRoutes.end()) {
    return std::nullopt;
  }
  const database_route& route = found->second;
  const auto account = mDesired->AccountFor(route, aOpen.mKey);
  if (!account) {
    return std::nullopt;
  }
  if (account->empty()) {
    return mHosts.HostFor(route.mService, aNow);
  }
  const account_directory& accounts = *mDesired->mAccounts;
  return mHosts.HostForAccount(route.mService,
                               *account,
                               accounts.RateShare(*accounts.Find(*account)),
                               aNow);
}

} // namespace snipewalk
