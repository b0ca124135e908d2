// The three regimes by which a client's call is sent or denied, over its sliding window.
#pragma once

#include <algorithm>
#include <limits>

#include "admission/random.h"
#include "admission/sliding_window.h"
#include "quinceusher/balancer.h"

namespace quinceusher {

struct Regimes {
  double window_s = 1.5;           // length of the sliding window
  double last_second_s = 1;        // span of the short rate
  double fewest_calls = 0;         // below so many accepted calls in the window nothing is denied
  double hard_limit_factor = 1.5;  // x the soft limit, from which on every call is denied
  double cache_s = 0.1;            // a suppression factor is kept for so long
};

class ClientWindow {
 public:
  ClientWindow(double bucket_s, int buckets, int short_buckets) : window_(bucket_s, buckets, short_buckets) {}

  SlidingWindow::Sums sums(double now) const { return window_.sums(now); }

  // The part of calls to deny now: 0 below the soft limit, 1 from the hard limit on, between them by the
  // rates.
  static double factor(const Regimes& regimes, double rate_limit, const SlidingWindow::Sums& sums) {
    const double soft = rate_limit * regimes.window_s;
    if (sums.total - sums.declined < std::max(soft, regimes.fewest_calls)) return 0;
    if (sums.total >= soft * regimes.hard_limit_factor) return 1;
    return suppression_factor(rate_limit, sums.total / regimes.window_s,
                              sums.last_second / regimes.last_second_s);
  }

  // Decides on a call and counts it. The cached factor serves only between the two limits.
  bool admit(double now, const Regimes& regimes, double rate_limit, Random& random) {
    double denied_part = factor(regimes, rate_limit, window_.sums(now));
    if (denied_part > 0 && denied_part < 1) {
      if (now >= cached_until_) {
        cached_ = denied_part;
        cached_until_ = now + regimes.cache_s;
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

}  // namespace quinceusher
