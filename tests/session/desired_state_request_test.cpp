// Tests for requests for the desired state of another instance, on real
// sockets.
#include "session/desired_state_request.h"

#include "snipewalk/connection/listener.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

namespace snipewalk {
namespace {

class state_holder : public forwarding_links
{
public:
  std::optional<host_candidate> HostFor(const open_session&,
                                        time_point) override
  {
    return std::nullopt;
  }
  void OnHostFailed(const std::string&, time_point) override {}
  void ProbeHost(const host_candidate&, time_point) override {}
  std::uint64_t DesiredRevision() const override { return mState.mRevision; }
  void RequestDesiredRevision(std::uint64_t, time_point) override {}
  relayed_desired_state DesiredState() const override { return mState; }
  bool TakeStateRequest(time_point) override { return true; }
  void AdoptDesiredState(const relayed_desired_state& aState,
                         time_point) override
  {
    mState = aState;
  }

  relayed_desired_state mState;
};

class DesiredStateRequestTest : public testing::Test
{
protected:
  DesiredStateRequestTest()
  {
    auto opened = listener::Open(mLoop,
                                 "127.0.0.1:0",
                                 [this](const Poco::Net::StreamSocket& aSocket,
                                        time_point) { Accept(aSocket); });
    mListener = *std::move(opened);
    mPeer.mState = { 7, R"({"Version":3})" };
  }

  void Accept(const Poco::Net::StreamSocket& aSocket)
  {
    mLoop.Cancel(mPartTimer);
    mAccepted = stream_connection::Adopt(
      mLoop,
      aSocket,
      { {},
        [this](std::string& aInput, time_point aNow) {
          if (mAnswers && mPartInterval == milliseconds(0)) {
            (void)ReadForwardedMessage(aInput, mPeer, *mAccepted, aNow);
          } else if (mAnswers) {
            aInput.clear();
            mRest = EncodeForwardedMessage({ 7, {}, mPeer.mState });
            SendPart(aNow);
          }
        },
        [this](close_cause, time_point) { ++mClosed; } });
  }

  // Sends a part of the reply, and the next one after the interval.
  void SendPart(time_point aNow)
  {
    constexpr std::size_t kPartBytes = 10;
    mAccepted->Send(mRest.substr(0, kPartBytes));
    mRest.erase(0, std::min(kPartBytes, mRest.size()));
    if (!mRest.empty()) {
      mPartTimer = mLoop.RunAt(aNow + mPartInterval,
                               [this](time_point aThen) { SendPart(aThen); });
    }
  }

  void RunFor(milliseconds aTime)
  {
    bool done = false;
    mLoop.RunAt(mLoop.Now() + aTime, [&done](time_point) { done = true; });
    while (!done) {
      mLoop.RunOnce();
    }
  }

  event_loop mLoop;
  std::unique_ptr<listener> mListener;
  state_holder mOwn;
  state_holder mPeer;
  std::unique_ptr<stream_connection> mAccepted;
  bool mAnswers = true;
  // Not zero: the peer has a slow link and sends its reply in parts.
  milliseconds mPartInterval{ 0 };
  std::string mRest;
  event_loop::timer_id mPartTimer = 0;
  int mClosed = 0;
  desired_state_request mRequest{ mLoop, mOwn };
};

TEST_F(DesiredStateRequestTest, PassesTheStateOnAndCloses)
{
  mRequest.Send(mListener->Address(), mLoop.Now());
  RunFor(milliseconds(200));
  EXPECT_EQ(mOwn.mState.mRevision, 7U);
  EXPECT_EQ(mOwn.mState.mValue, mPeer.mState.mValue);
  EXPECT_EQ(mClosed, 1);
}

TEST_F(DesiredStateRequestTest, GivesUpOnASilentPeer)
{
  mAnswers = false;
  mRequest.Send(mListener->Address(), mLoop.Now());
  RunFor(milliseconds(1'300));
  EXPECT_EQ(mClosed, 1);
  EXPECT_EQ(mOwn.mState.mRevision, 0U);
}

TEST_F(DesiredStateRequestTest, ReplacesARequestThatIsUnderWay)
{
  mAnswers = false;
  mRequest.Send(mListener->Address(), mLoop.Now());
  RunFor(milliseconds(100));
  mAnswers = true;
  mRequest.Send(mListener->Address(), mLoop.Now());
  RunFor(milliseconds(200));
  EXPECT_EQ(mOwn.mState.mRevision, 7U);
}

// Guards against large states that fill a link for nothing.
TEST_F(DesiredStateRequestTest, GetsNoValueThatIsNotNewer)
{
  mOwn.mState = { 7, {} };
  mRequest.Send(mListener->Address(), mLoop.Now());
  RunFor(milliseconds(200));
  EXPECT_EQ(mOwn.mState.mValue, "");
  EXPECT_EQ(mClosed, 1);
}

// Guards against large states that never arrive from a peer with a slow link:
// each request was replaced by the next one, or gave up, while they arrived.
TEST_F(DesiredStateRequestTest, KeepsARequestWhoseReplyIsArriving)
{
  mPartInterval = milliseconds(400);
  for (int i = 0; i < 5; ++i) {
    mRequest.Send(mListener->Address(), mLoop.Now());
    RunFor(milliseconds(500));
  }
  EXPECT_EQ(mOwn.mState.mRevision, 7U);
  EXPECT_EQ(mRequest.RepliesCutOff(), 0U);
}

} // namespace
} // namespace snipewalk
