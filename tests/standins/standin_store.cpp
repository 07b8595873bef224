// Program: a stand-in for the platform's object store and instance list.
#include "snipewalk/base/command_line.h"
#include "standins/store_service.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>

ABSL_FLAG(std::uint16_t, port, 0, "port on 127.0.0.1; 0 takes a free one");
ABSL_FLAG(std::uint16_t,
          control_port,
          0,
          "port for /standin/ during outages; 0 takes a free one");

int
main(int argc, char** argv)
{
  using namespace snipewalk;
  DescribeProgram("standin-store", "stand-in object store");
  absl::ParseCommandLine(argc, argv);
  event_loop loop;
  standins::store_service service(
    loop, { absl::GetFlag(FLAGS_port), absl::GetFlag(FLAGS_control_port) });
  std::cout << "{\"port\":" << service.Port()
            << ",\"control_port\":" << service.ControlPort() << "}"
            << std::endl;
  loop.Run();
  return 0;
}
