#include "zones/plan_follower.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <stdexcept>
#include <utility>

namespace nettlestand::zones {
namespace {

bool is_well_formed(const Plan& plan, std::size_t classes) {
  const std::size_t n = plan.zones.size();
  const auto loads = [](const std::vector<Load>& all, std::size_t size) {
    return all.size() == size && std::all_of(all.begin(), all.end(), [](Load l) { return l >= 0; });
  };
  if (plan.token == 0 || !(plan.lease > 0) || !std::isfinite(plan.lease)) return false;
  if (plan.regions.size() != n || plan.load.size() != n || plan.refused.size() != n ||
      plan.fallback_limits.size() != n)
    return false;
  for (std::size_t a = 0; a < n; ++a) {
    if (plan.load[a].size() != classes || !loads(plan.refused[a], classes) ||
        !loads(plan.fallback_limits[a], n)) {
      return false;
    }
    for (const std::vector<Load>& to : plan.load[a]) {
      if (!loads(to, n)) return false;
    }
  }
  return true;
}

}  // namespace

PlanFollower::PlanFollower(PlanFollowerSettings settings) : settings_(std::move(settings)) {
  if (settings_.zone.empty()) throw std::invalid_argument("zones: a node without a zone can't follow plans");
  if (!(settings_.fallback_half_life > 0))
    throw std::invalid_argument("zones: the half-life must be above 0");
}

bool PlanFollower::offer(const Plan& plan, double age, double now) {
  if (!is_well_formed(plan, settings_.classes.size()) || !(age >= 0)) return false;
  const auto own = std::find(plan.zones.begin(), plan.zones.end(), settings_.zone);
  if (own == plan.zones.end()) return false;
  if (plan_ && std::pair(plan.token, plan.epoch) <= std::pair(plan_->token, plan_->epoch)) return false;
  zone_index_ = static_cast<std::size_t>(own - plan.zones.begin());
  plan_ = plan;
  made_at_ = now - age;
  lease_end_ = made_at_ + plan.lease;
  return true;
}

const Plan* PlanFollower::plan(double now) const { return plan_ && now < lease_end_ ? &*plan_ : nullptr; }

TrafficSplit PlanFollower::split(double local_fraction, double growth, const std::vector<double>& distance,
                                 double now) const {
  TrafficSplit out;
  if (!plan_) {
    out.zones = {settings_.zone};
    out.fractions.assign(settings_.classes.size(), {1});
    return out;
  }
  out.zones = plan_->zones;
  out.from_plan = now < lease_end_;
  growth = std::max(growth, 1.0);
  local_fraction = std::clamp(local_fraction, 0.0, 1.0);
  if (out.from_plan) {
    split_by_plan(growth, out);
  } else {
    split_by_fallback(local_fraction, growth, distance, now, out);
  }
  return out;
}

void PlanFollower::split_by_plan(double growth, TrafficSplit& out) const {
  const std::size_t n = plan_->zones.size();
  for (std::size_t c = 0; c < settings_.classes.size(); ++c) {
    const std::vector<Load>& load = plan_->load[zone_index_][c];
    const auto all = static_cast<double>(demand(c));
    std::vector<double>& to = out.fractions.emplace_back(n);
    for (std::size_t b = 0; b < n && all > 0; ++b) {
      const double part = static_cast<double>(load[b]) / all;
      const double kept = b == zone_index_ ? part : part / growth;
      to[b] += kept;
      to[zone_index_] += part - kept;  // the decision module decides whether there is capacity for it
    }
    if (all == 0) to[zone_index_] = 1;  // there was no demand in this class
  }
}

void PlanFollower::split_by_fallback(double local_fraction, double growth,
                                     const std::vector<double>& distance, double now,
                                     TrafficSplit& out) const {
  const std::size_t n = plan_->zones.size();
  std::vector<std::size_t> order;
  for (std::size_t b = 0; b < n; ++b) {
    if (b != zone_index_ && b < distance.size() && std::isfinite(distance[b])) order.push_back(b);
  }
  std::sort(order.begin(), order.end(), [&](std::size_t x, std::size_t y) {
    return std::pair(distance[x], x) < std::pair(distance[y], y);
  });
  // Remaining fallback limit of each target, for this zone.
  std::vector<double> remaining(n);
  const double decay = std::exp2(-(now - lease_end_) / settings_.fallback_half_life);
  for (std::size_t b = 0; b < n; ++b)
    remaining[b] = decay * static_cast<double>(plan_->fallback_limits[zone_index_][b]);
  out.fractions.assign(settings_.classes.size(), std::vector<double>(n));
  for (const Affinity affinity :
       // The classes with the least choice go first.
       {Affinity::kZone, Affinity::kRegion, Affinity::kNone}) {
    for (std::size_t c = 0; c < settings_.classes.size(); ++c) {
      if (settings_.classes[c] != affinity) continue;
      out.fractions[c][zone_index_] = local_fraction;
      const double all = static_cast<double>(demand(c)) * growth;
      double excess = all * (1 - local_fraction);
      for (const std::size_t b : order) {
        const bool may = affinity == Affinity::kNone ||
                         (affinity == Affinity::kRegion && plan_->regions[b] == plan_->regions[zone_index_]);
        if (!may || excess <= 0) continue;
        const double sent = std::min(excess, remaining[b]);
        out.fractions[c][b] = sent / all;
        excess -= sent;
        remaining[b] -= sent;
      }
    }
  }
}

// This zone's demand of a class when the plan was made.
Load PlanFollower::demand(std::size_t c) const {
  const std::vector<Load>& to = plan_->load[zone_index_][c];
  return std::accumulate(to.begin(), to.end(), plan_->refused[zone_index_][c]);
}

}  // namespace nettlestand::zones
