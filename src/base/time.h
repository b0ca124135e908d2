// Time in the serving tier: milliseconds of the steady clock, handed to all deciding code as a number.
#pragma once

#include <chrono>
#include <cstdint>

namespace nettlestand::tier {

using Millis = std::int64_t;

// How far tests have moved this process's clock on, so that none of them has to wait.
inline Millis clock_shift = 0;

inline Millis steady_now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
             .count() +
         clock_shift;
}

}  // namespace nettlestand::tier
