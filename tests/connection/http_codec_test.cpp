// Tests of the HTTP codec.
#include "snipewalk/connection/http_codec.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

// Guards against a message that is taken before its body has arrived.
TEST(HttpReaderTest, WaitsForTheWholeBody)
{
  http_reader reader;
  std::string buffer = "POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nab";
  auto first = reader.ReadRequest(buffer);
  ASSERT_TRUE(first.ok());
  EXPECT_FALSE(first->has_value());
  buffer += "cdGET";
  auto second = reader.ReadRequest(buffer);
  ASSERT_TRUE(second.ok());
  ASSERT_TRUE(second->has_value());
  EXPECT_EQ((*second)->mBody, "abcd");
  EXPECT_EQ(buffer, "GET");
}

// Guards against request smuggling through two lengths.
TEST(HttpReaderTest, RefusesTwoContentLengths)
{
  http_reader reader;
  std::string buffer =
    "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab";
  EXPECT_EQ(reader.ReadRequest(buffer).status().code(),
            absl::StatusCode::kInvalidArgument);
}

// Guards against unbounded memory for a body that the head announces.
TEST(HttpReaderTest, RefusesLargeBodyFromItsHead)
{
  http_reader reader;
  std::string buffer = "POST / HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n";
  EXPECT_EQ(reader.ReadRequest(buffer).status().code(),
            absl::StatusCode::kResourceExhausted);
}

// Guards against two values that become one: the reader of POCO, which is also
// made for mail, decodes them as RFC 2047 says.
TEST(HttpReaderTest, KeepsValuesThatLookLikeEncodedWords)
{
  for (const std::string value : { "order=?id=7",
                                   "order-=?7",
                                   "=?x?q?ab?=",
                                   "=?utf-8?b?YQ==?=",
                                   "a=?" }) {
    http_reader reader;
    std::string request =
      "GET /a HTTP/1.1\r\nIdempotency-Key: " + value + "\r\n\r\n";
    const auto read = reader.ReadRequest(request);
    ASSERT_TRUE(read.ok() && *read);
    EXPECT_EQ((*read)->mHeaders.Get("Idempotency-Key"), value);
    std::string response =
      "HTTP/1.1 200 OK\r\nIdempotency-Key: " + value + "\r\n\r\n";
    const auto answer = reader.ReadResponse(response);
    ASSERT_TRUE(answer.ok() && *answer);
    EXPECT_EQ((*answer)->mHeaders.Get("Idempotency-Key"), value);
  }
}

// Guards against a head that others read with other fields or another end: the
// bytes behind it would be taken for a request of its own.
TEST(HttpReaderTest, RefusesHeadsThatCanBeReadInTwoWays)
{
  const std::string line = "POST /a HTTP/1.1\r\n";
  for (const std::string& head : { line + "X: a\n\nContent-Length: 4",
                                   line + "X: a\nContent-Length: 4",
                                   line + "X: a\rContent-Length: 4",
                                   line + std::string("X: a\0b", 6),
                                   line + "Content-Length : 4",
                                   line + "Transfer-Encoding : chunked",
                                   line + "Content-Length 4",
                                   line + ": 4",
                                   line + "X: a\r\n Content-Length: 4",
                                   line + " X: a",
                                   line + "X(: a",
                                   std::string("POST /a b HTTP/1.1"),
                                   std::string("POST /a  HTTP/1.1"),
                                   std::string("POST  /a HTTP/1.1"),
                                   std::string("POST /a"),
                                   std::string("POST /a HTTP/2.0"),
                                   std::string("POST /\ta HTTP/1.1"),
                                   std::string("POST /a\nHTTP/1.1") }) {
    http_reader reader;
    std::string buffer = head + "\r\n\r\nbody";
    EXPECT_EQ(reader.ReadRequest(buffer).status().code(),
              absl::StatusCode::kInvalidArgument)
      << head;
  }
}

TEST(HttpReaderTest, ReadsStartLineFieldsAndPersistence)
{
  http_reader reader;
  std::string buffer = "\r\nGET /a?b=c HTTP/1.1\r\nHost:h:1\r\nEmpty:\r\n"
                       "Padded: \t a b \t\r\n\r\n"
                       "GET /b HTTP/1.1\r\nConnection: x, Close\r\n\r\n"
                       "GET /c HTTP/1.0\r\n\r\n"
                       "GET /d HTTP/1.0\r\nconnection: Keep-Alive\r\n\r\n";
  const auto first = reader.ReadRequest(buffer);
  ASSERT_TRUE(first.ok() && *first);
  EXPECT_EQ((*first)->mMethod, "GET");
  EXPECT_EQ((*first)->mTarget, "/a?b=c");
  EXPECT_EQ((*first)->mHeaders.Get("host"), "h:1");
  EXPECT_TRUE((*first)->mHeaders.Has("Empty"));
  EXPECT_EQ((*first)->mHeaders.Get("Padded"), "a b");
  EXPECT_TRUE((*first)->mKeepAlive);
  EXPECT_FALSE((**reader.ReadRequest(buffer)).mKeepAlive);
  EXPECT_FALSE((**reader.ReadRequest(buffer)).mKeepAlive);
  EXPECT_TRUE((**reader.ReadRequest(buffer)).mKeepAlive);
  std::string answers = "HTTP/1.1 200\r\n\r\nHTTP/1.1 404 Not Found\r\n\r\n";
  EXPECT_EQ((**reader.ReadResponse(answers)).mStatus, 200);
  EXPECT_EQ((**reader.ReadResponse(answers)).mStatus, 404);
}

// Guards against losing bytes that the path of a target must escape.
TEST(PercentCodingTest, RoundTripsEveryByte)
{
  std::string all;
  for (int byte = 0; byte < 256; ++byte) {
    all.push_back(static_cast<char>(byte));
  }
  const auto decoded = DecodePercent(EncodePercent(all));
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(*decoded, all);
  EXPECT_FALSE(DecodePercent("%4").ok());
  EXPECT_FALSE(DecodePercent("%zz").ok());
}

// Guards against status codes outside POCO's enumeration, whose use would be
// undefined behaviour.
TEST(HttpCodecTest, RefusesUnknownStatusCodes)
{
  for (const char* line : { "HTTP/1.1 512 Odd",
                            "HTTP/1.1 99 Odd",
                            "HTTP/1.1 2000 Odd",
                            "HTTP/1.1 +20 Odd",
                            "HTTP/1.1",
                            "HTTP/1.1 " }) {
    std::string bytes = std::string(line) + "\r\n\r\n";
    EXPECT_FALSE(http_reader().ReadResponse(bytes).ok()) << line;
  }
  std::string bytes = "HTTP/1.1 503\r\n\r\n";
  EXPECT_TRUE(http_reader().ReadResponse(bytes).ok());
}

} // namespace
} // namespace snipewalk
