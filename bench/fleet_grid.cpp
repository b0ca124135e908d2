// Runs the cells of the grid and prints a line per cell, marked with SHORT if the cell misses its target;
// with --quiet only those.
//   fleet_grid [--load L] [--calls N] [--per-copy N] [--seed N] [--policy module|plain|bounded] [--bound N]
//              [--only TEXT] [--threads N] [--fixed | --uniform] [--even] [--quiet]
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <thread>
#include <vector>

#include "emulator/grid.h"

namespace fleet = nettlestand::fleet;

int main(int argc, char** argv) {
  double load = 0.5, per_copy = 100;
  std::size_t calls = 20000, threads = 4;
  std::uint64_t seed = 1;
  std::string only, policy = "module";
  int bound = 4;
  bool quiet = false, even = false;
  fleet::WorkDraw work_draw = fleet::WorkDraw::kExponential;
  for (int i = 1; i < argc; ++i) {
    const std::string name = argv[i];
    const char* value = i + 1 < argc ? argv[i + 1] : "";
    if (name == "--fixed") {
      work_draw = fleet::WorkDraw::kFixed;
      continue;
    }
    if (name == "--uniform") {
      work_draw = fleet::WorkDraw::kUniform;
      continue;
    }
    if (name == "--quiet") {
      quiet = true;
      continue;
    }
    if (name == "--even") {
      even = true;
      continue;
    }
    ++i;
    if (name == "--load") {
      load = std::atof(value);
    } else if (name == "--calls") {
      calls = std::strtoul(value, nullptr, 10);
    } else if (name == "--per-copy") {
      per_copy = std::atof(value);
    } else if (name == "--seed") {
      seed = std::strtoull(value, nullptr, 10);
    } else if (name == "--only") {
      only = value;
    } else if (name == "--policy") {
      policy = value;
    } else if (name == "--bound") {
      bound = std::atoi(value);
    } else if (name == "--threads") {
      threads = std::strtoul(value, nullptr, 10);
    } else {
      std::fprintf(stderr, "fleet_grid: unknown option %s\n", name.c_str());
      return 2;
    }
  }
  std::vector<fleet::Cell> cells;
  for (const fleet::Cell& cell : fleet::grid(load, calls, per_copy)) {
    if (cell.name().find(only) != std::string::npos) cells.push_back(cell);
  }
  std::vector<fleet::Judgement> judgements(cells.size());
  std::vector<fleet::Result> results(cells.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> workers;
  for (std::size_t t = 0; t < threads; ++t) {
    workers.emplace_back([&] {
      for (std::size_t i; (i = next++) < cells.size();) {
        fleet::Spec spec = fleet::spec_of(cells[i], seed);
        spec.draw = work_draw;
        if (even) {
          for (fleet::Tenant& tenant : spec.tenants) tenant.offered = tenant.allowance * load;
        }
        spec.policy = policy == "plain"     ? fleet::Policy::kLeastBusy
                      : policy == "bounded" ? fleet::Policy::kBounded
                                            : fleet::Policy::kModule;
        spec.bound = bound;
        results[i] = fleet::play(spec);
        judgements[i] = fleet::judge(cells[i], results[i]);
      }
    });
  }
  for (std::thread& worker : workers) worker.join();
  std::size_t short_cells = 0;
  double sum = 0;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    const fleet::Judgement& j = judgements[i];
    const fleet::Counts& c = results[i].all;
    const bool falls_short = load <= 1 ? j.served < 0.995 : j.of_capacity < 0.9 || j.worst_tenant < 0.9;
    short_cells += falls_short ? 1 : 0;
    sum += load <= 1 ? j.served : j.of_capacity;
    if (quiet && !falls_short) continue;
    std::printf("%s %-62s served %.4f of capacity %.3f tenant %.3f asked %llu refused %llu failed %llu\n",
                falls_short ? "SHORT" : "ok   ", cells[i].name().c_str(), j.served, j.of_capacity,
                j.worst_tenant, static_cast<unsigned long long>(c.asked),
                static_cast<unsigned long long>(c.refused), static_cast<unsigned long long>(c.failed));
  }
  std::printf("%zu cells, %zu fall short, mean %.4f\n", cells.size(), short_cells,
              sum / static_cast<double>(cells.size()));
  return 0;
}
