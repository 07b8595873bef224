// Order in which client accounts get their turns at a service. If one account
// has many statements waiting, those of the others would wait behind all of
// them; instead the accounts take turns, each with one statement (start-time
// fair queueing). Turns are counted for each priority of statements, so that an
// account's bulk reads do not delay its urgent writes.
#ifndef SNIPEWALK_ACCOUNT_FAIR_TURNS_H_
#define SNIPEWALK_ACCOUNT_FAIR_TURNS_H_

#include <map>
#include <string>

namespace snipewalk {

class fair_turns
{
public:
  // Returns the turn of the next statement of an account. Statements with
  // smaller turns are placed first.
  double Assign(const std::string& aAccount, int aPriority);
  // Records that a statement with this turn was placed.
  void OnPlaced(int aPriority, double aTurn);
  // Gives up the turn of a statement that was not placed, so that the account
  // does not lose it.
  void OnDropped(const std::string& aAccount, int aPriority);

private:
  struct priority_turns
  {
    // Turn of the statement that was placed last.
    double mCurrent = 0;
    // Next turn of each account that has had one after mCurrent.
    std::map<std::string, double> mNext;
  };

  std::map<int, priority_turns> mPriorities;
};

} // namespace snipewalk

#endif // SNIPEWALK_ACCOUNT_FAIR_TURNS_H_
