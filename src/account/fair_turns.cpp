// Implementation of the turns of client accounts.
#include "snipewalk/account/fair_turns.h"

#include <algorithm>

namespace snipewalk {

double
fair_turns::Assign(const std::string& aAccount, int aPriority)
{
  priority_turns& turns = mPriorities[aPriority];
  double& next = turns.mNext[aAccount];
  const double turn = std::max(turns.mCurrent, next);
  next = turn + 1;
  return turn;
}

void
fair_turns::OnPlaced(int aPriority, double aTurn)
{
  priority_turns& turns = mPriorities[aPriority];
  if (aTurn <= turns.mCurrent) {
    return;
  }
  turns.mCurrent = aTurn;
  std::erase_if(turns.mNext,
                [aTurn](const auto& aEntry) { return aEntry.second <= aTurn; });
}

void
fair_turns::OnDropped(const std::string& aAccount, int aPriority)
{
  priority_turns& turns = mPriorities[aPriority];
  const auto found = turns.mNext.find(aAccount);
  if (found != turns.mNext.end()) {
    found->second -= 1;
  }
}

} // namespace snipewalk
