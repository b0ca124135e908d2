// `nettlestand demo`: runs a node, three test servers and a load generator on loopback. Servers are killed,
// drained and cold-started on the way, and the four rules (no request lost, no effect
// twice, drains obeyed, no cold server overloaded) are checked on what all of them recorded.
#pragma once

#include <string>

namespace nettlestand {

// Prints the run to standard output. `binary` is this program, which is started as the node. Returns the exit
// code: 0 if no rule was broken, 1 if one was or the node did not start.
int run_demo(const std::string& binary, double seconds);

}  // namespace nettlestand
