// Drives one forwarder with a fixed fleet; used by the tests of the forwarder.
#ifndef SNIPEWALK_REQUEST_FORWARDER_DRIVER_H_
#define SNIPEWALK_REQUEST_FORWARDER_DRIVER_H_

#include "snipewalk/request/forwarder.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace snipewalk {

inline constexpr std::size_t kInstances = 5;

inline std::string
ForwarderInstance(std::size_t aIndex)
{
  return "i" + std::to_string(aIndex);
}

// i0 is this instance. i1 shares its data centre, i2 its region.
inline std::shared_ptr<routing_snapshot>
ForwarderSnapshot(const std::vector<std::string>& aHolders)
{
  auto snapshot = std::make_shared<routing_snapshot>();
  const char* centres[] = { "munich", "munich", "augsburg", "darkhan", "ub" };
  const char* regions[] = { "bavaria", "bavaria", "bavaria", "mn", "mn" };
  for (std::size_t i = 0; i < kInstances; ++i) {
    const std::string name = ForwarderInstance(i);
    snapshot->mMembers[name] = {
      name, 1, centres[i], regions[i], "127.0.0.1:1", "", member_state::Alive
    };
  }
  auto view = std::make_shared<service_view>();
  view->mDocument.mService = "register";
  for (const auto& holder : aHolders) {
    view->mSlots.mHolders.push_back({ holder, 1 });
    view->mConnectionShare = holder == "i0" ? 5 : view->mConnectionShare;
  }
  snapshot->mServices["register"] = view;
  snapshot->mSessionKeys = { { "k1", "secret", wall_time() } };
  return snapshot;
}

class forwarder_driver
{
public:
  explicit forwarder_driver(const std::vector<std::string>& aHolders)
    : mForwarder({ "i0", "munich" })
  {
    mForwarder.SetSnapshot(ForwarderSnapshot(aHolders), mNow, mActions);
  }

  statement_request Request(statement_kind aKind)
  {
    statement_request request;
    request.mRequestId = "r" + std::to_string(++mCount);
    request.mService = "register";
    request.mAccount = "fassnetz";
    request.mKind = aKind;
    request.mIdempotencyKey =
      aKind == statement_kind::Write ? "key-" + request.mRequestId : "";
    request.mDeadline = mNow + seconds(5);
    return request;
  }

  void Submit(statement_request aRequest)
  {
    mForwarder.Submit(std::move(aRequest), mNow, mActions);
  }

  // The last action, taken out; fails the test when it is of another type.
  template<typename Action>
  Action Take()
  {
    EXPECT_FALSE(mActions.empty());
    if (mActions.empty() || !std::holds_alternative<Action>(mActions.back())) {
      ADD_FAILURE() << "another action was expected";
      return {};
    }
    Action action = std::get<Action>(std::move(mActions.back()));
    mActions.pop_back();
    return action;
  }

  void Respond(const forwarded_request& aRequest,
               statement_outcome aOutcome,
               refusal_reason aReason = refusal_reason::None)
  {
    statement_response response;
    response.mRequestId = RequestIdOf(aRequest);
    response.mOutcome = aOutcome;
    response.mReason = aReason;
    mForwarder.OnResponse(response, mNow, mActions);
  }

  void PeerClosed(const std::string& aPeer, bool aWasReady)
  {
    mForwarder.OnPeerClosed(aPeer, aWasReady, mNow, mActions);
  }

  time_point mNow{ seconds(100) };
  forwarder mForwarder;
  std::vector<forwarder_action> mActions;
  int mCount = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_FORWARDER_DRIVER_H_
