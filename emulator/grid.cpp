#include "emulator/grid.h"

#include <algorithm>
#include <cstdio>

namespace nettlestand::fleet {
namespace {

constexpr int kCores = 2;
constexpr std::size_t kTenants = 4;

double capacity(const Cell& cell) { return static_cast<double>(cell.servers) * kCores / cell.work; }

}  // namespace

std::string Cell::name() const {
  char text[96];
  std::snprintf(text, sizeof text, "work %gs aim x%g servers %zu copies %zu load %g", work, aim_part, servers,
                balancers, load);
  return text;
}

std::vector<Cell> grid(double load, std::size_t calls, double per_balancer) {
  std::vector<Cell> out;
  for (const double work : {0.0003, 0.003, 0.03, 0.3, 3.0}) {
    for (const double aim : {3.0, 10.0, 100.0, 1000.0}) {
      for (const std::size_t servers : {1U, 10U, 100U, 1000U}) {
        for (const std::size_t balancers : {1U, 10U, 100U}) {
          Cell cell{work, aim, servers, balancers, load, 0, 0};
          const double rate = capacity(cell) * load;
          if (rate < 0.3 || rate > 1e5) continue;
          cell.count_from = 1;
          cell.seconds = std::max({4.0, static_cast<double>(calls) / rate, 60 * work,
                                   per_balancer * static_cast<double>(balancers) / rate}) +
                         cell.count_from;
          out.push_back(cell);
        }
      }
    }
  }
  return out;
}

Spec spec_of(const Cell& cell, std::uint64_t seed) {
  Spec out;
  out.servers = cell.servers;
  out.balancers = cell.balancers;
  out.cores = kCores;
  out.work = cell.work;
  out.aim = cell.work * cell.aim_part;
  out.give_up = 2 * out.aim;
  const double share = capacity(cell) / kTenants;
  for (std::size_t i = 0; i < kTenants; ++i) {
    // Above capacity, well-behaved tenants use nine tenths of their share; the first tenant floods.
    const double within = cell.load > 1 ? 0.9 : cell.load;
    const double flood = cell.load * kTenants - 0.9 * (kTenants - 1);
    out.tenants.push_back({share, share * (cell.load > 1 && i == 0 ? flood : within)});
  }
  out.seconds = cell.seconds;
  out.count_from = cell.count_from;
  out.seed = seed;
  return out;
}

Judgement judge(const Cell& cell, const Result& result) {
  Judgement out;
  out.served = result.all.served_part();
  out.of_capacity =
      static_cast<double>(result.all.in_aim) / ((cell.seconds - cell.count_from) * capacity(cell));
  for (std::size_t i = cell.load > 1 ? 1 : 0; i < result.tenants.size(); ++i) {
    const Counts& t = result.tenants[i];
    if (t.asked > 0) {
      out.worst_tenant =
          std::min(out.worst_tenant, static_cast<double>(t.in_aim) / static_cast<double>(t.asked));
    }
  }
  return out;
}

}  // namespace nettlestand::fleet
