// Servers in hash order; a balancer's subset is a range of this order.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace quinceusher {

// Servers sorted by the hash of their names, which is the same at every balancer. Changes are collected and
// applied by commit(): a few one by one, many by one merge.
class Ring {
 public:
  std::size_t size() const { return entries_.size(); }
  std::size_t at(std::size_t position) const { return entries_[position].second; }
  std::uint64_t key_at(std::size_t position) const { return entries_[position].first; }
  void insert(std::uint64_t key, std::size_t slot) { added_.push_back({key, slot}); }
  void erase(std::uint64_t key, std::size_t slot) { removed_.push_back({key, slot}); }
  void commit() {
    std::sort(removed_.begin(), removed_.end());
    if (removed_.size() > kMaxSingleChanges) {
      std::erase_if(entries_, [this](const Entry& m) {
        return std::binary_search(removed_.begin(), removed_.end(), m);
      });
    } else {
      for (const Entry& m : removed_) {
        const auto it = std::lower_bound(entries_.begin(), entries_.end(), m);
        if (it != entries_.end() && *it == m) entries_.erase(it);
      }
    }
    std::sort(added_.begin(), added_.end());
    if (added_.size() > kMaxSingleChanges) {
      const auto middle = static_cast<std::ptrdiff_t>(entries_.size());
      entries_.insert(entries_.end(), added_.begin(), added_.end());
      std::inplace_merge(entries_.begin(), entries_.begin() + middle, entries_.end());
    } else {
      for (const Entry& m : added_) {
        entries_.insert(std::lower_bound(entries_.begin(), entries_.end(), m), m);
      }
    }
    removed_.clear();
    added_.clear();
  }

 private:
  using Entry = std::pair<std::uint64_t, std::size_t>;
  static constexpr std::size_t kMaxSingleChanges = 8;  // changes: more are merged in one pass
  std::vector<Entry> entries_, added_, removed_;
};

// A range of a ring that may wrap around its end.
struct RingRange {
  const Ring* ring = nullptr;
  std::size_t start = 0, size = 0;

  std::size_t position(std::size_t i) const {
    const std::size_t at = start + i;
    return at < ring->size() ? at : at - ring->size();
  }
  std::size_t at(std::size_t i) const { return ring->at(position(i)); }
  bool contains(std::uint64_t key) const {
    if (ring == nullptr || size == 0) return false;
    if (size == ring->size()) return true;
    const std::uint64_t first = ring->key_at(position(0)), last = ring->key_at(position(size - 1));
    return key - first <= last - first;  // keys wrap as the ring does
  }
};

}  // namespace quinceusher
