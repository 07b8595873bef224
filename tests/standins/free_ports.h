// Ports for the processes of tests that run side by side.
#ifndef SNIPEWALK_TESTS_STANDINS_FREE_PORTS_H_
#define SNIPEWALK_TESTS_STANDINS_FREE_PORTS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace snipewalk::standins {

// Ports of 127.0.0.1 that were free for TCP and UDP a moment ago, all
// different; fewer when not as many are free. No other test process gets them
// while this one runs.
std::vector<std::uint16_t>
FreePorts(std::size_t aCount);

} // namespace snipewalk::standins

#endif // SNIPEWALK_TESTS_STANDINS_FREE_PORTS_H_
