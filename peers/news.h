// What is still to be told: rumours, told some times the logarithm of the fleet and then dropped (Das et al.
// 2002, section 4.1). Holds, and decides nothing but the order: what was told least often goes first.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "peers/member.h"

namespace nettlestand::peers {

class News {
 public:
  static constexpr std::size_t kMost = 512;  // of which the most told goes first

  bool empty() const { return all_.empty(); }
  std::size_t size() const { return all_.size(); }

  // Older news of the same member goes. Suspicions of several accusers stand side by side.
  void add(const Update& update) {
    std::erase_if(all_, [&](const One& n) {
      return n.update.key == update.key &&
             (n.update.accuser == update.accuser || update.state != State::kSuspect);
    });
    if (all_.size() >= kMost) all_.pop_back();
    all_.insert(all_.begin(), {update, 0});
  }
  void drop(Key key) {
    std::erase_if(all_, [key](const One& n) { return n.update.key == key; });
  }

  // Adds what fits to a message; `members`: how many there are to tell.
  void fill(Message& m, std::size_t members) {
    const int usual = 2 + static_cast<int>(std::ceil(1.5 * std::log2(static_cast<double>(members) + 2)));
    std::size_t bytes = bytes_of(m);
    bool done = false;
    for (One& n : all_) {
      if (m.updates.size() >= kMostUpdates) break;
      const std::size_t more = bytes_of(n.update);
      if (bytes + more > kMostBytes) continue;
      if (std::any_of(m.updates.begin(), m.updates.end(), [&](const Update& u) {
            return u.key == n.update.key && u.accuser == n.update.accuser;
          }))
        continue;
      m.updates.push_back(n.update);
      bytes += more;
      ++n.told;
      done = done || n.told >= usual;
    }
    if (done) std::erase_if(all_, [usual](const One& n) { return n.told >= usual; });
    std::stable_sort(all_.begin(), all_.end(), [](const One& a, const One& b) { return a.told < b.told; });
  }

 private:
  struct One {
    Update update;
    int told = 0;
  };
  std::vector<One> all_;  // in the order of `told`
};

}  // namespace nettlestand::peers
