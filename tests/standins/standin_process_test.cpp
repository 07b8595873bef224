// Tests of the stand-ins as processes: their HTTP form and the fault proxy.
#include "standins/process_fleet.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <array>

namespace snipewalk::standins {
namespace {

class StandinProcessTest : public testing::Test
{
protected:
  std::uint16_t PortOf(const absl::StatusOr<Json::Value>& aLine,
                       const char* aField = "port")
  {
    EXPECT_TRUE(aLine.ok()) << aLine.status();
    return aLine.ok() ? static_cast<std::uint16_t>((*aLine)[aField].asUInt())
                      : 0;
  }

  process_fleet mFleet{ SNIPEWALK_BINARY_DIR };
};

// Guards against replication or a change of primary that works only within the
// state machine.
TEST_F(StandinProcessTest, ReplicatesAndSurvivesKilledPrimary)
{
  const auto group = backend_group::Start(mFleet, "s", 3);
  ASSERT_TRUE(group.ok()) << group.status();
  ASSERT_TRUE(group->Promote(1, 0).ok());
  const auto wrote = group->Statement(
    0, 1, "write", "set drum-1 ok", { { "Idempotency-Key", "k1" } });
  ASSERT_TRUE(wrote.ok());
  const std::string index(wrote->mHeaders.Get("Index"));
  const auto waited =
    HttpCall(group->Servers()[1].mPort,
             "GET",
             absl::StrCat("/v1/wait?term=1&wait_ms=5000&index=", index));
  ASSERT_TRUE(waited.ok());
  EXPECT_EQ(waited->mStatus, 200);
  mFleet.At("s1").Kill();
  ASSERT_TRUE(group->Promote(2, 1).ok());
  const auto read = group->Statement(
    2,
    2,
    "read",
    "get drum-1",
    { { "Min-Index", index }, { "Wait-Ms", "5000" }, { "Request-Id", "q" } });
  ASSERT_TRUE(read.ok());
  EXPECT_EQ(read->mBody, "ok");
  EXPECT_EQ(read->mHeaders.Get("Request-Id"), "q");
  EXPECT_EQ(group->Log(1)[1]["key"].asString(), "k1");
}

// Guards against a connection limit that is not enforced or counts the
// replication.
TEST_F(StandinProcessTest, ClosesConnectionsAboveTheLimit)
{
  const auto group =
    backend_group::Start(mFleet, "s", 2, { "--max_connections=0" });
  ASSERT_TRUE(group.ok()) << group.status();
  EXPECT_FALSE(HttpCall(group->Servers()[0].mPort, "GET", "/v1/status").ok());
  EXPECT_EQ(group->Stats(0)["connections"]["refused"].asUInt(), 1U);
  EXPECT_EQ(group->Stats(0)["connections"]["max"].asUInt(), 0U);
}

// Guards against requests that a paused server answers or forgets.
TEST_F(StandinProcessTest, HoldsRequestsWhilePaused)
{
  const auto group = backend_group::Start(mFleet, "s", 1);
  ASSERT_TRUE(group.ok()) << group.status();
  ASSERT_TRUE(group->SetFaults(0, "{\"pause\":true}").ok());
  EXPECT_FALSE(
    HttpCall(
      group->Servers()[0].mPort, "GET", "/v1/status", {}, {}, milliseconds(50))
      .ok());
  ASSERT_TRUE(group->SetFaults(0, "{\"pause\":false}").ok());
  EXPECT_TRUE(HttpCall(group->Servers()[0].mPort, "GET", "/v1/status").ok());
}

// Guards against a store whose outage also takes its control port or its
// objects away, and against a lost answer without its change.
TEST_F(StandinProcessTest, StoreKeepsObjectsOverOutages)
{
  const auto line = mFleet.StartStandin("store", "standin-store");
  const std::uint16_t port = PortOf(line);
  const std::uint16_t control = PortOf(line, "control_port");
  const std::string object = "/v1/objects/services/a";
  ASSERT_TRUE(
    HttpCall(control, "POST", "/standin/faults", "{\"lose_answers\":1}").ok());
  EXPECT_FALSE(
    HttpCall(port, "PUT", object, "{}", { { "If-None-Match", "*" } }).ok());
  for (const std::string outage : { "refuse", "hang", "503" }) {
    HttpCall(control,
             "POST",
             "/standin/faults",
             absl::StrCat("{\"outage\":\"", outage, "\"}"))
      .IgnoreError();
    const auto during =
      HttpCall(port, "GET", object, {}, {}, milliseconds(100));
    EXPECT_TRUE(!during.ok() || during->mStatus == 503) << outage;
  }
  HttpCall(control, "POST", "/standin/faults", "{\"outage\":\"none\"}")
    .IgnoreError();
  const auto after = HttpCall(port, "GET", object);
  ASSERT_TRUE(after.ok());
  EXPECT_EQ(after->mHeaders.Get("ETag"), "\"1\"");
}

// Guards against a watch that misses a change made while it waits.
TEST_F(StandinProcessTest, WatchAnswersAtChange)
{
  const std::uint16_t port =
    PortOf(mFleet.StartStandin("store", "standin-store"));
  ASSERT_TRUE(HttpCall(port, "PUT", "/v1/objects/terms/a", "1").ok());
  ASSERT_TRUE(HttpCall(port, "PUT", "/v1/objects/other/a", "2").ok());
  const auto idle =
    HttpCall(port, "GET", "/v1/objects/terms?from=1&wait_ms=20");
  ASSERT_TRUE(idle.ok());
  EXPECT_TRUE(idle->Json()["objects"].empty());
  EXPECT_EQ(idle->Json()["revision"].asUInt(), 2U);
  const auto all =
    HttpCall(port, "GET", "/v1/objects/terms?from=0&wait_ms=5000");
  ASSERT_TRUE(all.ok());
  EXPECT_EQ(all->Json()["objects"][0]["value"].asString(), "1");
}

// Guards against a fault proxy that corrupts traffic or whose faults have no
// effect.
TEST_F(StandinProcessTest, FaultProxyCutsFreezesAndHeals)
{
  const std::uint16_t store =
    PortOf(mFleet.StartStandin("store", "standin-store"));
  const auto line =
    mFleet.StartStandin("faults",
                        "standin-faults",
                        { absl::StrCat("--links=a=127.0.0.1:", store) });
  const std::uint16_t control = PortOf(line);
  const auto port = static_cast<std::uint16_t>((*line)["links"]["a"].asUInt());
  const std::string value(200'000, 'x');
  ASSERT_TRUE(HttpCall(port, "PUT", "/v1/objects/k/a", value).ok());
  const auto read = HttpCall(port, "GET", "/v1/objects/k/a");
  ASSERT_TRUE(read.ok());
  EXPECT_EQ(read->mBody, value);
  for (const std::string fault : { "\"cut\":\"both\"",
                                   "\"cut\":\"to_target\"",
                                   "\"cut\":\"to_client\"",
                                   "\"frozen\":true",
                                   "\"refuse\":true",
                                   "\"drop_percent\":100" }) {
    const std::string heal =
      "{\"link\":\"*\",\"cut\":\"none\",\"frozen\":false,"
      "\"refuse\":false,\"drop_percent\":0}";
    ASSERT_EQ(HttpCall(control,
                       "POST",
                       "/standin/faults",
                       absl::StrCat("{\"link\":\"a\",", fault, "}"))
                ->mStatus,
              200);
    EXPECT_FALSE(
      HttpCall(port, "GET", "/v1/instances", {}, {}, milliseconds(50)).ok())
      << fault;
    ASSERT_EQ(HttpCall(control, "POST", "/standin/faults", heal)->mStatus, 200);
    EXPECT_TRUE(HttpCall(port, "GET", "/v1/instances").ok()) << fault;
  }
}

// Guards against a one-way cut that loses requests although only answers are
// cut, and against new connections that a target could not have accepted.
TEST_F(StandinProcessTest, FaultProxyCutsAnswersOnly)
{
  const std::uint16_t store =
    PortOf(mFleet.StartStandin("store", "standin-store"));
  const auto line =
    mFleet.StartStandin("faults",
                        "standin-faults",
                        { absl::StrCat("--links=a=127.0.0.1:", store) });
  const auto port = static_cast<std::uint16_t>((*line)["links"]["a"].asUInt());
  const Poco::Net::SocketAddress address("127.0.0.1", port);
  const auto put = [](Poco::Net::StreamSocket& aSocket, const char* aName) {
    const std::string request = absl::StrCat(
      "PUT /v1/objects/k/", aName, " HTTP/1.1\r\nContent-Length: 1\r\n\r\n1");
    aSocket.sendBytes(request.data(), static_cast<int>(request.size()));
    aSocket.setReceiveTimeout(Poco::Timespan(0, 200'000));
    std::array<char, 1024> answer{};
    return aSocket.receiveBytes(answer.data(), answer.size()) > 0;
  };
  Poco::Net::StreamSocket old(address);
  ASSERT_TRUE(put(old, "first"));
  ASSERT_EQ(HttpCall(PortOf(line),
                     "POST",
                     "/standin/faults",
                     "{\"link\":\"a\",\"cut\":\"to_client\"}")
              ->mStatus,
            200);
  EXPECT_ANY_THROW(put(old, "old"));
  Poco::Net::StreamSocket fresh(address);
  EXPECT_ANY_THROW(put(fresh, "fresh"));
  EXPECT_EQ(HttpCall(store, "GET", "/v1/objects/k/old")->mStatus, 200);
  EXPECT_EQ(HttpCall(store, "GET", "/v1/objects/k/fresh")->mStatus, 404);
}

// Guards against silenced or reset connections that go on, and new ones that
// are hit as well.
TEST_F(StandinProcessTest, FaultProxySilencesOnlyEstablishedConnections)
{
  const std::uint16_t store =
    PortOf(mFleet.StartStandin("store", "standin-store"));
  const auto line =
    mFleet.StartStandin("faults",
                        "standin-faults",
                        { absl::StrCat("--links=a=127.0.0.1:", store) });
  const std::uint16_t control = PortOf(line);
  const auto port = static_cast<std::uint16_t>((*line)["links"]["a"].asUInt());
  const std::string request = "GET /v1/instances HTTP/1.1\r\nHost: s\r\n\r\n";
  const auto isAnswered = [&](Poco::Net::StreamSocket& aSocket) {
    aSocket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::array<char, 1024> answer{};
    return aSocket.receiveBytes(answer.data(), answer.size()) > 0;
  };
  for (const std::string fault : { "silence", "reset" }) {
    Poco::Net::StreamSocket old(Poco::Net::SocketAddress("127.0.0.1", port));
    old.setReceiveTimeout(Poco::Timespan(0, 100'000));
    EXPECT_TRUE(isAnswered(old));
    ASSERT_EQ(HttpCall(control, "POST", "/standin/" + fault, "{\"link\":\"a\"}")
                ->mStatus,
              200);
    EXPECT_ANY_THROW(isAnswered(old)) << fault;
    EXPECT_TRUE(HttpCall(port, "GET", "/v1/instances").ok()) << fault;
  }
}

} // namespace
} // namespace snipewalk::standins
