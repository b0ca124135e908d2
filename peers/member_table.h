// The table of known members, kept compact as a fleet may well have 10,000 of them.
#pragma once

#include <algorithm>
#include <iterator>
#include <vector>

#include "peers/member.h"

namespace nettlestand::peers {

struct MemberEntry {
  MemberKey key = 0;
  std::uint64_t generation = 0;
  Address address = 0;
  double since = 0, heard_at = -1e18;        // s
  std::shared_ptr<const Identity> identity;  // null: not described yet
  std::uint32_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  // The address is the source of a datagram of this generation.
  bool address_confirmed = false;
};

static_assert(sizeof(MemberEntry) == 64);  // the memory use in the operators' documentation relies on it

// A vector sorted by key. Pointers are valid until the next insert(), merge() or remove_if().
class MemberTable {
 public:
  MemberEntry* find(MemberKey key) {
    const auto it = lower_bound(key);
    return it != entries_.end() && it->key == key ? &*it : nullptr;
  }
  const MemberEntry* find(MemberKey key) const { return const_cast<MemberTable*>(this)->find(key); }
  MemberEntry& insert(MemberEntry entry) {
    const MemberKey key = entry.key;
    return *entries_.insert(lower_bound(key), std::move(entry));
  }
  // Inserts many entries at once, one for each key. Returns how many were added.
  std::size_t merge(std::vector<MemberEntry> more) {
    const std::size_t before = entries_.size();
    entries_.insert(entries_.end(), std::make_move_iterator(more.begin()),
                    std::make_move_iterator(more.end()));
    const auto by_key = [](const MemberEntry& a, const MemberEntry& b) { return a.key < b.key; };
    if (!std::is_sorted(entries_.begin(), entries_.end(), by_key))
      std::sort(entries_.begin(), entries_.end(), by_key);
    entries_.erase(std::unique(entries_.begin(), entries_.end(),
                               [](const MemberEntry& a, const MemberEntry& b) { return a.key == b.key; }),
                   entries_.end());
    return entries_.size() - before;
  }
  // The index of the first entry whose key is not below `key`; size() if there is none.
  std::size_t index_from(MemberKey key) const {
    return static_cast<std::size_t>(const_cast<MemberTable*>(this)->lower_bound(key) - entries_.begin());
  }
  template <class Predicate>
  std::size_t remove_if(Predicate matches) {
    return std::erase_if(entries_, matches);
  }
  std::size_t size() const { return entries_.size(); }
  MemberEntry& operator[](std::size_t i) { return entries_[i]; }
  const MemberEntry& operator[](std::size_t i) const { return entries_[i]; }
  auto begin() const { return entries_.begin(); }
  auto end() const { return entries_.end(); }

 private:
  std::vector<MemberEntry>::iterator lower_bound(MemberKey key) {
    return std::lower_bound(entries_.begin(), entries_.end(), key,
                            [](const MemberEntry& e, MemberKey k) { return e.key < k; });
  }
  std::vector<MemberEntry> entries_;
};

// A member's position on one of several rings. All nodes order the members of a ring alike, and each ring
// differently; a node observes the next member on each ring (after Rapid's monitoring overlay, Suresh et al.
// 2018).
inline std::uint64_t ring_position(MemberKey key, int ring) {
  std::uint64_t z = key + 0x9E3779B97F4A7C15ULL * static_cast<std::uint64_t>(ring + 1);  // splitmix64
  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
  return z ^ (z >> 31);
}

}  // namespace nettlestand::peers
