// Sliding window over one tenant's calls.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iterator>
#include <vector>

namespace quinceusher {

// Total and declined calls of the last seconds, in buckets; the newest buckets also give the short rate.
class SlidingWindow {
 public:
  struct Sums {
    double total = 0, declined = 0, last_second = 0;
  };
  SlidingWindow(double bucket_s, int buckets, int short_buckets)
      : bucket_s_(bucket_s), short_buckets_(short_buckets), buckets_(static_cast<std::size_t>(buckets)) {}

  void add(double now, bool denied) {
    advance(slot_of(now));
    Bucket& bucket = at(newest_slot_);
    bucket.total += 1;
    sums_.total += 1;
    sums_.last_second += 1;
    if (!denied) return;
    bucket.declined += 1;
    sums_.declined += 1;
  }

  Sums sums(double now) const {
    SlidingWindow::Sums out = sums_;
    const std::int64_t count = std::ssize(buckets_), slot = slot_of(now);
    for (std::int64_t s = newest_slot_ + 1; s <= std::min(slot, newest_slot_ + count); ++s)
      subtract_expired(s, out);
    return out;
  }

 private:
  struct Bucket {
    double total = 0, declined = 0;
  };
  std::int64_t slot_of(double now) const { return static_cast<std::int64_t>(std::floor(now / bucket_s_)); }
  Bucket& at(std::int64_t slot) {
    const std::int64_t count = std::ssize(buckets_);
    return buckets_[static_cast<std::size_t>(((slot % count) + count) % count)];
  }
  const Bucket& at(std::int64_t slot) const { return const_cast<SlidingWindow*>(this)->at(slot); }

  // Subtracts what leaves the sums once `slot` is the newest.
  void subtract_expired(std::int64_t slot, Sums& sums) const {
    const Bucket& old = at(slot);  // its place still holds the bucket of one window earlier
    sums.total -= old.total;
    sums.declined -= old.declined;
    if (slot - short_buckets_ <= newest_slot_) sums.last_second -= at(slot - short_buckets_).total;
  }
  void advance(std::int64_t slot) {
    if (slot <= newest_slot_) return;
    if (slot - newest_slot_ >= std::ssize(buckets_)) {
      std::fill(buckets_.begin(), buckets_.end(), Bucket());
      sums_ = Sums();
      newest_slot_ = slot;
      return;
    }
    while (newest_slot_ < slot) {
      const std::int64_t next = newest_slot_ + 1;
      const double short_leaves = at(next - short_buckets_).total;
      sums_.total -= at(next).total;
      sums_.declined -= at(next).declined;
      sums_.last_second -= short_leaves;
      at(next) = Bucket();
      newest_slot_ = next;
    }
  }

  double bucket_s_;
  int short_buckets_;
  std::vector<Bucket> buckets_;
  Sums sums_;
  std::int64_t newest_slot_ =
      std::numeric_limits<std::int64_t>::min() / 2;  // the latest slot that a call was added to
};

}  // namespace quinceusher
