// Program: a stand-in for one backend server of a database group.
#include "snipewalk/base/command_line.h"
#include "standins/backend_service.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>

ABSL_FLAG(std::string, name, "server", "name of the server");
ABSL_FLAG(std::uint16_t, port, 0, "port on 127.0.0.1; 0 takes a free one");
ABSL_FLAG(std::uint32_t,
          max_connections,
          20,
          "connections of callers; excess ones are closed");
ABSL_FLAG(std::uint32_t,
          set_up_delay_ms,
          10,
          "time that a new connection takes to be usable");
ABSL_FLAG(std::uint32_t, apply_lag_ms, 0, "lag of reads on a replica");

int
main(int argc, char** argv)
{
  using namespace snipewalk;
  DescribeProgram("standin-backend", "stand-in backend server");
  absl::ParseCommandLine(argc, argv);
  event_loop loop;
  standins::backend_options options;
  options.mName = absl::GetFlag(FLAGS_name);
  options.mPort = absl::GetFlag(FLAGS_port);
  options.mMaxConnections = absl::GetFlag(FLAGS_max_connections);
  options.mSetUpDelay = milliseconds(absl::GetFlag(FLAGS_set_up_delay_ms));
  standins::backend_service service(loop, options);
  standins::server_faults faults;
  faults.mApplyLag = milliseconds(absl::GetFlag(FLAGS_apply_lag_ms));
  service.Server().SetFaults(faults);
  std::cout << "{\"name\":\"" << options.mName
            << "\",\"port\":" << service.Port() << "}" << std::endl;
  loop.Run();
  return 0;
}
