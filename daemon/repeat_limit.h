// How often one event may be written: a fault that repeats must not fill the log, nor take the time of what
// it tells of. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace nettlestand {

class RepeatLimit {
 public:
  // `repeats` in each `period` s, which begins with the first; 0: without a bound.
  RepeatLimit(int repeats, double period) : repeats_(repeats), period_(period) {}

  // Whether an event may be written at `now` (s). If so: how many of its name were left out since the last
  // one.
  std::optional<std::uint64_t> allow(const std::string& event, double now) {
    if (repeats_ <= 0) return 0;
    Count& count = counts_[event];
    if (count.written == 0 || now >= count.since + period_) {
      const std::uint64_t left_out = count.left_out;
      count = {now, 1, 0};
      return left_out;
    }
    if (count.written < repeats_) {
      ++count.written;
      return 0;
    }
    ++count.left_out;
    return std::nullopt;
  }

 private:
  struct Count {
    double since = 0;
    int written = 0;
    std::uint64_t left_out = 0;
  };
  int repeats_;
  double period_;
  std::map<std::string, Count> counts_;  // names are the program's own: few
};

}  // namespace nettlestand
