#include "zones/planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <stdexcept>
#include <utility>

#include "zones/min_cost_flow.h"

namespace nettlestand::zones {
namespace {

// The first plan may move at once what max_move_rate allows in this time.
constexpr double kFirstStepSeconds = 1;
// A stalled planner does not catch up on the missed time.
constexpr double kMaxStepSeconds = 10;
// Large enough that keeping an earlier route never outweighs a nearer zone with capacity.
constexpr double kCostPerMs = 256'000;
constexpr double kMaxDistanceMs = 1e6;
constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr Load kMaxLoad = Load{1} << 50;

__extension__ using Int128 = __int128;

Load sum(const std::vector<Load>& all) { return std::accumulate(all.begin(), all.end(), Load{0}); }

Load fraction_of(Load whole, double share) {
  return static_cast<Load>(std::floor(static_cast<double>(whole) * share + 1e-9));
}

// Splits `whole` in proportion to `demand`, exactly.
std::vector<Load> split_in_proportion(const std::vector<Load>& demand, Load whole) {
  std::vector<Load> out(demand.size());
  const Load all = sum(demand);
  Load seen = 0, given = 0;
  for (std::size_t i = 0; i < demand.size() && all > 0; ++i) {
    seen += demand[i];
    const Load until = static_cast<Load>(static_cast<Int128>(whole) * seen / all);
    out[i] = until - given;
    given = until;
  }
  return out;
}

std::string per_second(Load load) { return std::to_string(load / 1000); }

}  // namespace

Planner::Planner(PlannerSettings settings) : settings_(std::move(settings)) {
  const auto is_fraction = [](double x) { return x >= 0 && x <= 1; };
  if (!is_fraction(settings_.headroom) || !is_fraction(settings_.relapse_threshold))
    throw std::invalid_argument("zones: headroom and relapse threshold must be from 0 to 1");
  if (!(settings_.max_move_rate > 0) || !(settings_.recovery_rate > 0))
    throw std::invalid_argument("zones: rates must be above 0");
  if (!(settings_.recovery_hold >= 0) || !(settings_.max_recovery_hold >= settings_.recovery_hold) ||
      !(settings_.relapse_memory >= 0) || !std::isfinite(settings_.max_recovery_hold)) {
    throw std::invalid_argument("zones: recovery holds must be from 0 to the maximum");
  }
}

void Planner::check(const PlanInput& input) const {
  const std::size_t n = input.zones.size();
  if (!std::isfinite(input.now) || input.now < planned_at_)
    throw std::invalid_argument("zones: the time is before that of the last plan");
  if (input.distance.size() != n) throw std::invalid_argument("zones: the distances don't match the zones");
  std::map<std::string, int> names;
  for (std::size_t a = 0; a < n; ++a) {
    const ZoneInput& z = input.zones[a];
    if (++names[z.zone] > 1) throw std::invalid_argument("zones: " + z.zone + " is listed twice");
    if (z.capacity < 0 || z.capacity > kMaxLoad || !(z.available >= 0 && z.available <= 1)) {
      throw std::invalid_argument("zones: the capacity of " + z.zone + " is invalid");
    }
    if (z.demand.size() != settings_.classes.size()) {
      throw std::invalid_argument("zones: the demand of " + z.zone + " does not match the classes");
    }
    for (const Load d : z.demand) {
      if (d < 0 || d > kMaxLoad)
        throw std::invalid_argument("zones: the demand of " + z.zone + " is invalid");
    }
    if (input.distance[a].size() != n)
      throw std::invalid_argument("zones: the distances don't match the zones");
    for (const double d : input.distance[a]) {
      if (!(d >= 0) || (std::isfinite(d) && d > kMaxDistanceMs)) {
        throw std::invalid_argument("zones: a distance from " + z.zone + " is invalid");
      }
    }
  }
}

// Protects against a zone that only seems healthy: lost capacity counts as lost at once, regained capacity
// counts later.
Load Planner::trusted_capacity(const std::string& zone, Load capacity, double now, double step) {
  const auto [it, fresh] = recovery_.try_emplace(zone);
  Recovery& t = it->second;
  if (fresh) {
    t.trusted = capacity;
    t.hold = settings_.recovery_hold;
  }
  t.seen_at = now;
  if (capacity <= t.trusted) {
    // A continued fall is one relapse; the next one can come only after the zone has begun to recover.
    if (t.recovered && t.trusted - capacity > fraction_of(t.trusted, settings_.relapse_threshold)) {
      t.hold = now - t.relapsed_at < settings_.relapse_memory
                   ? std::min(settings_.max_recovery_hold, t.hold * 2)
                   : settings_.recovery_hold;
      t.relapsed_at = now;
      t.recovered = false;
    }
    t.trusted = capacity;
    t.better_since = kNever;
  } else {
    t.better_since = std::min(t.better_since, now);
    if (now - t.better_since >= t.hold) {
      t.trusted = std::min(
          capacity, t.trusted + std::max<Load>(1, fraction_of(capacity, settings_.recovery_rate * step)));
      t.recovered = true;
    }
  }
  return t.trusted;
}

Plan Planner::make_plan(const PlanInput& input) {
  check(input);
  const std::size_t n = input.zones.size(), classes = settings_.classes.size();
  const bool first = !std::isfinite(planned_at_);
  const double step = first ? kFirstStepSeconds : std::min(input.now - planned_at_, kMaxStepSeconds);
  planned_at_ = input.now;

  // A zone that is no longer in the input has lost all its capacity.
  for (auto it = recovery_.begin(); it != recovery_.end();) {
    const bool told = std::any_of(input.zones.begin(), input.zones.end(),
                                  [&](const ZoneInput& z) { return z.zone == it->first; });
    const bool forget = !told && input.now - it->second.seen_at >=
                                     std::max(settings_.relapse_memory, settings_.max_recovery_hold);
    if (!told) it->second.trusted = 0;
    it = forget ? recovery_.erase(it) : std::next(it);
  }

  Plan out;
  // spare: trusted capacity beyond the zone's own demand.
  std::vector<Load> usable(n), trusted(n), spare(n);
  for (std::size_t a = 0; a < n; ++a) {
    const ZoneInput& z = input.zones[a];
    out.zones.push_back(z.zone);
    out.regions.push_back(z.region);
    usable[a] = fraction_of(z.capacity, z.available);
    spare[a] = trusted[a] = trusted_capacity(z.zone, usable[a], input.now, step);
    out.load.emplace_back(classes, std::vector<Load>(n));
    out.refused.push_back(z.demand);  // what is not assigned stays here
  }
  // Assigns up to `load` of a zone's unassigned demand with this affinity to a zone; returns the assigned
  // amount.
  const auto assign = [&](std::size_t a, Affinity affinity, std::size_t b, Load load) {
    std::vector<Load> waiting(classes);
    for (std::size_t c = 0; c < classes; ++c)
      waiting[c] = settings_.classes[c] == affinity ? out.refused[a][c] : 0;
    load = std::min(load, sum(waiting));
    const std::vector<Load> parts = split_in_proportion(waiting, load);
    for (std::size_t c = 0; c < classes; ++c) {
      out.load[a][c][b] += parts[c];
      out.refused[a][c] -= parts[c];
    }
    return load;
  };
  const auto unassigned = [&](std::size_t a, Affinity affinity) {
    Load all = 0;
    for (std::size_t c = 0; c < classes; ++c) all += settings_.classes[c] == affinity ? out.refused[a][c] : 0;
    return all;
  };

  // Own zone first. Demand that may not move goes before demand that may, or capacity elsewhere would be of
  // no use.
  for (std::size_t a = 0; a < n; ++a) {
    for (const Affinity affinity : {Affinity::kZone, Affinity::kRegion, Affinity::kNone})
      spare[a] -= assign(a, affinity, a, spare[a]);
  }

  // The excess moves. Its former routes are slightly cheaper, so that equal alternatives don't alternate.
  MinCostFlow flow(3 * n + 2);
  const std::size_t source = 3 * n, sink = 3 * n + 1;
  struct Edge {
    std::size_t from, to, edge;
    Affinity affinity;
  };
  std::vector<Edge> edges;
  for (std::size_t b = 0; b < n; ++b) {
    const ZoneInput& z = input.zones[b];
    const Load unused =
        std::max<Load>(0, spare[b] - (trusted[b] - fraction_of(trusted[b], 1 - settings_.headroom)));
    const Load grown =
        moved_to_[z.zone] + std::max<Load>(1, fraction_of(trusted[b], settings_.max_move_rate * step));
    flow.add_edge(2 * n + b, sink, std::min(unused, grown), 0);
    spare[b] = unused;
  }
  for (std::size_t a = 0; a < n; ++a) {
    for (const Affinity affinity : {Affinity::kRegion, Affinity::kNone}) {
      const std::size_t from = a + (affinity == Affinity::kNone ? n : 0);
      const Load excess = unassigned(a, affinity);
      flow.add_edge(source, from, excess, 0);
      for (std::size_t b = 0; b < n; ++b) {
        const ZoneInput &z = input.zones[a], &other = input.zones[b];
        if (a == b || !std::isfinite(input.distance[a][b])) continue;
        if (affinity == Affinity::kRegion && z.region != other.region) continue;
        const auto cost = static_cast<std::int64_t>(std::llround(input.distance[a][b] * kCostPerMs));
        const auto kept = moved_.find({z.zone, affinity, other.zone});
        const Load so_far = kept == moved_.end() ? 0 : kept->second;
        edges.push_back({a, b, flow.add_edge(from, 2 * n + b, std::min(excess, so_far), cost), affinity});
        edges.push_back({a, b, flow.add_edge(from, 2 * n + b, excess, cost + 1), affinity});
      }
    }
  }
  flow.solve(source, sink);
  moved_.clear();
  moved_to_.clear();
  std::vector<Load> moved_in(n), moved_out(n);
  for (const Edge& e : edges) {
    const Load load = assign(e.from, e.affinity, e.to, flow.flow_on(e.edge));
    if (load == 0) continue;
    moved_[{input.zones[e.from].zone, e.affinity, input.zones[e.to].zone}] += load;
    moved_to_[input.zones[e.to].zone] += load;
    moved_in[e.to] += load;
    moved_out[e.from] += load;
  }

  // Demand that no zone takes may use all capacity that is really there, also what is not trusted yet. That
  // capacity is trusted from then on: demand served in its own zone must not leave because other zones
  // recover faster.
  for (std::size_t a = 0; a < n; ++a) {
    Load own = 0;
    for (std::size_t c = 0; c < classes; ++c) own += out.load[a][c][a];
    for (const Affinity affinity : {Affinity::kZone, Affinity::kRegion, Affinity::kNone}) {
      own += assign(a, affinity, a, std::max<Load>(0, usable[a] - moved_in[a] - own));
    }
    Recovery& recovery = recovery_[out.zones[a]];
    if (own > recovery.trusted) recovery.recovered = true;
    trusted[a] = recovery.trusted = std::max(recovery.trusted, own);
  }

  // Fallback: a target's spare capacity is divided among the other zones by their demand.
  std::vector<Load> demand(n);
  for (std::size_t a = 0; a < n; ++a) demand[a] = sum(input.zones[a].demand);
  out.fallback_limits.assign(n, std::vector<Load>(n));
  for (std::size_t b = 0; b < n; ++b) {
    std::vector<Load> others = demand;
    for (std::size_t a = 0; a < n; ++a) {
      if (a == b || !std::isfinite(input.distance[a][b])) others[a] = 0;
    }
    const std::vector<Load> parts = split_in_proportion(others, spare[b]);
    for (std::size_t a = 0; a < n; ++a) out.fallback_limits[a][b] = parts[a];
  }

  for (std::size_t a = 0; a < n; ++a) {
    const Load refused = sum(out.refused[a]);
    if (moved_out[a] == 0 && refused == 0 && trusted[a] == usable[a]) continue;
    out.explanations.push_back(out.zones[a] + " (calls/s): demand " + per_second(demand[a]) + ", capacity " +
                               per_second(usable[a]) + ", trusted " + per_second(trusted[a]) + "; moved " +
                               per_second(moved_out[a]) + ", refused " + per_second(refused));
  }
  return out;
}

// Water-filling: a tenant whose demand is below its part of the remaining capacity gets all of it, and the
// rest is divided anew.
std::vector<Load> max_min_fair_shares(const std::vector<Load>& demand, const std::vector<double>& shares,
                                      Load capacity) {
  if (demand.size() != shares.size()) throw std::invalid_argument("zones: each tenant needs a share");
  capacity = std::clamp<Load>(capacity, 0, sum(demand));
  std::vector<Load> out(demand.size());
  // Tenants without a share come last, with equal parts.
  for (const bool with_share : {true, false}) {
    std::vector<std::size_t> unserved;
    for (std::size_t i = 0; i < demand.size(); ++i) {
      if ((shares[i] > 0) == with_share && demand[i] > 0) unserved.push_back(i);
    }
    const auto share = [&](std::size_t i) { return with_share ? shares[i] : 1.0; };
    std::sort(unserved.begin(), unserved.end(), [&](std::size_t x, std::size_t y) {
      return std::pair(static_cast<double>(demand[x]) / share(x), x) <
             std::pair(static_cast<double>(demand[y]) / share(y), y);
    });
    double all = 0;
    for (const std::size_t i : unserved) all += share(i);
    for (const std::size_t i : unserved) {  // by increasing demand relative to the share
      const Load mine = std::min(demand[i], fraction_of(capacity, share(i) / all));
      out[i] = mine;
      capacity -= mine;
      all -= share(i);
    }
    for (auto it = unserved.rbegin(); it != unserved.rend() && capacity > 0;
         ++it) {  // the remainder of rounding
      const Load more = std::min(capacity, demand[*it] - out[*it]);
      out[*it] += more;
      capacity -= more;
    }
  }
  return out;
}

}  // namespace nettlestand::zones
