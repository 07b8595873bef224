// Tests of the platform store's return from an earlier copy of itself, over
// HTTP with the client of the session front end.
#include "platform/store_dialect.h"
#include "snipewalk/base/json_text.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/messages/store_revision.h"
#include "snipewalk/store/store_http_client.h"
#include "standins/http_service.h"
#include "standins/platform_store.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

namespace snipewalk::standins {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;
using testing::Pair;

constexpr const char* kKind = "notes";
constexpr milliseconds kWatchTime{ 10'000 };

Json::Value
Note(int aNumber)
{
  Json::Value note;
  note["number"] = aNumber;
  return note;
}

class PlatformStoreTest : public testing::Test
{
protected:
  PlatformStoreTest()
    : mHttp(mLoop,
            { [this](connection_number aConnection,
                     const http_request& aRequest,
                     time_point) { mStore.OnCall(aConnection, aRequest); },
              [this](connection_number aConnection) {
                mStore.OnClosed(aConnection);
              },
              {} })
    , mStore(mHttp)
    , mClient(mLoop, Options(mHttp.Listen(0), *this))
  {
  }

  // Notes the era of each answer.
  static store_client_options Options(std::uint16_t aPort,
                                      PlatformStoreTest& aTest)
  {
    store_client_options options;
    options.mAddresses = { absl::StrCat("127.0.0.1:", aPort) };
    options.mDialect = platform::StoreDialect();
    options.mDialect.mDecode = [&aTest, decode = options.mDialect.mDecode](
                                 const store_request& aRequest,
                                 const http_response& aResponse) {
      aTest.mEra = aResponse.mHeaders.Get("Store-Era");
      return decode(aRequest, aResponse);
    };
    return options;
  }

  std::optional<store_reply>& Submit(store_request aRequest)
  {
    mReply.reset();
    mClient.Submit(
      std::move(aRequest),
      store_priority::Terms,
      [this](const store_reply& aReply, time_point) { mReply = aReply; });
    return mReply;
  }

  store_reply Await()
  {
    while (!mReply) {
      mLoop.RunOnce();
    }
    return *mReply;
  }

  store_reply Call(store_request aRequest)
  {
    Submit(std::move(aRequest));
    return Await();
  }

  // Revision at which an instance's write took effect.
  std::uint64_t Put(const std::string& aName,
                    int aNumber,
                    std::uint64_t aExpected)
  {
    const store_reply reply =
      Call(store_put{ { kKind, aName }, WriteJson(Note(aNumber)), aExpected });
    EXPECT_EQ(reply.mStatus, store_status::Ok);
    return reply.mRevision;
  }

  event_loop mLoop;
  http_service mHttp;
  platform_store mStore;
  store_http_client mClient;
  std::optional<store_reply> mReply;
  std::string mEra;
};

TEST_F(PlatformStoreTest, GivesRevisionsOutAgainAfterAReturn)
{
  const auto first = Put("a", 1, 0);
  EXPECT_EQ(mEra, "1");
  mStore.TakeCopy();
  const auto lost = Put("a", 2, first);
  mStore.ReturnFromCopy();
  EXPECT_EQ(mStore.Spec(kKind, "a"), Note(1));
  const auto again = Put("a", 3, MakeRevision(2, NumberOf(first)));
  EXPECT_EQ(again, MakeRevision(2, NumberOf(lost)));
  EXPECT_EQ(mEra, "2");
}

TEST_F(PlatformStoreTest, RefusesAWatchFromARevisionThatWasUndone)
{
  const auto first = Put("a", 1, 0);
  mStore.TakeCopy();
  const auto lost = Put("a", 2, first);
  mStore.ReturnFromCopy();
  EXPECT_EQ(Call(store_watch{ kKind, lost, kWatchTime }).mStatus,
            store_status::HistoryGone);
}

// The client repeats a watch that was cut off, and its revision is gone.
TEST_F(PlatformStoreTest, CutsOffWatchesAtAReturn)
{
  const auto first = Put("a", 1, 0);
  mStore.TakeCopy();
  const auto second = Put("a", 2, first);
  Submit(store_watch{ kKind, second, kWatchTime });
  const auto until = std::chrono::steady_clock::now() + milliseconds(100);
  while (std::chrono::steady_clock::now() < until) {
    mLoop.RunOnce();
  }
  ASSERT_FALSE(mReply);
  mStore.ReturnFromCopy();
  EXPECT_EQ(Await().mStatus, store_status::HistoryGone);
}

TEST_F(PlatformStoreTest, OthersWriteAgainInAnyOrder)
{
  mStore.Write("servers", "s1", Note(1));
  mStore.TakeCopy();
  mStore.Write("servers", "s1", Note(2));
  mStore.Write("servers", "s2", Note(3));
  mStore.Write("config", "main", Note(4));
  Put("a", 1, 0);
  mStore.ReturnFromCopy();
  EXPECT_THAT(mStore.LostWrites(),
              ElementsAre(Pair("config", "main"),
                          Pair("servers", "s1"),
                          Pair("servers", "s2")));
  mStore.WriteLostAgain("servers", "s2");
  EXPECT_EQ(mStore.Spec("servers", "s2"), Note(3));
  EXPECT_EQ(mStore.Spec("servers", "s1"), Note(1));
  EXPECT_TRUE(mStore.Spec("config", "main").isNull());
  // Its writer was faster.
  mStore.Write("config", "main", Note(5));
  mStore.WriteLostAgain("config", "main");
  EXPECT_EQ(mStore.Spec("config", "main"), Note(5));
  mStore.WriteLostAgain("servers", "s1");
  EXPECT_EQ(mStore.Spec("servers", "s1"), Note(2));
  EXPECT_THAT(mStore.LostWrites(), IsEmpty());
  EXPECT_TRUE(mStore.Spec(kKind, "a").isNull());
}

// What a second return loses is added to what the first one lost.
TEST_F(PlatformStoreTest, LosesWritesInTwoReturnsCloseTogether)
{
  mStore.TakeCopy();
  mStore.Write("servers", "s1", Note(1));
  mStore.ReturnFromCopy();
  mStore.TakeCopy();
  mStore.Write("servers", "s2", Note(2));
  mStore.ReturnFromCopy();
  EXPECT_THAT(mStore.LostWrites(),
              ElementsAre(Pair("servers", "s1"), Pair("servers", "s2")));
  Put("a", 1, 0);
  EXPECT_EQ(mEra, "3");
}

} // namespace
} // namespace snipewalk::standins
