// Client accounts of a desired state: the keys that identify their callers,
// and the limits on what they may send.
#ifndef SNIPEWALK_ACCOUNT_ACCOUNT_DIRECTORY_H_
#define SNIPEWALK_ACCOUNT_ACCOUNT_DIRECTORY_H_

#include "snipewalk/base/findings.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipewalk {

// Limit on the operations of an account, counted over all instances. An
// operation is a single statement or a whole transaction.
struct rate_limit
{
  double mPerSecond = 0;
  // Operations that may exceed the rate for a moment.
  double mBurst = 0;

  bool operator==(const rate_limit&) const = default;
};

struct client_account
{
  std::string mName;
  std::vector<std::string> mKeys;
  // Zero is the most urgent. Not used yet: statements are ordered by the
  // priority of their routes.
  int mPriority = 0;
  // Unset for an account without a limit.
  std::optional<rate_limit> mLimit;
};

// Immutable. Each key belongs to exactly one account.
class account_directory
{
public:
  static constexpr std::size_t kMaxAccounts = 5'000;
  static constexpr std::size_t kMaxKeysPerAccount = 64;
  // Names and keys are fields of a line of the protocol.
  static constexpr std::size_t kMaxFieldBytes = 256;
  static constexpr int kMaxPriority = 9;

  // Leaves out entries that are not valid, each with a finding. A key of two
  // accounts identifies neither: callers could otherwise act for the wrong one.
  // No finding contains a key.
  static account_directory Build(std::vector<client_account> aAccounts,
                                 findings& aFindings);

  // Both return nullptr if there is no such account.
  const client_account* FindByKey(std::string_view aKey) const;
  const client_account* Find(std::string_view aName) const;

  const std::map<std::string, client_account, std::less<>>& All() const
  {
    return mAccounts;
  }
  // Part of the rates of all accounts that is this account's, from 0 to 1. Zero
  // for an account without a limit.
  double RateShare(const client_account& aAccount) const;

private:
  void Add(client_account aAccount, findings& aFindings);
  // Maps each key to its account, and leaves out keys of several accounts.
  void IndexKeys(findings& aFindings);

  std::map<std::string, client_account, std::less<>> mAccounts;
  // Names of the accounts by key.
  std::map<std::string, std::string, std::less<>> mNamesByKey;
  double mTotalRate = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_ACCOUNT_ACCOUNT_DIRECTORY_H_
