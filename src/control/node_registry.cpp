#include "control/node_registry.h"

#include <algorithm>

namespace nettlestand::tier {
namespace {

constexpr Millis kRegistrationTtlMs = 3500;  // how long a node counts as live after its last poll
constexpr Millis kPushTtlMs = 3000;          // how long changes are pushed to it
constexpr Millis kCoreTimeoutMs = 1500;

}  // namespace

NodeRegistry::Subscriber& NodeRegistry::on_poll(Millis now, const std::string& from, const Poll& poll) {
  Subscriber& subscriber = subscribers_[poll.node.name];
  subscriber.node = poll.node;
  subscriber.address = from;
  subscriber.last_poll_at = now;
  subscriber.leaving = poll.leaving;
  subscriber.placement_sequence = poll.placement_sequence;
  subscriber.list_term = poll.list_term;
  subscriber.list_sequence = poll.list_sequence;
  return subscriber;
}

std::vector<NodeRegistry::Subscriber*> NodeRegistry::push_targets(Millis now) {
  std::vector<Subscriber*> out;
  for (auto& [name, subscriber] : subscribers_) {
    if (subscriber.last_poll_at + kPushTtlMs >= now) out.push_back(&subscriber);
  }
  return out;
}

std::size_t NodeRegistry::live_edges(Millis now, Millis within) const {
  return static_cast<std::size_t>(
      std::count_if(subscribers_.begin(), subscribers_.end(), [&](const auto& item) {
        return !item.second.node.is_store && item.second.last_poll_at + within > now;
      }));
}

std::size_t NodeRegistry::registered_edges(Millis now) const { return live_edges(now, kRegistrationTtlMs); }

std::vector<consensus::Member> NodeRegistry::live_core(Millis now) const {
  std::vector<consensus::Member> out;
  for (const auto& [name, subscriber] : subscribers_) {
    if (!subscriber.node.is_core || subscriber.node.disk_id == 0 || subscriber.leaving) continue;
    if (subscriber.last_poll_at + kCoreTimeoutMs < now) continue;
    consensus::Member member{};
    member.id = subscriber.node.disk_id;
    member.address = subscriber.address;
    member.node = name;
    out.push_back(std::move(member));
  }
  return out;
}

void NodeRegistry::fill_position(Millis now, const Poll& poll, PollReply& reply) const {
  for (const auto& [name, subscriber] : subscribers_) {
    const bool counts = subscriber.node.is_store == poll.node.is_store && !subscriber.leaving &&
                        subscriber.last_poll_at + kRegistrationTtlMs > now;
    const bool same_zone = subscriber.node.zone == poll.node.zone;
    if (name == poll.node.name) {
      reply.index = reply.count;
      reply.zone_index = reply.zone_count;
    } else if (!counts) {
      continue;
    }
    ++reply.count;
    if (same_zone) ++reply.zone_count;
  }
  reply.edges = static_cast<std::uint32_t>(registered_edges(now));
}

}  // namespace nettlestand::tier
