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

}  // namespace

std::uint32_t service_group_of(const std::string& service) {
  return 1 + static_cast<std::uint32_t>(XXH64(service.data(), service.size(), 0) % kServiceShards);
}

ControlFollower::ControlFollower(Messenger& messenger, PartialView& view, FollowerSettings settings)
    : messenger_(messenger), view_(view), settings_(settings), quota_(settings.quota) {}

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
    poll.config_sequence = state_.sequence();
    poll.placement_sequence = state_.placement().sequence;
    if (!settings_.is_store) poll.tokens = quota_.requests(now);
    if (in_sync_source_) poll.in_sync = in_sync_source_();
  } else if (const auto list = lists_.find(group); list != lists_.end()) {
    poll.list_term = list->second.term;
    poll.list_sequence = list->second.sequence;
  }
  messenger_.send(to, encode_message(MessageType::kPoll, poll));
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
  take_configuration(reply);
  if (reply.sent_at > 0) take_answer(now, reply);
}

// An answer makes fresh what this node holds, and only where it holds what the leader has: one that leaves a
// gap asks for a snapshot at once.
void ControlFollower::take_answer(Millis now, const PollReply& reply) {
  if (state_.sequence() >= reply.config_sequence) {
    lease_until_ = std::max(lease_until_, reply.sent_at + settings_.lease_ms);
  } else {
    leaders_[kConfigGroup].next_poll = now;
  }
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

void ControlFollower::take_configuration(const PollReply& reply) {
  for (const ControlSnapshot& snapshot : reply.snapshot) {
    if (snapshot.sequence <= state_.sequence()) continue;  // a node never goes back
    ControlSnapshot taken = snapshot;
    taken.placement = state_.placement();
    state_.restore(taken);
  }
  for (const SequencedOrder& order : reply.orders) {
    if (order.sequence == state_.sequence() + 1) state_.apply(order.order);
  }
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
