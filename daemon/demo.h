// `nettlestand demo`: a node, three stand-in servers and callers on loopback, with a server killed, drained
// and cold- started on the way, and the four rules held against what everybody saw.
#pragma once

#include <string>

namespace nettlestand {

// `binary`: this program, which it starts as the node. Prints to standard output. The exit code: 0 where
// every rule was kept, 1 where one was broken or the node did not start.
int run_demo(const std::string& binary, double seconds);

}  // namespace nettlestand
