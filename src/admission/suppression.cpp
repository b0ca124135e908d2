#include <algorithm>

#include "quinceusher/balancer.h"

namespace quinceusher {

double suppression_factor(double rate_limit, double window_rate, double last_second_rate) {
  const double perceived = std::max(window_rate, last_second_rate);
  return perceived <= 0 ? 0 : std::clamp(1 - rate_limit / perceived, 0.0, 1.0);
}

}  // namespace quinceusher
