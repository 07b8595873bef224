// Tests of the callers' protocol.
#include "snipewalk/connection/caller_adapter.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

using header_list = std::vector<std::pair<std::string, std::string>>;

class decoder
{
public:
  std::variant<caller_request, caller_refusal> Decode(
    const std::string& aMethod,
    const std::string& aTarget,
    const header_list& aHeaders)
  {
    http_request request;
    request.mMethod = aMethod;
    request.mTarget = aTarget;
    for (const auto& [name, value] : aHeaders) {
      request.mHeaders.Add(name, value);
    }
    const auto timeout = [](const std::string&) { return milliseconds(700); };
    return DecodeCallerRequest(request,
                               { mNow, mIds, timeout, mVerifiedAccount });
  }

  std::variant<caller_request, caller_refusal> Post(const header_list& aHeaders)
  {
    return Decode("POST", "/v1/services/register/statements", aHeaders);
  }

  time_point mNow{ seconds(10) };
  id_source mIds{ 1 };
  std::string mVerifiedAccount;
};

const statement_request&
StatementOf(const std::variant<caller_request, caller_refusal>& aDecoded)
{
  return std::get<statement_request>(std::get<caller_request>(aDecoded).mBody);
}

// Guards against an account that acts as another one, also by repeating the
// field, and against certificates that need the field as well.
TEST(CallerAdapterTest, TakesTheAccountFromTheCertificate)
{
  decoder decode;
  decode.mVerifiedAccount = "fassnetz";
  EXPECT_EQ(StatementOf(decode.Post({ { "Snipewalk-Kind", "read" } })).mAccount,
            "fassnetz");
  const auto foreign = std::get<caller_refusal>(
    decode.Post({ { "snipewalk-account", "tsagaan" },
                  { "Snipewalk-Kind", "read" },
                  { "Snipewalk-Request-Id", "mine" } }));
  EXPECT_EQ(foreign.mStatus, 403);
  EXPECT_EQ(foreign.mCallerRequestId, "mine");
  const auto outcome = decode.Decode("GET",
                                     "/v1/services/register/outcomes/k",
                                     { { "Snipewalk-Account", "tsagaan" } });
  EXPECT_EQ(std::get<caller_refusal>(outcome).mStatus, 403);
  const auto repeated = decode.Post({ { "Snipewalk-Account", "fassnetz" },
                                      { "Snipewalk-Account", "tsagaan" },
                                      { "Snipewalk-Kind", "read" } });
  EXPECT_EQ(std::get<caller_refusal>(repeated).mStatus, 400);
}

// Guards against routing fields that are dropped on the way in.
TEST(CallerAdapterTest, DecodesAllFields)
{
  decoder decode;
  const auto decoded = decode.Post({ { "Snipewalk-Account", "fassnetz" },
                                     { "Snipewalk-Kind", "read" },
                                     { "Snipewalk-Session", "tok" },
                                     { "Snipewalk-Max-Age-Ms", "250" },
                                     { "Snipewalk-Timeout-Ms", "90" },
                                     { "Snipewalk-Request-Id", "mine" } });
  const auto& statement = StatementOf(decoded);
  EXPECT_EQ(statement.mService, "register");
  EXPECT_EQ(statement.mAccount, "fassnetz");
  EXPECT_EQ(statement.mSession, "tok");
  EXPECT_EQ(statement.mMaxAge, milliseconds(250));
  EXPECT_EQ(statement.mDeadline, decode.mNow + milliseconds(90));
  EXPECT_EQ(std::get<caller_request>(decoded).mCallerRequestId, "mine");
  EXPECT_NE(statement.mRequestId, "mine");
}

// Guards against two callers' equal request ids that mix up their responses.
TEST(CallerAdapterTest, GivesEachRequestAnIdOfItsOwn)
{
  decoder decode;
  const header_list headers = { { "Snipewalk-Account", "a" },
                                { "Snipewalk-Kind", "write" },
                                { "Snipewalk-Request-Id", "same" } };
  const auto first = decode.Post(headers);
  const auto second = decode.Post(headers);
  EXPECT_NE(StatementOf(first).mRequestId, StatementOf(second).mRequestId);
  EXPECT_NE(StatementOf(first).mIdempotencyKey,
            StatementOf(second).mIdempotencyKey);
  EXPECT_EQ(StatementOf(first).mDeadline, decode.mNow + milliseconds(700));
}

