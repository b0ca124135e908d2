#include "standins/common/latencies.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace nettlestand::standins {
namespace {

namespace bh = boost::histogram;

constexpr double kFinest = 1e-6, kLongest = 1e3;  // s
constexpr int kBuckets = 720;                     // 3 % each

auto make() {
  return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(kBuckets, kFinest, kLongest));
}

}  // namespace

struct Latencies::Buckets {
  decltype(make()) histogram = make();
};

Latencies::Latencies() = default;
Latencies::Latencies(const Latencies& other)
    : buckets_(other.buckets_ ? std::make_unique<Buckets>(*other.buckets_) : nullptr), count_(other.count_) {}
Latencies::Latencies(Latencies&&) noexcept = default;
Latencies& Latencies::operator=(const Latencies& other) {
  if (this != &other) *this = Latencies(other);
  return *this;
}
Latencies& Latencies::operator=(Latencies&&) noexcept = default;
Latencies::~Latencies() = default;

void Latencies::add(double seconds) {
  if (!buckets_) buckets_ = std::make_unique<Buckets>();
  buckets_->histogram(std::clamp(seconds, kFinest, kLongest * 0.999));
  ++count_;
}

void Latencies::add(const Latencies& other) {
  if (!other.buckets_) return;
  if (!buckets_) buckets_ = std::make_unique<Buckets>();
  buckets_->histogram += other.buckets_->histogram;
  count_ += other.count_;
}

double Latencies::quantile(double part) const {
  if (count_ == 0) return 0;
  const double wanted = std::max(1.0, std::ceil(part * static_cast<double>(count_)));
  const auto& axis = buckets_->histogram.axis();
  double seen = 0;
  int i = 0;
  while (i + 1 < axis.size() && (seen += buckets_->histogram.at(i)) < wanted) ++i;
  return std::sqrt(axis.value(i) * axis.value(i + 1));  // the middle of its bucket
}

}  // namespace nettlestand::standins
