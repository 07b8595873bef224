// Tests of the settings of an instance.
#include "snipewalk/process/settings.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

std::optional<instance_settings>
LoadExample(const std::string& aName, findings& aFindings)
{
  return LoadSettings(std::string(SNIPEWALK_SOURCE_DIR) + "/examples/" + aName,
                      aFindings);
}

// Guards against examples that no longer load.
TEST(SettingsTest, AcceptsTheExamples)
{
  for (const char* name :
       { "fassnetz-munich-1.json", "tsagaan-darkhan-1.json" }) {
    findings found;
    EXPECT_TRUE(LoadExample(name, found));
    EXPECT_EQ(found.ToString(), "");
  }
}

// Guards against a reader that stops at the first problem or starts anyway.
TEST(SettingsTest, ReportsAllProblemsAtOnce)
{
  findings found;
  EXPECT_FALSE(ParseSettings("{\n"
                             " \"instance\": \"a b\",\n"
                             " \"region\": \"r\",\n"
                             " \"traffic\": { \"threads\": \"two\" },\n"
                             " \"failure_detection\":"
                             " { \"silence_limit_ms\": 100 }\n"
                             "}",
                             "s.json",
                             found));
  for (const char* name :
       { "bad_name", "missing", "wrong_type", "contradiction" }) {
    EXPECT_TRUE(found.Has(name)) << name << "\n" << found.ToString();
  }
  EXPECT_NE(found.ToString().find("s.json:4:26: traffic.threads"),
            std::string::npos)
    << found.ToString();
}

// Guards against an instance that talks to other hosts without a fleet key.
TEST(SettingsTest, RequiresFleetKeyBeyondLoopback)
{
  findings found;
  EXPECT_FALSE(ParseSettings(R"({
    "instance": "a", "data_centre": "d", "region": "r",
    "addresses": { "callers": "10.0.0.1:1", "peers": "127.0.0.1:2",
                   "control": "127.0.0.1:3", "admin": "127.0.0.1:4" },
    "store": { "addresses": ["127.0.0.1:5"] } })",
                             "s.json",
                             found));
  EXPECT_NE(found.ToString().find("fleet_key_file"), std::string::npos);
}

// Guards against a missing file that is taken for empty settings.
TEST(SettingsTest, ReportsUnreadableFile)
{
  findings found;
  EXPECT_FALSE(LoadSettings("/nonexistent/settings.json", found));
  EXPECT_TRUE(found.Has("unreadable"));
}

} // namespace
} // namespace snipewalk
