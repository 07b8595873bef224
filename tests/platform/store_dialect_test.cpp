// Tests of the platform's form of the store's calls and objects.
#include "platform/store_dialect.h"
#include "platform/stored_values.h"

#include "snipewalk/messages/store_revision.h"

#include "snipewalk/base/json_text.h"

#include <gtest/gtest.h>

namespace snipewalk::platform {
namespace {

http_response
Response(int aStatus, std::string aBody)
{
  http_response response;
  response.mStatus = aStatus;
  response.mBody = std::move(aBody);
  return response;
}

const char* const kObject =
  R"({"meta":{"Name":"duty","Revision":412,"Created":9,"Finalizers":[],)"
  R"("Deleting":false},"spec":{"holder":"a"},"status":null})";

const char* const kEntry =
  R"({"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"muenchen",)"
  R"("Version":"v1","Slots":3,"Phase":"ready","ColdRemainingMs":0,)"
  R"("DbRole":"replica","Seq":4,"born":1700000000000})";

TEST(StoreDialectTest, CreatesAndReplaces)
{
  const store_dialect dialect = StoreDialect();
  const http_request create =
    dialect.mEncode(store_put{ { "k", "n" }, R"({"a":1})", 0 });
  EXPECT_EQ(create.mMethod, "POST");
  EXPECT_EQ(create.mTarget, "/v1/objects/k");
  const http_request replace =
    dialect.mEncode(store_put{ { "k", "n" }, R"({"a":1})", 7 });
  EXPECT_EQ(replace.mMethod, "PUT");
  EXPECT_EQ(replace.mTarget, "/v1/objects/k/n");
  EXPECT_NE(replace.mBody.find("\"Revision\":7"), std::string::npos);
}

TEST(StoreDialectTest, ListsAndWatches)
{
  const store_dialect dialect = StoreDialect();
  EXPECT_EQ(dialect.mEncode(store_watch{ "k" }).mTarget, "/v1/objects/k");
  EXPECT_EQ(
    dialect.mEncode(store_watch{ "k", 0, milliseconds(0), "m" }).mTarget,
    "/v1/objects/k?after=m");
  EXPECT_EQ(
    dialect.mEncode(store_watch{ "k", 530, milliseconds(20'000) }).mTarget,
    "/v1/objects/k?Watch=530&WaitMs=20000");
}

TEST(StoreDialectTest, ReadsAPage)
{
  const store_reply reply =
    StoreDialect().mDecode(store_watch{ "k" },
                           Response(200,
                                    std::string(R"({"items":[)") + kObject +
                                      R"(],"More":true,"At":530})"));
  EXPECT_EQ(reply.mStatus, store_status::Ok);
  EXPECT_EQ(reply.mRevision, 530U);
  EXPECT_TRUE(reply.mMore);
  ASSERT_EQ(reply.mObjects.size(), 1U);
  EXPECT_EQ(reply.mObjects[0].mKey, (object_key{ "k", "duty" }));
  EXPECT_EQ(reply.mObjects[0].mVersion, 412U);
  EXPECT_EQ(reply.mObjects[0].mValue, R"({"holder":"a"})");
}

TEST(StoreDialectTest, ReadsChangesAndDeletions)
{
  const store_reply reply = StoreDialect().mDecode(
    store_watch{ "k", 1 },
    Response(200,
             std::string(R"({"events":[{"Deleted":true,"Object":)") + kObject +
               R"(}],"At":533})"));
  ASSERT_EQ(reply.mObjects.size(), 1U);
  EXPECT_TRUE(reply.mObjects[0].mDeleted);
}

http_response
ResponseOfEra(std::uint64_t aEra, int aStatus, std::string aBody)
{
  http_response response = Response(aStatus, std::move(aBody));
  response.mHeaders.Add("Store-Era", std::to_string(aEra));
  return response;
}

TEST(StoreDialectTest, ReadsRevisionsOfAnEra)
{
  const store_reply reply = StoreDialect().mDecode(
    store_watch{ "k" },
    ResponseOfEra(
      3, 200, std::string(R"({"items":[)") + kObject + R"(],"At":530})"));
  EXPECT_EQ(reply.mRevision, MakeRevision(3, 530));
  EXPECT_EQ(reply.mObjects.at(0).mVersion, MakeRevision(3, 412));
}

TEST(StoreDialectTest, SendsTheNumbersOfRevisions)
{
  const store_dialect dialect = StoreDialect();
  const http_request replace =
    dialect.mEncode(store_put{ { "k", "n" }, "{}", MakeRevision(3, 7) });
  EXPECT_NE(replace.mBody.find("\"Revision\":7"), std::string::npos);
  EXPECT_EQ(dialect.mEncode(store_watch{ "k", MakeRevision(3, 530) }).mTarget,
            "/v1/objects/k?Watch=530&WaitMs=20000");
}

TEST(StoreDialectTest, RefusesAnEraOutOfRange)
{
  const std::string list = R"({"items":[],"At":530})";
  EXPECT_EQ(
    StoreDialect()
      .mDecode(store_watch{ "k" }, ResponseOfEra(kMaxEra + 1, 200, list))
      .mStatus,
    store_status::Unknown);
}

// The store compared the number with one that it has given out again.
TEST(StoreDialectTest, KnowsNothingOfAWriteWhoseConditionIsFromAnotherEra)
{
  const store_put put{ { "k", "duty" }, "{}", MakeRevision(2, 411) };
  const store_dialect dialect = StoreDialect();
  EXPECT_EQ(dialect.mDecode(put, ResponseOfEra(2, 200, kObject)).mStatus,
            store_status::Ok);
  EXPECT_EQ(dialect.mDecode(put, ResponseOfEra(3, 200, kObject)).mStatus,
            store_status::Unknown);
  EXPECT_EQ(dialect.mDecode(put, ResponseOfEra(3, 409, kObject)).mStatus,
            store_status::Unknown);
}

// The events are those after another change with this number.
TEST(StoreDialectTest, FindsTheHistoryOfAWatchFromAnotherEraGone)
{
  const store_watch watch{ "k", MakeRevision(2, 411) };
  const std::string events = R"({"events":[],"At":530})";
  const store_dialect dialect = StoreDialect();
  EXPECT_EQ(dialect.mDecode(watch, ResponseOfEra(2, 200, events)).mStatus,
            store_status::Ok);
  EXPECT_EQ(dialect.mDecode(watch, ResponseOfEra(3, 200, events)).mStatus,
            store_status::HistoryGone);
}

// It would count as a revision of a later era.
TEST(StoreDialectTest, RefusesANumberOutOfRange)
{
  const std::string list = R"({"items":[],"At":9000000000000000000})";
  EXPECT_EQ(StoreDialect()
              .mDecode(store_watch{ "k" }, ResponseOfEra(3, 200, list))
              .mStatus,
            store_status::Unknown);
}

// The status alone says that the put had no effect.
TEST(StoreDialectTest, ReadsAConflictWithoutAReadableObject)
{
  const store_put put{ { "k", "duty" }, "{}", MakeRevision(2, 411) };
  EXPECT_EQ(StoreDialect().mDecode(put, ResponseOfEra(2, 409, "{}")).mStatus,
            store_status::Conflict);
}

// A put whose effect is unknown must not be taken as refused.
TEST(StoreDialectTest, DistinguishesRefusedFromUnknown)
{
  const store_dialect dialect = StoreDialect();
  const store_put put{ { "k", "n" }, "{}", 7 };
  const auto status = [&](int aCode, const std::string& aBody) {
    return dialect.mDecode(put, Response(aCode, aBody)).mStatus;
  };
  EXPECT_EQ(status(200, kObject), store_status::Ok);
  EXPECT_EQ(status(200, "garbage"), store_status::Unknown);
  EXPECT_EQ(status(500, ""), store_status::Unknown);
  EXPECT_EQ(status(503, ""), store_status::Refused);
  EXPECT_EQ(status(429, ""), store_status::RateLimited);
  EXPECT_EQ(status(404, ""), store_status::NotFound);
  EXPECT_EQ(status(410, ""), store_status::HistoryGone);
  EXPECT_EQ(status(409, kObject), store_status::Conflict);
}

TEST(ServerEntryTest, ReadsAnEntry)
{
  const auto entry = DecodeServerEntry("i-1", kEntry);
  ASSERT_TRUE(entry.ok());
  EXPECT_EQ(entry->mId, "i-1");
  EXPECT_EQ(entry->mService, "huvo11a");
  EXPECT_EQ(entry->mAddress, "10.128.0.9:8080");
  EXPECT_FALSE(entry->mDraining);
  EXPECT_FALSE(entry->mPrimary);
  EXPECT_EQ(entry->mStarted, 1'700'000'000'000U);
}

// Entries of other writers name no server to use.
TEST(ServerEntryTest, RefusesEntriesOfOtherWriters)
{
  const std::string good = kEntry;
  const auto changed = [&](const std::string& aFrom, const std::string& aTo) {
    std::string text = good;
    text.replace(text.find(aFrom), aFrom.size(), aTo);
    return text;
  };
  for (const std::string& bad :
       { std::string(""),
         std::string("null"),
         std::string("[]"),
         changed(R"("ready")", R"("resting")"),
         changed(R"("replica")", R"("witness")"),
         changed(R"("replica")", "7"),
         changed(R"("10.128.0.9:8080")", R"("somewhere")"),
         changed(R"("Service":"huvo11a",)", ""),
         changed("1700000000000", "-4") }) {
    EXPECT_FALSE(DecodeServerEntry("i-1", bad).ok()) << bad;
  }
}

// Guards against names that become several fields or lines of the opening of a
// connection, or that no datagram can hold.
TEST(ServerEntryTest, RefusesNamesThatAreNoWord)
{
  for (const std::string& bad : { std::string(),
                                  std::string("i 1"),
                                  std::string("i\r\nQUERY x WRITE k v"),
                                  std::string("i\t1"),
                                  std::string("i\0", 2),
                                  std::string("i\x7f"),
                                  std::string(257, 'i') }) {
    EXPECT_FALSE(DecodeServerEntry(bad, kEntry).ok()) << bad;
    Json::Value entry = *ParseJsonObject(kEntry);
    entry["Service"] = bad;
    EXPECT_FALSE(DecodeServerEntry("i-1", WriteJson(entry)).ok()) << bad;
  }
  EXPECT_TRUE(DecodeServerEntry(std::string(256, 'i'), kEntry).ok());
  EXPECT_TRUE(DecodeServerEntry("i-\xc3\xa9", kEntry).ok());
}

TEST(DesiredStateTest, ReadsRoutesServicesAndLimits)
{
  const auto state = DecodeDesiredState(
    R"({"Version":7,"Routes":[{"Name":"r","DbName":"d","Kind":)"
    R"("read_your_writes","TimeoutMs":800,"TargetLatencyMs":250,"Priority":2,)"
    R"("Service":"s","MaxStalenessMs":2500}],"Services":[{"Name":"s",)"
    R"("MaxConns":23,"SyncReplicas":1}],"Limits":{"TxIdleMs":3000}})");
  ASSERT_TRUE(state.ok()) << state.status();
  EXPECT_EQ(state->mVersion, 7U);
  const database_route& route = state->mRoutes.at("d");
  EXPECT_EQ(route.mConsistency, read_consistency::ReadYourWrites);
  EXPECT_EQ(route.mMaxStaleness, milliseconds(2'500));
  EXPECT_EQ(state->mServices.at("s").mMaxConnections, 23);
  EXPECT_EQ(state->mServices.at("s").mSyncReplicas, 1);
}

// Encodes a desired state with these entries of accounts.
std::string
StateWithAccounts(const std::string& aEntries)
{
  return R"({"Version":7,"Routes":[],"Services":[],"Tenants":[)" + aEntries +
         "]}";
}

TEST(DesiredStateTest, ReadsAccounts)
{
  const auto state = DecodeDesiredState(StateWithAccounts(
    R"({"Name":"ann","ApiKeys":["k1","k2"],"Priority":1,"RatePerS":2.5,)"
    R"("Burst":4},{"Name":"bob","ApiKeys":["k3"]})"));
  ASSERT_TRUE(state.ok()) << state.status();
  const client_account* ann = state->mAccounts->FindByKey("k2");
  ASSERT_NE(ann, nullptr);
  EXPECT_EQ(ann->mName, "ann");
  EXPECT_EQ(ann->mPriority, 1);
  EXPECT_EQ(ann->mLimit, (rate_limit{ 2.5, 4 }));
  EXPECT_FALSE(state->mAccounts->FindByKey("k3")->mLimit);
}

TEST(DesiredStateTest, HasNoAccountsUnlessTheyAreListed)
{
  const auto state =
    DecodeDesiredState(R"({"Version":7,"Routes":[],"Services":[]})");
  ASSERT_TRUE(state.ok());
  EXPECT_EQ(state->mAccounts, nullptr);
}

// Guards against one bad entry that disables all accounts.
TEST(DesiredStateTest, KeepsTheAccountsBesideABadOne)
{
  for (const std::string bad :
       { R"(7)",
         R"({"Name":"ann"})",
         R"({"Name":"ann","ApiKeys":"k1"})",
         R"({"Name":"ann","ApiKeys":[7]})",
         R"({"Name":"ann","ApiKeys":["k1"],"RatePerS":-1})",
         R"({"Name":"ann","ApiKeys":["k1"],"RatePerS":"5"})",
         R"({"Name":"ann","ApiKeys":["k1"],"Burst":5})",
         R"({"Name":"ann","ApiKeys":["k1"],"Priority":77})",
         R"({"Name":"ann","ApiKeys":["k1"],"Priority":"high"})",
         R"({"Name":"ann b","ApiKeys":["k1"]})" }) {
    const auto state = DecodeDesiredState(
      StateWithAccounts(bad + R"(,{"Name":"bob","ApiKeys":["k3"]})"));
    ASSERT_TRUE(state.ok()) << bad;
    EXPECT_EQ(state->mAccounts->FindByKey("k1"), nullptr) << bad;
    EXPECT_NE(state->mAccounts->FindByKey("k3"), nullptr) << bad;
  }
}

TEST(DesiredStateTest, RefusesAMalformedState)
{
  for (const std::string bad :
       { "",
         "{}",
         R"({"Version":7})",
         R"({"Version":7,"Routes":[{}],"Services":[]})",
         R"({"Version":7,"Routes":[],"Services":[{"Name":4}]})" }) {
    EXPECT_FALSE(DecodeDesiredState(bad).ok()) << bad;
  }
}

} // namespace
} // namespace snipewalk::platform
