// Tests of the parsing and validation of service documents.
#include "snipewalk/version/document_validation.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace snipewalk {
namespace {

const wall_time kNow = *ParseTimestamp("2026-12-04T12:00:00Z");

std::string
ReadExample(const std::string& aName)
{
  std::ifstream file(std::string(SNIPEWALK_SOURCE_DIR) + "/examples/" + aName);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

service_document
ThreeServers()
{
  service_document document;
  document.mService = "drums";
  for (const char* name : { "a", "b", "c" }) {
    document.mServers.push_back({ name, "127.0.0.1:1", "munich", {}, {} });
  }
  return document;
}

findings
EditFindings(const service_document& aNext, const edit_context& aContext)
{
  findings found;
  CheckEdit(aNext, aContext, "drums", kNow, found);
  return found;
}

// Guards against example documents that are not valid.
TEST(DocumentValidationTest, AcceptsTheExamples)
{
  for (const char* name :
       { "fassnetz-register-1.json", "tsagaan-ledger-1.json" }) {
    findings found;
    EXPECT_TRUE(ParseServiceDocument(ReadExample(name), name, found));
    EXPECT_EQ(found.ToString(), "");
  }
}

// Guards against a parser that stops at the first error.
TEST(DocumentValidationTest, ReportsAllProblemsWithTheirPlaces)
{
  const std::string text = "{\n"
                           "  \"service\": \"drums\",\n"
                           "  \"slots\": 0,\n"
                           "  \"color\": 1,\n"
                           "  \"servers\": [\n"
                           "    { \"name\": \"a\", \"address\": \"host:1\" }\n"
                           "  ]\n"
                           "}\n";
  findings found;
  EXPECT_FALSE(ParseServiceDocument(text, "d.json", found));
  const std::string all = found.ToString();
  EXPECT_NE(all.find("d.json:3:12: slots: "), std::string::npos) << all;
  EXPECT_NE(all.find("d.json:4:12: color: "), std::string::npos) << all;
  EXPECT_NE(all.find("d.json:6:31: servers[0].address: "), std::string::npos)
    << all;
  EXPECT_NE(all.find("servers[0].data_centre: is required"), std::string::npos)
    << all;
}

// Guards against a duplicate key, of which one value would be silently ignored.
TEST(DocumentValidationTest, RejectsDuplicateKeys)
{
  findings found;
  EXPECT_FALSE(
    ParseServiceDocument("{\"slots\": 1, \"slots\": 2}", "d.json", found));
  EXPECT_TRUE(found.Has("syntax")) << found.ToString();
}

// Guards against a stack overflow on deeply nested input.
TEST(DocumentValidationTest, RejectsDeepNesting)
{
  findings found;
  EXPECT_FALSE(
    ParseServiceDocument(std::string(100'000, '['), "d.json", found));
  EXPECT_FALSE(found.empty());
}

// Guards against a deadline whose time zone is ambiguous.
TEST(DocumentValidationTest, RequiresAnOffsetInTimes)
{
  EXPECT_FALSE(ParseTimestamp("2026-12-06T23:59:59"));
  EXPECT_EQ(ParseTimestamp("2026-12-06T23:59:59+01:00"),
            ParseTimestamp("2026-12-06T22:59:59Z"));
}

// Guards against an edit that stops the service unintentionally.
TEST(CheckEditTest, AsksToConfirmThatAllServersLeave)
{
  service_document next = ThreeServers();
  for (auto& server : next.mServers) {
    server.mState = server_state::Leaving;
  }
  EXPECT_TRUE(EditFindings(next, {}).Has("all_servers_leaving"));
  next.mConfirm = { "all_servers_leaving" };
  EXPECT_TRUE(EditFindings(next, {}).empty());
}

// Guards against an edit with a deadline in the past.
TEST(CheckEditTest, FindsDeadlinesInThePast)
{
  service_document next = ThreeServers();
  next.mServers[0].mState = server_state::Leaving;
  next.mServers[0].mLeaveBy = kNow - seconds(1);
  EXPECT_TRUE(EditFindings(next, {}).Has("deadline_passed"));
}

// Guards against the removal of servers that may have the only copies of
// acknowledged writes.
TEST(CheckEditTest, FindsRemovedPrimaryAndVoters)
{
  service_document next = ThreeServers();
  term_record term;
  term.mPrimary = "x";
  term.mVoters = { "x", "y", "a" };
  const findings found = EditFindings(next, { nullptr, &term });
  EXPECT_TRUE(found.Has("primary_removed"));
  EXPECT_TRUE(found.Has("voter_removed"));
}

// Guards against a description that does not mention the effect on the primary.
TEST(DescribeEditTest, SaysThatThePrimaryDrains)
{
  const service_document previous = ThreeServers();
  service_document next = previous;
  next.mServers[0].mState = server_state::Leaving;
  term_record term;
  term.mPrimary = "a";
  EXPECT_NE(DescribeEdit(next, { &previous, &term })
              .find("drains server a (the primary"),
            std::string::npos);
}

} // namespace
} // namespace snipewalk
