// Follows which process of a server a primary's record is about.
#include "snipewalk/session/primary_process.h"

namespace snipewalk {

bool
primary_process::IsAboutSameProcess(const primary_record& aRecord) const
{
  if (!mRecord || mRecord->mPrimary != aRecord.mPrimary) {
    return false;
  }
  switch (aRecord.mPhase) {
    case primary_phase::Changing:
      // It still names the old primary.
      return true;
    case primary_phase::Promoting:
      // In another term the server has been chosen again, as it is now.
      return mRecord->mPhase == primary_phase::Promoting &&
             mRecord->mTerm == aRecord.mTerm;
    case primary_phase::Stable: {
      const bool promoted = mRecord->mPhase == primary_phase::Promoting &&
                            mRecord->mTerm == aRecord.mTerm;
      // With the same lead term, a change was reverted.
      return promoted || mRecord->mLeadTerm == aRecord.mLeadTerm;
    }
  }
  return false;
}

bool
primary_process::IsChosenKnown() const
{
  // The term of the change, and later on that in which the server leads, which
  // is the same unless the server knew a later one.
  return mChosen && mChosen->mStarted != 0 &&
         mChosen->mServer == mRecord->mPrimary &&
         (mChosen->mTerm == mRecord->mTerm ||
          mChosen->mTerm == mRecord->mLeadTerm);
}

void
primary_process::OnRecord(const primary_record& aRecord,
                          const std::optional<registered_server>& aEntry)
{
  if (!IsAboutSameProcess(aRecord)) {
    mFirstStarted = 0;
    mLastStarted = 0;
  }
  mRecord = aRecord;
  if (aEntry) {
    OnEntry(*aEntry);
  }
}

void
primary_process::OnEntry(const registered_server& aEntry)
{
  const bool named = mRecord && mRecord->mPrimary == aEntry.mId;
  if (!named || aEntry.mStarted == 0) {
    return;
  }
  mFirstStarted = mFirstStarted == 0 ? aEntry.mStarted : mFirstStarted;
  mLastStarted = aEntry.mStarted;
}

bool
primary_process::HasRestarted(const std::string& aServer) const
{
  if (!mRecord || mRecord->mPrimary != aServer || mLastStarted == 0) {
    return false;
  }
  return mLastStarted != (IsChosenKnown() ? mChosen->mStarted : mFirstStarted);
}

} // namespace snipewalk
