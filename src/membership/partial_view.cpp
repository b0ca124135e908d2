#include "membership/partial_view.h"

#include <algorithm>

namespace nettlestand::tier {
namespace {

constexpr std::size_t kCoreNodesChosenFirst = 3;  // per shuffle
constexpr std::size_t kMaxTombstones = 2000;
// Every this many rounds the shuffle goes to a seed, so that views separated by a partition merge again.
constexpr std::size_t kRoundsPerSeedContact = 8;

}  // namespace

PartialView::PartialView(NodeInfo self, std::vector<std::string> seed_addresses, std::uint64_t seed)
    : self_(std::move(self)), seeds_(std::move(seed_addresses)), random_(seed) {
  std::erase(seeds_, self_.address);
}

void PartialView::set_seeds(std::vector<std::string> seed_addresses) {
  seeds_ = std::move(seed_addresses);
  std::erase(seeds_, self_.address);
}

std::optional<std::pair<std::string, Shuffle>> PartialView::start_shuffle(Millis now) {
  ++self_.heartbeat;
  remove_expired(now);
  ++rounds_;
  std::string to;
  const bool ask_seed =
      !seeds_.empty() && (view_.size() < seeds_.size() || rounds_ % kRoundsPerSeedContact == 0);
  if (ask_seed) {
    to = seeds_[random_() % seeds_.size()];
  } else if (!view_.empty()) {
    auto at = view_.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(random_() % view_.size()));
    to = at->second.node.address;
  } else {
    return std::nullopt;
  }
  return std::make_pair(to, choose_sample(to));
}

Shuffle PartialView::choose_sample(const std::string& except) {
  std::vector<const NodeInfo*> candidates;
  for (const auto& [name, entry] : view_) {
    if (entry.node.address != except) candidates.push_back(&entry.node);
  }
  std::shuffle(candidates.begin(), candidates.end(), random_);
  // Put some core nodes first, since all nodes have to know the core.
  std::size_t core = 0;
  std::stable_partition(candidates.begin(), candidates.end(), [&core](const NodeInfo* node) {
    return node->is_core && core++ < kCoreNodesChosenFirst;
  });
  Shuffle out;
  out.nodes.push_back(self_);
  for (const NodeInfo* node : candidates) {
    if (out.nodes.size() >= kShuffleSize) break;
    out.nodes.push_back(*node);
  }
  return out;
}

Shuffle PartialView::on_shuffle(Millis now, const Shuffle& shuffle, const std::string& from) {
  Shuffle reply = choose_sample(from);
  on_shuffle_reply(now, shuffle);
  return reply;
}

void PartialView::on_shuffle_reply(Millis now, const Shuffle& reply) {
  for (const NodeInfo& node : reply.nodes) merge(now, node);
  evict_over_capacity();
}

void PartialView::merge(Millis now, const NodeInfo& node) {
  if (node.name == self_.name || node.name.empty() || node.address.empty()) return;
  const std::pair version(node.generation, node.heartbeat);
  if (const auto tombstone = tombstones_.find(node.name); tombstone != tombstones_.end()) {
    if (version <= tombstone->second) return;
    tombstones_.erase(tombstone);
  }
  const auto [at, added] = view_.try_emplace(node.name, Entry{node, now});
  if (added) {
    ++change_count_;
    return;
  }
  NodeInfo& known = at->second.node;
  if (version <= std::pair(known.generation, known.heartbeat)) return;
  if (node.generation != known.generation) ++change_count_;
  known = node;
  at->second.refreshed_at = now;
}

void PartialView::remove_expired(Millis now) {
  for (auto at = view_.begin(); at != view_.end();) {
    const NodeInfo& node = at->second.node;
    if (at->second.refreshed_at + (node.is_core ? kCoreEntryTtlMs : kEntryTtlMs) >= now) {
      ++at;
      continue;
    }
    if (tombstones_.size() >= kMaxTombstones) tombstones_.erase(tombstones_.begin());
    tombstones_[node.name] = {node.generation, node.heartbeat};
    at = view_.erase(at);
    ++change_count_;
  }
}

void PartialView::evict_over_capacity() {
  while (view_.size() > kCapacity) {
    std::vector<std::string> candidates;
    for (const auto& [name, entry] : view_) {
      if (!entry.node.is_core) candidates.push_back(name);
    }
    if (candidates.empty()) return;
    view_.erase(candidates[random_() % candidates.size()]);
  }
}

std::vector<NodeInfo> PartialView::nodes() const {
  std::vector<NodeInfo> out;
  for (const auto& [name, entry] : view_) out.push_back(entry.node);
  return out;
}

std::vector<NodeInfo> PartialView::core() const {
  std::vector<NodeInfo> out;
  for (const auto& [name, entry] : view_) {
    if (entry.node.is_core) out.push_back(entry.node);
  }
  if (self_.is_core) out.push_back(self_);
  return out;
}

}  // namespace nettlestand::tier
