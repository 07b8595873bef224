// State that the instance that accepted a caller keeps for a session that
// another instance serves: whether a reply is pending, and what the caller may
// be told if the other instance is lost.
#ifndef SNIPEWALK_SESSION_FORWARDED_SESSION_H_
#define SNIPEWALK_SESSION_FORWARDED_SESSION_H_

#include "snipewalk/base/time.h"
#include "snipewalk/session/connection_context.h"
#include "snipewalk/session/session_messages.h"

#include <optional>
#include <string>

namespace snipewalk {

class forwarded_session
{
public:
  // Records a statement that was forwarded.
  void OnStatement(const statement_message& aMessage, time_point aNow);
  // Records a reply that was returned to the caller, including the reply to the
  // opening message.
  void OnReply(const statement_reply& aReply);

  // Returns whether no reply is pending and no transaction is open.
  bool IsIdle() const;
  // Returns when the statement whose reply is pending was forwarded;
  // std::nullopt if no reply is pending.
  std::optional<time_point> PendingSince() const;
  // Returns the request id of the statement whose reply is pending; empty if
  // there is none.
  std::string PendingRequestId() const;
  bool InTransaction() const { return mState != session_state::Idle; }

  // Returns the reply for the pending statement when the connection to the
  // other instance is lost; std::nullopt if no reply is pending. A code that
  // states that nothing was kept becomes true only when that connection is
  // closed, because closing rolls the transaction back.
  std::optional<statement_reply> ReplyOnHostLoss() const;

private:
  struct pending_statement
  {
    statement_message mMessage;
    time_point mForwardedAt;
  };

  // Context of the session; only its prepared statements are kept up to date.
  session_context mContext;
  session_state mState = session_state::Idle;
  std::optional<pending_statement> mPending;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_FORWARDED_SESSION_H_
