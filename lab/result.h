// The results of an experiment's runs and their statistics: means with confidence intervals and paired
// differences. Performs no I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nettlestand::lab {

// Counts of the requests first sent within one second in one zone.
struct Point {
  int second = 0;
  std::string zone;
  std::uint64_t asked = 0, in_aim = 0, refused = 0, failed = 0;
  double p99_ms = 0;  // of the served requests; 0 if there are none
};

// The outcome of one variant with one seed. A request counts once, with all its tries.
struct Run {
  std::string variant;
  std::uint64_t seed = 0;
  bool is_void = false;  // the machine was too busy; the run is excluded from all statistics
  std::uint64_t asked = 0, in_aim = 0, served = 0, refused = 0, failed = 0, tries = 0, attempts = 0;
  double p50_ms = 0, p99_ms = 0;
  double recovery_s =
      -1;  // from the end of the last fault to 95% of the service before the first; -1: never, or no fault
  std::uint64_t rules_broken = 0;
  std::vector<Point> series;
};

struct Result {
  std::string experiment, about, on;  // `on` is "emulator" or "processes"
  double seconds = 0;
  std::vector<std::pair<double, double>> fault_windows;  // start and end, by variant
  std::vector<std::string> variants;
  std::vector<Run> runs;  // ordered by variant, then seed
};

// Deterministic: equal results give the same bytes.
std::string to_json(const Result& result);
// Parses what to_json() wrote. Throws std::runtime_error.
Result read_result(std::string_view json);

// Computes Run::recovery_s from the series; `from` and `until` bound the faults.
double recovery_time(const std::vector<Point>& series, double count_from, double from, double until,
                     double seconds);

// The value of a run's metric by its name in the tables.
double metric_value(const Run& run, const std::string& name);
const std::vector<std::string>& metric_names();

// A mean over seeds with its 95% confidence interval (Student's t); `half_width` is infinite for fewer than
// two values.
struct Estimate {
  double mean = 0, half_width = 0;
  std::size_t count = 0;
};
Estimate estimate(const std::vector<double>& values);

// The quantile at `part` (0 to 1), or 0 without values. Reorders `all`.
template <class Number>
double quantile(std::vector<Number>& all, double part) {
  if (all.empty()) return 0;
  const auto at = all.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(all.size() - 1));
  std::nth_element(all.begin(), at, all.end());
  return static_cast<double>(*at);
}

// A difference of two variants, paired by seed. Void runs and their counterparts are left out.
struct Difference {
  Estimate estimate;            // b - a
  bool is_significant = false;  // the 95% interval excludes 0
};
Difference difference(const std::vector<const Run*>& a, const std::vector<const Run*>& b,
                      const std::string& figure);

// The runs of a variant that are not void.
std::vector<const Run*> valid_runs(const Result& result, const std::string& variant);

// Markdown tables: the means of each variant, the differences of two results, and the differences of a
// result's variants from its first.
std::string table(const Result& result);
std::string compare(const Result& a, const Result& b);
std::string compare_variants(const Result& result);

}  // namespace nettlestand::lab
