// Stand-in of the platform's promotion call. It promotes whatever it is told to
// and never compares fence numbers, as the platform does, but notes each order
// that breaks the order of the fence numbers.
#ifndef SNIPEWALK_STANDINS_PROMOTION_SERVICE_H_
#define SNIPEWALK_STANDINS_PROMOTION_SERVICE_H_

#include "snipewalk/connection/event_loop.h"
#include "standins/http_service.h"
#include "standins/line_server_group.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace snipewalk::standins {

struct promotion_order
{
  std::string mHolder;
  std::uint64_t mFence = 0;
  std::string mServer;
};

class promotion_service
{
public:
  // Called for each order when it arrives, before it has an effect.
  using order_handler = std::function<void(const promotion_order&)>;

  promotion_service(event_loop& aLoop,
                    http_service& aHttp,
                    line_server_group& aServers);

  void OnCall(connection_number aConnection, const http_request& aRequest);

  void SetOnOrder(order_handler aHandler) { mOnOrder = std::move(aHandler); }
  // Time from the arrival of an order until it is answered and carried out, in
  // addition to the usual time.
  void SetDelay(milliseconds aDelay) { mDelay = aDelay; }

  const std::vector<promotion_order>& Orders() const { return mOrders; }
  // Orders with a lower fence number than an earlier one, or with the fence
  // number of another holder.
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  void CheckFence(const promotion_order& aOrder);
  void CarryOut(connection_number aConnection, const promotion_order& aOrder);

  event_loop& mLoop;
  http_service& mHttp;
  line_server_group& mServers;
  order_handler mOnOrder;
  milliseconds mDelay{ 0 };
  std::vector<promotion_order> mOrders;
  std::vector<std::string> mViolations;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_PROMOTION_SERVICE_H_
