#include "zones/follower.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <stdexcept>
#include <utility>

namespace nettlestand::zones {
namespace {

bool in_shape(const Plan& plan, std::size_t classes) {
  const std::size_t n = plan.zones.size();
  const auto loads = [](const std::vector<Load>& all, std::size_t size) {
    return all.size() == size && std::all_of(all.begin(), all.end(), [](Load l) { return l >= 0; });
  };
  if (plan.token == 0 || !(plan.lease > 0) || !std::isfinite(plan.lease)) return false;
  if (plan.regions.size() != n || plan.load.size() != n || plan.refused.size() != n || plan.alone.size() != n)
    return false;
  for (std::size_t a = 0; a < n; ++a) {
    if (plan.load[a].size() != classes || !loads(plan.refused[a], classes) || !loads(plan.alone[a], n)) {
      return false;
    }
    for (const std::vector<Load>& to : plan.load[a]) {
      if (!loads(to, n)) return false;
    }
  }
  return true;
}

}  // namespace

Follower::Follower(FollowerSettings settings) : s_(std::move(settings)) {
  if (s_.zone.empty()) throw std::invalid_argument("zones: a node without a zone can't follow plans");
  if (!(s_.halves_after > 0)) throw std::invalid_argument("zones: the half-life is not above 0");
}

bool Follower::offer(const Plan& plan, double age, double now) {
  if (!in_shape(plan, s_.classes.size()) || !(age >= 0)) return false;
  const auto own = std::find(plan.zones.begin(), plan.zones.end(), s_.zone);
  if (own == plan.zones.end()) return false;
  if (plan_ && std::pair(plan.token, plan.epoch) <= std::pair(plan_->token, plan_->epoch)) return false;
  place_ = static_cast<std::size_t>(own - plan.zones.begin());
  plan_ = plan;
  made_at_ = now - age;
  until_ = made_at_ + plan.lease;
  return true;
}

const Plan* Follower::plan(double now) const { return plan_ && now < until_ ? &*plan_ : nullptr; }

Shares Follower::shares(double near, double growth, const std::vector<double>& distance, double now) const {
  Shares out;
  if (!plan_) {
    out.zones = {s_.zone};
    out.to.assign(s_.classes.size(), {1});
    return out;
  }
  out.zones = plan_->zones;
  out.planned = now < until_;
  growth = std::max(growth, 1.0);
  near = std::clamp(near, 0.0, 1.0);
  if (out.planned) {
    planned(growth, out);
  } else {
    alone(near, growth, distance, now, out);
  }
  return out;
}

void Follower::planned(double growth, Shares& out) const {
  const std::size_t n = plan_->zones.size();
  for (std::size_t c = 0; c < s_.classes.size(); ++c) {
    const std::vector<Load>& load = plan_->load[place_][c];
    const auto all = static_cast<double>(demand(c));
    std::vector<double>& to = out.to.emplace_back(n);
    for (std::size_t b = 0; b < n && all > 0; ++b) {
      const double part = static_cast<double>(load[b]) / all;
      const double kept = b == place_ ? part : part / growth;
      to[b] += kept;
      to[place_] += part - kept;  // whether there is room for it is the module's to say
    }
    if (all == 0) to[place_] = 1;  // nobody had asked for it
  }
}

void Follower::alone(double near, double growth, const std::vector<double>& distance, double now,
                     Shares& out) const {
  const std::size_t n = plan_->zones.size();
  std::vector<std::size_t> order;
  for (std::size_t b = 0; b < n; ++b) {
    if (b != place_ && b < distance.size() && std::isfinite(distance[b])) order.push_back(b);
  }
  std::sort(order.begin(), order.end(), [&](std::size_t x, std::size_t y) {
    return std::pair(distance[x], x) < std::pair(distance[y], y);
  });
  std::vector<double> room(n);  // of each target, for this zone
  const double left = std::exp2(-(now - until_) / s_.halves_after);
  for (std::size_t b = 0; b < n; ++b) room[b] = left * static_cast<double>(plan_->alone[place_][b]);
  out.to.assign(s_.classes.size(), std::vector<double>(n));
  for (const Hold hold : {Hold::kZone, Hold::kRegion, Hold::kNone}) {  // who has the least choice goes first
    for (std::size_t c = 0; c < s_.classes.size(); ++c) {
      if (s_.classes[c] != hold) continue;
      out.to[c][place_] = near;
      const double all = static_cast<double>(demand(c)) * growth;
      double over = all * (1 - near);
      for (const std::size_t b : order) {
        const bool may =
            hold == Hold::kNone || (hold == Hold::kRegion && plan_->regions[b] == plan_->regions[place_]);
        if (!may || over <= 0) continue;
        const double goes = std::min(over, room[b]);
        out.to[c][b] = goes / all;
        over -= goes;
        room[b] -= goes;
      }
    }
  }
}

// What this zone was asked for in a class when the plan was made.
Load Follower::demand(std::size_t c) const {
  const std::vector<Load>& to = plan_->load[place_][c];
  return std::accumulate(to.begin(), to.end(), plan_->refused[place_][c]);
}

}  // namespace nettlestand::zones
