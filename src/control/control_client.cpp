#include "control/control_client.h"

#include <xxhash.h>

#include <algorithm>

namespace nettlestand::tier {
namespace {

constexpr Millis kStorePollIntervalMs = 200;
constexpr Millis kServerListPollIntervalMs = 600;
constexpr Millis kLeaderSearchIntervalMs = 120;  // between polls while the leader is unknown
constexpr Millis kLeaderTimeoutMs = 700;         // after which a silent leader is searched for again
constexpr Millis kMinUrgentPollIntervalMs = 25;
// How long to wait for the local replica to apply a version before requesting it from other nodes.
constexpr Millis kReplicaApplyTimeoutMs = 150;
constexpr std::size_t kMaxZoneSources = 2;
constexpr std::size_t kMaxPendingRenewals = 16;

}  // namespace

std::uint32_t service_group_of(const std::string& service) {
  return 1 + static_cast<std::uint32_t>(XXH64(service.data(), service.size(), 0) % kServiceShards);
}

ControlClient::ControlClient(Messenger& messenger, PartialView& view, ConfigTextProvider& config_texts,
                             ControlClientSettings settings)
    : messenger_(messenger),
      view_(view),
      config_texts_(config_texts),
      settings_(settings),
      fetcher_([this] { return config_text_sources(); }),
      quota_(settings.quota) {}

std::string ControlClient::next_core_address() {
  const std::vector<NodeInfo> core = view_.core();
  if (core.empty()) return {};
  return core[next_core_++ % core.size()].address;
}

Millis ControlClient::poll_interval(std::uint32_t group) const {
  if (group != kConfigGroup) return std::max(kServerListPollIntervalMs, edge_poll_ms(edge_count_));
  if (settings_.is_store) return kStorePollIntervalMs;
  return edge_poll_ms(edge_count_);
}

void ControlClient::tick(Millis now) {
  for (std::uint32_t group = 0; group < kGroups; ++group) {
    LeaderContact& leader = leaders_[group];
    const bool silent = leader.confirmed && leader.last_poll_at > leader.last_reply_at &&
                        leader.last_reply_at + kLeaderTimeoutMs + poll_interval(group) < now;
    if (silent) leader = LeaderContact{};
    if (now >= leader.next_poll_at) poll(now, group);
  }
  fetch_config_text(now);
}

void ControlClient::hint_leader(std::uint32_t group, const std::string& address) {
  LeaderContact& leader = leaders_[group];
  if (address.empty() || leader.address == address) return;
  leader = LeaderContact{};
  leader.address = address;
}

void ControlClient::poll_if_urgent(Millis now) {
  if (!quota_.is_urgent() || now < last_urgent_poll_at_ + kMinUrgentPollIntervalMs ||
      !leaders_[kConfigGroup].confirmed)
    return;
  last_urgent_poll_at_ = now;
  poll(now, kConfigGroup);
}

void ControlClient::poll(Millis now, std::uint32_t group) {
  LeaderContact& leader = leaders_[group];
  const std::string to = leader.address.empty() ? next_core_address() : leader.address;
  leader.next_poll_at = now + (leader.confirmed ? poll_interval(group) : kLeaderSearchIntervalMs);
  if (!leader.confirmed) leader.address.clear();  // a hint is used only once
  if (to.empty()) return;
  leader.last_poll_at = now;
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

void ControlClient::on_reply(Millis now, const std::string& from, const PollReply& reply) {
  if (reply.group >= kGroups) return;
  LeaderContact& leader = leaders_[reply.group];
  if (!reply.from_leader) {
    if (leader.confirmed && leader.address == from) leader = LeaderContact{};
    if (!leader.confirmed && !reply.leader.empty() && reply.leader != from) {
      leader.address = reply.leader;
      leader.next_poll_at = now;
    }
    return;
  }
  leader.address = from;
  leader.confirmed = true;
  leader.last_reply_at = now;
  if (reply.group != kConfigGroup) return update_server_lists(reply);
  update_placement(reply);
  want_version(now, reply.config);
  if (reply.sent_at > 0) apply_reply(now, reply);
}

// A reply renews the lease only if this node has the version that the leader named in it, now or once that
// version has arrived.
void ControlClient::apply_reply(Millis now, const PollReply& reply) {
  if (pending_renewals_.size() >= kMaxPendingRenewals) pending_renewals_.pop_front();
  pending_renewals_.push_back({reply.config.sequence, reply.sent_at});
  renew_lease();
  if (state_.placement().sequence >= reply.placement_sequence) {
    placement_confirmed_at_ = std::max(placement_confirmed_at_, reply.sent_at);
  }
  index_ = reply.index;
  count_ = std::max<std::size_t>(reply.count, 1);
  zone_index_ = reply.zone_index;
  zone_count_ = std::max<std::size_t>(reply.zone_count, 1);
  edge_count_ = std::max<std::size_t>(reply.edges, 1);
  quota_.on_grants(now, reply.sent_at, reply.grants, edge_count_);
}

void ControlClient::renew_lease() {
  std::erase_if(pending_renewals_, [this](const LeaseRenewal& renewal) {
    if (state_.sequence() < renewal.sequence) return false;
    lease_until_ = std::max(lease_until_, renewal.poll_sent_at + settings_.lease_ms);
    return true;
  });
}

// ---------------------------------------------------------------- configuration text

// Sources for the configuration's text: first the core machines of this zone, in an order that differs from
// node to node. A zone without core machines uses its first nodes by name, so that only these fetch from
// other zones. Then the leader and the remaining core machines.
std::vector<std::string> ControlClient::config_text_sources() const {
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
  for (const Ranked& source : near) out.push_back(source.address);
  if (near.empty() && !self.is_core) {
    std::vector<std::pair<std::string, std::string>> named;
    for (const NodeInfo& node : view_.nodes()) {
      if (node.zone == self.zone && node.name < self.name) named.emplace_back(node.name, node.address);
    }
    std::sort(named.begin(), named.end());
    for (std::size_t i = 0; i < std::min(named.size(), kMaxZoneSources); ++i) out.push_back(named[i].second);
  }
  const std::string& leader = leaders_[kConfigGroup].address;
  if (!leader.empty() && std::find(out.begin(), out.end(), leader) == out.end()) out.push_back(leader);
  for (const std::string& address : far) {
    if (address != leader) out.push_back(address);
  }
  return out;
}

void ControlClient::want_version(Millis now, const ConfigVersion& id) {
  if (id.sequence <= state_.sequence()) return;  // a node never returns to an older version
  if (fetcher_.is_idle()) fetch_started_at_ = now;
  fetcher_.fetch(id);
  fetch_config_text(now);
}

void ControlClient::fetch_config_text(Millis now) {
  if (fetcher_.is_idle() || adopt_from_replica()) return;
  const ControlState* replica = replica_source_ ? replica_source_() : nullptr;
  if (replica != nullptr && replica->sequence() > 0 && now < fetch_started_at_ + kReplicaApplyTimeoutMs)
    return;
  const auto next = fetcher_.next_request(now, state_.sequence());
  if (next) messenger_.send(next->to, encode_message(MessageType::kConfigTextRequest, next->request));
}

// Takes over the local replica's state if that is newer. What the replica has applied is committed.
bool ControlClient::adopt_from_replica() {
  const ControlState* replica = replica_source_ ? replica_source_() : nullptr;
  if (replica == nullptr || replica->sequence() <= state_.sequence()) return false;
  ConfigTextFetcher::Fetched own;
  own.id = replica->config_version();
  own.text = replica->shared_text();
  adopt(own, replica->configuration());
  return fetcher_.is_idle();
}

void ControlClient::on_config_text(Millis now, const std::string& from, const ConfigTextReply& reply) {
  const auto fetched = fetcher_.on_reply(now, from, reply, state_.sequence(), state_.shared_text());
  if (fetched) adopt(*fetched, nullptr);
  fetch_config_text(now);
}

void ControlClient::adopt(const ConfigTextFetcher::Fetched& fetched,
                          std::shared_ptr<const Configuration> parsed) {
  if (fetched.id.sequence > state_.sequence() && state_.adopt(fetched.id, fetched.text, std::move(parsed))) {
    config_texts_.add_version(fetched.id, fetched.text, fetched.changes);
  }
  fetcher_.on_version_held(state_.sequence());
  renew_lease();
}

void ControlClient::update_placement(const PollReply& reply) {
  for (const PlacementTable& table : reply.placement) {
    if (table.sequence > state_.placement().sequence) state_.set_placement(table);
  }
}

void ControlClient::update_server_lists(const PollReply& reply) {
  for (const ServerList& list : reply.servers) {
    ServerList& known = lists_[reply.group];
    const bool newer = list.term > known.term || (list.term == known.term && list.sequence > known.sequence);
    if (!newer) continue;
    known = list;
    ++server_list_version_;
  }
}

std::vector<ListedServer> ControlClient::servers() const {
  std::vector<ListedServer> out;
  for (const auto& [group, list] : lists_) out.insert(out.end(), list.servers.begin(), list.servers.end());
  return out;
}

}  // namespace nettlestand::tier
