// What runs of an experiment gave, and what may be said of it: means with intervals, paired differences. No
// I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nettlestand::lab {

// Requests that were asked first in one second of one zone.
struct Point {
  int second = 0;
  std::string zone;
  std::uint64_t asked = 0, in_aim = 0, refused = 0, failed = 0;
  double p99_ms = 0;  // of the served; 0: none
};

// One variant with one seed. Requests count once, with all their tries.
struct Run {
  std::string variant;
  std::uint64_t seed = 0;
  bool is_void = false;  // the machine was too busy: nothing may be said of it
  std::uint64_t asked = 0, in_aim = 0, served = 0, refused = 0, failed = 0, tries = 0, attempts = 0;
  double p50_ms = 0, p99_ms = 0;
  double recovery_s =
      -1;  // from the end of the last fault to 95% of the service before it; -1: never, or no fault
  std::uint64_t rules_broken = 0;
  std::vector<Point> series;
};

struct Result {
  std::string experiment, about, on;  // emulator or processes
  double seconds = 0;
  std::vector<std::pair<double, double>> fault_windows;  // from, until: of each variant
  std::vector<std::string> variants;
  std::vector<Run> runs;  // by variant, then seed
};

// The same bytes for the same result.
std::string to_json(const Result& result);
// Throws std::runtime_error.
Result read_result(std::string_view json);

// From the series: what Run::recovery_s is. `from`, `until`: of the trouble.
double recovery_time(const std::vector<Point>& series, double count_from, double from, double until,
                     double seconds);

// A figure of a run by its name in the tables.
double metric_value(const Run& run, const std::string& name);
const std::vector<std::string>& metric_names();  // their names

// A mean over seeds with its 95% interval (Student's t); `half_width` is infinite where there is one seed.
struct Estimate {
  double mean = 0, half_width = 0;
  std::size_t count = 0;
};
Estimate estimate(const std::vector<double>& values);

// Of times in any unit, 0 where there are none; leaves them in another order.
template <class Number>
double quantile(std::vector<Number>& all, double part) {
  if (all.empty()) return 0;
  const auto at = all.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(all.size() - 1));
  std::nth_element(all.begin(), at, all.end());
  return static_cast<double>(*at);
}

// What is known of a difference, run by run with the same seed. Void runs and their partners are left out.
struct Difference {
  Estimate estimate;  // b - a
  bool is_significant = false;
};
Difference difference(const std::vector<const Run*>& a, const std::vector<const Run*>& b,
                      const std::string& figure);

// The runs of a variant that are not void.
std::vector<const Run*> valid_runs(const Result& result, const std::string& variant);

// Tables for people.
std::string table(const Result& result);
std::string compare(const Result& a, const Result& b);
std::string compare_variants(const Result& result);

}  // namespace nettlestand::lab
