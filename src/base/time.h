// Time in the serving tier: milliseconds of the steady clock. Code without I/O receives the current time as
// an argument instead of reading the clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace nettlestand::tier {

using Millis = std::int64_t;

// Offset added to the clock of this process. Tests increase it instead of waiting.
inline Millis clock_shift = 0;

inline Millis steady_now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
             .count() +
         clock_shift;
}

}  // namespace nettlestand::tier
