#include "peers/balancer_tracker.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <tuple>

namespace nettlestand::peers {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kFlapResetSeconds = 60;  // without a change, after which a balancer's flaps are forgotten
constexpr int kMaxFlaps = 10;

}  // namespace

BalancerTracker::BalancerTracker(BalancerTrackerSettings settings, double now)
    : settings_(std::move(settings)),
      assignment_{settings_.index, settings_.count, static_cast<double>(settings_.count)},
      started_(now),
      last_change_(now),
      next_tick_(now + settings_.settle_time) {
  if (settings_.count < 1 || settings_.index < 0 || settings_.index >= settings_.count) {
    throw std::invalid_argument("balancers: the index is not below the count");
  }
  if (!(settings_.join_delay >= 0) || !(settings_.loss_delay >= 0) || !(settings_.settle_time >= 0) ||
      !(settings_.loss_memory >= 0)) {
    throw std::invalid_argument("balancers: times must not be negative");
  }
}

double BalancerTracker::change_delay(const BalancerEntry& entry) const {
  const double base = entry.present ? settings_.join_delay : settings_.loss_delay;
  return std::min(std::max(base, settings_.max_delay), base * std::exp2(std::max(0, entry.flaps - 1)));
}

void BalancerTracker::on_member_changed(double now, const Member& m) {
  BalancerEntry& entry = entries_[m.key];
  if (m.identity_known) {
    entry.identity = m.identity;
    entry.tier_known = true;
  }
  // A suspected balancer still counts as present; a leaving one takes no new requests.
  const bool present = m.state == MemberState::kAlive || m.state == MemberState::kSuspect;
  entry.dead = m.state == MemberState::kDead;
  if (present != entry.present) {
    if (now - entry.flapped_at > kFlapResetSeconds) entry.flaps = 0;
    if (!present) {
      entry.flaps = std::min(entry.flaps + 1, kMaxFlaps);
      entry.flapped_at = now;
    }
    entry.present = present;
    entry.since = now;
    last_change_ = now;
  }
  next_tick_ = std::min(next_tick_, now);
}

BalancerAssignment BalancerTracker::assign(double now) const {
  BalancerAssignment out{0, 1, 1};
  int dead_count = 0;
  for (const auto& [key, entry] : entries_) {
    if (!entry.tier_known || entry.identity.tier != settings_.self.tier) continue;
    if (entry.counted) {
      ++out.count;
      if (std::tie(entry.identity.number, entry.identity.name) <
          std::tie(settings_.self.number, settings_.self.name))
        ++out.index;
    } else if (entry.dead && now - entry.since < settings_.loss_memory) {
      ++dead_count;
    }
  }
  // Configured balancers that were never heard of may be on the other side of a partition.
  const int expected = now - started_ < settings_.loss_memory ? settings_.count : 0;
  out.rate_limit_divisor = std::max<double>(out.count, std::max(out.count + dead_count, expected) / 2.0);
  return out;
}

std::optional<BalancerAssignment> BalancerTracker::tick(double now) {
  next_tick_ = kNever;
  if (!settled_) {
    const double ready = std::min(last_change_ + settings_.settle_time, started_ + settings_.max_settle_time);
    if (now < ready) {
      next_tick_ = ready;
      return std::nullopt;
    }
    settled_ = true;
    for (auto& [key, entry] : entries_) entry.counted = entry.present;
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    BalancerEntry& entry = it->second;
    if (entry.present != entry.counted) {
      const double due = entry.since + change_delay(entry);
      if (now >= due) {
        entry.counted = entry.present;
      } else {
        next_tick_ = std::min(next_tick_, due);
      }
    }
    if (!entry.present && !entry.counted) {
      if (now - entry.since >= std::max(settings_.loss_memory, kFlapResetSeconds)) {
        it = entries_.erase(it);
        continue;
      }
      next_tick_ = std::min(next_tick_, entry.since + std::max(settings_.loss_memory, kFlapResetSeconds));
    }
    ++it;
  }
  if (now - started_ < settings_.loss_memory)
    next_tick_ = std::min(next_tick_, started_ + settings_.loss_memory);
  const BalancerAssignment current = assign(now);
  const bool alone = current.count == 1 && assignment_.count > 1;
  // The only one left after goodbyes is alone; the only one left after deaths may be cut off.
  if (alone && std::any_of(entries_.begin(), entries_.end(), [](const auto& c) { return c.second.dead; })) {
    return std::nullopt;
  }
  if (alone && entries_.empty()) return std::nullopt;  // no other balancer was ever heard of
  if (current == assignment_) return std::nullopt;
  assignment_ = current;
  return current;
}

}  // namespace nettlestand::peers
