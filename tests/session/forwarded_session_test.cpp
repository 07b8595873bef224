// Tests of the replies that a caller gets when the instance that served its
// session is lost.
#include "snipewalk/session/forwarded_session.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

class ForwardedSessionTest : public testing::Test
{
protected:
  ForwardedSessionTest() { Answer(session_state::Idle); }

  void Ask(session_statement aStatement)
  {
    mSession.OnStatement({ "r", std::move(aStatement) }, mNow);
  }
  void Answer(session_state aState)
  {
    statement_reply reply;
    reply.mState = aState;
    mSession.OnReply(reply);
  }
  std::optional<result_code> CodeWhenLost() const
  {
    const auto answer = mSession.AnswerWhenLost();
    return answer ? answer->mError : std::nullopt;
  }

  forwarded_session mSession;
  time_point mNow{ seconds(5) };
};

TEST_F(ForwardedSessionTest, IsIdleBetweenStatements)
{
  EXPECT_TRUE(mSession.IsIdle());
  Ask(read_statement{ "1" });
  EXPECT_FALSE(mSession.IsIdle());
  EXPECT_EQ(mSession.WaitingSince(), mNow);
  Answer(session_state::Idle);
  EXPECT_TRUE(mSession.IsIdle());
  EXPECT_FALSE(mSession.WaitingSince());
}

TEST_F(ForwardedSessionTest, IsNotIdleInATransaction)
{
  Ask(begin_statement{});
  Answer(session_state::InTransaction);
  EXPECT_FALSE(mSession.IsIdle());
}

TEST_F(ForwardedSessionTest, TellsNothingWhenNoAnswerIsDue)
{
  EXPECT_EQ(CodeWhenLost(), std::nullopt);
}

// The lost instance may already have sent the write to a server, so the reply
// must not state that it was not executed.
TEST_F(ForwardedSessionTest, PromisesNothingForAWrite)
{
  Ask(write_statement{ "1", "x" });
  EXPECT_EQ(CodeWhenLost(), result_code::InDoubt);
}

TEST_F(ForwardedSessionTest, PromisesNothingForAPreparedWrite)
{
  Ask(prepare_statement{ "p", access_kind::Write, "shape" });
  Answer(session_state::Idle);
  Ask(execute_statement{ "p", "1 x" });
  EXPECT_EQ(CodeWhenLost(), result_code::InDoubt);
}

TEST_F(ForwardedSessionTest, PromisesNothingForACommit)
{
  Ask(begin_statement{});
  Answer(session_state::InTransaction);
  Ask(commit_statement{});
  EXPECT_EQ(CodeWhenLost(), result_code::InDoubt);
}

// Closing the connection rolls back a transaction whose commit was not sent.
TEST_F(ForwardedSessionTest, PromisesThatAnOpenTransactionIsNotKept)
{
  Ask(begin_statement{});
  Answer(session_state::InTransaction);
  Ask(write_statement{ "1", "x" });
  EXPECT_EQ(CodeWhenLost(), result_code::Aborted);
}

TEST_F(ForwardedSessionTest, LetsAReadBeRepeated)
{
  Ask(read_statement{ "1" });
  EXPECT_EQ(CodeWhenLost(), result_code::TimedOut);
}

} // namespace
} // namespace snipewalk
