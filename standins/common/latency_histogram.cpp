#include "standins/common/latency_histogram.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace nettlestand::standins {
namespace {

namespace bh = boost::histogram;

constexpr double kMinSeconds = 1e-6, kMaxSeconds = 1e3;
constexpr int kBuckets = 720;  // 3 % wide each

auto make() {
  return bh::make_histogram(
      bh::axis::regular<double, bh::axis::transform::log>(kBuckets, kMinSeconds, kMaxSeconds));
}

}  // namespace

struct LatencyHistogram::Buckets {
  decltype(make()) histogram = make();
};

LatencyHistogram::LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(const LatencyHistogram& other)
    : buckets_(other.buckets_ ? std::make_unique<Buckets>(*other.buckets_) : nullptr), count_(other.count_) {}
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(const LatencyHistogram& other) {
  if (this != &other) *this = LatencyHistogram(other);
  return *this;
}
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept = default;
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::add(double seconds) {
  if (!buckets_) buckets_ = std::make_unique<Buckets>();
  buckets_->histogram(std::clamp(seconds, kMinSeconds, kMaxSeconds * 0.999));
  ++count_;
}

void LatencyHistogram::add(const LatencyHistogram& other) {
  if (!other.buckets_) return;
  if (!buckets_) buckets_ = std::make_unique<Buckets>();
  buckets_->histogram += other.buckets_->histogram;
  count_ += other.count_;
}

double LatencyHistogram::quantile(double fraction) const {
  if (count_ == 0) return 0;
  const double wanted = std::max(1.0, std::ceil(fraction * static_cast<double>(count_)));
  const auto& axis = buckets_->histogram.axis();
  double seen = 0;
  int i = 0;
  while (i + 1 < axis.size() && (seen += buckets_->histogram.at(i)) < wanted) ++i;
  return std::sqrt(axis.value(i) * axis.value(i + 1));  // the geometric middle of the bucket
}

}  // namespace nettlestand::standins
