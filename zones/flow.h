// The cheapest largest flow through a small network, in whole units.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace nettlestand::zones {

class Flow {
 public:
  explicit Flow(std::size_t nodes) : out_(nodes) {}

  // A way for up to `room` units at `cost` each; both at least 0. Returns its number.
  std::size_t add(std::size_t from, std::size_t to, std::int64_t room, std::int64_t cost);
  // Sends as much as can be sent from one node to the other, as cheaply as that much can be; once.
  void run(std::size_t from, std::size_t to);
  // What goes over a way.
  std::int64_t over(std::size_t way) const { return edges_[way + 1].room; }

 private:
  struct Edge {
    std::size_t to;
    std::int64_t room, cost;
  };
  std::vector<Edge> edges_;                    // each way, and behind it the way back
  std::vector<std::vector<std::size_t>> out_;  // by node
};

}  // namespace nettlestand::zones
