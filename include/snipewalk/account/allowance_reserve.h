// Tokens of the accounts' rate limits that this instance holds. Operations of
// an account with a limit need a token each; the reserve is kept as large as
// the recent demand, so that operations rarely wait for tokens and go on for a
// while if the instance that issues them is lost.
#ifndef SNIPEWALK_ACCOUNT_ALLOWANCE_RESERVE_H_
#define SNIPEWALK_ACCOUNT_ALLOWANCE_RESERVE_H_

#include "snipewalk/account/account_directory.h"
#include "snipewalk/account/allowance_messages.h"
#include "snipewalk/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace snipewalk {

class allowance_reserve
{
public:
  // Sets the limits of the accounts that have one. If a limit is lowered, the
  // tokens of the account are reduced in proportion at once.
  void SetLimits(const account_directory& aAccounts);

  // Records the arrival of an operation, which determines the demand.
  void OnArrival(const std::string& aAccount, time_point aNow);
  // Whether Take() would succeed.
  bool HasToken(const std::string& aAccount, time_point aNow) const;
  // Takes a token for an operation that is sent to a server now; returns false
  // if there is none. Accounts without a limit need none.
  bool Take(const std::string& aAccount, time_point aNow);
  // Notes that an operation waits for a token, while `aAhead` others of the
  // account do so already. Returns false if the account's limit is exhausted,
  // so that the operation should be refused instead.
  bool Await(const std::string& aAccount, std::size_t aAhead, time_point aNow);

  // Whether an operation waits for tokens that have not been requested yet.
  bool IsUrgent() const { return mUrgent; }
  // Returns the request to send if one is due.
  std::optional<allowance_request> RequestIfDue(time_point aNow);
  // Applies an answer to the latest request; earlier ones are ignored.
  // Different instances may answer for different accounts.
  void OnGrant(const allowance_grant& aGrant, time_point aNow);
  // Called after a suspension that the clock did not count: the tokens may have
  // expired.
  void DropTokens();

private:
  struct account_tokens
  {
    rate_limit mLimit;
    std::uint32_t mTokens = 0;
    time_point mExpiresAt = time_point::min();
    // Tokens taken since the latest request was sent. The answer to it counts
    // them as held.
    std::uint32_t mTakenSinceRequest = 0;
    // Operations that arrived, each weighted less the longer ago it was.
    double mRecentArrivals = 0;
    time_point mDecayedAt = time_point::min();
    time_point mLastArrival = time_point::min();
    // Until this time the limit is known to allow fewer operations than arrive.
    time_point mLimitedUntil = time_point::min();
    // Tokens that the latest answer added.
    std::uint32_t mLastIssued = 0;
    // An operation has been waiting for a token since the latest answer.
    bool mAwaited = false;
    // The latest request for tokens of the account has not been answered.
    bool mUnanswered = false;
  };

  // What the accounts need, in ascending order of urgency.
  enum class need
  {
    None,
    // The tokens of an account run low or expire soon.
    Refill,
    // Operations wait for tokens of accounts whose limit is exhausted, or that
    // were requested before in vain.
    Slow,
    // Operations wait for tokens that are probably available.
    Urgent
  };

  static void Decay(account_tokens& aTokens, time_point aNow);
  static void DropExpired(account_tokens& aTokens, time_point aNow);
  static std::uint32_t WantedOf(const account_tokens& aTokens, time_point aNow);
  static need NeedOf(const account_tokens& aTokens, time_point aNow);
  allowance_request NewRequest(time_point aNow);

  // By name of the account; only those with a limit.
  std::map<std::string, account_tokens> mAccounts;
  std::uint64_t mSequenceNumber = 0;
  time_point mRequestedAt = time_point::min();
  bool mUrgent = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_ACCOUNT_ALLOWANCE_RESERVE_H_
