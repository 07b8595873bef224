// Tests of the backend servers' protocol and of the connection to one server.
#include "snipewalk/connection/backend_adapter.h"
#include "snipewalk/connection/backend_connection.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <gtest/gtest.h>

#include <thread>

namespace snipewalk {
namespace {

http_response
Response(int aStatus,
         const std::vector<std::pair<std::string, std::string>>& aHeaders,
         std::string aBody = {})
{
  http_response response;
  response.mStatus = aStatus;
  for (const auto& [name, value] : aHeaders) {
    response.mHeaders.Add(name, value);
  }
  response.mBody = std::move(aBody);
  return response;
}

// Guards against routing fields that get lost on the way to the server.
TEST(BackendAdapterTest, EncodesStatementFieldsAsHeaders)
{
  backend_statement statement;
  statement.mRequestId = "r1";
  statement.mTerm = 7;
  statement.mKind = statement_kind::Write;
  statement.mIdempotencyKey = "k1";
  statement.mMinIndex = 12;
  statement.mWait = milliseconds(50);
  statement.mBody = "put a 1";
  std::string bytes = *EncodeBackendRequest(statement, "127.0.0.1:1");
  const auto request = http_reader().ReadRequest(bytes);
  ASSERT_TRUE(request.ok() && *request);
  const auto& headers = (*request)->mHeaders;
  EXPECT_EQ((*request)->mTarget, "/v1/statements");
  EXPECT_EQ(headers.Get("Request-Id"), "r1");
  EXPECT_EQ(headers.Get("Term"), "7");
  EXPECT_EQ(headers.Get("Kind"), "write");
  EXPECT_EQ(headers.Get("Idempotency-Key"), "k1");
  EXPECT_EQ(headers.Get("Min-Index"), "12");
  EXPECT_EQ(headers.Get("Wait-Ms"), "50");
  EXPECT_EQ((*request)->mBody, "put a 1");
}

// Guards against a caller's key that smuggles a second header or request.
TEST(BackendAdapterTest, RefusesControlCharactersInHeaders)
{
  backend_statement statement;
  statement.mRequestId = "r1";
  statement.mIdempotencyKey = "k\r\nTerm: 9";
  EXPECT_FALSE(EncodeBackendRequest(statement, "h").ok());
}

// Guards against an unknown refusal that is taken for "not executed".
TEST(BackendAdapterTest, AcceptsOnlyNamedRefusals)
{
  const auto known = DecodeBackendReply(
    backend_call::Statement,
    Response(409, { { "Reason", "not_primary" }, { "Term", "4" } }));
  ASSERT_TRUE(known.ok());
  EXPECT_EQ(known->mError, backend_error::NotPrimary);
  EXPECT_EQ(known->mTerm, 4u);
  for (const char* reason : { "", "none", "internal", "odd" }) {
    EXPECT_FALSE(DecodeBackendReply(
                   backend_call::Statement,
                   Response(409, { { "Reason", reason }, { "Term", "4" } }))
                   .ok());
  }
  const auto internal =
    DecodeBackendReply(backend_call::Statement, Response(500, {}));
  ASSERT_TRUE(internal.ok());
  EXPECT_EQ(internal->mError, backend_error::Internal);
}

// Guards against a status that misses a field and is filled with zeros.
TEST(BackendAdapterTest, DecodesWholeStatusOnly)
{
  const std::string whole = R"({"server":"s1","term":3,"role":"replica",)"
                            R"("log_term":2,"received":9,"applied":8})";
  const auto reply =
    DecodeBackendReply(backend_call::Fence, Response(200, {}, whole));
  ASSERT_TRUE(reply.ok() && reply->mStatus);
  EXPECT_EQ(reply->mTerm, 3u);
  EXPECT_EQ(reply->mStatus->mLogTerm, 2u);
  EXPECT_EQ(reply->mStatus->mReceived, 9u);
  EXPECT_EQ(reply->mStatus->mApplied, 8u);
  const std::string negative = R"({"server":"s1","term":-3,"role":"replica",)"
                               R"("log_term":2,"received":9,"applied":8})";
  const std::string partial = R"({"server":"s1","term":3})";
  const std::string deep(100, '[');
  for (const auto& body :
       { std::string(), std::string("[]"), partial, negative, deep }) {
    EXPECT_FALSE(
      DecodeBackendReply(backend_call::Status, Response(200, {}, body)).ok());
  }
}

// Guards against an outcome whose index or state is guessed.
TEST(BackendAdapterTest, DecodesOutcomes)
{
  const auto done = DecodeBackendReply(backend_call::Outcome,
                                       Response(200,
                                                {},
                                                R"({"state":"done","index":5,)"
                                                R"("body":"ok"})"));
  ASSERT_TRUE(done.ok());
  EXPECT_EQ(done->mKeyState, key_state::Done);
  EXPECT_EQ(done->mIndex, 5u);
  EXPECT_EQ(done->mBody, "ok");
  EXPECT_FALSE(DecodeBackendReply(backend_call::Outcome,
                                  Response(200, {}, R"({"state":"maybe"})"))
                 .ok());
}

// Answers each request of one connection with the given bytes.
class scripted_server
{
public:
  explicit scripted_server(std::string aAnswer)
    : mSocket(Poco::Net::SocketAddress("127.0.0.1", 0))
    , mThread([this, answer = std::move(aAnswer)] {
      auto peer = mSocket.acceptConnection();
      char chunk[4096];
      while (peer.receiveBytes(chunk, sizeof(chunk)) > 0) {
        peer.sendBytes(answer.data(), static_cast<int>(answer.size()));
      }
    })
  {
  }
  ~scripted_server() { mThread.join(); }
  std::string Address() const { return mSocket.address().toString(); }

private:
  Poco::Net::ServerSocket mSocket;
  std::thread mThread;
};

struct observed
{
  int mReplies = 0;
  int mClosed = 0;
  std::string mBody;
};

observed
Exchange(std::string aAnswer)
{
  scripted_server server(std::move(aAnswer));
  event_loop loop;
  observed seen;
  std::unique_ptr<backend_connection> connection;
  backend_connection::handlers handlers;
  handlers.mOnOpened = [&](time_point) {
    backend_statement statement;
    statement.mRequestId = "r1";
    EXPECT_TRUE(connection->Send(statement));
    EXPECT_FALSE(connection->Send(statement));
  };
  handlers.mOnReply = [&](const backend_reply& aReply, time_point) {
    ++seen.mReplies;
    seen.mBody = aReply.mBody;
    loop.Stop();
  };
  handlers.mOnClosed = [&](bool aRefused, time_point) {
    EXPECT_FALSE(aRefused);
    ++seen.mClosed;
    loop.Stop();
  };
  connection = std::make_unique<backend_connection>(
    loop, server_endpoint{ "s1", server.Address() }, std::move(handlers));
  loop.Run();
  connection.reset();
  return seen;
}

// Guards against a reply that is lost or delivered twice.
TEST(BackendConnectionTest, DeliversReply)
{
  const auto seen = Exchange("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTerm: 1\r\n"
                             "Index: 2\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_EQ(seen.mReplies, 1);
  EXPECT_EQ(seen.mClosed, 0);
  EXPECT_EQ(seen.mBody, "ok");
}

// Guards against handing a caller the response of another request (G4).
TEST(BackendConnectionTest, ClosesOnReplyToAnotherRequest)
{
  const auto seen = Exchange("HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nTerm: 1\r\n"
                             "Index: 2\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_EQ(seen.mReplies, 0);
  EXPECT_EQ(seen.mClosed, 1);
}

// Guards against surplus bytes that a later request would take for its reply.
TEST(BackendConnectionTest, ClosesOnBytesBehindReply)
{
  const auto seen = Exchange("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTerm: 1\r\n"
                             "Index: 2\r\nContent-Length: 2\r\n\r\nokHTTP");
  EXPECT_EQ(seen.mReplies, 0);
  EXPECT_EQ(seen.mClosed, 1);
}

} // namespace
} // namespace snipewalk
