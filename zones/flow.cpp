#include "zones/flow.h"

#include <algorithm>
#include <deque>
#include <limits>

namespace nettlestand::zones {

std::size_t Flow::add(std::size_t from, std::size_t to, std::int64_t room, std::int64_t cost) {
  const std::size_t way = edges_.size();
  edges_.push_back({to, room, cost});
  edges_.push_back({from, 0, -cost});
  out_[from].push_back(way);
  out_[to].push_back(way + 1);
  return way;
}

// By successive shortest paths (Ahuja, Magnanti and Orlin, Network Flows, 9.7): what is sent so far is always
// the cheapest of its size. Each path is found anew by Bellman and Ford's method, as ways back cost less than
// nothing.
void Flow::run(std::size_t from, std::size_t to) {
  constexpr std::int64_t kFar = std::numeric_limits<std::int64_t>::max();
  while (true) {
    std::vector<std::int64_t> cost(out_.size(), kFar);
    std::vector<std::size_t> by(out_.size());
    std::vector<bool> waits(out_.size());
    std::deque<std::size_t> queue = {from};
    cost[from] = 0;
    while (!queue.empty()) {
      const std::size_t at = queue.front();
      queue.pop_front();
      waits[at] = false;
      for (const std::size_t e : out_[at]) {
        const Edge& edge = edges_[e];
        if (edge.room == 0 || cost[at] + edge.cost >= cost[edge.to]) continue;
        cost[edge.to] = cost[at] + edge.cost;
        by[edge.to] = e;
        if (!waits[edge.to]) queue.push_back(edge.to);
        waits[edge.to] = true;
      }
    }
    if (cost[to] == kFar) return;
    std::int64_t most = kFar;
    for (std::size_t at = to; at != from; at = edges_[by[at] ^ 1].to)
      most = std::min(most, edges_[by[at]].room);
    for (std::size_t at = to; at != from; at = edges_[by[at] ^ 1].to) {
      edges_[by[at]].room -= most;
      edges_[by[at] ^ 1].room += most;
    }
  }
}

}  // namespace nettlestand::zones
