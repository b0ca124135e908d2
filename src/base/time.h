// Time in the serving tier: milliseconds of the steady clock, handed to all deciding code as a number.
#pragma once

#include <chrono>
#include <cstdint>

namespace nettlestand::tier {

using Millis = std::int64_t;

inline Millis steady_now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace nettlestand::tier
