// Cells of the grid that miss the common minimums, each with its own, a little below what it reaches. At part
// load that is the fraction served; past capacity the fraction of capacity served within the aim, and the
// fraction of its requests that the worst tenant within its share gets within its aim.
#pragma once

#include <map>
#include <string>

namespace nettlestand::fleet {

struct Minimums {
  double served = 0.995, of_capacity = 0.9, tenant = 0.9;
};

inline std::map<std::string, Minimums> minimums_at_half_load() {
  return {
      {"work 0.0003s aim x3 servers 1 copies 1 load 0.5", {0.97, 0.47, 0.97}},
      {"work 0.003s aim x3 servers 1 copies 1 load 0.5", {0.97, 0.49, 0.97}},
      {"work 0.03s aim x3 servers 1 copies 1 load 0.5", {0.97, 0.48, 0.97}},
      {"work 0.3s aim x3 servers 1 copies 1 load 0.5", {0.97, 0.47, 0.96}},
      {"work 0.3s aim x3 servers 1 copies 10 load 0.5", {0.97, 0.47, 0.97}},
      {"work 3s aim x3 servers 1 copies 1 load 0.5", {0.96, 0.46, 0.96}},
      {"work 3s aim x3 servers 1 copies 10 load 0.5", {0.97, 0.47, 0.97}},
      {"work 3s aim x3 servers 1 copies 100 load 0.5", {0.97, 0.45, 0.97}},
      {"work 3s aim x3 servers 10 copies 100 load 0.5", {0.97, 0.48, 0.97}},
  };
}

inline std::map<std::string, Minimums> minimums_past_capacity() {
  return {
      {"work 0.0003s aim x3 servers 1 copies 1 load 1.5", {0.56, 0.80, 0.85}},
      {"work 0.0003s aim x3 servers 1 copies 10 load 1.5", {0.57, 0.67, 0.69}},
      {"work 0.0003s aim x3 servers 1 copies 100 load 1.5", {0.54, 0.62, 0.61}},
      {"work 0.0003s aim x3 servers 10 copies 1 load 1.5", {0.63, 0.86, 0.88}},
      {"work 0.0003s aim x3 servers 10 copies 10 load 1.5", {0.57, 0.83, 0.88}},
      {"work 0.0003s aim x3 servers 10 copies 100 load 1.5", {0.54, 0.63, 0.66}},
      {"work 0.0003s aim x10 servers 1 copies 100 load 1.5", {0.62, 0.76, 0.74}},
      {"work 0.003s aim x3 servers 1 copies 1 load 1.5", {0.56, 0.82, 0.84}},
      {"work 0.003s aim x3 servers 1 copies 10 load 1.5", {0.58, 0.69, 0.69}},
      {"work 0.003s aim x3 servers 1 copies 100 load 1.5", {0.46, 0.58, 0.46}},
      {"work 0.003s aim x3 servers 10 copies 1 load 1.5", {0.63, 0.86, 0.87}},
      {"work 0.003s aim x3 servers 10 copies 10 load 1.5", {0.58, 0.83, 0.88}},
      {"work 0.003s aim x3 servers 10 copies 100 load 1.5", {0.55, 0.64, 0.66}},
      {"work 0.003s aim x3 servers 100 copies 1 load 1.5", {0.62, 0.73, 0.76}},
      {"work 0.003s aim x3 servers 100 copies 10 load 1.5", {0.64, 0.88, 0.88}},
      {"work 0.003s aim x3 servers 100 copies 100 load 1.5", {0.58, 0.83, 0.87}},
      {"work 0.003s aim x10 servers 1 copies 100 load 1.5", {0.63, 0.76, 0.63}},
      {"work 0.003s aim x100 servers 1 copies 100 load 1.5", {0.66, 0.97, 0.86}},
      {"work 0.03s aim x3 servers 1 copies 1 load 1.5", {0.57, 0.81, 0.82}},
      {"work 0.03s aim x3 servers 1 copies 10 load 1.5", {0.62, 0.71, 0.65}},
      {"work 0.03s aim x3 servers 1 copies 100 load 1.5", {0.27, 0.33, 0.28}},
      {"work 0.03s aim x3 servers 10 copies 1 load 1.5", {0.64, 0.82, 0.83}},
      {"work 0.03s aim x3 servers 10 copies 10 load 1.5", {0.60, 0.79, 0.78}},
      {"work 0.03s aim x3 servers 10 copies 100 load 1.5", {0.48, 0.58, 0.53}},
      {"work 0.03s aim x3 servers 100 copies 1 load 1.5", {0.64, 0.84, 0.84}},
      {"work 0.03s aim x3 servers 100 copies 10 load 1.5", {0.64, 0.85, 0.85}},
      {"work 0.03s aim x3 servers 100 copies 100 load 1.5", {0.60, 0.80, 0.81}},
      {"work 0.03s aim x3 servers 1000 copies 1 load 1.5", {0.64, 0.84, 0.84}},
      {"work 0.03s aim x3 servers 1000 copies 10 load 1.5", {0.64, 0.83, 0.83}},
      {"work 0.03s aim x3 servers 1000 copies 100 load 1.5", {0.64, 0.86, 0.86}},
      {"work 0.03s aim x10 servers 1 copies 10 load 1.5", {0.65, 0.96, 0.85}},
      {"work 0.03s aim x10 servers 1 copies 100 load 1.5", {0.63, 0.66, 0.55}},
      {"work 0.03s aim x10 servers 10 copies 100 load 1.5", {0.61, 0.87, 0.80}},
      {"work 0.03s aim x100 servers 1 copies 10 load 1.5", {0.67, 1.00, 0.86}},
      {"work 0.03s aim x100 servers 1 copies 100 load 1.5", {0.68, 0.98, 0.83}},
      {"work 0.3s aim x3 servers 1 copies 1 load 1.5", {0.61, 0.86, 0.79}},
      {"work 0.3s aim x3 servers 1 copies 10 load 1.5", {0.59, 0.66, 0.55}},
      {"work 0.3s aim x3 servers 1 copies 100 load 1.5", {0.25, 0.31, 0.26}},
      {"work 0.3s aim x3 servers 10 copies 1 load 1.5", {0.64, 0.84, 0.81}},
      {"work 0.3s aim x3 servers 10 copies 10 load 1.5", {0.61, 0.78, 0.70}},
      {"work 0.3s aim x3 servers 10 copies 100 load 1.5", {0.52, 0.53, 0.48}},
      {"work 0.3s aim x3 servers 100 copies 1 load 1.5", {0.64, 0.82, 0.81}},
      {"work 0.3s aim x3 servers 100 copies 10 load 1.5", {0.64, 0.81, 0.77}},
      {"work 0.3s aim x3 servers 100 copies 100 load 1.5", {0.62, 0.79, 0.72}},
      {"work 0.3s aim x3 servers 1000 copies 1 load 1.5", {0.65, 0.86, 0.86}},
      {"work 0.3s aim x3 servers 1000 copies 10 load 1.5", {0.65, 0.81, 0.81}},
      {"work 0.3s aim x3 servers 1000 copies 100 load 1.5", {0.65, 0.84, 0.83}},
      {"work 0.3s aim x10 servers 1 copies 1 load 1.5", {0.66, 0.98, 0.86}},
      {"work 0.3s aim x10 servers 1 copies 10 load 1.5", {0.64, 0.96, 0.81}},
      {"work 0.3s aim x10 servers 1 copies 100 load 1.5", {0.64, 0.59, 0.48}},
      {"work 0.3s aim x10 servers 10 copies 100 load 1.5", {0.66, 0.93, 0.82}},
      {"work 0.3s aim x100 servers 1 copies 10 load 1.5", {0.68, 1.01, 0.86}},
      {"work 0.3s aim x100 servers 1 copies 100 load 1.5", {0.69, 1.00, 0.82}},
      {"work 3s aim x3 servers 1 copies 1 load 1.5", {0.62, 0.86, 0.76}},
      {"work 3s aim x3 servers 1 copies 10 load 1.5", {0.61, 0.65, 0.55}},
      {"work 3s aim x3 servers 1 copies 100 load 1.5", {0.35, 0.41, 0.22}},
      {"work 3s aim x3 servers 10 copies 1 load 1.5", {0.67, 0.78, 0.71}},
      {"work 3s aim x3 servers 10 copies 10 load 1.5", {0.63, 0.78, 0.69}},
      {"work 3s aim x3 servers 10 copies 100 load 1.5", {0.53, 0.57, 0.50}},
      {"work 3s aim x3 servers 100 copies 1 load 1.5", {0.66, 0.88, 0.86}},
      {"work 3s aim x3 servers 100 copies 10 load 1.5", {0.66, 0.75, 0.65}},
      {"work 3s aim x3 servers 100 copies 100 load 1.5", {0.64, 0.81, 0.73}},
      {"work 3s aim x3 servers 1000 copies 10 load 1.5", {0.65, 0.85, 0.83}},
      {"work 3s aim x3 servers 1000 copies 100 load 1.5", {0.66, 0.75, 0.66}},
      {"work 3s aim x10 servers 1 copies 1 load 1.5", {0.67, 0.99, 0.87}},
      {"work 3s aim x10 servers 1 copies 10 load 1.5", {0.66, 0.97, 0.81}},
      {"work 3s aim x10 servers 1 copies 100 load 1.5", {0.65, 0.82, 0.61}},
      {"work 3s aim x10 servers 10 copies 10 load 1.5", {0.69, 1.03, 0.88}},
      {"work 3s aim x10 servers 10 copies 100 load 1.5", {0.65, 0.92, 0.80}},
      {"work 3s aim x100 servers 1 copies 1 load 1.5", {0.69, 1.01, 0.87}},
      {"work 3s aim x100 servers 1 copies 10 load 1.5", {0.68, 1.02, 0.84}},
      {"work 3s aim x100 servers 1 copies 100 load 1.5", {0.70, 1.01, 0.78}},
  };
}

}  // namespace nettlestand::fleet
