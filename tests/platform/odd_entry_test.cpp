// Tests of lists and watches in which one entry was left by another writer and
// cannot be read. The other entries must be in force, and the watch must go on.
#include "platform/store_dialect.h"
#include "platform/stored_values.h"
#include "snipewalk/session/kind_watcher.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace snipewalk::platform {
namespace {

constexpr const char* kServerKind = "servers";

std::string
Object(const std::string& aName,
       std::uint64_t aRevision,
       const std::string& aSpec)
{
  return R"({"meta":{"Name":")" + aName + R"(","Revision":)" +
         std::to_string(aRevision) +
         R"(,"Created":9,"Finalizers":[],"Deleting":false},"spec":)" + aSpec +
         R"(,"status":null})";
}

std::string
Entry(int aPort)
{
  return R"({"Service":"s","Address":"10.0.0.1:)" + std::to_string(aPort) +
         R"(","Zone":"z","Phase":"ready","DbRole":"replica","Seq":4,"born":1})";
}

std::string
NestedEntry(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

// A value that another writer can leave in an entry.
struct odd_value
{
  std::string mName;
  std::string mText;
};

// Values may have many thousand characters.
void
PrintTo(const odd_value& aValue, std::ostream* aOutput)
{
  *aOutput << aValue.mName;
}

std::vector<odd_value>
OddValues()
{
  return {
    { "Nested", NestedEntry(17) },
    { "DeeplyNested", NestedEntry(100'000) },
    { "LargeNumber", R"({"Service":"s","Seq":1e999})" },
    { "LongNumber", R"({"Service":"s","Seq":999999999999999999999999999999})" },
    { "SmallNumber", R"({"Service":"s","born":-1e400})" },
    { "BadEscapes", R"({"Service":"\ud800","Address":"\uZZZZ"})" },
    { "BadBytes", "{\"Service\":\"\x01\xff\xfe\"}" },
    { "NameTwice", R"({"Service":"s","Service":"t"})" },
    { "LargePort", Entry(70'000) },
    { "NegativePort", Entry(-1) },
    { "Null", "null" },
    { "Number", "7" },
    { "Text", R"("text")" },
  };
}

// Answers the calls of one watcher with the bodies of the platform's store.
class scripted_store : public store_client
{
public:
  store_call_id Submit(store_request aRequest,
                       store_priority,
                       reply_handler aOnReply) override
  {
    mRequest = std::get<store_watch>(std::move(aRequest));
    mOnReply = std::move(aOnReply);
    return 1;
  }
  void Cancel(store_call_id) override {}

  void Reply(std::string aBody, time_point aNow)
  {
    http_response response;
    response.mStatus = 200;
    response.mBody = std::move(aBody);
    const store_reply reply = StoreDialect().mDecode(mRequest, response);
    const reply_handler onReply = std::exchange(mOnReply, nullptr);
    onReply(reply, aNow);
  }

  // The call that waits for its reply.
  store_watch mRequest;

private:
  reply_handler mOnReply;
};

class OddEntryTest : public testing::TestWithParam<odd_value>
{
protected:
  OddEntryTest()
    : mWatcher(mLoop,
               mStore,
               kServerKind,
               milliseconds(4'000),
               [](const kind_watcher::update&, time_point) {})
  {
    mWatcher.Start();
  }

  // Whether the watcher's object of this name is the entry of a server.
  bool IsServer(const std::string& aName) const
  {
    const auto found = mWatcher.Objects().find(aName);
    return found != mWatcher.Objects().end() &&
           DecodeServerEntry(aName, found->second.mValue).ok();
  }

  event_loop mLoop;
  scripted_store mStore;
  kind_watcher mWatcher;
};

TEST_P(OddEntryTest, LeavesTheOthersOfAListInForce)
{
  mStore.Reply(R"({"items":[)" + Object("a", 3, Entry(80)) + "," +
                 Object("odd", 4, GetParam().mText) + "," +
                 Object("b", 5, Entry(81)) + R"(],"More":false,"At":530})",
               mLoop.Now());
  EXPECT_TRUE(mWatcher.IsListed());
  EXPECT_TRUE(IsServer("a"));
  EXPECT_TRUE(IsServer("b"));
  EXPECT_FALSE(IsServer("odd"));
  EXPECT_EQ(mStore.mRequest.mFrom, 530U);
}

TEST_P(OddEntryTest, LeavesTheOthersOfAWatchInForce)
{
  mStore.Reply(R"({"items":[],"More":false,"At":530})", mLoop.Now());
  mStore.Reply(
    R"({"events":[{"Object":)" + Object("odd", 531, GetParam().mText) +
      R"(,"Deleted":false},{"Object":)" + Object("a", 532, Entry(80)) +
      R"(,"Deleted":false}],"At":532})",
    mLoop.Now());
  EXPECT_TRUE(IsServer("a"));
  EXPECT_FALSE(IsServer("odd"));
  EXPECT_EQ(mStore.mRequest.mFrom, 532U);
  // The writer removes its entry again.
  mStore.Reply(R"({"events":[{"Object":)" +
                 Object("odd", 533, GetParam().mText) +
                 R"(,"Deleted":true}],"At":533})",
               mLoop.Now());
  EXPECT_EQ(mWatcher.Objects().size(), 1U);
  EXPECT_EQ(mStore.mRequest.mFrom, 533U);
}

// A good entry that becomes odd names no server any more.
TEST_P(OddEntryTest, ReplacesTheEntryThatItWas)
{
  mStore.Reply(R"({"items":[)" + Object("a", 3, Entry(80)) +
                 R"(],"More":false,"At":530})",
               mLoop.Now());
  ASSERT_TRUE(IsServer("a"));
  mStore.Reply(R"({"events":[{"Object":)" + Object("a", 531, GetParam().mText) +
                 R"(,"Deleted":false}],"At":531})",
               mLoop.Now());
  EXPECT_FALSE(IsServer("a"));
}

INSTANTIATE_TEST_SUITE_P(Values,
                         OddEntryTest,
                         testing::ValuesIn(OddValues()),
                         [](const auto& aInfo) { return aInfo.param.mName; });

// An entry without a name is skipped; the store names all of its own.
TEST_F(OddEntryTest, SkipsAnEntryWithoutAName)
{
  mStore.Reply(R"({"items":[{"meta":{"Name":7},"spec":{}},17,{"spec":1},)" +
                 Object("a", 3, Entry(80)) + R"(],"More":false,"At":530})",
               mLoop.Now());
  EXPECT_EQ(mWatcher.Objects().size(), 1U);
  EXPECT_TRUE(IsServer("a"));
}

} // namespace
} // namespace snipewalk::platform
