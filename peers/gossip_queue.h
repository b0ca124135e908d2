// What is still to be told: rumours, told some times the logarithm of the fleet and then dropped (Das et al.
// 2002, section 4.1). Holds, and decides nothing but the order: what was told least often goes first.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "peers/member.h"

namespace nettlestand::peers {

class GossipQueue {
 public:
  static constexpr std::size_t kMaxItems = 512;  // of which the most told goes first

  bool empty() const { return items_.empty(); }
  std::size_t size() const { return items_.size(); }

  // Older news of the same member goes. Suspicions of several accusers stand side by side.
  void add(const Update& update) {
    std::erase_if(items_, [&](const Item& n) {
      return n.update.key == update.key &&
             (n.update.reporter == update.reporter || update.state != MemberState::kSuspect);
    });
    if (items_.size() >= kMaxItems) items_.pop_back();
    items_.insert(items_.begin(), {update, 0});
  }
  void remove(MemberKey key) {
    std::erase_if(items_, [key](const Item& n) { return n.update.key == key; });
  }

  // Adds what fits to a message; `members`: how many there are to tell.
  void append_to(Message& m, std::size_t members) {
    const int max_sends = 2 + static_cast<int>(std::ceil(1.5 * std::log2(static_cast<double>(members) + 2)));
    std::size_t bytes = max_encoded_bytes(m);
    bool any_expired = false;
    for (Item& n : items_) {
      if (m.updates.size() >= kMaxUpdates) break;
      const std::size_t size = max_encoded_bytes(n.update);
      if (bytes + size > kMaxDatagramBytes) continue;
      if (std::any_of(m.updates.begin(), m.updates.end(), [&](const Update& u) {
            return u.key == n.update.key && u.reporter == n.update.reporter;
          }))
        continue;
      m.updates.push_back(n.update);
      bytes += size;
      ++n.times_sent;
      any_expired = any_expired || n.times_sent >= max_sends;
    }
    if (any_expired) std::erase_if(items_, [max_sends](const Item& n) { return n.times_sent >= max_sends; });
    std::stable_sort(items_.begin(), items_.end(),
                     [](const Item& a, const Item& b) { return a.times_sent < b.times_sent; });
  }

 private:
  struct Item {
    Update update;
    int times_sent = 0;
  };
  std::vector<Item> items_;  // in the order of `told`
};

}  // namespace nettlestand::peers
