// The parameter grid on which the limits are judged: service times, latency targets (aims), numbers of
// servers and balancers, and load, over several orders of magnitude.
#pragma once

#include <string>
#include <vector>

#include "emulator/fleet.h"

namespace nettlestand::fleet {

struct Cell {
  double work = 0;      // s
  double aim_part = 0;  // the latency target as a multiple of the work
  std::size_t servers = 0, balancers = 0;
  double load = 0;  // of capacity
  double seconds = 0, count_from = 0;
  std::string name() const;
};

// The cells whose rate lies within 1 to 100,000 requests a second. `calls` is the number of requests to
// simulate; each cell lasts at least 4 s and at least `per_balancer` requests per balancer.
std::vector<Cell> grid(double load, std::size_t calls, double per_balancer);

// Four tenants share the capacity evenly; above capacity the first one sends all of the excess.
Spec spec_of(const Cell& cell, std::uint64_t seed);

// The figures by which a cell is judged: below capacity the served fraction, above capacity the goodput
// within the latency target as a fraction of capacity, and the lowest fraction of its requests that a tenant
// within its share gets served within the target.
struct Judgement {
  double served = 0, of_capacity = 0, worst_tenant = 1;
};
Judgement judge(const Cell& cell, const Result& result);

}  // namespace nettlestand::fleet
