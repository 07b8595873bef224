// Tests of what a caller is told when the instance that served it is lost.
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

// The other instance may have passed the write on: "not run" could be false.
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

// Without a commit the lost connection rolls back.
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
