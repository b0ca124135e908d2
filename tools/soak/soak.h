// A soak test: real processes of the program on loopback, clients that keep their connections until the
// process closes them, and overlapping series of signals, restarts and configuration changes. The seed
// determines the faults and the requests, but not how the operating system schedules the processes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "soak/fault_injector.h"
#include "soak/oracle.h"

namespace nettlestand::tier::soak {

// `core` and `edges`: edge nodes with and without the control state. `engines`: model servers.
struct SoakOptions {
  std::string program;
  std::uint64_t seed = 1;
  int seconds = 30;  // duration of the faults
  std::size_t core = 3, edges = 2, stores = 3, engines = 4, clients = 12, job_clients = 3;
};

// `runs`: number of requests that the servers received.
struct SoakReport {
  std::vector<std::string> violations;
  std::map<std::string, std::size_t> violation_counts;
  Oracle::Totals totals;
  std::size_t signals = 0, changes = 0, runs = 0;
};

// Even seeds inject only planned operations, odd seeds all kinds of faults.
Profile profile_of(std::uint64_t seed);
// Runs a soak test. The logs of the processes are kept if a guarantee was violated.
SoakReport run_soak(const SoakOptions& options);

}  // namespace nettlestand::tier::soak
