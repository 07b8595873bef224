// A routing snapshot read from a file instead of the platform's store. Serves
// benchmarks of the statement path without a control thread.
#ifndef SNIPEWALK_PROCESS_STATIC_TOPOLOGY_H_
#define SNIPEWALK_PROCESS_STATIC_TOPOLOGY_H_

#include "snipewalk/base/findings.h"
#include "snipewalk/version/service_view.h"

#include <memory>
#include <string>

namespace snipewalk {

// JSON with comments:
//   {"members":[{"name","data_centre","region","peer_address"}],
//    "services":[{"document":{..},"term":1,"primary":"s0","holders":["i0"]}],
//    "session_keys":[{"id","secret"}]}
// The servers of a document are its voters. Null after adding a finding.
std::shared_ptr<const routing_snapshot>
ParseStaticTopology(const std::string& aText,
                    const std::string& aSource,
                    const std::string& aInstance,
                    findings& aFindings);

} // namespace snipewalk

#endif // SNIPEWALK_PROCESS_STATIC_TOPOLOGY_H_
