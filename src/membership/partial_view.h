// Membership by peer sampling: each node keeps a partial view of the other nodes and updates it by exchanging
// samples (shuffles) with them (Cyclon: Voulgaris, Gavidia and van Steen, 2005). No I/O; the caller sends the
// returned messages.
//
// Differences from the paper:
// - Core nodes, once known, are not evicted from the view, because all nodes have to reach them.
// - An entry carries its node's heartbeat counter instead of an age. The higher generation wins, within one
//   generation the higher heartbeat. An entry whose heartbeat does not increase for `kEntryTtlMs`
//   (`kCoreEntryTtlMs` for core nodes) is removed.
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

// A node's view of the other nodes.
class PartialView {
 public:
  static constexpr std::size_t kCapacity = 40;     // entries; only core nodes may exceed it
  static constexpr std::size_t kShuffleSize = 12;  // nodes in one shuffle, with the sender
  static constexpr Millis kEntryTtlMs = 12000;
  // Longer than for other nodes: updates about one node take longer to spread in a large cluster. A core node
  // that is down does little harm in the view, since a node that gets no answer from it asks another one.
  static constexpr Millis kCoreEntryTtlMs = 60000;

  // `seed` is for the random choices.
  PartialView(NodeInfo self, std::vector<std::string> seed_addresses, std::uint64_t seed);

  // Begins the next round. Returns the address of the chosen node and the message for it, or nothing if no
  // other node is known.
  std::optional<std::pair<std::string, Shuffle>> start_shuffle(Millis now);
  // Handles a shuffle that another node began; returns the reply for it.
  Shuffle on_shuffle(Millis now, const Shuffle& shuffle, const std::string& from);
  // Handles the reply to a shuffle that this node began.
  void on_shuffle_reply(Millis now, const Shuffle& reply);

  // All nodes in the view, without this node.
  std::vector<NodeInfo> nodes() const;
  // The core nodes in the view and, if it is one, this node.
  std::vector<NodeInfo> core() const;
  const NodeInfo& self() const { return self_; }
  void set_seeds(std::vector<std::string> seed_addresses);
  // Increases when a node is added, removed after its time to live or seen with a new generation.
  std::uint64_t change_count() const { return change_count_; }

 private:
  struct Entry {
    NodeInfo node{};
    Millis refreshed_at = 0;  // when a newer heartbeat was last received
  };
  // Adds a node or updates its entry, unless the received description is not newer than the known one.
  void merge(Millis now, const NodeInfo& node);
  // Removes entries past their time to live and keeps a tombstone of each.
  void remove_expired(Millis now);
  // Removes random nodes outside the core until the view fits kCapacity.
  void evict_over_capacity();
  // Returns this node and random others except the one at the given address.
  Shuffle choose_sample(const std::string& except);

  NodeInfo self_{};
  std::vector<std::string> seeds_;
  std::mt19937_64 random_;
  std::map<std::string, Entry> view_;  // by name
  // Last known generation and heartbeat of removed nodes. Other nodes may still pass them on, which does not
  // mean that the node is alive; only a newer pair adds it again.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> tombstones_;  // by name
  std::uint64_t change_count_ = 0;
  std::size_t rounds_ = 0;
};

}  // namespace nettlestand::tier
