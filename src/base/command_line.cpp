// Implementation of the programs' common command line.
#include "snipewalk/base/command_line.h"

#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace snipewalk {

namespace {

std::string
WithoutFolders(absl::string_view aFile)
{
  return std::string(aFile.substr(aFile.rfind('/') + 1));
}

// The library's own rule compares a program's name with the name of its main
// file and finds nothing where one has hyphens and the other underscores. The
// file comes without folders.
bool
IsMainFile(absl::string_view aFile)
{
  return absl::StartsWith(aFile, "snipewalk") ||
         absl::StartsWith(aFile, "standin_");
}

} // namespace

void
DescribeProgram(const std::string& aName, const std::string& aUsage)
{
  absl::FlagsUsageConfig config;
  config.contains_help_flags = IsMainFile;
  config.contains_helpshort_flags = IsMainFile;
  config.normalize_filename = WithoutFolders;
  config.version_string = [aName] {
    return absl::StrCat(aName, " ", SNIPEWALK_VERSION, "\n");
  };
  absl::SetFlagsUsageConfig(config);
  absl::SetProgramUsageMessage(aUsage);
}

} // namespace snipewalk
