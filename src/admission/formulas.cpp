#include <algorithm>

#include "quinceusher/balancer.h"

namespace quinceusher {

double suppression_factor(double rate_limit, double window_rate, double last_second_rate) {
  const double perceived = std::max(window_rate, last_second_rate);
  return perceived <= 0 ? 0 : std::clamp(1 - rate_limit / perceived, 0.0, 1.0);
}

// Evenly spaced starts on a ring: the numbers of balancers that use any two servers differ by at most one.
std::vector<std::size_t> subset_of(std::size_t copy_index, std::size_t copy_count, std::size_t servers,
                                   std::size_t size) {
  std::vector<std::size_t> out;
  if (servers == 0 || copy_count == 0) return out;
  const std::size_t start = copy_index * servers / copy_count;
  for (std::size_t i = 0; i < std::min(size, servers); ++i) out.push_back((start + i) % servers);
  return out;
}

}  // namespace quinceusher
