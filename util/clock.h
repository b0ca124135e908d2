// The steady clock in seconds, the unit of the balancer library.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace nettlestand {

// Seconds on the steady clock.
inline double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// Converts a time on that clock, or a duration, to the types that timers take. A negative duration becomes 0.
inline std::chrono::steady_clock::time_point to_time_point(double seconds) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<double>(seconds)));
}
inline std::chrono::nanoseconds to_duration(double seconds) {
  return std::chrono::nanoseconds(static_cast<std::int64_t>(std::max(0.0, seconds) * 1e9));
}

}  // namespace nettlestand
