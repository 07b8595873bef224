// Implementation of the membership: comparison and exchange of member tables.
#include "snipewalk/fleet/membership.h"

#include "member_encoding.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <bit>
#include <tuple>

namespace snipewalk {

namespace {

// Digests differ for some rounds after each change; only tables that differ
// longer are fetched.
constexpr milliseconds kQuietBeforeFetch{ 5'000 };
// For peers that send whole tables.
constexpr milliseconds kTableInterval{ 30'000 };
constexpr milliseconds kTableIntervalWhileChanging{ 120'000 };
// From this number of different ranges on, updates on probes do not suffice.
constexpr int kManyRanges = 4;
constexpr milliseconds kManyRangesInterval{ 500 };
constexpr milliseconds kFewRangesInterval{ 5'000 };
constexpr milliseconds kFewRangesIntervalWhileChanging{ 10'000 };
// Entries with addresses asked for at once.
constexpr std::size_t kMaxWanted = 32;
// Rough size of such an entry.
constexpr std::size_t kEntryBytes = 110;

} // namespace

void
membership::CompareDigest(const membership_received& aEvent,
                          time_point aNow,
                          actions& aActions)
{
  const membership_message& message = aEvent.mMessage;
  const bool joining = !mJoined;
  mJoined = true;
  if (!joining && message.mMemberDigest == mDigest.Total()) {
    return;
  }
  if (!joining && message.mRangeBits != 0) {
    FetchRanges(aEvent.mFrom,
                message.mRangeBits ^ mDigest.Bits(message.mSequence),
                aNow,
                aActions);
    return;
  }
  const auto interval = aNow - mLastChange >= kQuietBeforeFetch
                          ? kTableInterval
                          : kTableIntervalWhileChanging;
  if (joining || aNow - mLastFetch >= interval) {
    mLastFetch = aNow;
    aActions.push_back(fetch_members{ aEvent.mFrom });
  }
}

void
membership::FetchRanges(const std::string& aFrom,
                        std::uint64_t aDiffering,
                        time_point aNow,
                        actions& aActions)
{
  auto interval = kManyRangesInterval;
  if (std::popcount(aDiffering) < kManyRanges) {
    interval = aNow - mLastChange >= kQuietBeforeFetch
                 ? kFewRangesInterval
                 : kFewRangesIntervalWhileChanging;
  }
  const std::size_t estimate =
    std::max(kBriefBytes, mLive * kBriefBytes / member_digest::kRanges);
  const bool affordable =
    mFetchBudget.Left() >= estimate || mFetchBudget.IsFull();
  if (aDiffering == 0 || aNow - mLastFetch < interval || !affordable) {
    return;
  }
  const std::size_t count =
    std::max<std::size_t>(1, mFetchBudget.Left() / estimate);
  mLastFetch = aNow;
  // A random start lets the instances of one side learn different ranges
  // first, which they can pass on to each other.
  aActions.push_back(fetch_members{
    aFrom, SomeRanges(aDiffering, count, mRandom() % member_digest::kRanges) });
}

member_reply
membership::Answer(const member_query& aQuery,
                   std::size_t aBytes,
                   time_point aNow)
{
  member_reply reply;
  reply.mSequence = aQuery.mSequence;
  if (aQuery.mRanges == 0 && aQuery.mWanted.empty()) {
    std::tie(reply.mMembers, reply.mMore) = Table(aQuery.mAfter, aBytes);
    return reply;
  }
  mSendBudget.Refill(aNow);
  std::size_t left = mSendBudget.Left();
  const auto add = [&](const member_info& aMember, std::uint64_t aHash) {
    const auto& wanted = aQuery.mWanted;
    if (!IsLive(aMember.mState)) {
      return;
    }
    if (member_digest::Contains(aQuery.mRanges, aHash) && left > kBriefBytes) {
      reply.mBriefs.push_back({ aHash, aMember.mIncarnation });
      left -= kBriefBytes;
      mSendBudget.Spend(kBriefBytes);
    }
    const std::size_t bytes = EncodedBytes(aMember);
    if (left > bytes &&
        std::find(wanted.begin(), wanted.end(), aHash) != wanted.end()) {
      reply.mMembers.push_back(aMember);
      left -= bytes;
      mSendBudget.Spend(bytes);
    }
  };
  add(mSelf, HashOfName(mSelf.mName));
  // A random start: what the budget cuts off is not always the same.
  const std::size_t start = mMembers.empty() ? 0 : mRandom() % mMembers.size();
  for (std::size_t i = 0; i < mMembers.size(); ++i) {
    const known_member& member = mMembers[(start + i) % mMembers.size()];
    add(member.mInfo, member.mNameHash);
  }
  return reply;
}

void
membership::On(const members_received& aEvent,
               time_point aNow,
               actions& aActions)
{
  std::size_t bytes = aEvent.mBriefs.size() * kBriefBytes;
  // Each instance compares its own table, so that nothing of this needs to be
  // passed on with the probes.
  for (const auto& member : aEvent.mMembers) {
    Apply(member, aNow, aActions, false);
    bytes += EncodedBytes(member);
  }
  mFetchBudget.Spend(bytes);
  ApplyBriefs(aEvent, aNow, aActions);
}

void
membership::ApplyBriefs(const members_received& aEvent,
                        time_point aNow,
                        actions& aActions)
{
  absl::flat_hash_map<std::uint64_t, std::uint64_t> briefs;
  for (const auto& brief : aEvent.mBriefs) {
    briefs.emplace(brief.mNameHash, brief.mIncarnation);
  }
  const auto own = briefs.find(HashOfName(mSelf.mName));
  if (own != briefs.end() && own->second <= mSelf.mIncarnation) {
    briefs.erase(own);
  }
  // What remains is unknown here, or of another life and perhaps elsewhere.
  for (auto& member : mMembers) {
    const auto found = briefs.find(member.mNameHash);
    if (found != briefs.end() &&
        ApplyBrief(member, found->second, aNow, aActions)) {
      briefs.erase(found);
    }
  }
  fetch_members missing{ aEvent.mFrom };
  const std::size_t count =
    std::min(kMaxWanted, mFetchBudget.Left() / kEntryBytes);
  for (const auto& [hash, incarnation] : briefs) {
    if (missing.mWanted.size() < count) {
      missing.mWanted.push_back(hash);
    }
  }
  if (!missing.mWanted.empty() && !aEvent.mFrom.empty()) {
    aActions.push_back(std::move(missing));
  }
}

bool
membership::ApplyBrief(known_member& aMember,
                       std::uint64_t aIncarnation,
                       time_point aNow,
                       actions& aActions)
{
  const member_info& known = aMember.mInfo;
  const bool sameLife = LifeOf(aIncarnation) == LifeOf(known.mIncarnation);
  const bool returned = aIncarnation == known.mIncarnation &&
                        known.mState == member_state::Dead &&
                        !aMember.mUnlisted && aNow < mReturnUntil;
  if (aIncarnation <= known.mIncarnation && !returned) {
    if (!IsLive(known.mState)) {
      Enqueue(known.mName);
    }
    return true;
  }
  if (!sameLife) {
    return false;
  }
  if (known.mState != member_state::Left) {
    member_info update = known;
    update.mIncarnation = aIncarnation;
    update.mState = member_state::Alive;
    // A refutation has to reach all before their suspicions end; a return does
    // not, as each instance compares its own table.
    const bool refuted = known.mState == member_state::Suspect;
    SetState(aMember, update, aNow, aActions, refuted);
  }
  return true;
}

void
membership::NoteReturn(const membership_message& aMessage,
                       time_point aNow,
                       actions& aActions)
{
  const auto found = mIndex.find(aMessage.mSender);
  if (found == mIndex.end()) {
    return;
  }
  known_member& member = mMembers[found->second];
  const std::uint64_t known = member.mInfo.mIncarnation;
  const bool newer = aMessage.mIncarnation > known;
  if (member.mInfo.mState != member_state::Dead ||
      LifeOf(aMessage.mIncarnation) != LifeOf(known) ||
      aMessage.mIncarnation < known || (!newer && !mCutOff)) {
    return;
  }
  if (mCutOff && aNow >= mReturnUntil) {
    mReturnUntil = aNow + kReturnTime;
  }
  member_info update = member.mInfo;
  update.mIncarnation = aMessage.mIncarnation;
  update.mState = member_state::Alive;
  SetState(member, update, aNow, aActions, false);
}

void
membership::NoteIncarnation(const membership_message& aMessage,
                            time_point aNow,
                            actions& aActions)
{
  const auto found = mIndex.find(aMessage.mSender);
  if (found == mIndex.end()) {
    return;
  }
  known_member& member = mMembers[found->second];
  if (IsLive(member.mInfo.mState) &&
      aMessage.mIncarnation > member.mInfo.mIncarnation) {
    ApplyBrief(member, aMessage.mIncarnation, aNow, aActions);
  }
}

std::pair<std::vector<member_info>, bool>
membership::Table(const std::string& aAfter, std::size_t aBytes) const
{
  std::vector<const member_info*> rest;
  for (const auto& member : mMembers) {
    if (member.mInfo.mName > aAfter && IsLive(member.mInfo.mState)) {
      rest.push_back(&member.mInfo);
    }
  }
  if (mSelf.mName > aAfter && !mLeft) {
    rest.push_back(&mSelf);
  }
  std::sort(
    rest.begin(), rest.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->mName < aRight->mName;
    });
  std::vector<member_info> table;
  std::size_t bytes = 0;
  for (const auto* member : rest) {
    bytes += EncodedBytes(*member);
    if (bytes > aBytes && !table.empty()) {
      return { std::move(table), true };
    }
    table.push_back(*member);
  }
  return { std::move(table), false };
}

} // namespace snipewalk
