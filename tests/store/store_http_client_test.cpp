// Tests of the store client over sockets.
#include "snipewalk/store/store_http_client.h"

#include "snipewalk/connection/listener.h"
#include "standins/store_service.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

class StoreHttpClientTest : public testing::Test
{
protected:
  store_client_options OptionsFor(std::vector<std::string> aAddresses)
  {
    store_client_options options;
    options.mAddresses = std::move(aAddresses);
    options.mCallTimeout = milliseconds(200);
    return options;
  }

  std::string StoreAddress() const
  {
    return "127.0.0.1:" + std::to_string(mService.Port());
  }

  // Submits the next request once the one before was answered.
  std::vector<store_reply> Run(store_client& aClient,
                               std::vector<store_request> aRequests)
  {
    std::vector<store_reply> replies;
    std::function<void()> next = [&] {
      if (replies.size() == aRequests.size()) {
        mLoop.Stop();
        return;
      }
      aClient.Submit(aRequests[replies.size()],
                     store_priority::Terms,
                     [&](const store_reply& aReply, time_point) {
                       replies.push_back(aReply);
                       next();
                     });
    };
    mLoop.Post(next);
    mLoop.Run();
    return replies;
  }

  void RunFor(milliseconds aTime)
  {
    bool done = false;
    mLoop.RunAt(mLoop.Now() + aTime, [&done](time_point) { done = true; });
    while (!done) {
      mLoop.RunOnce();
    }
  }

  event_loop mLoop;
  standins::store_service mService{ mLoop, {} };
  const object_key mKey{ "terms", "ledger" };
};

// Guards against versions or values that change between put, get and watch,
// and against conflicts without the current object.
TEST_F(StoreHttpClientTest, CarriesConditionalUpdatesAndWatches)
{
  store_http_client client(mLoop, OptionsFor({ StoreAddress() }));
  const auto replies = Run(client,
                           { store_get{ mKey },
                             store_put{ mKey, "{\"a\":1}", 0 },
                             store_put{ mKey, "{\"b\":1}", 0 },
                             store_get{ mKey },
                             store_watch{ "terms", 0, milliseconds(100) },
                             store_list_instances{} });
  EXPECT_EQ(replies[0].mStatus, store_status::NotFound);
  ASSERT_EQ(replies[1].mStatus, store_status::Ok);
  const std::uint64_t version = replies[1].mObjects.at(0).mVersion;
  EXPECT_GT(version, 0U);
  ASSERT_EQ(replies[2].mStatus, store_status::Conflict);
  EXPECT_EQ(replies[2].mObjects.at(0).mVersion, version);
  EXPECT_EQ(replies[2].mObjects.at(0).mValue, "{\"a\":1}");
  EXPECT_EQ(replies[3].mObjects.at(0).mVersion, version);
  ASSERT_EQ(replies[4].mStatus, store_status::Ok);
  EXPECT_EQ(replies[4].mObjects.at(0).mValue, "{\"a\":1}");
  EXPECT_GE(replies[4].mRevision, version);
  EXPECT_EQ(replies[5].mStatus, store_status::Ok);
}

// Guards against a put without an answer that is taken for refused.
TEST_F(StoreHttpClientTest, ReportsSilentPutAsUnknown)
{
  // Connections are established by the system and never answered.
  const Poco::Net::ServerSocket silent(
    Poco::Net::SocketAddress("127.0.0.1", 0));
  store_http_client client(mLoop, OptionsFor({ silent.address().toString() }));
  const auto replies = Run(client, { store_put{ mKey, "{}", 0 } });
  EXPECT_EQ(replies[0].mStatus, store_status::Unknown);
  EXPECT_TRUE(client.UnreachableSince());
}

// Guards against a put that was never sent and is read back for nothing.
TEST_F(StoreHttpClientTest, ReportsUnsentPutAsRefused)
{
  Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1", 0));
  const std::string address = closed.address().toString();
  closed.close();
  store_http_client client(mLoop, OptionsFor({ address }));
  const auto replies = Run(client, { store_put{ mKey, "{}", 0 } });
  EXPECT_EQ(replies[0].mStatus, store_status::Refused);
}

// Guards against a client that stays with an address that does not work.
TEST_F(StoreHttpClientTest, TriesTheNextAddress)
{
  Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1", 0));
  const std::string address = closed.address().toString();
  closed.close();
  store_http_client client(mLoop, OptionsFor({ address, StoreAddress() }));
  const auto replies =
    Run(client, { store_get{ mKey }, store_get{ mKey }, store_get{ mKey } });
  EXPECT_EQ(replies.back().mStatus, store_status::NotFound);
  EXPECT_FALSE(client.UnreachableSince());
}

// Guards against calls that are not sent since watches that nobody needs any
// more hold all connections.
TEST_F(StoreHttpClientTest, FreesTheConnectionOfACancelledCall)
{
  store_client_options options = OptionsFor({ StoreAddress() });
  options.mMaxConnections = 2;
  store_http_client client(mLoop, options);
  std::vector<store_reply> replies;
  const auto keep = [&](const store_reply& aReply, time_point) {
    replies.push_back(aReply);
  };
  client.Submit(store_put{ mKey, "{}", 0 }, store_priority::Terms, keep);
  RunFor(milliseconds(50));
  ASSERT_EQ(replies.size(), 1U);
  // Two of the watches are sent, and one waits for a connection.
  const store_watch watch{ "terms", replies[0].mRevision, seconds(10) };
  std::vector<store_call_id> watches(3);
  for (auto& id : watches) {
    id = client.Submit(watch, store_priority::Watch, keep);
  }
  RunFor(milliseconds(50));
  for (const auto id : watches) {
    client.Cancel(id);
  }
  client.Submit(store_get{ mKey }, store_priority::Terms, keep);
  RunFor(milliseconds(150));
  ASSERT_EQ(replies.size(), 2U);
  EXPECT_EQ(replies[1].mStatus, store_status::Ok);
  EXPECT_EQ(client.CallsWithoutConnection(), 0U);
}

