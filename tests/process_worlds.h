// Common setup for tests with worlds of processes.
#pragma once

#include <cstdlib>
#include <string>

#include "standins/world/world.h"

namespace nettlestand::standins {

// Nodes of this build (or of NETTLESTAND_NODE), and servers with a mean service time of 4 ms and four cores;
// zones a, b, ... of which the first two are in one region.
inline WorldSettings small_world(std::size_t nodes, std::size_t servers, std::size_t zones = 1) {
  WorldSettings out;
  const char* other = std::getenv("NETTLESTAND_NODE");
  out.binary = other != nullptr ? other : NODE;
  out.nodes = nodes;
  out.servers = servers;
  out.zones.clear();
  for (std::size_t i = 0; i < zones; ++i) {
    out.zones.push_back({std::string(1, static_cast<char>('a' + i)), i < 2 ? "west" : "east", 1});
  }
  out.server.cores = 4;
  out.server.service_time = 0.004;
  out.server.exponential = true;
  out.node.tenants = {{"acme", 100000}};
  return out;
}

// Expects a run without violations. Skips the test if all tries of the run were invalid.
#define EXPECT_VALID_RUN_PASSES(run)                                                           \
  do {                                                                                         \
    bool is_invalid = false;                                                                   \
    const std::string found = run;                                                             \
    if (is_invalid) GTEST_SKIP() << "void three times: the machine is too busy for a verdict"; \
    EXPECT_EQ(found, "");                                                                      \
  } while (false)

}  // namespace nettlestand::standins
