// Limits how often an event is logged, so that a repeating fault neither fills the log nor slows the node
// down. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace nettlestand {

// Counts events by name.
class RepeatLimiter {
 public:
  // At most `max_repeats` in each period of `period` s, which starts with the first event; 0: unlimited.
  RepeatLimiter(int max_repeats, double period) : max_repeats_(max_repeats), period_(period) {}

  // Decides whether an event may be written at `now` (s). If so, returns how many events of its name were
  // suppressed since the last one; otherwise nullopt.
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
  std::map<std::string, Count> counts_;  // bounded: the names are constants of the program
};

}  // namespace nettlestand
