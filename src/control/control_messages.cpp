// Implementation of the control thread: messages from other instances.
#include "control_state.h"

#include <utility>

namespace snipewalk {

namespace {

// Size of one part of the objects or members sent to a peer.
constexpr std::size_t kChunkBytes = 256 * 1024;

} // namespace

void
control_state::OnDatagram(const std::string& aFrom,
                          datagram_body aBody,
                          time_point aNow)
{
  if (auto* message = std::get_if<membership_message>(&aBody)) {
    Give(membership_event(membership_received{ aFrom, std::move(*message) }),
         aNow);
  } else {
    Give(slot_event(slot_message_received{
           aFrom, std::move(std::get<slot_message>(aBody)) }),
         aNow);
  }
}

void
control_state::OnMessage(link_id aLink,
                         const std::string& aFrom,
                         fleet_message aMessage,
                         time_point aNow)
{
  std::visit([&](const auto& aKnown) { On(aLink, aFrom, aKnown, aNow); },
             aMessage);
}

void
control_state::On(link_id,
                  const std::string& aFrom,
                  const change_push& aPush,
                  time_point aNow)
{
  Give(dissemination_event(push_received{ aFrom, "", aPush }), aNow);
}

void
control_state::On(link_id aLink,
                  const std::string&,
                  const pull_query& aQuery,
                  time_point)
{
  mPort.Reply(
    aLink,
    pull_reply{
      aQuery.mSequence,
      aQuery.mKind,
      mCache.Delta(aQuery.mKind, aQuery.mSince, aQuery.mCursor, kChunkBytes) });
}

void
control_state::On(link_id,
                  const std::string&,
                  const pull_reply& aReply,
                  time_point aNow)
{
  Give(dissemination_event(pull_answered{ aReply }), aNow);
}

void
control_state::On(link_id aLink,
                  const std::string&,
                  const member_query& aQuery,
                  time_point aNow)
{
  mPort.Reply(aLink, mMembership.Answer(aQuery, kChunkBytes, aNow));
}

void
control_state::On(link_id aLink,
                  const std::string& aFrom,
                  const member_reply& aReply,
                  time_point aNow)
{
  Give(membership_event(
         members_received{ aReply.mMembers, aReply.mBriefs, aFrom }),
       aNow);
  if (aReply.mMore && !aReply.mMembers.empty()) {
    mPort.Reply(
      aLink,
      member_query{ aReply.mSequence + 1, aReply.mMembers.back().mName });
  }
}

void
control_state::On(link_id,
                  const std::string&,
                  const service_message& aMessage,
                  time_point aNow)
{
  mControls.OnPeerMessage(aMessage.mSender, aMessage.mMessage, aNow);
}

} // namespace snipewalk
