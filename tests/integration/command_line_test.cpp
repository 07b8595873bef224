// The programs' command lines.
#include "standins/process_fleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace snipewalk::standins {
namespace {

std::string
HelpOf(const std::string& aProgram)
{
  auto process = child_process::Start(
    absl::StrCat(SNIPEWALK_BINARY_DIR, "/", aProgram), { "--help" });
  if (!process.ok()) {
    return {};
  }
  std::string text;
  while (const auto line = process->ReadLine(seconds(10))) {
    absl::StrAppend(&text, *line, "\n");
  }
  return text;
}

// Guards against a help text without the program's own flags, which happens
// when a program and its main file differ in hyphens and underscores, and
// against one that shows the folder of the build.
TEST(CommandLineTest, HelpListsTheFlagsOfEachProgram)
{
  const std::vector<std::pair<std::string, std::string>> programs = {
    { "snipewalkd", "--settings" },
    { "snipewalkctl", "--store" },
    { "snipewalk-load", "--sessions" },
    { "snipewalk-check", "--history" },
    { "standin-backend", "--apply_lag_ms" },
    { "standin-store", "--port" },
    { "standin-faults", "--links" },
    { "snipewalk-sessions", "--check" },
  };
  for (const auto& [program, flag] : programs) {
    const std::string help = HelpOf(program);
    EXPECT_TRUE(absl::StrContains(help, flag)) << program << ": " << help;
    EXPECT_FALSE(absl::StrContains(help, "/apps/")) << program << ": " << help;
    EXPECT_FALSE(absl::StrContains(help, "/standins/")) << program;
  }
}

} // namespace
} // namespace snipewalk::standins
