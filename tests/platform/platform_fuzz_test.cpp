// Feeds mutated inputs to the decoders of the platform's adapter and of the
// session front end's own records and datagrams.
#include "connection/mutator.h"
#include "platform/line_protocol.h"
#include "platform/store_dialect.h"
#include "platform/stored_values.h"
#include "snipewalk/session/fleet_records.h"
#include "snipewalk/session/forwarded_messages.h"
#include "snipewalk/session/peer_datagrams.h"

#include <gtest/gtest.h>

namespace snipewalk::platform {
namespace {

constexpr int kInputs = 100'000;

// Whatever the decoder accepts must be encoded again byte for byte, and no
// decoder may consume nothing and go on.
TEST(PlatformFuzzTest, CallerMessages)
{
  mutator inputs(
    11,
    { "STARTUP lepu270 u3f1\r\n",
      "QUERY 5c0e7a21d94b36f8 READ 1a4\r\n",
      "QUERY 5c0e PARSE s1 WRITE q2c\r\nQUERY 5c0f EXECUTE s1 1 x\r\n",
      "QUERY 1 BEGIN READ\r\nQUERY 2 COMMIT\r\nTERMINATE\r\n" });
  const line_protocol protocol;
  int accepted = 0;
  for (int i = 0; i < kInputs; ++i) {
    std::string buffer = inputs.Next();
    while (true) {
      const std::string before = buffer;
      const auto message = protocol.ReadCallerMessage(buffer);
      if (!message.ok() || !*message) {
        break;
      }
      ++accepted;
      ASSERT_LT(buffer.size(), before.size());
      const auto* statement = std::get_if<statement_message>(&**message);
      if (statement == nullptr) {
        continue;
      }
      const std::string bytes = protocol.WriteCommand(
        statement_command{ statement->mRequestId, {}, statement->mStatement });
      EXPECT_EQ(bytes.find("\r\n"), bytes.size() - 2);
      if (!std::holds_alternative<unknown_statement>(statement->mStatement)) {
        EXPECT_EQ(bytes, before.substr(0, before.size() - buffer.size()));
      }
    }
  }
  EXPECT_GT(accepted, kInputs / 10);
}

TEST(PlatformFuzzTest, ServerReplies)
{
  mutator inputs(
    12,
    { "DATAROW qhzkwmtrbelo\r\nCOMPLETE 7.1f3\r\nREADY I 3.1209\r\n",
      "ERROR READONLY i-7f3a91c2\r\nREADY E 3.1209\r\n",
      "READY I 3.1207\r\n",
      "DATAROW replica 3 3.1209 0 12 2 17\r\nCOMPLETE -\r\n"
      "READY I 3.1204\r\n" });
  const line_protocol protocol;
  int accepted = 0;
  for (int i = 0; i < kInputs; ++i) {
    std::string buffer = inputs.Next();
    const auto reply = protocol.ReadReply(buffer, i % 2 == 0);
    if (reply.ok() && *reply) {
      ++accepted;
      (void)protocol.ParseStatus(**reply);
      (void)protocol.WriteReply(**reply);
    }
  }
  EXPECT_GT(accepted, kInputs / 10);
}

TEST(PlatformFuzzTest, StoreObjects)
{
  mutator inputs(
    13,
    { R"({"Service":"h","Address":"10.128.0.9:8080","Zone":"m","Phase":"ready",)"
      R"("DbRole":"replica","Seq":4,"born":17})",
      R"({"Version":7,"Routes":[{"Name":"r","DbName":"d","Kind":"primary",)"
      R"("TimeoutMs":800,"Service":"s"}],"Services":[{"Name":"s",)"
      R"("MaxConns":23,"SyncReplicas":1}],"Limits":{"TxIdleMs":3000}})" });
  int accepted = 0;
  for (int i = 0; i < kInputs; ++i) {
    const std::string text = inputs.Next();
    const auto entry = DecodeServerEntry("i-1", text);
    const auto state = DecodeDesiredState(text);
    accepted += entry.ok() || state.ok() ? 1 : 0;
    if (state.ok()) {
      for (const auto& [name, route] : state->mRoutes) {
        EXPECT_GE(route.mStatementTimeout.count(), 0);
      }
    }
  }
  EXPECT_GT(accepted, kInputs / 100);
}

TEST(PlatformFuzzTest, StoreReplies)
{
  mutator inputs(
    14,
    { R"({"items":[{"meta":{"Name":"a","Revision":4},"spec":{"x":1}}],)"
      R"("More":false,"At":530})",
      R"({"events":[{"Deleted":true,"Object":{"meta":{"Name":"a",)"
      R"("Revision":4}}}],"At":533})" });
  const store_dialect dialect = StoreDialect();
  const std::vector<store_request> requests{ store_get{ { "k", "n" } },
                                             store_put{ { "k", "n" }, "{}", 1 },
                                             store_watch{ "k" },
                                             store_watch{ "k", 5 } };
  for (int i = 0; i < kInputs; ++i) {
    http_response response;
    response.mStatus = i % 5 == 0 ? 409 : 200;
    response.mBody = inputs.Next();
    for (const auto& request : requests) {
      (void)dialect.mDecode(request, response);
    }
  }
}

TEST(PlatformFuzzTest, RecordsAndDatagrams)
{
  const primary_record primary{ "s", "p", 3, 2, primary_phase::Stable, 4 };
  confirmation_answer answer;
  answer.mPrimaries.push_back({ primary, 9 });
  answer.mInstances.push_back({ { "i2", "dc1", "10.0.0.2:7440", 5 }, 10 });
  mutator inputs(
    15,
    { EncodeFleetRecord(primary),
      EncodeFleetRecord(duty_record{ "i1", 1, 2 }),
      EncodeDatagram(answer),
      EncodeDatagram(
        health_report{ "i1", { { "s", "p", primary_health::Answers } } }),
      EncodeDatagram(release_answer{ "i1", 5, "s", 4, { 3, 17 }, 9'000 }),
      EncodeDatagram(connection_yield_request{ "p" }) });
  for (int i = 0; i < kInputs; ++i) {
    const std::string text = inputs.Next();
    (void)DecodeFleetRecord("primary.s", text);
    (void)DecodeFleetRecord("duty", text);
    const auto datagram = DecodeDatagram(text);
    if (datagram.ok()) {
      EXPECT_LE(EncodeDatagram(*datagram).size(), kMaxDatagramBytes);
    }
  }
}

TEST(PlatformFuzzTest, ForwardedMessages)
{
  mutator inputs(
    16,
    { EncodeForwardedMessage({ 7, "QUERY q READ k\r\n", std::nullopt }),
      EncodeForwardedMessage({ 7, {}, relayed_desired_state{ 8, "{}" } }) });
  for (int i = 0; i < kInputs; ++i) {
    const std::string text = inputs.Next();
    std::size_t frameBytes = 0;
    const auto message = PeekForwardedMessage(text, frameBytes);
    if (message.ok() && *message) {
      EXPECT_LE(frameBytes, text.size());
    }
  }
}

} // namespace
} // namespace snipewalk::platform
