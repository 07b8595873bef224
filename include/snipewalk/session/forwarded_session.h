// State of a session that another instance serves, as the instance that
// accepted the caller sees it: whether an answer is due, and what the caller
// may be told if the other instance is lost.
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
  // A statement was passed on.
  void OnStatement(const statement_message& aMessage, time_point aNow);
  // An answer was passed back; also the one to the opening.
  void OnReply(const statement_reply& aReply);

  // No answer is due and no transaction is open.
  bool IsIdle() const;
  // When the statement was passed on whose answer is due.
  std::optional<time_point> WaitingSince() const;
  // Id of that statement; empty without one.
  std::string DueRequest() const;
  bool InTransaction() const { return mState != session_state::Idle; }

  // Answer to the statement whose answer is due if none can come any more;
  // nothing without one. A "not run" in it is true once the connection to the
  // other instance is closed, which rolls back.
  std::optional<statement_reply> AnswerWhenLost() const;

private:
  struct due_answer
  {
    statement_message mMessage;
    time_point mSince;
  };

  // Prepared statements only.
  session_context mContext;
  session_state mState = session_state::Idle;
  std::optional<due_answer> mDue;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_FORWARDED_SESSION_H_
