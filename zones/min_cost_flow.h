// Minimum-cost maximum flow through a small network, in whole units.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace nettlestand::zones {

// A flow network; nodes are numbered from 0.
class MinCostFlow {
 public:
  explicit MinCostFlow(std::size_t nodes) : edges_of_(nodes) {}

  // Adds an edge for up to `capacity` units at `cost` each; both at least 0. Returns its index.
  std::size_t add_edge(std::size_t from, std::size_t to, std::int64_t capacity, std::int64_t cost);
  // Sends as much as possible from one node to the other, at the lowest cost for that amount. Call it once.
  void solve(std::size_t from, std::size_t to);
  // The flow over an edge, by the index that add_edge() returned.
  std::int64_t flow_on(std::size_t edge_index) const { return edges_[edge_index + 1].capacity; }

 private:
  struct Edge {
    std::size_t to;
    std::int64_t capacity, cost;
  };
  std::vector<Edge> edges_;                         // each edge, followed by its reverse edge
  std::vector<std::vector<std::size_t>> edges_of_;  // by node
};

}  // namespace nettlestand::zones
