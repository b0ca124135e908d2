// A client's rate limit, learned from how its calls end.
#pragma once

#include <algorithm>
#include <limits>

namespace quinceusher {

constexpr double kReviewPeriod = 1;  // s; least time between changes of a limit, a feedback delay
constexpr double kReviewCalls = 5;   // calls; fewer say nothing about a client
constexpr double kBadShare = 0.1;    // of ended calls; above it a limit drops
constexpr double kFineShare = 0.03;  // of ended calls; below it a limit may rise
constexpr double kDrop = 0.75;       // x; one drop of a limit
constexpr double kRise = 0.1;        // of the limit; one rise, for traffic of full worth; less in proportion

struct LearnedLimit {
  double part = 0;  // calls/s within the client's allowance; 0: nobody has told
  double limit = std::numeric_limits<double>::infinity();  // calls/s
  double floor = 0;                                        // the limit never drops below
  double worth = 1;                                        // of what exceeds the part, against what is within
  double ended = 0, bad = 0, next_review = -std::numeric_limits<double>::infinity();
  double before = 0;  // calls/s that were accepted before the limit began to drop

  // Counts an ended call; true where enough have ended for the limit to be reviewed.
  bool count(double now, bool was_bad, bool few_will_do) {
    ended += 1;
    if (was_bad) bad += 1;
    return now >= next_review && (ended >= kReviewCalls || few_will_do);
  }

  // Changes the limit. It drops once per review at most, since calls that end within a feedback delay were
  // sent under the old one. `least`: what it may drop to now; `quick_to`: x the part, up to which it rises in
  // full.
  void review(double now, double accepted, double least, double quick_to) {
    if (bad > kBadShare * ended) {
      before = std::max(before, accepted);
      limit = std::max(least, std::min(limit, std::max(accepted, part)) * kDrop);
    } else if (bad <= kFineShare * ended && accepted > limit / 2) {
      // Back to half of what it was goes quickly, where nobody has told what it should be.
      const bool far_off = part == 0 && limit < before / 2;
      limit *= far_off ? 2 : 1 + kRise * (limit < quick_to * part ? 1 : worth);
      if (!far_off) before = 0;
    }
    ended = bad = 0;
    next_review = now + kReviewPeriod;
  }
};

}  // namespace quinceusher
