// Implementation of the control thread: actions of the state machines.
#include "control_state.h"

#include "snipewalk/base/log.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

void
control_state::Give(const membership_event& aEvent, time_point aNow)
{
  mMembership.SetCarried(mDissemination.Carried(aNow));
  std::vector<membership_action> actions;
  mMembership.Handle(aEvent, aNow, actions);
  for (const auto& action : actions) {
    std::visit([&](const auto& aKnown) { Do(aKnown, aNow); }, action);
  }
}

void
control_state::Give(const dissemination_event& aEvent, time_point aNow)
{
  std::vector<dissemination_action> actions;
  mDissemination.Handle(aEvent, aNow, actions);
  for (const auto& action : actions) {
    std::visit([&](const auto& aKnown) { Do(aKnown, aNow); }, action);
  }
}

void
control_state::Give(const slot_event& aEvent, time_point aNow)
{
  std::vector<slot_action> actions;
  mSlots.Handle(aEvent, aNow, actions);
  for (const auto& action : actions) {
    std::visit([&](const auto& aKnown) { Do(aKnown, aNow); }, action);
  }
}

void
control_state::Do(const send_membership& aAction, time_point)
{
  mPort.SendDatagram(aAction.mTo, aAction.mMessage, aAction.mVersion);
}

void
control_state::Do(const member_changed& aAction, time_point aNow)
{
  mMembersChanged = true;
  mControlMembersChanged = true;
  mSnapshotChanged = true;
  Give(dissemination_event(fleet_changed{}), aNow);
  Give(slot_event(slot_member_changed{ aAction.mName }), aNow);
  if (aAction.mState == member_state::Dead) {
    // The list may say soon that the instance is gone.
    mListSchedule.AskBy(aNow + kSecond +
                        milliseconds(mRandom() % kListInterval.count()));
  }
}

void
control_state::Do(const fetch_members& aAction, time_point)
{
  mPort.Send(
    aAction.mFrom,
    member_query{ mNextSequence++, "", aAction.mRanges, aAction.mWanted });
}

void
control_state::Do(const peer_seen& aAction, time_point aNow)
{
  Give(dissemination_event(aAction), aNow);
}

void
control_state::Do(const duplicate_name_found& aAction, time_point)
{
  Log(log_level::Error,
      "membership",
      "A newer instance has the name of this one",
      { { "address", std::string_view(aAction.mAddress) } });
  if (mCallbacks.mDuplicateName) {
    mCallbacks.mDuplicateName(aAction.mAddress);
  }
}

void
control_state::Do(const start_watch& aAction, time_point)
{
  Submit(
    aAction.mWatch,
    store_priority::Watch,
    [this, kind = aAction.mKind](const store_reply& aReply, time_point aNow) {
      Give(dissemination_event(watch_answered{ kind, aReply }), aNow);
    });
}

void
control_state::Do(const send_push& aAction, time_point)
{
  mPort.Send(aAction.mTo, aAction.mPush);
}

void
control_state::Do(const send_pull& aAction, time_point)
{
  mPort.Send(aAction.mTo, aAction.mQuery);
}

void
control_state::Do(const objects_changed& aAction, time_point aNow)
{
  for (const auto& key : aAction.mKeys) {
    OnObject(key, aNow);
  }
}

void
control_state::Do(const slot_store_call& aAction, time_point)
{
  Submit(aAction.mRequest,
         aAction.mPriority,
         [this, operation = aAction.mOperation](const store_reply& aReply,
                                                time_point aNow) {
           Give(slot_event(slot_store_answered{ operation, aReply }), aNow);
         });
}

void
control_state::Do(const send_slot_message& aAction, time_point)
{
  mPort.SendDatagram(
    aAction.mTo, aAction.mMessage, mMembership.VersionAt(aAction.mTo));
}

void
control_state::Do(const share_changed& aAction, time_point)
{
  MarkChanged(aAction.mService);
}

void
control_state::Do(const record_learned& aAction, time_point aNow)
{
  if (mCache.Apply(aAction.mObject)) {
    OnObject(aAction.mObject.mKey, aNow);
  }
}

} // namespace snipewalk
