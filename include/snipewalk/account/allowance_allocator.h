// Divides the rate limits of client accounts between instances. An account's
// operations are counted over all instances, also those that are cut off, so an
// operation needs a token that one place has issued. The owner of the account
// (see allowance_owners), of which there is at most one at a time, issues them
// to the instances that ask, according to their demand.
//
// Invariant: tokens that were issued and may still be used, together with those
// that can be issued at once, never exceed the account's capacity. In any
// window, at most the capacity and what the rate adds in it can therefore be
// used, whichever instances are lost, restarted or cut off.
#ifndef SNIPEWALK_ACCOUNT_ALLOWANCE_ALLOCATOR_H_
#define SNIPEWALK_ACCOUNT_ALLOWANCE_ALLOCATOR_H_

#include "snipewalk/account/account_directory.h"
#include "snipewalk/account/allowance_messages.h"
#include "snipewalk/base/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace snipewalk {

// By how much the operations of an account may exceed its rate and burst in a
// window, because several instances enforce the limit.
struct allowance_rules
{
  milliseconds mWindow{ 5'000 };
  // Part of what the limit allows in a window.
  double mOverage = 0;
  // Number of operations in a window.
  double mSlack = 0;

  bool operator==(const allowance_rules&) const = default;
};

class allowance_allocator
{
public:
  explicit allowance_allocator(const allowance_rules& aRules);

  // Starts to issue tokens of an account whose former owner has issued its last
  // ones at `aFrom` at the latest. Instances may hold these still, unless
  // `aNoneHeld` is set.
  void Begin(const std::string& aAccount, time_point aFrom, bool aNoneHeld);
  // Sets the limits of the accounts that have one.
  void SetLimits(const account_directory& aAccounts, time_point aNow);

  // Answers a request of the process of an instance that started at `aStarted`.
  allowance_grant OnRequest(const std::string& aInstance,
                            std::uint64_t aStarted,
                            const allowance_request& aRequest,
                            time_point aNow);

private:
  // Sender of a request.
  struct process
  {
    const std::string& mInstance;
    std::uint64_t mStarted = 0;
    std::uint64_t mSequenceNumber = 0;
  };
  // What one process holds of an account at most.
  struct held_tokens
  {
    std::uint64_t mStarted = 0;
    std::uint64_t mSequenceNumber = 0;
    std::uint32_t mTokens = 0;
    // Tokens that the process wanted in addition to those it had.
    std::uint32_t mMissing = 0;
    time_point mRequestedAt;
    time_point mExpiresAt;
  };
  struct token_bucket
  {
    rate_limit mLimit;
    // Tokens that can be issued.
    double mTokens = 0;
    // Tokens that another owner has issued and that are still held, as far as
    // their holders have reported.
    double mAdopted = 0;
    time_point mRefilledAt;
    // Until then instances may hold tokens of a former owner.
    time_point mOthersExpireAt;
    // By name of the instance.
    std::map<std::string, held_tokens> mHoldings;
  };

  static token_bucket NewBucket(const rate_limit& aLimit, time_point aNow);
  double CapacityOf(const token_bucket& aBucket, time_point aNow) const;
  double ToleranceOf(const rate_limit& aLimit) const;
  static double InUseOf(const token_bucket& aBucket);
  // Whether a later request of the instance has been answered. The tokens that
  // a process reports are up to date in its latest request only.
  static bool IsOutdated(const token_bucket& aBucket, const process& aProcess);
  // Limits the tokens that can be issued to what the capacity leaves.
  void LimitTokens(token_bucket& aBucket, time_point aNow) const;
  void Accrue(token_bucket& aBucket, time_point aUntil) const;
  // Adds what the rate allows since the last call, and drops expired holdings.
  void Refill(token_bucket& aBucket, time_point aNow) const;
  // Returns how many of the tokens that the process reports are valid.
  std::uint32_t ValidOf(token_bucket& aBucket,
                        const process& aProcess,
                        std::uint32_t aHeld,
                        time_point aNow) const;
  // Returns the part of the tokens at hand that is due to a process that misses
  // `aMissing` of them.
  static std::uint32_t PartOf(const token_bucket& aBucket,
                              std::uint32_t aMissing,
                              time_point aNow);
  allowance_share Issue(token_bucket& aBucket,
                        const process& aProcess,
                        const allowance_want& aWant,
                        time_point aNow);

  allowance_rules mRules;
  std::map<std::string, token_bucket> mBuckets;
};

} // namespace snipewalk

#endif // SNIPEWALK_ACCOUNT_ALLOWANCE_ALLOCATOR_H_
