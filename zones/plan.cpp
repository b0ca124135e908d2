#include "zones/plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <stdexcept>
#include <utility>

#include "zones/flow.h"

namespace nettlestand::zones {
namespace {

constexpr double kFirstStep = 1;        // s; what the first plan may move at once is what one second allows
constexpr double kLongestStep = 10;     // s; a planner that stood does not catch up
constexpr double kCostPerMs = 256'000;  // so that no way is kept for its own sake where a nearer one has room
constexpr double kMostDistance = 1e6;   // ms
constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr Load kMostLoad = Load{1} << 50;

__extension__ using Wide = __int128;

Load sum(const std::vector<Load>& all) { return std::accumulate(all.begin(), all.end(), Load{0}); }

Load part(Load whole, double share) {
  return static_cast<Load>(std::floor(static_cast<double>(whole) * share + 1e-9));
}

// `whole` split like `demand`, to the last one.
std::vector<Load> split(const std::vector<Load>& demand, Load whole) {
  std::vector<Load> out(demand.size());
  const Load all = sum(demand);
  Load seen = 0, given = 0;
  for (std::size_t i = 0; i < demand.size() && all > 0; ++i) {
    seen += demand[i];
    const Load until = static_cast<Load>(static_cast<Wide>(whole) * seen / all);
    out[i] = until - given;
    given = until;
  }
  return out;
}

std::string said(Load load) { return std::to_string(load / 1000); }

}  // namespace

Planner::Planner(PlannerSettings settings) : s_(std::move(settings)) {
  const auto part = [](double x) { return x >= 0 && x <= 1; };
  if (!part(s_.head_room) || !part(s_.relapse))
    throw std::invalid_argument("zones: a part is not from 0 to 1");
  if (!(s_.move_rate > 0) || !(s_.back_rate > 0)) throw std::invalid_argument("zones: a rate is not above 0");
  if (!(s_.hold >= 0) || !(s_.longest_hold >= s_.hold) || !(s_.calm >= 0) ||
      !std::isfinite(s_.longest_hold)) {
    throw std::invalid_argument("zones: holds have to go from 0 up to the longest");
  }
}

void Planner::check(const Facts& facts) const {
  const std::size_t n = facts.zones.size();
  if (!std::isfinite(facts.at) || facts.at < at_) throw std::invalid_argument("zones: time runs backwards");
  if (facts.distance.size() != n) throw std::invalid_argument("zones: distances are not those of the zones");
  std::map<std::string, int> names;
  for (std::size_t a = 0; a < n; ++a) {
    const ZoneFacts& z = facts.zones[a];
    if (++names[z.zone] > 1) throw std::invalid_argument("zones: " + z.zone + " is named twice");
    if (z.capacity < 0 || z.capacity > kMostLoad || !(z.open >= 0 && z.open <= 1)) {
      throw std::invalid_argument("zones: the capacity of " + z.zone + " can't be");
    }
    if (z.demand.size() != s_.classes.size()) {
      throw std::invalid_argument("zones: the demand of " + z.zone + " is not by class");
    }
    for (const Load d : z.demand) {
      if (d < 0 || d > kMostLoad) throw std::invalid_argument("zones: the demand of " + z.zone + " can't be");
    }
    if (facts.distance[a].size() != n)
      throw std::invalid_argument("zones: distances are not those of the zones");
    for (const double d : facts.distance[a]) {
      if (!(d >= 0) || (std::isfinite(d) && d > kMostDistance)) {
        throw std::invalid_argument("zones: a distance from " + z.zone + " can't be");
      }
    }
  }
}

// Guards against a zone that looks well and is not: what it loses counts at once, what it gets back later.
Load Planner::counted(const std::string& zone, Load capacity, double now, double step) {
  const auto [it, fresh] = trust_.try_emplace(zone);
  Trust& t = it->second;
  if (fresh) {
    t.counts = capacity;
    t.hold = s_.hold;
  }
  t.seen = now;
  if (capacity <= t.counts) {
    // What goes on falling is one relapse; the next one comes once it has begun to be back.
    if (t.rose && t.counts - capacity > part(t.counts, s_.relapse)) {
      t.hold = now - t.relapsed_at < s_.calm ? std::min(s_.longest_hold, t.hold * 2) : s_.hold;
      t.relapsed_at = now;
      t.rose = false;
    }
    t.counts = capacity;
    t.better_since = kNever;
  } else {
    t.better_since = std::min(t.better_since, now);
    if (now - t.better_since >= t.hold) {
      t.counts = std::min(capacity, t.counts + std::max<Load>(1, part(capacity, s_.back_rate * step)));
      t.rose = true;
    }
  }
  return t.counts;
}

Plan Planner::decide(const Facts& facts) {
  check(facts);
  const std::size_t n = facts.zones.size(), classes = s_.classes.size();
  const bool first = !std::isfinite(at_);
  const double step = first ? kFirstStep : std::min(facts.at - at_, kLongestStep);
  at_ = facts.at;

  // A zone of which nothing is told any more has lost all it had.
  for (auto it = trust_.begin(); it != trust_.end();) {
    const bool told = std::any_of(facts.zones.begin(), facts.zones.end(),
                                  [&](const ZoneFacts& z) { return z.zone == it->first; });
    const bool forget = !told && facts.at - it->second.seen >= std::max(s_.calm, s_.longest_hold);
    if (!told) it->second.counts = 0;
    it = forget ? trust_.erase(it) : std::next(it);
  }

  Plan out;
  std::vector<Load> usable(n), counts(n), left(n);  // left: of what counts, beside a zone's own demand
  for (std::size_t a = 0; a < n; ++a) {
    const ZoneFacts& z = facts.zones[a];
    out.zones.push_back(z.zone);
    out.regions.push_back(z.region);
    usable[a] = part(z.capacity, z.open);
    left[a] = counts[a] = counted(z.zone, usable[a], facts.at, step);
    out.load.emplace_back(classes, std::vector<Load>(n));
    out.refused.push_back(z.demand);  // what finds no place stays here
  }
  // Of what still has no place in its class, `load` of a kind of classes goes to a zone.
  const auto put = [&](std::size_t a, Hold hold, std::size_t b, Load load) {
    std::vector<Load> waits(classes);
    for (std::size_t c = 0; c < classes; ++c) waits[c] = s_.classes[c] == hold ? out.refused[a][c] : 0;
    load = std::min(load, sum(waits));
    const std::vector<Load> parts = split(waits, load);
    for (std::size_t c = 0; c < classes; ++c) {
      out.load[a][c][b] += parts[c];
      out.refused[a][c] -= parts[c];
    }
    return load;
  };
  const auto waiting = [&](std::size_t a, Hold hold) {
    Load all = 0;
    for (std::size_t c = 0; c < classes; ++c) all += s_.classes[c] == hold ? out.refused[a][c] : 0;
    return all;
  };

  // Near first; what may not move goes before what may, or room elsewhere would be of no use.
  for (std::size_t a = 0; a < n; ++a) {
    for (const Hold hold : {Hold::kZone, Hold::kRegion, Hold::kNone}) left[a] -= put(a, hold, a, left[a]);
  }

  // What is over moves. Its way so far is a little cheaper, so that equals do not swap.
  Flow flow(3 * n + 2);
  const std::size_t source = 3 * n, sink = 3 * n + 1;
  struct Edge {
    std::size_t from, to, way;
    Hold hold;
  };
  std::vector<Edge> edges;
  for (std::size_t b = 0; b < n; ++b) {
    const ZoneFacts& z = facts.zones[b];
    const Load room = std::max<Load>(0, left[b] - (counts[b] - part(counts[b], 1 - s_.head_room)));
    const Load grown = moved_to_[z.zone] + std::max<Load>(1, part(counts[b], s_.move_rate * step));
    flow.add(2 * n + b, sink, std::min(room, grown), 0);
    left[b] = room;
  }
  for (std::size_t a = 0; a < n; ++a) {
    for (const Hold hold : {Hold::kRegion, Hold::kNone}) {
      const std::size_t from = a + (hold == Hold::kNone ? n : 0);
      const Load over = waiting(a, hold);
      flow.add(source, from, over, 0);
      for (std::size_t b = 0; b < n; ++b) {
        const ZoneFacts &z = facts.zones[a], &other = facts.zones[b];
        if (a == b || !std::isfinite(facts.distance[a][b])) continue;
        if (hold == Hold::kRegion && z.region != other.region) continue;
        const auto cost = static_cast<std::int64_t>(std::llround(facts.distance[a][b] * kCostPerMs));
        const auto kept = moved_.find({z.zone, hold, other.zone});
        const Load so_far = kept == moved_.end() ? 0 : kept->second;
        edges.push_back({a, b, flow.add(from, 2 * n + b, std::min(over, so_far), cost), hold});
        edges.push_back({a, b, flow.add(from, 2 * n + b, over, cost + 1), hold});
      }
    }
  }
  flow.run(source, sink);
  moved_.clear();
  moved_to_.clear();
  std::vector<Load> came(n), went(n);
  for (const Edge& e : edges) {
    const Load load = put(e.from, e.hold, e.to, flow.over(e.way));
    if (load == 0) continue;
    moved_[{facts.zones[e.from].zone, e.hold, facts.zones[e.to].zone}] += load;
    moved_to_[facts.zones[e.to].zone] += load;
    came[e.to] += load;
    went[e.from] += load;
  }

  // What nobody takes may use all that is really there, also what does not count yet. From then on it counts:
  // what is served near must not leave because others come back quicker.
  for (std::size_t a = 0; a < n; ++a) {
    Load own = 0;
    for (std::size_t c = 0; c < classes; ++c) own += out.load[a][c][a];
    for (const Hold hold : {Hold::kZone, Hold::kRegion, Hold::kNone}) {
      own += put(a, hold, a, std::max<Load>(0, usable[a] - came[a] - own));
    }
    Trust& trust = trust_[out.zones[a]];
    if (own > trust.counts) trust.rose = true;
    counts[a] = trust.counts = std::max(trust.counts, own);
  }

  // Alone: each zone's part of a target's room goes by its demand.
  std::vector<Load> demand(n);
  for (std::size_t a = 0; a < n; ++a) demand[a] = sum(facts.zones[a].demand);
  out.alone.assign(n, std::vector<Load>(n));
  for (std::size_t b = 0; b < n; ++b) {
    std::vector<Load> others = demand;
    for (std::size_t a = 0; a < n; ++a) {
      if (a == b || !std::isfinite(facts.distance[a][b])) others[a] = 0;
    }
    const std::vector<Load> parts = split(others, left[b]);
    for (std::size_t a = 0; a < n; ++a) out.alone[a][b] = parts[a];
  }

  for (std::size_t a = 0; a < n; ++a) {
    const Load refused = sum(out.refused[a]);
    if (went[a] == 0 && refused == 0 && counts[a] == usable[a]) continue;
    out.why.push_back(out.zones[a] + ": asked for " + said(demand[a]) + "/s, can take " + said(usable[a]) +
                      ", of which " + said(counts[a]) + " count; moves " + said(went[a]) + ", refuses " +
                      said(refused));
  }
  return out;
}

// Water-filling: who asks for less than its part of what is left has all of it, and the rest is shared anew.
std::vector<Load> fair_parts(const std::vector<Load>& demand, const std::vector<double>& shares, Load room) {
  if (demand.size() != shares.size()) throw std::invalid_argument("zones: a share for each tenant is wanted");
  room = std::clamp<Load>(room, 0, sum(demand));
  std::vector<Load> out(demand.size());
  // Those without a share come last, alike among themselves.
  for (const bool with_share : {true, false}) {
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < demand.size(); ++i) {
      if ((shares[i] > 0) == with_share && demand[i] > 0) open.push_back(i);
    }
    const auto share = [&](std::size_t i) { return with_share ? shares[i] : 1.0; };
    std::sort(open.begin(), open.end(), [&](std::size_t x, std::size_t y) {
      return std::pair(static_cast<double>(demand[x]) / share(x), x) <
             std::pair(static_cast<double>(demand[y]) / share(y), y);
    });
    double all = 0;
    for (const std::size_t i : open) all += share(i);
    for (const std::size_t i : open) {  // from who wants the least for its share
      const Load mine = std::min(demand[i], part(room, share(i) / all));
      out[i] = mine;
      room -= mine;
      all -= share(i);
    }
    for (auto it = open.rbegin(); it != open.rend() && room > 0; ++it) {  // what rounding has left
      const Load more = std::min(room, demand[*it] - out[*it]);
      out[*it] += more;
      room -= more;
    }
  }
  return out;
}

}  // namespace nettlestand::zones
