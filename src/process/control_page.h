// The admin page /v1/control: revision, store, fleet and the documents in
// force.
#ifndef SNIPEWALK_PROCESS_CONTROL_PAGE_H_
#define SNIPEWALK_PROCESS_CONTROL_PAGE_H_

#include "snipewalk/process/control_loop.h"

#include <string>

namespace snipewalk {

// JSON object of the status.
std::string
ControlPage(const control_status& aStatus);

} // namespace snipewalk

#endif // SNIPEWALK_PROCESS_CONTROL_PAGE_H_
