// Implementation of the membership: events and timers.
#include "snipewalk/fleet/membership.h"

#include <algorithm>

namespace snipewalk {

namespace {

// Bounds the work that others can cause by indirect probes.
constexpr std::size_t kMaxRelays = 256;
constexpr milliseconds kRelayLifetime{ 1'500 };
// Members told directly of a departure.
constexpr std::size_t kLeaveFanOut = 8;
// Budgets in bytes a second and their limits. Sent and received, with the
// fixed part of the datagrams, they add up to less than the 11 KB a second that
// an instance may use for control.
constexpr double kFetchBytesPerSecond = 2'000;
constexpr double kFetchLimit = 4'000;
constexpr double kSendBytesPerSecond = 2'500;
constexpr double kSendLimit = 4'500;

} // namespace

membership::membership(membership_options aOptions, time_point aNow)
  : mOptions(std::move(aOptions))
  , mSelf(mOptions.mSelf)
  , mRandom(mOptions.mSeed)
  , mNextRejoin(aNow)
  , mLastTimer(aNow)
  , mLastContact(aNow)
  , mLastChange(aNow)
  , mLastFetch(aNow - std::chrono::hours(1))
  , mReturnUntil(aNow)
  , mSendBudget(kSendBytesPerSecond, kSendLimit, aNow)
  , mFetchBudget(kFetchBytesPerSecond, kFetchLimit, aNow)
{
  mSelf.mState = member_state::Alive;
  // A random phase spreads the probes of instances started together.
  const auto interval = static_cast<std::uint64_t>(
    std::max<std::int64_t>(1, mOptions.mProbeInterval.count()));
  mNextProbe = aNow + milliseconds(mRandom() % interval);
  mDigest.Toggle(mSelf.mName, mSelf.mIncarnation);
  UpdateFleetVersion();
  Enqueue(mSelf.mName);
}

void
membership::Handle(const membership_event& aEvent,
                   time_point aNow,
                   std::vector<membership_action>& aActions)
{
  mSendBudget.Refill(aNow);
  mFetchBudget.Refill(aNow);
  std::visit([&](const auto& aKnown) { On(aKnown, aNow, aActions); }, aEvent);
  UpdateFleetVersion();
}

time_point
membership::NextTimer() const
{
  time_point next = std::min(mNextProbe, mNextRejoin);
  if (mProbe && !mProbe->mIndirectSent) {
    next = std::min(next, mProbe->mIndirectAt);
  }
  if (!mDeadlines.empty()) {
    next = std::min(next, mDeadlines.begin()->first);
  }
  return next;
}

void
membership::On(const membership_received& aEvent,
               time_point aNow,
               actions& aActions)
{
  const membership_message& message = aEvent.mMessage;
  for (const auto& update : message.mUpdates) {
    Apply(update, aNow, aActions);
  }
  NoteSender(aEvent, aNow, aActions);
  switch (message.mKind) {
    case membership_kind::Probe: {
      // The answer tells a sender that is held dead or suspected about it, so
      // that it refutes. A cut-off instance does not insist: it takes the other
      // side back as it is.
      const known_member* sender = Find(message.mSender);
      const member_info* about = sender == nullptr ? &mSelf : &sender->mInfo;
      const bool forgiven =
        about->mState == member_state::Dead && TakesBack(aNow);
      if (about != &mSelf &&
          (about->mState == member_state::Alive || forgiven)) {
        about = nullptr;
      }
      SendTo(aEvent.mFrom,
             Compose(membership_kind::Ack, message.mSequence),
             about,
             aActions);
      break;
    }
    case membership_kind::Ack:
      OnAck(aEvent, aNow, aActions);
      break;
    case membership_kind::IndirectProbe:
      OnIndirect(aEvent, aNow, aActions);
      break;
    case membership_kind::Update:
      break;
  }
}

void
membership::NoteSender(const membership_received& aEvent,
                       time_point aNow,
                       actions& aActions)
{
  const membership_message& message = aEvent.mMessage;
  if (message.mSender == mSelf.mName) {
    member_info other = mSelf;
    other.mIncarnation = message.mIncarnation;
    other.mControlAddress = aEvent.mFrom;
    other.mState = member_state::Alive;
    ApplyToSelf(other, aActions);
    return;
  }
  mLastContact = aNow;
  if (message.mVersions) {
    LearnVersions(
      message.mSender, message.mIncarnation, *message.mVersions, aActions);
  }
  aActions.push_back(peer_seen{ message.mSender,
                                aEvent.mFrom,
                                message.mHeads,
                                milliseconds(message.mWatchAgeMs) });
  NoteIncarnation(message, aNow, aActions);
  CompareDigest(aEvent, aNow, aActions);
}

void
membership::OnAck(const membership_received& aEvent,
                  time_point aNow,
                  actions& aActions)
{
  const std::uint64_t sequence = aEvent.mMessage.mSequence;
  if (mProbe && mProbe->mSequence == sequence) {
    mProbe.reset();
    return;
  }
  if (sequence == mRejoinSequence) {
    NoteReturn(aEvent.mMessage, aNow, aActions);
    return;
  }
  const auto relayed = mRelays.find(sequence);
  if (relayed != mRelays.end()) {
    SendTo(relayed->second.mAddress,
           Compose(membership_kind::Ack, relayed->second.mSequence),
           nullptr,
           aActions);
    mRelays.erase(relayed);
  }
}

void
membership::OnIndirect(const membership_received& aEvent,
                       time_point aNow,
                       actions& aActions)
{
  if (mRelays.size() >= kMaxRelays) {
    return;
  }
  const std::uint64_t sequence = mNextSequence++;
  mRelays[sequence] = { aEvent.mMessage.mSequence,
                        aEvent.mFrom,
                        aNow + kRelayLifetime };
  SendTo(aEvent.mMessage.mTarget,
         Compose(membership_kind::Probe, sequence),
         nullptr,
         aActions);
}

void
membership::On(const platform_list_received& aEvent,
               time_point aNow,
               actions& aActions)
{
  mListed.emplace();
  for (const auto& instance : aEvent.mInstances) {
    mListed->insert(instance.mName);
  }
  for (auto& member : mMembers) {
    const bool present = mListed->contains(member.mInfo.mName);
    // The list lags: a process that it does not name yet is not gone.
    const bool expected = member.mListed || member.mUnlisted ||
                          aNow - member.mKnownSince >= mOptions.mListLag;
    const bool unlisted = !present && expected;
    member.mListed = present;
    if (unlisted != member.mUnlisted) {
      member.mUnlisted = unlisted;
      aActions.push_back(
        member_changed{ member.mInfo.mName, member.mInfo.mState });
    }
  }
}

void
membership::On(const leave_requested&, time_point, actions& aActions)
{
  if (mLeft) {
    return;
  }
  mLeft = true;
  mSelf.mState = member_state::Left;
  Enqueue(mSelf.mName);
  for (const auto* member : RandomLive(kLeaveFanOut, "")) {
    SendTo(member->mInfo.mControlAddress,
           Compose(membership_kind::Update, mNextSequence++),
           &mSelf,
           aActions);
  }
}

void
membership::On(const membership_timer&, time_point aNow, actions& aActions)
{
  HandlePause(aNow);
  ExpireDeadlines(aNow, aActions);
  if (mProbe && !mProbe->mIndirectSent && aNow >= mProbe->mIndirectAt) {
    SendIndirectProbes(aActions);
  }
  if (aNow >= mNextProbe) {
    FinishProbe(aNow, aActions);
    std::erase_if(mRelays, [&](const auto& aEntry) {
      return aEntry.second.mExpires <= aNow;
    });
    if (!mLeft) {
      ProbeSuspects(aActions);
      StartProbe(aNow, aActions);
    }
    mNextProbe = std::max(mNextProbe + mOptions.mProbeInterval,
                          aNow + mOptions.mDirectTimeout);
  }
  if (aNow >= mNextRejoin) {
    if (!mLeft) {
      Rejoin(aNow, aActions);
    }
    // Without any peer the seeds are tried as often as a member is probed.
    mNextRejoin =
      aNow + (mLive == 0 ? mOptions.mProbeInterval : mOptions.mRejoinInterval);
  }
}

void
membership::HandlePause(time_point aNow)
{
  const duration late = aNow - std::max(NextTimer(), mLastTimer);
  mLastTimer = aNow;
  if (late <= mOptions.mPauseThreshold) {
    return;
  }
  // Answers and refutations may have been missed during the pause: it does not
  // count as time for anybody to answer.
  mProbe.reset();
  std::multimap<time_point, std::string> moved;
  for (auto& [when, name] : mDeadlines) {
    moved.emplace(when + late, name);
    mDeadlineOf[name] = when + late;
  }
  mDeadlines = std::move(moved);
}

void
membership::ExpireDeadlines(time_point aNow, actions& aActions)
{
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    const std::string name = mDeadlines.begin()->second;
    mDeadlineOf.erase(name);
    mDeadlines.erase(mDeadlines.begin());
    const known_member* member = Find(name);
    if (member == nullptr) {
      continue;
    }
    if (member->mInfo.mState == member_state::Suspect) {
      member_info death = member->mInfo;
      death.mState = member_state::Dead;
      Apply(death, aNow, aActions);
    } else if (member->mInfo.mState != member_state::Alive) {
      Forget(name);
    }
  }
}

} // namespace snipewalk
