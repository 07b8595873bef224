// Tests of JSON texts.
#include "snipewalk/base/json_text.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

TEST(JsonTextTest, ReadsWhatItWrites)
{
  Json::Value value(Json::objectValue);
  value["name"] = "Fässer \"7\"\n";
  value["count"] = 3;
  const std::string text = WriteJson(value);
  EXPECT_EQ(text.find('\n'), std::string::npos);
  const auto parsed = ParseJsonObject(text);
  ASSERT_TRUE(parsed.ok()) << parsed.status();
  EXPECT_EQ(*parsed, value);
}

// Guards against input that is taken over although it has two meanings, and
// against an exception for input that is nested too deeply.
TEST(JsonTextTest, RejectsWhatIsNoSingleObject)
{
  for (const std::string text :
       { "", "[]", "{} {}", "{\"a\":1,}", "{\"a\":1,\"a\":2}" }) {
    EXPECT_FALSE(ParseJsonObject(text).ok()) << text;
  }
  const std::string deep =
    "{\"a\":" + std::string(100, '[') + std::string(100, ']') + "}";
  EXPECT_FALSE(ParseJsonObject(deep).ok());
}

} // namespace
} // namespace snipewalk
