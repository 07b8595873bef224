// One caller of a load run: decides the next request and keeps what the answer
// brought. A state machine without sockets or clocks.
#ifndef SNIPEWALK_LOAD_LOAD_SESSION_H_
#define SNIPEWALK_LOAD_LOAD_SESSION_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/base/time.h"
#include "snipewalk/load/history.h"
#include "snipewalk/messages/statement.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace snipewalk {

enum class load_pattern
{
  // One certificate written in ten requests, looked up at once by its session,
  // and approval look-ups that accept data of a stated age.
  Drums,
  // Bursts of writes, each read back at once.
  MonthEnd,
  // A fixed share of writes among reads of the session's own keys.
  Constant
};

inline constexpr name_table<load_pattern, 3> kLoadPatternNames{ {
  { load_pattern::Drums, "drums" },
  { load_pattern::MonthEnd, "month_end" },
  { load_pattern::Constant, "constant" },
} };

struct load_profile
{
  load_pattern mPattern = load_pattern::Drums;
  // Share of writes in the pattern `constant`.
  int mWritePercent = 10;
  // Share of rounds that are a transaction over two keys.
  int mTransactionPercent = 0;
  milliseconds mMaxAge{ 500 };
  // An unknown write is repeated for this long, then left to the query of its
  // outcome.
  milliseconds mRepeatFor{ 15'000 };
  // Distinguishes the keys of runs against the same servers.
  std::string mRun = "r";
};

struct load_request
{
  history_kind mKind = history_kind::Read;
  std::string mKey;
  // Statement text.
  std::string mBody;
  std::string mToken;
  std::string mIdempotencyKey;
  std::string mSessionToken;
  std::string mTransaction;
  std::uint64_t mTransactionNumber = 0;
  std::optional<milliseconds> mMaxAge;
  // Queries of the outcome so far.
  int mQueries = 0;
};

struct load_answer
{
  statement_outcome mOutcome = statement_outcome::Unknown;
  std::string mReason;
  std::string mBody;
  std::string mSessionToken;
  std::string mTransaction;
  std::string mServer;
  std::optional<std::int64_t> mDataAgeMs;
  milliseconds mRetryAfter{ 0 };
  bool mIdMatched = true;
};

// Keys written lately by the sessions of one service, for look-ups by others.
class load_key_pool
{
public:
  void Add(std::string aKey);
  // Empty while nothing was written.
  std::string Pick(std::mt19937_64& aRandom) const;

private:
  std::deque<std::string> mKeys;
};

class load_session
{
public:
  // `aPool` outlives the session.
  load_session(std::string aName,
               const load_profile& aProfile,
               load_key_pool& aPool,
               std::uint64_t aSeed);

  // The next request; nothing when the session is finished. Call again only
  // after Answered().
  std::optional<load_request> Next();
  void Answered(const load_answer& aAnswer, time_point aNow);

  // Starts no new round. What is unknown is still repeated and queried, and
  // the keys written last are read once more.
  void Finish();

  // Not before this time is the next request to be sent.
  time_point NotBefore() const { return mNotBefore; }
  const std::string& Name() const { return mName; }

private:
  struct step
  {
    history_kind mKind = history_kind::Read;
    std::string mKey;
    bool mHasAge = false;
    bool mInTransaction = false;
  };

  void PlanRound();
  void PlanDrums();
  void PlanMonthEnd();
  void PlanConstant();
  void PlanTransaction();
  void PlanEnd();
  // Key for the next write; a new one once the present one has enough writes.
  std::string KeyToWrite();
  load_request RequestOf(const step& aStep);
  void AnsweredWrite(const load_answer& aAnswer, time_point aNow);
  void AnsweredQuery(const load_answer& aAnswer);
  void AnsweredInTransaction(const load_answer& aAnswer);
  // Leaves the rest of the transaction out; rolls it back if it may be open.
  void AbandonTransaction(bool aRollBack);

  std::string mName;
  load_profile mProfile;
  load_key_pool& mPool;
  std::mt19937_64 mRandom;
  std::deque<step> mSteps;
  // Request that was handed out, or is to be repeated.
  std::optional<load_request> mPending;
  bool mRepeat = false;
  time_point mRepeatUntil;
  std::vector<load_request> mUnresolved;
  std::string mSessionToken;
  std::string mTransaction;
  std::uint64_t mTransactionNumber = 0;
  std::uint64_t mNextToken = 1;
  std::uint64_t mNextKey = 1;
  std::string mKey;
  int mWritesOfKey = 0;
  std::deque<std::string> mRecentKeys;
  time_point mNotBefore;
  bool mFinishing = false;
  bool mPlannedEnd = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_LOAD_LOAD_SESSION_H_
