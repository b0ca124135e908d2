// Membership by peer sampling: a partial view of the other nodes, kept by shuffles (Cyclon: Voulgaris,
// Gavidia and van Steen, 2005). Decides only; the host sends what it returns.
//
// Differs from the paper in that core nodes, once known, are not shuffled out of the view (all nodes have to
// reach them), and in that an entry carries its node's heartbeat instead of an age: the higher heartbeat of
// one generation wins, and an entry whose heartbeat stands still for `kEntryTtlMs` is dropped
// (`kCoreEntryTtlMs` for the core).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "messaging/messages.h"

namespace nettlestand::tier {

class PartialView {
 public:
  static constexpr std::size_t kCapacity = 40;
  static constexpr std::size_t kShuffleSize = 12;
  static constexpr Millis kEntryTtlMs = 12000;
  // Word of one node takes longer to come round where there are many; whoever asks the core in vain asks
  // another.
  static constexpr Millis kCoreEntryTtlMs = 60000;

  PartialView(NodeInfo self, std::vector<std::string> seed_addresses, std::uint64_t seed);

  // The next shuffle: to whom, and what.
  std::optional<std::pair<std::string, Shuffle>> start_shuffle(Millis now);
  // What another node has sent; the answer where it began the shuffle.
  Shuffle on_shuffle(Millis now, const Shuffle& shuffle, const std::string& from);
  void on_shuffle_reply(Millis now, const Shuffle& reply);

  // All that is known of others, without the node itself.
  std::vector<NodeInfo> nodes() const;
  std::vector<NodeInfo> core() const;
  const NodeInfo& self() const { return self_; }
  void set_seeds(std::vector<std::string> seed_addresses);
  // Rises with each node that comes or goes.
  std::uint64_t change_count() const { return change_count_; }

 private:
  struct Entry {
    NodeInfo node{};
    Millis refreshed_at = 0;
  };
  void merge(Millis now, const NodeInfo& node);
  void remove_expired(Millis now);
  void evict_over_capacity();
  Shuffle choose_sample(const std::string& except);

  NodeInfo self_{};
  std::vector<std::string> seeds_;
  std::mt19937_64 random_;
  std::map<std::string, Entry> view_;  // by name
  // The last word of nodes that were dropped: others still pass it on, which is no sign of life.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> tombstones_;  // generation and heartbeat
  std::uint64_t change_count_ = 0;
  std::size_t rounds_ = 0;
};

}  // namespace nettlestand::tier
