// Tests of the settings of an instance.
#include "snipewalk/settings/settings.h"

#include "standins/certificate_maker.h"

#include <gtest/gtest.h>

#include <fstream>

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

// Guards against a limit that the build cannot keep.
TEST(SettingsTest, ChecksTheProtocolVersionLimit)
{
  for (const char* limit : { "0", "3", "\"1\"" }) {
    findings found;
    ParseSettings(std::string("{\"protocol_version_limit\":") + limit + "}",
                  "s.json",
                  found);
    EXPECT_NE(found.ToString().find("protocol_version_limit"),
              std::string::npos)
      << limit;
  }
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

// Settings with a caller address and a section `tls`.
std::string
WithTls(const std::string& aCallers, const std::string& aTls)
{
  return R"({ "instance": "a", "data_centre": "d", "region": "r",
    "addresses": { "callers": ")" +
         aCallers + R"(", "peers": "127.0.0.1:2",
                   "control": "127.0.0.1:3", "admin": "127.0.0.1:4" },
    "store": { "addresses": ["127.0.0.1:5"] }, "fleet_key_file": "k",
    )" + aTls +
         "}";
}

// Writes a text to a file of the test and returns its path.
std::string
FileWith(const std::string& aName, const std::string& aText)
{
  std::string path = ::testing::TempDir() + "settings_test_" + aName;
  std::ofstream(path) << aText;
  return path;
}

// Guards against plain HTTP beyond loopback.
TEST(SettingsTest, RequiresTlsBeyondLoopback)
{
  findings found;
  EXPECT_FALSE(
    ParseSettings(WithTls("10.0.0.1:1", "\"seeds\": []"), "s.json", found));
  ASSERT_EQ(found.All().size(), 1U) << found.ToString();
  EXPECT_EQ(found.All().front().mPath, "tls");
}

// Guards against faults of the TLS files that are found one by one, or only
// once callers connect.
TEST(SettingsTest, ChecksTlsFilesAsAWhole)
{
  const standins::certificate_maker authority("callers");
  const tls_material server = authority.Server();
  const std::string certificate = FileWith("cert.pem", server.mCertificate);
  const std::string ca = FileWith("ca.pem", server.mAuthorities);
  const auto section = [&](const std::string& aKey, const std::string& aCa) {
    return WithTls("10.0.0.1:1",
                   "\"tls\": { \"certificate_file\": \"" + certificate +
                     "\",\n\"key_file\": \"" + aKey + "\",\n\"ca_file\": \"" +
                     aCa + "\" }");
  };
  const wall_time now = std::chrono::system_clock::now();
  findings none;
  const std::string key = FileWith("key.pem", server.mKey);
  EXPECT_TRUE(ParseSettings(section(key, ca), "s", none, now));
  EXPECT_EQ(none.ToString(), "");
  findings found;
  const std::string foreign = FileWith("other.pem", authority.Server().mKey);
  EXPECT_FALSE(ParseSettings(section(foreign, "/nonexistent/ca.pem"),
                             "s",
                             found,
                             now + std::chrono::hours(48)));
  EXPECT_EQ(found.All().size(), 3U);
  for (const char* place : { "tls.certificate_file: the certificate expired",
                             "tls.key_file: does not belong",
                             "tls.ca_file: cannot be read" }) {
    EXPECT_NE(found.ToString().find(place), std::string::npos)
      << found.ToString();
  }
  // The key's place is one line below the certificate's.
  EXPECT_EQ(found.All()[0].mLine == found.All()[1].mLine, false);
}

// Guards against a section that is only half there.
TEST(SettingsTest, RequiresAllTlsFiles)
{
  findings found;
  EXPECT_FALSE(
    ParseSettings(WithTls("127.0.0.1:1", "\"tls\": {}"), "s", found));
  EXPECT_EQ(found.All().size(), 3U) << found.ToString();
  EXPECT_TRUE(found.Has("missing"));
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
