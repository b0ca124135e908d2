// The queue of updates to disseminate: each is sent a multiple of log(members) times and then dropped (Das et
// al. 2002, section 4.1); those sent least often go first.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "peers/member.h"

namespace nettlestand::peers {

class GossipQueue {
 public:
  static constexpr std::size_t kMaxItems = 512;  // beyond it, the update sent most often is dropped

  bool empty() const { return items_.empty(); }
  std::size_t size() const { return items_.size(); }

  // Replaces earlier updates on the same member. Suspicions by different reporters are kept side by side.
  void add(const Update& update) {
    std::erase_if(items_, [&](const Item& n) {
      return n.update.key == update.key &&
             (n.update.reporter == update.reporter || update.state != MemberState::kSuspect);
    });
    if (items_.size() >= kMaxItems) items_.pop_back();
    items_.insert(items_.begin(), {update, 0});
  }
  // Drops all updates on a member.
  void remove(MemberKey key) {
    std::erase_if(items_, [key](const Item& n) { return n.update.key == key; });
  }

  // Adds as many updates as fit to a message. `members`: size of the group, which determines how often each
  // is sent.
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
  std::vector<Item> items_;  // ordered by `times_sent`
};

}  // namespace nettlestand::peers
