// Tests of splitting JSON texts into the texts of their members.
#include "snipewalk/base/json_slices.h"

#include <gtest/gtest.h>

#include <string>

namespace snipewalk {
namespace {

TEST(JsonSlicesTest, SplitsAnObject)
{
  const auto members =
    SplitJsonObject(R"( {"a" : 1 ,"b":{"c":[1,"}"]}, "d\"e": "x,y" } )");
  ASSERT_TRUE(members.ok()) << members.status();
  EXPECT_EQ(*members,
            (json_member_slices{ { "a", "1" },
                                 { "b", R"({"c":[1,"}"]})" },
                                 { R"(d\"e)", R"("x,y")" } }));
}

TEST(JsonSlicesTest, SplitsAnArray)
{
  const auto values = SplitJsonArray(R"([ {"a":[]}, "]", [[2],3] ,null])");
  ASSERT_TRUE(values.ok()) << values.status();
  EXPECT_EQ(*values,
            (std::vector<std::string_view>{
              R"({"a":[]})", R"("]")", "[[2],3]", "null" }));
}

TEST(JsonSlicesTest, SplitsEmptyTexts)
{
  EXPECT_TRUE(SplitJsonObject("{}")->empty());
  EXPECT_TRUE(SplitJsonArray(" [ ] ")->empty());
}

// Members that a parser would refuse, or that would exhaust its stack.
TEST(JsonSlicesTest, DoesNotInterpretValues)
{
  const std::string deep =
    std::string(1'000'000, '[') + std::string(1'000'000, ']');
  for (const std::string& odd : { deep,
                                  std::string("1e999"),
                                  std::string("99999999999999999999999999"),
                                  std::string("nonsense"),
                                  std::string("\"\xff\\q\"") }) {
    const std::string text = "[1," + odd + ",2]";
    const auto values = SplitJsonArray(text);
    ASSERT_TRUE(values.ok()) << odd.substr(0, 40);
    ASSERT_EQ(values->size(), 3U);
    EXPECT_EQ((*values)[1], odd);
    EXPECT_EQ((*values)[2], "2");
  }
}

TEST(JsonSlicesTest, RefusesTextsOfAnotherStructure)
{
  for (const std::string text : { "",
                                  "{",
                                  "[]",
                                  "{} {}",
                                  "{\"a\"}",
                                  "{\"a\":}",
                                  "{\"a\":1,}",
                                  "{\"a\":1",
                                  "{\"a\":\"x",
                                  "{\"a\":\"x\\",
                                  "{\"a\":[1}" }) {
    EXPECT_FALSE(SplitJsonObject(text).ok()) << text;
  }
  for (const std::string text : { "", "{}", "[1,]", "[,1]", "[1", "[1]]" }) {
    EXPECT_FALSE(SplitJsonArray(text).ok()) << text;
  }
}

} // namespace
} // namespace snipewalk
