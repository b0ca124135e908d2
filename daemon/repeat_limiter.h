// How often one event may be written: a fault that repeats must not fill the log, nor take the time of what
// it tells of. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace nettlestand {

class RepeatLimiter {
 public:
  // `repeats` in each `period` s, which begins with the first; 0: without a bound.
  RepeatLimiter(int max_repeats, double period) : max_repeats_(max_repeats), period_(period) {}

  // Whether an event may be written at `now` (s). If so: how many of its name were left out since the last
  // one.
  std::optional<std::uint64_t> allow(const std::string& event, double now) {
    if (max_repeats_ <= 0) return 0;
    Count& count = counts_[event];
    if (count.written == 0 || now >= count.started_at + period_) {
      const std::uint64_t suppressed = count.suppressed;
      count = {now, 1, 0};
      return suppressed;
    }
    if (count.written < max_repeats_) {
      ++count.written;
      return 0;
    }
    ++count.suppressed;
    return std::nullopt;
  }

 private:
  struct Count {
    double started_at = 0;
    int written = 0;
    std::uint64_t suppressed = 0;
  };
  int max_repeats_;
  double period_;
  std::map<std::string, Count> counts_;  // names are the program's own: few
};

}  // namespace nettlestand
