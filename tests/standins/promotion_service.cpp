// Implementation of the stand-in of the promotion call.
#include "standins/promotion_service.h"

#include "snipewalk/base/json_text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace snipewalk::standins {

namespace {

// From the order of a promotion until the server leads.
constexpr milliseconds kPromotionTime{ 100 };

std::string
Describe(const promotion_order& aOrder)
{
  return absl::StrCat(
    aOrder.mServer, " by ", aOrder.mHolder, " with fence ", aOrder.mFence);
}

} // namespace

promotion_service::promotion_service(event_loop& aLoop,
                                     http_service& aHttp,
                                     line_server_group& aServers)
  : mLoop(aLoop)
  , mHttp(aHttp)
  , mServers(aServers)
{
}

void
promotion_service::OnCall(connection_number aConnection,
                          const http_request& aRequest)
{
  promotion_order order;
  order.mServer = (*ParseJsonObject(aRequest.mBody))["Id"].asString();
  order.mHolder = aRequest.mHeaders.Get("Lease-Holder");
  order.mFence = aRequest.mHeaders.GetNumber("Fencing-Token").value_or(0);
  CheckFence(order);
  mOrders.push_back(order);
  if (mOnOrder) {
    mOnOrder(order);
  }
  mLoop.RunAt(mLoop.Now() + mDelay, [this, aConnection, order](time_point) {
    CarryOut(aConnection, order);
  });
}

void
promotion_service::CheckFence(const promotion_order& aOrder)
{
  for (const auto& earlier : mOrders) {
    const bool shared =
      earlier.mFence == aOrder.mFence && earlier.mHolder != aOrder.mHolder;
    if (earlier.mFence > aOrder.mFence || shared) {
      mViolations.push_back(absl::StrCat(
        "order of ", Describe(aOrder), " after that of ", Describe(earlier)));
      return;
    }
  }
}

void
promotion_service::CarryOut(connection_number aConnection,
                            const promotion_order& aOrder)
{
  const auto running = mServers.Running();
  const bool runs =
    std::find(running.begin(), running.end(), aOrder.mServer) != running.end();
  if (runs) {
    mLoop.RunAt(
      mLoop.Now() + kPromotionTime,
      [this, id = aOrder.mServer](time_point) { mServers.Promote(id); });
  }
  mHttp.Answer(aConnection, JsonResponse(runs ? 200 : 409, "{}"));
}

} // namespace snipewalk::standins
