// Messages by which instances obtain tokens of the accounts' rate limits. One
// token allows one operation.
#ifndef SNIPEWALK_ACCOUNT_ALLOWANCE_MESSAGES_H_
#define SNIPEWALK_ACCOUNT_ALLOWANCE_MESSAGES_H_

#include "snipewalk/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snipewalk {

// Tokens expire this long after the request that obtained or renewed them was
// sent. Until then the tokens of a lost instance count as in use.
inline constexpr milliseconds kTokenLifetime{ 3'000 };

struct allowance_want
{
  std::string mAccount;
  // Tokens that the sender has.
  std::uint32_t mHeld = 0;
  // Tokens that the sender would like to have in all.
  std::uint32_t mWanted = 0;
};

struct allowance_request
{
  std::uint64_t mSequenceNumber = 0;
  std::vector<allowance_want> mWants;
};

struct allowance_share
{
  std::string mAccount;
  // Tokens that the receiver had when it sent the request and may keep, and new
  // ones.
  std::uint32_t mTokens = 0;
  // The account's limit does not allow as many as were wanted.
  bool mLimited = false;
};

// Answer to the request of the same number.
struct allowance_grant
{
  std::uint64_t mSequenceNumber = 0;
  std::vector<allowance_share> mShares;
};

} // namespace snipewalk

#endif // SNIPEWALK_ACCOUNT_ALLOWANCE_MESSAGES_H_
