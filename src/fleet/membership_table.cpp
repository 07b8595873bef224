// Implementation of the membership: the member table and the updates that are
// passed on.
#include "snipewalk/fleet/membership.h"

#include "member_encoding.h"

#include <algorithm>
#include <cmath>

namespace snipewalk {

namespace {

// An update is passed on this often per doubling of the fleet. Three leaves
// far less than one member in a thousand uninformed; digests repair the rest.
constexpr int kTransmissionFactor = 3;
// Everything of a datagram but the updates, names and addresses: the
// authentication code, seven integers, the heads of four kinds and the
// versions.
constexpr std::size_t kFixedBytes = 32 + 16 + 7 * 9 + 4 * 9 + 6;
// Bytes of the budget that updates leave to the ranges that peers ask for:
// after a partition these bring back more members for each byte.
constexpr std::size_t kServeReserve = 2'000;
// Members beyond this number are not added; a bound for faulty peers.
constexpr std::size_t kMaxMembers = 20'000;

member_info
WithoutPlace(const member_info& aMember)
{
  if (aMember.mState == member_state::Alive) {
    return aMember;
  }
  member_info update;
  update.mName = aMember.mName;
  update.mIncarnation = aMember.mIncarnation;
  update.mState = aMember.mState;
  return update;
}

// Whether an update replaces what is known, as in SWIM: at one incarnation the
// worse state wins, and a departure is final for the life.
bool
Overrides(const member_info& aUpdate, const member_info& aKnown)
{
  if (aUpdate.mIncarnation != aKnown.mIncarnation) {
    if (aKnown.mState == member_state::Left &&
        LifeOf(aUpdate.mIncarnation) == LifeOf(aKnown.mIncarnation)) {
      return false;
    }
    return aUpdate.mIncarnation > aKnown.mIncarnation;
  }
  return static_cast<int>(aUpdate.mState) > static_cast<int>(aKnown.mState);
}

} // namespace

const known_member*
membership::Find(const std::string& aName) const
{
  const auto found = mIndex.find(aName);
  return found == mIndex.end() ? nullptr : &mMembers[found->second];
}

std::optional<bool>
membership::IsListed(const std::string& aName) const
{
  if (!mListed) {
    return std::nullopt;
  }
  return mListed->contains(aName);
}

void
membership::Apply(const member_info& aUpdate,
                  time_point aNow,
                  actions& aActions,
                  bool aPassOn)
{
  if (aUpdate.mName == mSelf.mName) {
    ApplyToSelf(aUpdate, aActions);
    return;
  }
  const auto found = mIndex.find(aUpdate.mName);
  if (found == mIndex.end()) {
    Add(aUpdate, aNow, aActions, aPassOn);
    return;
  }
  LearnVersions(
    aUpdate.mName, aUpdate.mIncarnation, aUpdate.mVersions, aActions);
  known_member& member = mMembers[found->second];
  if (Overrides(aUpdate, member.mInfo)) {
    // Without addresses a newer life cannot be reached: wait for its own
    // update.
    if (aUpdate.mState == member_state::Alive &&
        aUpdate.mControlAddress.empty()) {
      return;
    }
    member_info update = aUpdate;
    // A death that was concluded elsewhere, for example on the other side of a
    // partition, gives a member that is held alive here time to refute.
    if (update.mState == member_state::Dead &&
        member.mInfo.mState == member_state::Alive) {
      update.mState = member_state::Suspect;
    }
    SetState(member, update, aNow, aActions, aPassOn);
  } else if (aUpdate.mState == member_state::Alive &&
             !IsLive(member.mInfo.mState)) {
    // Whoever believes it alive gets to know of its death, and so does the
    // member itself, which then refutes.
    Enqueue(aUpdate.mName);
  }
}

void
membership::ApplyToSelf(const member_info& aUpdate, actions& aActions)
{
  const bool elsewhere = !aUpdate.mControlAddress.empty() &&
                         aUpdate.mControlAddress != mSelf.mControlAddress;
  if (aUpdate.mState == member_state::Alive && elsewhere) {
    const bool otherWins = aUpdate.mIncarnation != mSelf.mIncarnation
                             ? aUpdate.mIncarnation > mSelf.mIncarnation
                             : aUpdate.mControlAddress < mSelf.mControlAddress;
    if (otherWins) {
      aActions.push_back(duplicate_name_found{ aUpdate.mControlAddress });
    } else {
      Enqueue(mSelf.mName);
    }
    return;
  }
  const bool same = aUpdate.mIncarnation == mSelf.mIncarnation &&
                    aUpdate.mState == mSelf.mState;
  if (mLeft || same || aUpdate.mIncarnation < mSelf.mIncarnation) {
    return;
  }
  // A refutation; or an earlier process of this name had a clock ahead of this
  // one, and its traces must not hide this instance.
  RaiseIncarnation(aUpdate.mIncarnation + 1);
  Enqueue(mSelf.mName);
}

void
membership::RaiseIncarnation(std::uint64_t aIncarnation)
{
  mDigest.Toggle(mSelf.mName, mSelf.mIncarnation);
  mSelf.mIncarnation = aIncarnation;
  mDigest.Toggle(mSelf.mName, mSelf.mIncarnation);
}

void
membership::Add(const member_info& aUpdate,
                time_point aNow,
                actions& aActions,
                bool aPassOn)
{
  // Nothing is known to be worse than "unknown" for the others.
  if (!IsLive(aUpdate.mState) || aUpdate.mControlAddress.empty() ||
      aUpdate.mName.empty() || mMembers.size() >= kMaxMembers) {
    return;
  }
  known_member member;
  member.mInfo = aUpdate;
  member.mInfo.mState = member_state::Dead;
  member.mInfo.mIncarnation = 0;
  member.mNameHash = HashOfName(aUpdate.mName);
  mIndex[aUpdate.mName] = static_cast<std::uint32_t>(mMembers.size());
  mMembers.push_back(std::move(member));
  // A random place in the round in progress, as in SWIM.
  const std::size_t place = mRandom() % (mRound.size() + 1);
  mRound.insert(mRound.begin() + static_cast<std::ptrdiff_t>(place),
                aUpdate.mName);
  SetState(mMembers.back(), aUpdate, aNow, aActions, aPassOn);
}

void
membership::SetState(known_member& aMember,
                     const member_info& aUpdate,
                     time_point aNow,
                     actions& aActions,
                     bool aPassOn)
{
  member_info& known = aMember.mInfo;
  if (IsLive(known.mState)) {
    mDigest.Toggle(known.mName, known.mIncarnation);
    --mLive;
  }
  if (LifeOf(known.mIncarnation) != LifeOf(aUpdate.mIncarnation)) {
    aMember.mListed = false;
    aMember.mUnlisted = false;
    aMember.mKnownSince = aNow;
  }
  if (aUpdate.mState == member_state::Alive) {
    TakePlace(known, aUpdate);
  }
  known.mIncarnation = aUpdate.mIncarnation;
  known.mState = aUpdate.mState;
  aMember.mSince = aNow;
  if (IsLive(known.mState)) {
    mDigest.Toggle(known.mName, known.mIncarnation);
    ++mLive;
  }
  if (known.mState == member_state::Suspect) {
    SetDeadline(known.mName, aNow + mOptions.mSuspicionTime);
  } else if (known.mState != member_state::Alive) {
    SetDeadline(known.mName, aNow + mOptions.mDeadRetention);
  }
  mLastChange = aNow;
  mFleetVersionChanged = true;
  if (aPassOn) {
    Enqueue(known.mName);
  }
  aActions.push_back(member_changed{ known.mName, known.mState });
}

void
membership::SetDeadline(const std::string& aName, time_point aWhen)
{
  const auto known = mDeadlineOf.find(aName);
  if (known != mDeadlineOf.end()) {
    auto [first, last] = mDeadlines.equal_range(known->second);
    for (auto entry = first; entry != last; ++entry) {
      if (entry->second == aName) {
        mDeadlines.erase(entry);
        break;
      }
    }
  }
  mDeadlineOf[aName] = aWhen;
  mDeadlines.emplace(aWhen, aName);
}

void
membership::Forget(const std::string& aName)
{
  const auto found = mIndex.find(aName);
  const std::uint32_t place = found->second;
  mVersionsAt.erase(mMembers[place].mInfo.mControlAddress);
  mIndex.erase(found);
  if (place + 1 != mMembers.size()) {
    mMembers[place] = std::move(mMembers.back());
    mIndex[mMembers[place].mInfo.mName] = place;
  }
  mMembers.pop_back();
}

std::vector<const known_member*>
membership::RandomLive(std::size_t aCount, const std::string& aExcept)
{
  std::vector<const known_member*> chosen;
  if (mMembers.empty()) {
    return chosen;
  }
  const auto usable = [&](const known_member& aMember) {
    return IsLive(aMember.mInfo.mState) && aMember.mInfo.mName != aExcept &&
           std::find(chosen.begin(), chosen.end(), &aMember) == chosen.end();
  };
  // Random tries are cheap in a large table; a small one is walked through.
  for (std::size_t i = 0; i < aCount * 4 && chosen.size() < aCount; ++i) {
    const known_member& member = mMembers[mRandom() % mMembers.size()];
    if (usable(member)) {
      chosen.push_back(&member);
    }
  }
  const std::size_t start = mRandom() % mMembers.size();
  for (std::size_t i = 0; i < mMembers.size() && chosen.size() < aCount; ++i) {
    const known_member& member = mMembers[(start + i) % mMembers.size()];
    if (usable(member)) {
      chosen.push_back(&member);
    }
  }
  return chosen;
}

membership_message
membership::Compose(membership_kind aKind, std::uint64_t aSequence)
{
  membership_message message;
  message.mKind = aKind;
  message.mSequence = aSequence;
  message.mSender = mSelf.mName;
  message.mIncarnation = mSelf.mIncarnation;
  message.mHeads = mCarried.mHeads;
  message.mMemberDigest = mDigest.Total();
  message.mRangeBits = mDigest.Bits(aSequence);
  message.mWatchAgeMs = static_cast<std::uint64_t>(
    std::max<std::int64_t>(0, mCarried.mWatchAge.count()));
  return message;
}

void
membership::SendTo(const std::string& aAddress,
                   membership_message aMessage,
                   const member_info* aAbout,
                   actions& aActions)
{
  if (aAbout != nullptr) {
    aMessage.mUpdates.push_back(WithoutPlace(*aAbout));
  }
  const int version = VersionAt(aAddress);
  // In a mixed fleet instances of version 1 pass updates on without versions,
  // so that each message has its sender's. A receiver that is not known to
  // support more may not know this instance either.
  if (version < kStatedVersion || !FleetSupports(mSelf.mVersions.mHighest)) {
    aMessage.mVersions = mSelf.mVersions;
  }
  FillUpdates(aMessage);
  aActions.push_back(send_membership{ aAddress, std::move(aMessage), version });
}

void
membership::Enqueue(const std::string& aName)
{
  const auto queued = mQueued.find(aName);
  if (queued != mQueued.end()) {
    mQueue.erase(queued->second);
  }
  const queue_place place{ 0, mNextQueued++ };
  mQueued[aName] = place;
  mQueue.emplace(place, aName);
}

void
membership::FillUpdates(membership_message& aMessage)
{
  std::size_t left = kDatagramBytes - kFixedBytes - aMessage.mSender.size() -
                     aMessage.mTarget.size();
  for (const auto& update : aMessage.mUpdates) {
    left -= std::min(left, EncodedBytes(update));
  }
  left = std::min(
    left, mSendBudget.Left() - std::min(mSendBudget.Left(), kServeReserve));
  const int limit = TransmissionLimit();
  std::vector<std::pair<int, std::string>> sent;
  for (auto next = mQueue.begin(); next != mQueue.end();) {
    const known_member* member = Find(next->second);
    const bool self = next->second == mSelf.mName;
    // An instance that is cut off itself does not announce deaths: the others
    // of its side notice them, and after the partition they would be wrong.
    if (!self && (member == nullptr ||
                  (mCutOff && member->mInfo.mState == member_state::Dead))) {
      mQueued.erase(next->second);
      next = mQueue.erase(next);
      continue;
    }
    member_info update = WithoutPlace(self ? mSelf : member->mInfo);
    const std::size_t bytes = EncodedBytes(update);
    if (bytes > left) {
      break;
    }
    left -= bytes;
    mSendBudget.Spend(bytes);
    aMessage.mUpdates.push_back(std::move(update));
    sent.emplace_back(next->first.first + 1, next->second);
    next = mQueue.erase(next);
  }
  for (auto& [count, name] : sent) {
    if (count < limit) {
      const queue_place place{ count, mNextQueued++ };
      mQueued[name] = place;
      mQueue.emplace(place, std::move(name));
    } else {
      mQueued.erase(name);
    }
  }
}

int
membership::TransmissionLimit() const
{
  const double size = static_cast<double>(mLive) + 2;
  return kTransmissionFactor * static_cast<int>(std::ceil(std::log2(size)));
}

} // namespace snipewalk
