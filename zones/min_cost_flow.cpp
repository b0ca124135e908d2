#include "zones/min_cost_flow.h"

#include <algorithm>
#include <deque>
#include <limits>

namespace nettlestand::zones {

std::size_t MinCostFlow::add_edge(std::size_t from, std::size_t to, std::int64_t capacity,
                                  std::int64_t cost) {
  const std::size_t edge_index = edges_.size();
  edges_.push_back({to, capacity, cost});
  edges_.push_back({from, 0, -cost});
  edges_of_[from].push_back(edge_index);
  edges_of_[to].push_back(edge_index + 1);
  return edge_index;
}

// By successive shortest paths (Ahuja, Magnanti and Orlin, Network Flows, 9.7): the flow so far is always the
// cheapest of its size. Each path is found by the Bellman-Ford method, as reverse edges have negative costs.
void MinCostFlow::solve(std::size_t from, std::size_t to) {
  constexpr std::int64_t kInfinite = std::numeric_limits<std::int64_t>::max();
  while (true) {
    std::vector<std::int64_t> cost(edges_of_.size(), kInfinite);
    std::vector<std::size_t> via(edges_of_.size());
    std::vector<bool> queued(edges_of_.size());
    std::deque<std::size_t> queue = {from};
    cost[from] = 0;
    while (!queue.empty()) {
      const std::size_t at = queue.front();
      queue.pop_front();
      queued[at] = false;
      for (const std::size_t e : edges_of_[at]) {
        const Edge& edge = edges_[e];
        if (edge.capacity == 0 || cost[at] + edge.cost >= cost[edge.to]) continue;
        cost[edge.to] = cost[at] + edge.cost;
        via[edge.to] = e;
        if (!queued[edge.to]) queue.push_back(edge.to);
        queued[edge.to] = true;
      }
    }
    if (cost[to] == kInfinite) return;
    std::int64_t amount = kInfinite;
    for (std::size_t at = to; at != from; at = edges_[via[at] ^ 1].to)
      amount = std::min(amount, edges_[via[at]].capacity);
    for (std::size_t at = to; at != from; at = edges_[via[at] ^ 1].to) {
      edges_[via[at]].capacity -= amount;
      edges_[via[at] ^ 1].capacity += amount;
    }
  }
}

}  // namespace nettlestand::zones
