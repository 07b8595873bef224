// Bytes that may be spent: a constant rate, saved up to a limit. A transfer
// whose size is known only afterwards may leave a debt.
#ifndef SNIPEWALK_FLEET_BYTE_BUDGET_H_
#define SNIPEWALK_FLEET_BYTE_BUDGET_H_

#include "snipewalk/base/time.h"

#include <algorithm>
#include <cstddef>

namespace snipewalk {

class byte_budget
{
public:
  byte_budget(double aBytesPerSecond, double aLimit, time_point aNow)
    : mRate(aBytesPerSecond)
    , mLimit(aLimit)
    , mLeft(aLimit)
    , mRefilled(aNow)
  {
  }

  void Refill(time_point aNow)
  {
    const double passed =
      std::chrono::duration<double>(aNow - mRefilled).count();
    mLeft = std::min(mLimit, mLeft + mRate * std::max(0.0, passed));
    mRefilled = std::max(mRefilled, aNow);
  }

  // The debt is bounded by the limit too.
  void Spend(std::size_t aBytes)
  {
    mLeft = std::max(-mLimit, mLeft - static_cast<double>(aBytes));
  }

  std::size_t Left() const
  {
    return mLeft <= 0 ? 0 : static_cast<std::size_t>(mLeft);
  }
  bool IsFull() const { return mLeft >= mLimit; }

private:
  double mRate;
  double mLimit;
  double mLeft;
  time_point mRefilled;
};

} // namespace snipewalk

#endif // SNIPEWALK_FLEET_BYTE_BUDGET_H_