// Guards against a lack of connections that looks like a rate limit.
TEST_F(StoreHttpClientTest, CountsCallsThatFoundNoConnection)
{
  store_client_options options = OptionsFor({ StoreAddress() });
  options.mMaxConnections = 1;
  store_http_client client(mLoop, options);
  client.Submit(store_put{ mKey, "{}", 0 }, store_priority::Terms, {});
  RunFor(milliseconds(50));
  client.Submit(
    store_watch{ "terms", 1, seconds(10) }, store_priority::Watch, {});
  client.Submit(store_get{ mKey }, store_priority::Terms, {});
  RunFor(milliseconds(300));
  EXPECT_EQ(client.ConnectionCount(), 1U);
  EXPECT_EQ(client.CallsWithoutConnection(), 1U);
}

// Guards against calls above the cap, such as after the store's return.
TEST_F(StoreHttpClientTest, KeepsTheCapOnCalls)
{
  store_client_options options = OptionsFor({ StoreAddress() });
  options.mCallsPerSecond = 100;
  options.mCallTimeout = seconds(2);
  store_http_client client(mLoop, options);
  int answered = 0;
  for (int i = 0; i < 500; ++i) {
    client.Submit(store_get{ mKey },
                  store_priority::Terms,
                  [&](const store_reply& aReply, time_point) {
                    answered += aReply.mStatus == store_status::NotFound;
                  });
  }
  mLoop.RunAt(mLoop.Now() + milliseconds(500),
              [&](time_point) { mLoop.Stop(); });
  mLoop.Run();
  // Half a second of 100 calls a second, and the burst of a tenth.
  EXPECT_LE(answered, 61);
  EXPECT_GE(answered, 1);
}

// Store on a slow link: it answers each call with one object, whose value it
// sends in parts, and may stop after some of them.
class slow_store
{
public:
  static constexpr milliseconds kPartInterval{ 60 };
  static constexpr int kParts = 10;

  explicit slow_store(event_loop& aLoop)
    : mLoop(aLoop)
  {
    auto opened = listener::Open(mLoop,
                                 "127.0.0.1:0",
                                 [this](const Poco::Net::StreamSocket& aSocket,
                                        time_point) { Accept(aSocket); });
    mListener = *std::move(opened);
  }

  std::string Address() const { return mListener->Address(); }

  // Number of parts that are sent.
  int mSentParts = kParts;

private:
  void Accept(const Poco::Net::StreamSocket& aSocket)
  {
    mStream = stream_connection::Adopt(
      mLoop,
      aSocket,
      { {},
        [this](std::string& aInput, time_point aNow) {
          aInput.clear();
          http_response response;
          response.mStatus = 200;
          response.mHeaders.Add("ETag", "7");
          response.mBody = R"({"a":")" + std::string(1'000, 'x') + R"("})";
          mRest = WriteResponse(response);
          mPartBytes = mRest.size() / kParts + 1;
          SendPart(0, aNow);
        },
        {} });
  }

  void SendPart(int aPart, time_point aNow)
  {
    if (aPart == mSentParts || mRest.empty()) {
      return;
    }
    mStream->Send(mRest.substr(0, mPartBytes));
    mRest.erase(0, mPartBytes);
    mLoop.RunAt(aNow + kPartInterval, [this, aPart](time_point aThen) {
      SendPart(aPart + 1, aThen);
    });
  }

  event_loop& mLoop;
  std::unique_ptr<listener> mListener;
  std::unique_ptr<stream_connection> mStream;
  std::string mRest;
  std::size_t mPartBytes = 0;
};

// Guards against large objects that never arrive on a slow link, as each call
// is given up before the end of its reply.
TEST_F(StoreHttpClientTest, WaitsForAReplyThatIsArriving)
{
  slow_store store(mLoop);
  store_http_client client(mLoop, OptionsFor({ store.Address() }));
  const auto replies = Run(client, { store_get{ mKey } });
  ASSERT_EQ(replies[0].mStatus, store_status::Ok);
  EXPECT_GT(replies[0].mObjects.at(0).mValue.size(), 1'000U);
  EXPECT_EQ(client.RepliesCutOff(), 0U);
}

// Guards against a call that waits for the rest of a reply for ever.
TEST_F(StoreHttpClientTest, GivesUpAReplyThatStopsArriving)
{
  slow_store store(mLoop);
  store.mSentParts = slow_store::kParts / 2;
  store_http_client client(mLoop, OptionsFor({ store.Address() }));
  const time_point started = mLoop.Now();
  const auto replies = Run(client, { store_get{ mKey } });
  EXPECT_EQ(replies[0].mStatus, store_status::Unknown);
  EXPECT_EQ(client.RepliesCutOff(), 1U);
  EXPECT_LT(mLoop.Now() - started, milliseconds(800));
}

} // namespace
} // namespace snipewalk
