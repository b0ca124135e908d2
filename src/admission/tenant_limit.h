// Rate limiter of one tenant: suppression of calls over a sliding window, and a limit that adapts.
#pragma once

#include <algorithm>

#include "admission/random.h"
#include "admission/sliding_window.h"
#include "quinceusher/balancer.h"

namespace quinceusher {

// How calls over a limit are denied.
struct SuppressionParameters {
  double window_s = 1.5;           // length of the sliding window
  double last_second_s = 1;        // span of the short rate
  double min_accepted_calls = 0;   // with fewer accepted calls in the window nothing is denied
  double hard_limit_factor = 1.5;  // x the soft limit; from there on every call is denied
  double cache_s = 0.1;            // how long a suppression factor is reused
};

// One tenant's calls in a sliding window, and the decision on each.
class TenantWindow {
 public:
  TenantWindow(double bucket_s, int buckets, int short_buckets) : window_(bucket_s, buckets, short_buckets) {}

  SlidingWindow::Sums sums(double now) const { return window_.sums(now); }

  // Fraction of calls to deny: 0 below the soft limit, 1 from the hard limit on, by the rates between.
  static double suppression(const SuppressionParameters& parameters, double rate_limit,
                            const SlidingWindow::Sums& sums) {
    const double soft = rate_limit * parameters.window_s;
    if (sums.total - sums.declined < std::max(soft, parameters.min_accepted_calls)) return 0;
    if (sums.total >= soft * parameters.hard_limit_factor) return 1;
    return suppression_factor(rate_limit, sums.total / parameters.window_s,
                              sums.last_second / parameters.last_second_s);
  }

  // Decides on a call and counts it. The cached factor applies only between the two limits.
  bool admit(double now, const SuppressionParameters& parameters, double rate_limit, Random& random) {
    double denied_part = suppression(parameters, rate_limit, window_.sums(now));
    if (denied_part > 0 && denied_part < 1) {
      if (now >= cached_until_) {
        cached_ = denied_part;
        cached_until_ = now + parameters.cache_s;
      }
      denied_part = cached_;
    }
    const bool admitted = random.unit() >= denied_part;
    window_.add(now, !admitted);
    return admitted;
  }

 private:
  SlidingWindow window_;
  double cached_ = 0, cached_until_ = -std::numeric_limits<double>::infinity();
};

constexpr double kReviewSeconds = 1;   // seconds between changes of a limit, at least: a feedback delay
constexpr double kMinReviewCalls = 5;  // ended calls per review: fewer say nothing about a tenant
constexpr double kDropRatio = 0.1;     // fraction of ended calls: with more bad ones a limit drops
constexpr double kRiseRatio = 0.03;    // fraction of ended calls: with no more bad ones a limit may rise
constexpr double kDropFactor = 0.75;   // x the limit: new limit after a drop
constexpr double kRiseFraction = 0.1;  // fraction of the limit added per rise; less for traffic worth less

// A tenant's rate limit, adapted by how its calls end.
struct LearnedLimit {
  double share = 0;  // calls/s within the tenant's allowance; 0: none is configured
  double limit = std::numeric_limits<double>::infinity();  // calls/s
  double floor = 0, over_share_worth = 1;
  double ended_calls = 0, bad_calls = 0, next_review = -std::numeric_limits<double>::infinity();
  double rate_before_drop = 0;  // accepted calls/s before the limit began to drop

  // Counts an ended call; returns whether enough have ended to review the limit.
  bool count_ended(double now, bool was_bad, bool few_suffice) {
    ended_calls += 1;
    if (was_bad) bad_calls += 1;
    return now >= next_review && (ended_calls >= kMinReviewCalls || few_suffice);
  }

  // Changes the limit, at most once per feedback delay: calls that end within it were sent under the old one.
  // `min_limit`: how low it may drop now; up to `fast_rise_factor` x the share it rises in full.
  void review(double now, double accepted, double min_limit, double fast_rise_factor) {
    if (bad_calls > kDropRatio * ended_calls) {
      rate_before_drop = std::max(rate_before_drop, accepted);
      limit = std::max(min_limit, std::min(limit, std::max(accepted, share)) * kDropFactor);
    } else if (bad_calls <= kRiseRatio * ended_calls && accepted > limit / 2) {
      // Without a configured share, the limit doubles up to half of the rate before the drop.
      const bool far_off = share == 0 && limit < rate_before_drop / 2;
      limit *= far_off ? 2 : 1 + kRiseFraction * (limit < fast_rise_factor * share ? 1 : over_share_worth);
      if (!far_off) rate_before_drop = 0;
    }
    ended_calls = bad_calls = 0;
    next_review = now + kReviewSeconds;
  }
};

}  // namespace quinceusher
