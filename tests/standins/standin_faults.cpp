// Program: fault-injecting TCP proxy between processes of a test.
#include "snipewalk/base/command_line.h"
#include "standins/fault_service.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>

#include <iostream>
#include <utility>
#include <vector>

ABSL_FLAG(std::uint16_t, port, 0, "control port; 0 takes a free one");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the drop share");
ABSL_FLAG(std::vector<std::string>,
          links,
          {},
          "links to open, each <name>=<target ip:port>");

int
main(int argc, char** argv)
{
  using namespace snipewalk;
  DescribeProgram("standin-faults", "fault-injecting TCP proxy");
  absl::ParseCommandLine(argc, argv);
  event_loop loop;
  standins::fault_service service(
    loop, absl::GetFlag(FLAGS_port), absl::GetFlag(FLAGS_seed));
  std::cout << "{\"port\":" << service.Port() << ",\"links\":{";
  const char* separator = "";
  for (const std::string& link : absl::GetFlag(FLAGS_links)) {
    const std::pair<std::string, std::string> parts =
      absl::StrSplit(link, absl::MaxSplits('=', 1));
    std::cout << separator << '"' << parts.first
              << "\":" << service.AddLink(parts.first, parts.second, 0);
    separator = ",";
  }
  std::cout << "}}" << std::endl;
  loop.Run();
  return 0;
}
