// Deadlines of answers that arrive slowly. Before its first byte an attempt is judged by the usual latency,
// after it by its progress, as a large answer is not a late one.
#pragma once

#include <algorithm>

#include "quinceusher/balancer.h"

namespace quinceusher {

constexpr double kMaxQuiet = 0.25;  // fraction of the remaining time: a longer pause means a stalled answer
constexpr double kRecheck = 0.125;  // fraction of the remaining time: interval between checks of an answer
constexpr double kMinBytesPerSecond = 1000;  // bytes/s: slower answers of unknown length are given up
constexpr double kMaxLateness = 1.5;         // x the remaining time: slower answers are dropped for a retry
constexpr double kMaxLatenessNoRetry = 4;  // x the remaining time: limit for an answer that can't be retried

// Seconds until the next check of an answer; 0: give it up. `remaining`: how long it is useful;
// `first_byte_limit`: how long the first byte of such an answer may take. Where the request can't be
// repeated, giving up helps nobody, so only what is far too slow ends early.
inline double extension_for(const AnswerProgress& a, double remaining, double first_byte_limit,
                            bool can_repeat) {
  if (remaining <= 0) return 0;
  // Without a possible retry, giving up early would refuse what would have been answered.
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
