// Texts of callers that look like parts of the protocol, with instances as real
// processes: servers run what was sent, with the shapes and values of its
// sender.
#include "integration/session_front_fixture.h"
#include "snipewalk/base/json_text.h"
#include "standins/odd_texts.h"
#include "standins/sent_statements.h"
#include "standins/session_caller.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace snipewalk::standins {
namespace {

constexpr milliseconds kAnswerTimeout{ 8'000 };

// A session whose statements are recorded as they are sent.
class recorded_session
{
public:
  recorded_session(std::uint16_t aPort,
                   std::string aName,
                   sent_statements& aSent,
                   const std::string& aDatabase = "main")
    : mCaller(aPort, kAnswerTimeout, std::move(aName))
    , mSent(aSent)
  {
    EXPECT_TRUE(mCaller.Start(aDatabase).mError.empty());
  }

  session_answer Query(const std::string& aText)
  {
    mSent.Add(mCaller.NextId(), aText, mSetup);
    return mCaller.Query(aText);
  }

  void Prepare(const std::string& aName, const std::string& aShape)
  {
    EXPECT_TRUE(Query(absl::StrCat("PARSE ", aName, " ", aShape)).mCompleted);
    mSetup.mPrepared[aName] = aShape;
  }

  void Set(const std::string& aName, const std::string& aValue)
  {
    EXPECT_TRUE(Query(absl::StrCat("SET ", aName, " ", aValue)).mCompleted);
    mSetup.mValues[aName] = aValue;
  }

private:
  session_caller mCaller;
  sent_statements& mSent;
  session_setup mSetup;
};

// Compares what servers ran with what sessions sent.
template<typename Fixture>
class text_test : public Fixture
{
protected:
  // What servers ran otherwise than it was sent; empty if there is nothing.
  std::string Faults()
  {
    std::vector<std::string> faults;
    this->mPlatform.Change([&](line_server_group& aServers, platform_store&) {
      faults = mSent.Compare(aServers.Executed());
    });
    return absl::StrJoin(faults, "\n");
  }

  sent_statements mSent;
};

class SessionTextTest : public text_test<SessionFrontTest>
{};

// Sessions at an instance that serves them and at one that forwards them.
class ForwardedTextTest : public text_test<SessionForwardingTest>
{
protected:
  // Two sessions at each instance.
  std::vector<recorded_session> OpenSessions()
  {
    std::vector<recorded_session> sessions;
    for (const auto& [name, ports] : mPorts) {
      sessions.emplace_back(ports.mCallers, name + ".a.", mSent);
      sessions.emplace_back(ports.mCallers, name + ".b.", mSent);
    }
    const auto page = HttpCall(mPorts[mForwarding].mMetrics, "GET", "/metrics");
    EXPECT_TRUE(
      page.ok() &&
      absl::StrContains(page->mBody, "snipewalk_sessions_forwarded 2\n"));
    return sessions;
  }
};

// Guards against a statement whose shape is replaced by that of another client:
// "q1 READ my" made the instance prepare "my READ q1 READ my" under the name of
// "q1".
TEST_F(SessionTextTest, RunsThePreparedShapeBesideAShapeWithBlanks)
{
  const auto one = Start("i1");
  recorded_session plain(one.mCallers, "p", mSent);
  recorded_session odd(one.mCallers, "o", mSent);
  plain.Prepare("s1", "READ q1");
  odd.Prepare("s1", "READ q1 READ my");
  EXPECT_TRUE(plain.Query("EXECUTE s1 7").mCompleted);
  EXPECT_TRUE(odd.Query("EXECUTE s1 7").mCompleted);
  EXPECT_TRUE(plain.Query("EXECUTE s1 7").mCompleted);
  EXPECT_EQ(Faults(), "");
}

// Guards against an execution that gets words of its shape as item and data.
TEST_F(SessionTextTest, WritesTheItemThatWasSentThoughTheShapeContainsBlanks)
{
  const auto one = Start("i1");
  recorded_session plain(one.mCallers, "p", mSent);
  recorded_session odd(one.mCallers, "o", mSent);
  plain.Prepare("s1", "WRITE q1");
  EXPECT_TRUE(plain.Query("EXECUTE s1 k v1").mCompleted);
  odd.Prepare("s1", "WRITE q1 READ other");
  EXPECT_TRUE(odd.Query("EXECUTE s1 k v2").mCompleted);
  EXPECT_EQ(Faults(), "");
  EXPECT_EQ(mPlatform.Items(),
            (std::map<std::string, std::string>{ { "k", "v2" } }));
}

// Guards against a value that was acknowledged to its caller and never set.
TEST_F(SessionTextTest, SetsAnEmptyValue)
{
  const auto one = Start("i1");
  recorded_session session(one.mCallers, "p", mSent);
  session.Set("lang", "");
  EXPECT_TRUE(session.Query("READ k").mCompleted);
  EXPECT_EQ(Faults(), "");
}

// Guards against work that an entry of another writer brings to a server: the
// id of a server stands in the opening of each connection to it.
TEST_F(SessionTextTest, OpensNoConnectionToAServerWhoseIdEndsTheLine)
{
  constexpr int kReads = 50;
  const auto one = Start("i1");
  mPlatform.Change([&](line_server_group&, platform_store& aStore) {
    aStore.Write(
      "servers", "s9\r\nQUERY x WRITE k v", aStore.Spec("servers", "s1"));
  });
  recorded_session session(one.mCallers, "p", mSent, "own");
  for (int i = 0; i < kReads; ++i) {
    EXPECT_TRUE(session.Query("READ k").mCompleted);
  }
  EXPECT_EQ(Faults(), "");
}

// Guards against statements that the log does not show because their id, or
// that of their database, makes the line too long for it.
TEST_F(SessionTextTest, LogsStatementsWithLongIds)
{
  const auto one = Start("i1");
  session_caller unknown(one.mCallers);
  EXPECT_EQ(unknown.Start(std::string(10'000, 'd')).mError, "NODATABASE");
  session_caller session(one.mCallers);
  session.Start("main");
  const std::string id = "first" + std::string(10'000, '\x01');
  EXPECT_TRUE(session.Call("QUERY " + id + " READ k").mCompleted);
  EXPECT_TRUE(
    session.Call("QUERY " + std::string("a\0b", 3) + " READ k").mCompleted);
  std::string requests;
  bool refused = false;
  while (const auto line = mFleet.At("i1").ReadLine(milliseconds(1'000))) {
    const auto event = ParseJsonObject(*line);
    ASSERT_TRUE(event.ok()) << *line;
    const std::string message = (*event)["message"].asString();
    refused = refused || message == "session refused: unknown database";
    if (message == "statement finished") {
      const std::string request = (*event)["request"].asString();
      requests += request.substr(0, request.find('\x01')) + ";";
    }
  }
  EXPECT_TRUE(refused);
  EXPECT_EQ(requests, "first;" + std::string("a\0b", 3) + ";");
}

// Guards against any text of a caller that ends a field of a line early.
TEST_F(ForwardedTextTest, RunsOddTextsAsTheyWereSent)
{
  constexpr std::size_t kOperations = 600;
  std::vector<recorded_session> sessions = OpenSessions();
  odd_texts texts(45);
  std::map<std::string, std::string> items;
  for (std::size_t i = 0; i < kOperations; ++i) {
    recorded_session& session = sessions[texts.Below(sessions.size())];
    const std::string item = texts.Word();
    const std::string data = texts.Text();
    switch (texts.Below(6)) {
      case 0:
        session.Set(texts.Word(), data);
        break;
      case 1:
        EXPECT_TRUE(
          session.Query(absl::StrCat("WRITE ", item, " ", data)).mCompleted);
        items[item] = data;
        break;
      case 2:
        session.Prepare("w", "WRITE " + texts.Text());
        EXPECT_TRUE(session.Query(absl::StrCat("EXECUTE w ", item, " ", data))
                      .mCompleted);
        items[item] = data;
        break;
      case 3:
        session.Prepare("r", "READ " + texts.Text());
        EXPECT_EQ(session.Query("EXECUTE r " + item).mRow,
                  items.contains(item) ? items[item] : "none");
        break;
      default:
        EXPECT_EQ(session.Query("READ " + item).mRow,
                  items.contains(item) ? items[item] : "none");
        break;
    }
  }
  EXPECT_EQ(Faults(), "");
  EXPECT_EQ(mPlatform.Items(), items);
}

// The same while servers fail statements and the setup of connections, with
// transactions and statements that are closed and prepared again. What is sent
// may be refused; what runs must be what was sent.
TEST_F(ForwardedTextTest, RunsOnlyOddTextsThatWereSentWhileServersFailRequests)
{
  constexpr std::size_t kOperations = 400;
  constexpr int kFailedPercent = 30;
  std::vector<recorded_session> sessions = OpenSessions();
  mPlatform.Change([](line_server_group& aServers, platform_store&) {
    for (const auto& id : aServers.Running()) {
      aServers.SetFailedRequests(id, kFailedPercent);
    }
  });
  odd_texts texts(46);
  std::size_t completed = 0;
  for (std::size_t i = 0; i < kOperations; ++i) {
    recorded_session& session = sessions[texts.Below(sessions.size())];
    session.Set("n", texts.Text());
    session.Prepare("w", "WRITE " + texts.Text());
    const std::string write =
      absl::StrCat("EXECUTE w ", texts.Word(), " ", texts.Text());
    if (texts.Below(2) == 0) {
      completed += session.Query(write).mCompleted ? 1 : 0;
    } else {
      session.Query("BEGIN");
      session.Query("READ " + texts.Text());
      session.Query(write);
      session.Query(texts.Below(2) == 0 ? "COMMIT" : "ROLLBACK");
    }
    EXPECT_TRUE(session.Query("CLOSE w").mCompleted);
    EXPECT_FALSE(session.Query(write).mCompleted);
  }
  EXPECT_GT(completed, kOperations / 8);
  EXPECT_EQ(Faults(), "");
}

} // namespace
} // namespace snipewalk::standins
