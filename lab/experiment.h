// An experiment: a fleet, its traffic, what happens to it, and the variants to hold against each other.
// Written in TOML (docs/operate/lab.md). Text in, an experiment or what is wrong out; no I/O.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "standins/world/script.h"

namespace nettlestand::lab {

// One variant of an experiment, in full. Times in s.
struct Setup {
  std::string variant = "as it is";
  double seconds = 10, count_from = 1;  // of calls; from when on they count
  std::size_t nodes = 3, servers = 6;
  int cores = 2;                                  // of a server
  double service_time = 0.01;                     // on one core, in the mean
  std::string work_distribution = "exponential";  // or uniform, fixed
  std::vector<std::string> zones = {"a"};
  double cross_zone_delay = 0;
  double load = 0.5;  // of what all servers together can do
  double latency_target = 0.5, deadline = 1;
  std::string effect = "safe";  // or unsafe
  int tries = 1;                // of a client, with the first
  double mean_retry_delay = 0.2;
  double traffic_skew = 0;  // of the nodes' traffic: the deviation of its logarithm (the emulator alone)
  int tenants = 1;
  std::vector<std::pair<double, double>> steps;  // at, factor of the load (the emulator alone)
  double start_capacity = 1, ramp_time = 0;
  int max_attempts = 4;
  // s from a node's death until the others split by who lives; below 0: by the number they were told at their
  // start. On processes it is membership's to find out, and only whether it is on counts.
  double membership_delay = -1;
  std::string fault_script;  // standins/SCRIPT.md

  // Calls a second that the servers can do.
  double capacity() const { return static_cast<double>(servers) * cores / service_time; }
  // As a world of processes names them, in its order.
  std::vector<standins::Member> members() const;
  std::vector<standins::WorldFault> faults() const {
    return standins::parse_world_script(fault_script, members());
  }
  // From the first fault's beginning to the last one's end; {0, 0} where there is none.
  std::pair<double, double> fault_window() const;
};

struct Experiment {
  std::string name, about;
  std::vector<std::uint64_t> seeds;
  std::vector<Setup> variants;  // at least one
};

// Throws BadExperiment, which says what is wrong and where.
struct BadExperiment : std::runtime_error {
  using std::runtime_error::runtime_error;
};
Experiment read_experiment(std::string_view toml);

}  // namespace nettlestand::lab