// Guards against two accounts that share an outcome by using the same key.
TEST(CallerAdapterTest, ScopesKeysToTheAccount)
{
  EXPECT_NE(ScopedKey("a/b", "c"), ScopedKey("a", "b/c"));
  statement_response response;
  response.mOutcome = statement_outcome::Done;
  response.mIdempotencyKey = ScopedKey("a/b", "c/d");
  const auto http = EncodeCallerResponse(response, "id");
  EXPECT_EQ(http.mHeaders.Get("Idempotency-Key"), "c/d");
}

// Guards against malformed or contradictory requests that reach a server.
TEST(CallerAdapterTest, RefusesBadRequestsWithAMessage)
{
  const header_list bad[] = {
    { { "Snipewalk-Kind", "read" } },
    { { "Snipewalk-Account", "a" } },
    { { "Snipewalk-Account", "a" }, { "Snipewalk-Kind", "drop" } },
    { { "Snipewalk-Account", "a\xff" }, { "Snipewalk-Kind", "read" } },
    { { "Snipewalk-Account", std::string(65, 'a') },
      { "Snipewalk-Kind", "read" } },
    { { "Snipewalk-Account", "a" },
      { "Snipewalk-Kind", "read" },
      { "Snipewalk-Kind", "write" } },
    { { "Snipewalk-Account", "a" },
      { "Snipewalk-Kind", "read" },
      { "Snipewalk-Max-Age", "5" } },
    { { "Snipewalk-Account", "a" },
      { "Snipewalk-Kind", "write" },
      { "Snipewalk-Max-Age-Ms", "5" } },
    { { "Snipewalk-Account", "a" },
      { "Snipewalk-Kind", "read" },
      { "Snipewalk-Timeout-Ms", "-5" } },
    { { "Snipewalk-Account", "a" }, { "Snipewalk-Kind", "commit" } },
  };
  decoder decode;
  for (const auto& headers : bad) {
    const auto decoded = decode.Post(headers);
    ASSERT_TRUE(std::holds_alternative<caller_refusal>(decoded));
    const auto& refusal = std::get<caller_refusal>(decoded);
    EXPECT_EQ(refusal.mStatus, 400);
    EXPECT_FALSE(refusal.mMessage.empty());
    EXPECT_NE(EncodeCallerRefusal(refusal).mBody.find("not_run"),
              std::string::npos);
  }
}

// Guards against an outcome that is looked up under another account's key.
TEST(CallerAdapterTest, DecodesOutcomeRequests)
{
  decoder decode;
  const auto decoded = decode.Decode("GET",
                                     "/v1/services/register/outcomes/k%2F1",
                                     { { "Snipewalk-Account", "a" } });
  const auto& outcome =
    std::get<outcome_request>(std::get<caller_request>(decoded).mBody);
  EXPECT_EQ(outcome.mIdempotencyKey, ScopedKey("a", "k/1"));
}

// Guards against a status code that makes a client repeat an unknown write.
TEST(CallerAdapterTest, MapsOutcomesToStatusCodes)
{
  const auto status = [](statement_outcome aOutcome, refusal_reason aReason) {
    statement_response response;
    response.mOutcome = aOutcome;
    response.mReason = aReason;
    return StatusOf(response);
  };
  using outcome = statement_outcome;
  using reason = refusal_reason;
  EXPECT_EQ(status(outcome::Done, reason::None), 200);
  EXPECT_EQ(status(outcome::Unknown, reason::Overloaded), 504);
  EXPECT_EQ(status(outcome::NotRun, reason::BadSession), 400);
  EXPECT_EQ(status(outcome::NotRun, reason::UnknownService), 404);
  EXPECT_EQ(status(outcome::NotRun, reason::TransactionLost), 409);
  EXPECT_EQ(status(outcome::NotRun, reason::Overloaded), 429);
  EXPECT_EQ(status(outcome::NotRun, reason::NoPrimary), 503);
}

} // namespace
} // namespace snipewalk
