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

void
primary_process::OnRecord(const primary_record& aRecord,
                          const std::optional<registered_server>& aEntry)
{
  if (!IsAboutSameProcess(aRecord)) {
    mStarted.reset();
    mRestarted = false;
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
  mStarted = mStarted.value_or(aEntry.mStarted);
  mRestarted = mRestarted || *mStarted != aEntry.mStarted;
}

} // namespace snipewalk
