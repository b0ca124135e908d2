#include "control/follower.h"

#include <xxhash.h>

#include <algorithm>

namespace nettlestand::tier {
namespace {

constexpr Millis kStorePollMs = 200;
constexpr Millis kListPollMs = 600;
constexpr Millis kSearchMs = 120;        // between polls while the leader is not known
constexpr Millis kLeaderSilentMs = 700;  // a leader that does not answer for so long is looked for anew
constexpr Millis kUrgentPollMs = 25;
constexpr Millis kReplicaWaitMs = 150;  // for the own replica to apply a version, before others are asked
constexpr std::size_t kZoneHolders = 2;
constexpr std::size_t kMaxUnconfirmed = 16;

}  // namespace

std::uint32_t service_group_of(const std::string& service) {
  return 1 + static_cast<std::uint32_t>(XXH64(service.data(), service.size(), 0) % kServiceShards);
}

ControlFollower::ControlFollower(Messenger& messenger, PartialView& view, ContentServer& content,
                                 FollowerSettings settings)
    : messenger_(messenger),
      view_(view),
      content_(content),
      settings_(settings),
      fetcher_([this] { return content_holders(); }),
      quota_(settings.quota) {}

std::string ControlFollower::some_core_node() {
  const std::vector<NodeInfo> core = view_.core();
  if (core.empty()) return {};
  return core[next_core_++ % core.size()].address;
}

Millis ControlFollower::poll_interval(std::uint32_t group) const {
  if (group != kConfigGroup) return std::max(kListPollMs, edge_poll_ms(edges_));
  if (settings_.is_store) return kStorePollMs;
  return edge_poll_ms(edges_);
}

void ControlFollower::tick(Millis now) {
  for (std::uint32_t group = 0; group < kGroups; ++group) {
    Leader& leader = leaders_[group];
    const bool silent = leader.confirmed && leader.asked > leader.heard &&
                        leader.heard + kLeaderSilentMs + poll_interval(group) < now;
    if (silent) leader = Leader{};
    if (now >= leader.next_poll) poll(now, group);
  }
  fetch_content(now);
}

void ControlFollower::hint_leader(std::uint32_t group, const std::string& address) {
  Leader& leader = leaders_[group];
  if (address.empty() || leader.address == address) return;
  leader = Leader{};
  leader.address = address;
}

void ControlFollower::poll_if_urgent(Millis now) {
  if (!quota_.is_urgent() || now < last_urgent_ + kUrgentPollMs || !leaders_[kConfigGroup].confirmed) return;
  last_urgent_ = now;
  poll(now, kConfigGroup);
}

void ControlFollower::poll(Millis now, std::uint32_t group) {
  Leader& leader = leaders_[group];
  const std::string to = leader.address.empty() ? some_core_node() : leader.address;
  leader.next_poll = now + (leader.confirmed ? poll_interval(group) : kSearchMs);
  if (!leader.confirmed) leader.address.clear();  // a hint is followed once
  if (to.empty()) return;
  leader.asked = now;
  Poll poll{};
  poll.group = group;
  poll.node = view_.self();
  poll.sent_at = now;
  poll.leaving = leaving_;
  if (group == kConfigGroup) {
    poll.placement_sequence = state_.placement().sequence;
    if (!settings_.is_store) poll.tokens = quota_.requests(now);
    if (in_sync_source_) poll.in_sync = in_sync_source_();
  } else if (const auto list = lists_.find(group); list != lists_.end()) {
    poll.list_term = list->second.term;
    poll.list_sequence = list->second.sequence;
  }
  messenger_.send(to, encode_message(MessageType::kPoll, poll), Lane::kControl);
}

void ControlFollower::on_reply(Millis now, const std::string& from, const PollReply& reply) {
  if (reply.group >= kGroups) return;
  Leader& leader = leaders_[reply.group];
  if (!reply.from_leader) {
    if (leader.confirmed && leader.address == from) leader = Leader{};
    if (!leader.confirmed && !reply.leader.empty() && reply.leader != from) {
      leader.address = reply.leader;
      leader.next_poll = now;
    }
    return;
  }
  leader.address = from;
  leader.confirmed = true;
  leader.heard = now;
  if (reply.group != kConfigGroup) return take_lists(reply);
  take_placement(reply);
  want_content(now, reply.config);
  if (reply.sent_at > 0) take_answer(now, reply);
}

// An answer makes fresh what this node holds, and only where it holds what the leader has, now or once that
// has come.
void ControlFollower::take_answer(Millis now, const PollReply& reply) {
  if (unconfirmed_.size() >= kMaxUnconfirmed) unconfirmed_.pop_front();
  unconfirmed_.push_back({reply.config.sequence, reply.sent_at});
  renew_lease();
  if (state_.placement().sequence >= reply.placement_sequence) {
    placed_poll_ = std::max(placed_poll_, reply.sent_at);
  }
  index_ = reply.index;
  count_ = std::max<std::size_t>(reply.count, 1);
  zone_index_ = reply.zone_index;
  zone_count_ = std::max<std::size_t>(reply.zone_count, 1);
  edges_ = std::max<std::size_t>(reply.edges, 1);
  quota_.on_grants(now, reply.sent_at, reply.grants, edges_);
}

void ControlFollower::renew_lease() {
  std::erase_if(unconfirmed_, [this](const Freshness& answer) {
    if (state_.sequence() < answer.sequence) return false;
    lease_until_ = std::max(lease_until_, answer.asked_at + settings_.lease_ms);
    return true;
  });
}

// ---------------------------------------------------------------- the configuration's bytes

// The core machines of the own zone, each node's own first; where there are none, the first nodes of the zone
// by name, that ask beyond it; then the leader and the other core machines.
std::vector<std::string> ControlFollower::content_holders() const {
  struct Ranked {
    std::uint64_t rank = 0;
    std::string address;
    // NOLINTNEXTLINE(modernize-use-nullptr): no pointer is compared here.
    auto operator<=>(const Ranked&) const = default;
  };
  const NodeInfo& self = view_.self();
  std::vector<Ranked> near;
  std::vector<std::string> far;
  for (const NodeInfo& node : view_.core()) {
    if (node.zone != self.zone) {
      far.push_back(node.address);
    } else if (!self.is_core || node.name < self.name) {
      const std::string pair = self.name + "/" + node.name;
      near.push_back({XXH64(pair.data(), pair.size(), 0), node.address});
    }
  }
  std::sort(near.begin(), near.end());
  std::vector<std::string> out;
  out.reserve(near.size());
  for (const Ranked& holder : near) out.push_back(holder.address);
  if (near.empty() && !self.is_core) {
    std::vector<std::pair<std::string, std::string>> named;
    for (const NodeInfo& node : view_.nodes()) {
      if (node.zone == self.zone && node.name < self.name) named.emplace_back(node.name, node.address);
    }
    std::sort(named.begin(), named.end());
    for (std::size_t i = 0; i < std::min(named.size(), kZoneHolders); ++i) out.push_back(named[i].second);
  }
  const std::string& leader = leaders_[kConfigGroup].address;
  if (!leader.empty() && std::find(out.begin(), out.end(), leader) == out.end()) out.push_back(leader);
  for (const std::string& address : far) {
    if (address != leader) out.push_back(address);
  }
  return out;
}

void ControlFollower::want_content(Millis now, const ContentId& id) {
  if (id.sequence <= state_.sequence()) return;  // a node never goes back
  if (fetcher_.is_idle()) wanted_since_ = now;
  fetcher_.want(id);
  fetch_content(now);
}

void ControlFollower::fetch_content(Millis now) {
  if (fetcher_.is_idle() || adopt_from_replica()) return;
  const ControlState* replica = replica_source_ ? replica_source_() : nullptr;
  if (replica != nullptr && replica->sequence() > 0 && now < wanted_since_ + kReplicaWaitMs) return;
  const auto next = fetcher_.next(now, state_.sequence());
  if (next) messenger_.send(next->to, encode_message(MessageType::kContentRequest, next->request));
}

// What the own replica has applied is committed, and newer than what is held.
bool ControlFollower::adopt_from_replica() {
  const ControlState* replica = replica_source_ ? replica_source_() : nullptr;
  if (replica == nullptr || replica->sequence() <= state_.sequence()) return false;
  ContentFetcher::Fetched own;
  own.id = replica->content_id();
  own.text = replica->shared_text();
  adopt(own, replica->configuration());
  return fetcher_.is_idle();
}

void ControlFollower::on_content(Millis now, const std::string& from, const ContentReply& reply) {
  const auto fetched = fetcher_.on_reply(now, from, reply, state_.sequence(), state_.shared_text());
  if (fetched) adopt(*fetched, nullptr);
  fetch_content(now);
}

void ControlFollower::adopt(const ContentFetcher::Fetched& fetched,
                            std::shared_ptr<const Configuration> parsed) {
  if (fetched.id.sequence > state_.sequence() && state_.adopt(fetched.id, fetched.text, std::move(parsed))) {
    content_.offer(fetched.id, fetched.text, fetched.orders);
  }
  fetcher_.on_held(state_.sequence());
  renew_lease();
}

void ControlFollower::take_placement(const PollReply& reply) {
  for (const PlacementTable& table : reply.placement) {
    if (table.sequence > state_.placement().sequence) state_.set_placement(table);
  }
}

void ControlFollower::take_lists(const PollReply& reply) {
  for (const ServerList& list : reply.servers) {
    ServerList& known = lists_[reply.group];
    const bool newer = list.term > known.term || (list.term == known.term && list.sequence > known.sequence);
    if (!newer) continue;
    known = list;
    ++list_changes_;
  }
}

std::vector<ListedServer> ControlFollower::servers() const {
  std::vector<ListedServer> out;
  for (const auto& [group, list] : lists_) out.insert(out.end(), list.servers.begin(), list.servers.end());
  return out;
}

}  // namespace nettlestand::tier
