// Implementation of the confirmation of writes.
#include "snipewalk/request/write_acknowledgement.h"

#include <algorithm>
#include <limits>

namespace snipewalk {

namespace {

// Executed writes closer than this share one entry of the lag's record.
constexpr milliseconds kLagResolution{ 10 };

} // namespace

void
write_acknowledgement::StartTerm(std::uint64_t aTerm,
                                 std::optional<std::size_t> aPrimary,
                                 const std::vector<std::size_t>& aVoters,
                                 bool aReplicated)
{
  mTerm = aTerm;
  mReplicated = aReplicated;
  mVoters.clear();
  mWaiting.clear();
  mUnconfirmed.clear();
  mFirstIndex.reset();
  mConfirmed = 0;
  mNeeded = aVoters.size() / 2 + 1;
  for (const std::size_t server : aVoters) {
    if (server == aPrimary) {
      --mNeeded;
    } else {
      mVoters.push_back({ server, 0 });
    }
  }
  if (mNeeded == 0 || !mReplicated) {
    mNeeded = 0;
    mConfirmed = std::numeric_limits<std::uint64_t>::max();
  }
}

void
write_acknowledgement::NoteWritten(std::uint64_t aIndex)
{
  // With policy "primary" nothing says that a majority holds the entry.
  if (mReplicated && aIndex > 0 && (!mFirstIndex || aIndex < *mFirstIndex)) {
    mFirstIndex = aIndex;
  }
}

bool
write_acknowledgement::Add(std::uint64_t aIndex,
                           std::uint64_t aRequest,
                           time_point aNow)
{
  if (aIndex <= mConfirmed) {
    return true;
  }
  mWaiting.emplace(aIndex, aRequest);
  if (mUnconfirmed.empty() ||
      (aIndex > mUnconfirmed.back().mIndex &&
       aNow - mUnconfirmed.back().mExecutedAt >= kLagResolution)) {
    mUnconfirmed.push_back({ aIndex, aNow });
  }
  return false;
}

void
write_acknowledgement::Remove(std::uint64_t aIndex, std::uint64_t aRequest)
{
  mWaiting.erase({ aIndex, aRequest });
}

std::vector<std::uint64_t>
write_acknowledgement::Confirm(std::size_t aVoter, std::uint64_t aReceived)
{
  for (auto& voter : mVoters) {
    if (voter.mServer == aVoter) {
      voter.mReceived = std::max(voter.mReceived, aReceived);
    }
  }
  Advance();
  std::vector<std::uint64_t> confirmed;
  auto end = mWaiting.begin();
  while (end != mWaiting.end() && end->first <= mConfirmed) {
    confirmed.push_back(end->second);
    ++end;
  }
  mWaiting.erase(mWaiting.begin(), end);
  while (!mUnconfirmed.empty() && mUnconfirmed.front().mIndex <= mConfirmed) {
    mUnconfirmed.pop_front();
  }
  return confirmed;
}

void
write_acknowledgement::Advance()
{
  if (mNeeded == 0 || mVoters.size() < mNeeded) {
    return;
  }
  std::vector<std::uint64_t> received;
  for (const auto& voter : mVoters) {
    received.push_back(voter.mReceived);
  }
  std::sort(received.rbegin(), received.rend());
  mConfirmed = std::max(mConfirmed, received[mNeeded - 1]);
}

std::optional<std::uint64_t>
write_acknowledgement::NextIndex(std::size_t aVoter) const
{
  const auto found = std::find_if(
    mVoters.begin(), mVoters.end(), [&](const voter_progress& aEntry) {
      return aEntry.mServer == aVoter;
    });
  if (found == mVoters.end()) {
    return std::nullopt;
  }
  // The smallest waiting write above what this voter confirmed; without one,
  // the record of the lag still has to be brought up to date.
  const auto next = mWaiting.lower_bound({ found->mReceived + 1, 0 });
  if (next != mWaiting.end()) {
    return next->first;
  }
  if (mFirstIndex && *mFirstIndex > mConfirmed &&
      *mFirstIndex > found->mReceived) {
    return mFirstIndex;
  }
  for (const auto& entry : mUnconfirmed) {
    if (entry.mIndex > found->mReceived) {
      return entry.mIndex;
    }
  }
  return std::nullopt;
}

duration
write_acknowledgement::Lag(time_point aNow) const
{
  return mUnconfirmed.empty() ? duration{ 0 }
                              : aNow - mUnconfirmed.front().mExecutedAt;
}

} // namespace snipewalk
