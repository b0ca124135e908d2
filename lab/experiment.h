// An experiment: a fleet, its traffic, its faults, and the variants to compare. Parses the TOML format
// described in docs/operate/lab.md; performs no I/O.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "standins/world/script.h"

namespace nettlestand::lab {

// The complete settings of one variant. Times are in seconds.
struct Setup {
  std::string variant = "as it is";
  double seconds = 10, count_from = 1;  // length of the run; requests before count_from are not counted
  std::size_t nodes = 3, servers = 6;
  int cores = 2;                                  // per server
  double service_time = 0.01;                     // mean, on one core
  std::string work_distribution = "exponential";  // or uniform, fixed
  std::vector<std::string> zones = {"a"};
  double cross_zone_delay = 0;
  double load = 0.5;  // as a fraction of capacity()
  double latency_target = 0.5, deadline = 1;
  std::string effect = "safe";  // or unsafe
  int tries = 1;                // by the client, including the first
  double mean_retry_delay = 0.2;
  double traffic_skew = 0;  // standard deviation of the log of traffic per node; emulator only
  int tenants = 1;
  std::vector<std::pair<double, double>> steps;  // start, load factor; emulator only
  double start_capacity = 1, ramp_time = 0;
  int max_attempts = 4;
  // Delay from a node's death until the others divide limits by the number of live nodes. Negative:
  // membership is off and they divide by the number configured at start. On processes membership detects the
  // death itself, so only the sign matters.
  double membership_delay = -1;
  std::string fault_script;  // the format is in standins/SCRIPT.md

  // Calls per second that all servers together can serve.
  double capacity() const { return static_cast<double>(servers) * cores / service_time; }
  // The members by the names and in the order of a ProcessWorld.
  std::vector<standins::Member> members() const;
  std::vector<standins::WorldFault> faults() const {
    return standins::parse_world_script(fault_script, members());
  }
  // Start of the first fault and end of the last; {0, 0} without faults.
  std::pair<double, double> fault_window() const;
};

struct Experiment {
  std::string name, about;
  std::vector<std::uint64_t> seeds;
  std::vector<Setup> variants;  // at least one
};

// An invalid experiment; the message has the line and column where they are known.
struct BadExperiment : std::runtime_error {
  using std::runtime_error::runtime_error;
};
// Parses and validates an experiment. Throws BadExperiment.
Experiment read_experiment(std::string_view toml);

}  // namespace nettlestand::lab
