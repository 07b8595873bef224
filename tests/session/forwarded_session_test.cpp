// Tests of the replies that a caller gets when the instance that served its
// session is lost.
#include "snipewalk/session/forwarded_session.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

class ForwardedSessionTest : public testing::Test
{
protected:
  ForwardedSessionTest() { ReceiveReply(session_state::Idle); }

  void SendStatement(session_statement aStatement)
  {
    mSession.OnStatement({ "r", std::move(aStatement) }, mNow);
  }
  void ReceiveReply(session_state aState)
  {
    statement_reply reply;
    reply.mState = aState;
    mSession.OnReply(reply);
  }
  std::optional<result_code> CodeOnHostLoss() const
  {
    const auto lossReply = mSession.ReplyOnHostLoss();
    return lossReply ? lossReply->mError : std::nullopt;
  }

  forwarded_session mSession;
  time_point mNow{ seconds(5) };
};

TEST_F(ForwardedSessionTest, IsIdleBetweenStatements)
{
  EXPECT_TRUE(mSession.IsIdle());
  SendStatement(read_statement{ "1" });
  EXPECT_FALSE(mSession.IsIdle());
  EXPECT_EQ(mSession.PendingSince(), mNow);
  ReceiveReply(session_state::Idle);
  EXPECT_TRUE(mSession.IsIdle());
  EXPECT_FALSE(mSession.PendingSince());
}

TEST_F(ForwardedSessionTest, IsNotIdleInATransaction)
{
  SendStatement(begin_statement{});
  ReceiveReply(session_state::InTransaction);
  EXPECT_FALSE(mSession.IsIdle());
}

TEST_F(ForwardedSessionTest, TellsNothingWhenNoAnswerIsDue)
{
  EXPECT_EQ(CodeOnHostLoss(), std::nullopt);
}

// The lost instance may already have sent the write to a server, so the reply
// must not state that it was not executed.
TEST_F(ForwardedSessionTest, PromisesNothingForAWrite)
{
  SendStatement(write_statement{ "1", "x" });
  EXPECT_EQ(CodeOnHostLoss(), result_code::InDoubt);
}

TEST_F(ForwardedSessionTest, PromisesNothingForAPreparedWrite)
{
  SendStatement(prepare_statement{ "p", access_kind::Write, "shape" });
  ReceiveReply(session_state::Idle);
  SendStatement(execute_statement{ "p", "1 x" });
  EXPECT_EQ(CodeOnHostLoss(), result_code::InDoubt);
}

TEST_F(ForwardedSessionTest, PromisesNothingForACommit)
{
  SendStatement(begin_statement{});
  ReceiveReply(session_state::InTransaction);
  SendStatement(commit_statement{});
  EXPECT_EQ(CodeOnHostLoss(), result_code::InDoubt);
}

// Closing the connection rolls back a transaction whose commit was not sent.
TEST_F(ForwardedSessionTest, PromisesThatAnOpenTransactionIsNotKept)
{
  SendStatement(begin_statement{});
  ReceiveReply(session_state::InTransaction);
  SendStatement(write_statement{ "1", "x" });
  EXPECT_EQ(CodeOnHostLoss(), result_code::Aborted);
}

TEST_F(ForwardedSessionTest, LetsAReadBeRepeated)
{
  SendStatement(read_statement{ "1" });
  EXPECT_EQ(CodeOnHostLoss(), result_code::TimedOut);
}

} // namespace
} // namespace snipewalk
