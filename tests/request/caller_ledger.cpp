// Implementation of the ledger of answers.
#include "request/caller_ledger.h"

#include <gtest/gtest.h>

namespace snipewalk {

namespace {

int
ValueOfBody(const statement_request& aRequest)
{
  return std::stoi(aRequest.mBody.substr(aRequest.mBody.find(' ')));
}

} // namespace

statement_request
caller_ledger::NextRequest(caller& aCaller,
                           std::mt19937& aRandom,
                           int aNumber,
                           time_point aNow)
{
  statement_request request;
  const auto number = std::to_string(aNumber);
  request.mRequestId = "r" + number;
  request.mAccount = "account" + std::to_string(aCaller.mNumber);
  request.mSession = aCaller.mToken;
  request.mBody = std::to_string(aCaller.mNumber) + " " + number;
  request.mDeadline = aNow + milliseconds(20 + aRandom() % 3'000);
  const auto choice = aRandom() % 10;
  if (!aCaller.mTransaction.empty()) {
    request.mTransaction = aCaller.mTransaction;
    request.mKind = choice < 6   ? statement_kind::Write
                    : choice < 9 ? statement_kind::Commit
                                 : statement_kind::Rollback;
  } else if (aCaller.mRepeat) {
    request.mKind = aCaller.mRepeat->mKind;
    request.mTransaction = aCaller.mRepeat->mTransaction;
    request.mBody = aCaller.mRepeat->mBody;
    request.mIdempotencyKey = aCaller.mRepeat->mIdempotencyKey;
    aCaller.mRepeat.reset();
    return request;
  } else if (choice < 5) {
    request.mKind = choice < 4 ? statement_kind::Write : statement_kind::Begin;
  } else if (choice < 7) {
    request.mMaxAge = milliseconds(20 + aRandom() % 500);
  }
  if (request.mKind == statement_kind::Write ||
      request.mKind == statement_kind::Commit) {
    request.mIdempotencyKey = "k" + number;
  }
  if (request.mKind == statement_kind::Commit) {
    mCommitValues[request.mIdempotencyKey] = aCaller.mInTransaction;
  }
  return request;
}

void
caller_ledger::Answered(caller& aCaller,
                        const statement_request& aRequest,
                        const statement_response& aResponse,
                        time_point aNow)
{
  const bool done = aResponse.mOutcome == statement_outcome::Done;
  if (!aResponse.mSession.empty()) {
    aCaller.mToken = aResponse.mSession;
  }
  switch (aRequest.mKind) {
    case statement_kind::Read:
      if (done) {
        CheckRead(aCaller, aRequest, aResponse, aNow);
      }
      return;
    case statement_kind::Begin:
      aCaller.mTransaction = aResponse.mTransaction;
      aCaller.mInTransaction.clear();
      return;
    case statement_kind::Rollback:
      aCaller.mTransaction.clear();
      return;
    case statement_kind::Write:
      if (!aRequest.mTransaction.empty()) {
        AnsweredInside(aCaller, aRequest, aResponse);
        return;
      }
      break;
    case statement_kind::Commit:
      aCaller.mTransaction.clear();
      mCommits += done ? 1 : 0;
      break;
  }
  Settled(aCaller, aRequest, aResponse.mOutcome, aNow);
}

void
caller_ledger::AnsweredInside(caller& aCaller,
                              const statement_request& aRequest,
                              const statement_response& aResponse)
{
  if (aResponse.mOutcome == statement_outcome::Done) {
    aCaller.mInTransaction.push_back(ValueOfBody(aRequest));
  } else if (aResponse.mReason != refusal_reason::Conflict) {
    aCaller.mTransaction.clear();
  }
}

void
caller_ledger::Settled(caller& aCaller,
                       const statement_request& aRequest,
                       statement_outcome aOutcome,
                       time_point aNow)
{
  const auto& key = aRequest.mIdempotencyKey;
  if (aOutcome == statement_outcome::NotRun) {
    // A repeated key may have run in its first request.
    if (!mUnknown.contains(key)) {
      mNotRun.insert(key);
    }
  } else if (aOutcome == statement_outcome::Unknown) {
    mUnknown.insert(key);
    aCaller.mRepeat = aRequest;
  } else {
    mDoneKeys.insert(key);
    std::vector<int> values{ ValueOfBody(aRequest) };
    if (aRequest.mKind == statement_kind::Commit) {
      values = mCommitValues[key];
    }
    for (const int value : values) {
      aCaller.mDone.insert(value);
      mDoneAt[{ aCaller.mNumber, value }] = aNow;
    }
  }
}

void
caller_ledger::CheckRead(const caller& aCaller,
                         const statement_request& aRequest,
                         const statement_response& aResponse,
                         time_point aNow)
{
  if (aRequest.mMaxAge) {
    ASSERT_TRUE(aResponse.mDataAge);
    EXPECT_LE(*aResponse.mDataAge, *aRequest.mMaxAge);
  }
  for (const int value : aCaller.mDone) {
    const bool mustSee =
      !aRequest.mMaxAge ||
      mDoneAt[{ aCaller.mNumber, value }] < aNow - *aResponse.mDataAge;
    const bool sees = aResponse.mBody.find(" " + std::to_string(value) + " ") !=
                      std::string::npos;
    EXPECT_TRUE(sees || !mustSee) << "caller " << aCaller.mNumber << " misses "
                                  << value << " at " << aResponse.mServer;
  }
}

void
caller_ledger::CheckLog(const backend_model& aModel, std::size_t aPrimary) const
{
  for (const auto& key : mNotRun) {
    EXPECT_EQ(aModel.Find(aPrimary, key), nullptr) << key;
  }
  for (const auto& key : mDoneKeys) {
    EXPECT_NE(aModel.Find(aPrimary, key), nullptr) << key;
  }
  std::set<std::string> seen;
  for (const auto& entry : aModel.mServers[aPrimary].mLog) {
    EXPECT_TRUE(entry.mKey.empty() || seen.insert(entry.mKey).second);
  }
}

} // namespace snipewalk
