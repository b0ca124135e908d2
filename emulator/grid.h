// The grid on which the limits are judged: answer times, aims, servers, copies and load over decades.
#pragma once

#include <string>
#include <vector>

#include "emulator/fleet.h"

namespace nettlestand::fleet {

struct Cell {
  double work = 0;      // s
  double aim_part = 0;  // the aim as a multiple of the work
  std::size_t servers = 0, copies = 0;
  double load = 0;  // of capacity
  double seconds = 0, count_from = 0;
  std::string name() const;
};

// The cells whose rate lies within 1 to 100,000 requests a second. `calls` is how many requests to play where
// that lasts long enough; each cell lasts 4 s at least, and at least `per_copy` requests a copy.
std::vector<Cell> grid(double load, std::size_t calls, double per_copy);

// Four tenants share the capacity evenly; past capacity the first brings all that is too much.
Spec spec_of(const Cell& cell, std::uint64_t seed);

// What of a cell counts: at part load what is served, past capacity what is served within the aim as a part
// of capacity, and the least that a tenant within its share gets of what it asks for within its aim.
struct Judgement {
  double served = 0, of_capacity = 0, worst_tenant = 1;
};
Judgement judge(const Cell& cell, const Result& result);

}  // namespace nettlestand::fleet
