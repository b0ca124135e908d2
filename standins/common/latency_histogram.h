// A histogram of latencies.
#pragma once

#include <cstdint>
#include <memory>

namespace nettlestand::standins {

// Latencies in s; those from 1 µs to 1,000 s have a relative error of 3 %. Copies are deep.
class LatencyHistogram {
 public:
  LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& other);
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(const LatencyHistogram& other);
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;
  ~LatencyHistogram();

  void add(double seconds);
  void add(const LatencyHistogram& other);
  std::uint64_t count() const { return count_; }
  double quantile(double fraction) const;  // `fraction` from 0 to 1; 0 if the histogram is empty

 private:
  struct Buckets;
  std::unique_ptr<Buckets> buckets_;  // null while the histogram is empty
  std::uint64_t count_ = 0;
};

}  // namespace nettlestand::standins
