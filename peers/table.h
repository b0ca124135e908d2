// The members that a node knows, in little memory: 10,000 of them are an ordinary fleet. Holds, and decides
// nothing.
#pragma once

#include <algorithm>
#include <iterator>
#include <vector>

#include "peers/member.h"

namespace nettlestand::peers {

struct Entry {
  Key key = 0;
  std::uint64_t life = 0;
  Address address = 0;
  double since = 0, heard_at = -1e18;  // s
  std::shared_ptr<const Identity> id;  // none: not described yet
  std::uint32_t incarnation = 0;
  State state = State::kAlive;
  bool direct = false;  // the address is that of a datagram of this life
};

static_assert(sizeof(Entry) == 64);  // what the operators' page says of memory

// Sorted by key. Pointers hold until the next insert() or sweep().
class Table {
 public:
  Entry* find(Key key) {
    const auto it = place(key);
    return it != entries_.end() && it->key == key ? &*it : nullptr;
  }
  const Entry* find(Key key) const { return const_cast<Table*>(this)->find(key); }
  Entry& insert(Entry entry) {
    const Key key = entry.key;
    return *entries_.insert(place(key), std::move(entry));
  }
  // Many at once. How many they were.
  std::size_t merge(std::vector<Entry> more) {
    const std::size_t before = entries_.size();
    entries_.insert(entries_.end(), std::make_move_iterator(more.begin()),
                    std::make_move_iterator(more.end()));
    const auto less = [](const Entry& a, const Entry& b) { return a.key < b.key; };
    if (!std::is_sorted(entries_.begin(), entries_.end(), less))
      std::sort(entries_.begin(), entries_.end(), less);
    entries_.erase(std::unique(entries_.begin(), entries_.end(),
                               [](const Entry& a, const Entry& b) { return a.key == b.key; }),
                   entries_.end());
    return entries_.size() - before;
  }
  // The first entry from a key on; size() where there is none.
  std::size_t from(Key key) const {
    return static_cast<std::size_t>(const_cast<Table*>(this)->place(key) - entries_.begin());
  }
  template <class Gone>
  std::size_t sweep(Gone gone) {
    return std::erase_if(entries_, gone);
  }
  std::size_t size() const { return entries_.size(); }
  Entry& operator[](std::size_t i) { return entries_[i]; }
  const Entry& operator[](std::size_t i) const { return entries_[i]; }
  auto begin() const { return entries_.begin(); }
  auto end() const { return entries_.end(); }

 private:
  std::vector<Entry>::iterator place(Key key) {
    return std::lower_bound(entries_.begin(), entries_.end(), key,
                            [](const Entry& e, Key k) { return e.key < k; });
  }
  std::vector<Entry> entries_;
};

// A member's place on one of several rings, in which all nodes order all members alike and each ring
// differently: whoever is next on a ring is observed (after Rapid's monitoring overlay, Suresh et al. 2018).
inline std::uint64_t ring_place(Key key, int ring) {
  std::uint64_t z = key + 0x9E3779B97F4A7C15ULL * static_cast<std::uint64_t>(ring + 1);  // splitmix64
  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31);
}

}  // namespace nettlestand::peers
