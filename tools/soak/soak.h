// A soak: real processes of the program on loopback, clients that use open connections until the process is
// gone, and signals, restarts and changes that come in series and overlap. From a seed; what the scheduler of
// the machine does between the processes is not repeated.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "soak/fault_injector.h"
#include "soak/oracle.h"

namespace nettlestand::tier::soak {

struct SoakOptions {
  std::string program;
  std::uint64_t seed = 1;
  int seconds = 30;  // of trouble
  std::size_t core = 3, edges = 2, stores = 3, engines = 4, clients = 12, job_clients = 3;
};

struct SoakReport {
  std::vector<std::string> violations;
  Oracle::Totals totals;
  std::size_t signals = 0, changes = 0, runs = 0;
};

// Even seeds play planned work alone, odd ones all kinds of trouble.
Profile profile_of(std::uint64_t seed);
SoakReport run_soak(const SoakOptions& options);

}  // namespace nettlestand::tier::soak
