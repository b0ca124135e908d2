// The cheapest largest flow through a small network, in whole units.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace nettlestand::zones {

class MinCostFlow {
 public:
  explicit MinCostFlow(std::size_t nodes) : edges_of_(nodes) {}

  // A way for up to `room` units at `cost` each; both at least 0. Returns its number.
  std::size_t add_edge(std::size_t from, std::size_t to, std::int64_t capacity, std::int64_t cost);
  // Sends as much as can be sent from one node to the other, as cheaply as that much can be; once.
  void solve(std::size_t from, std::size_t to);
  // What goes over a way.
  std::int64_t flow_on(std::size_t edge_index) const { return edges_[edge_index + 1].capacity; }

 private:
  struct Edge {
    std::size_t to;
    std::int64_t capacity, cost;
  };
  std::vector<Edge> edges_;                         // each way, and behind it the way back
  std::vector<std::vector<std::size_t>> edges_of_;  // by node
};

}  // namespace nettlestand::zones
