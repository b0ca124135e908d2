// The steady clock in seconds, as the decision module speaks it.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace nettlestand {

inline double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// A time on that clock, and a duration, as timers take them.
inline std::chrono::steady_clock::time_point to_time_point(double seconds) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<double>(seconds)));
}
inline std::chrono::nanoseconds to_duration(double seconds) {
  return std::chrono::nanoseconds(static_cast<std::int64_t>(std::max(0.0, seconds) * 1e9));
}

}  // namespace nettlestand
