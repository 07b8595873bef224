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
