// How long an answer that is arriving may go on. Before its first byte an attempt is judged by the usual
// answer time; from then on by its progress, for an answer that is large is not one that is late.
#pragma once

#include <algorithm>

#include "quinceusher/balancer.h"

namespace quinceusher {

constexpr double kMaxQuiet = 0.25;           // of the time left; an answer that pauses for longer has stopped
constexpr double kRecheck = 0.125;           // of the time left until it is looked at again
constexpr double kMinBytesPerSecond = 1000;  // bytes/s of an answer whose length is not told
constexpr double kMaxLateness = 1.5;  // x the time left; what would take longer is given up for another try
constexpr double kMaxLatenessNoRetry = 4;  // and this much where there can be none

// Seconds until an answer is to be looked at again; 0: it is given up. `left` is how long it is of use,
// `patience` how long the first byte of one like it may take. Where the request can't be sent again giving up
// serves nobody, so there only what can't arrive by far ends early.
inline double extension_for(const AnswerProgress& a, double remaining, double first_byte_limit,
                            bool can_repeat) {
  if (remaining <= 0) return 0;
  // Danger: where there can be no other try, giving up early refuses what would have been answered.
  if (a.arriving < 0) return can_repeat ? 0 : remaining;
  const double max_quiet = std::max(first_byte_limit, kMaxQuiet * remaining);
  if (can_repeat && a.quiet > max_quiet) return 0;
  if (a.arriving >= max_quiet) {
    const double rate = a.received / a.arriving;
    const double max_time = (can_repeat ? kMaxLateness : kMaxLatenessNoRetry) * remaining;
    if (a.expected > 0 && a.expected - a.received > rate * max_time) return 0;
    if (a.expected <= 0 && can_repeat && rate < kMinBytesPerSecond) return 0;
  }
  return std::min(remaining, std::max(first_byte_limit, kRecheck * remaining));
}

}  // namespace quinceusher
