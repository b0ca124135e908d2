// Plans: exhaustive over small worlds, random walks over large ones, and typical sequences of failures.
#include "zones/planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <stdexcept>

namespace nettlestand::zones {
namespace {

const std::vector<Affinity> kClasses = {Affinity::kNone, Affinity::kRegion, Affinity::kZone};

Load sum(const std::vector<Load>& all) { return std::accumulate(all.begin(), all.end(), Load{0}); }

// Zones a, b and c; the first two are in one region and close to each other.
PlanInput three(double at, const std::vector<Load>& capacity, const std::vector<std::vector<Load>>& demand) {
  PlanInput out;
  out.now = at;
  const char* const names[] = {"a", "b", "c"};
  for (std::size_t i = 0; i < 3; ++i) {
    out.zones.push_back({names[i], i < 2 ? "west" : "east", capacity[i], 1, demand[i]});
  }
  out.distance = {{0, 1, 8}, {1, 0, 7}, {8, 7, 0}};
  return out;
}

// One class that may go anywhere.
PlannerSettings free_to_move() {
  PlannerSettings out;
  out.classes = {Affinity::kNone};
  return out;
}

Load capacity_of(const ZoneInput& z) {
  return static_cast<Load>(std::floor(static_cast<double>(z.capacity) * z.available + 1e-9));
}

struct Sums {
  std::vector<Load> own, moved_in, moved_out;  // by zone: kept in the zone, moved in, moved out
  Load moved = 0, refused = 0;
};
Sums sums(const Plan& p) {
  const std::size_t n = p.zones.size();
  Sums out{std::vector<Load>(n), std::vector<Load>(n), std::vector<Load>(n)};
  for (std::size_t a = 0; a < n; ++a) {
    out.refused += sum(p.refused[a]);
    for (const auto& to : p.load[a]) {
      for (std::size_t b = 0; b < n; ++b) {
        (a == b ? out.own[a] : out.moved_in[b]) += to[b];
        if (a != b) out.moved_out[a] += to[b];
        if (a != b) out.moved += to[b];
      }
    }
  }
  return out;
}

// The invariants of every plan, whatever came before it. Empty if they hold.
std::string violated_invariant(const PlannerSettings& s, const PlanInput& f, const Plan& p) {
  const std::size_t n = f.zones.size();
  const Sums all = sums(p);
  for (std::size_t a = 0; a < n; ++a) {
    const ZoneInput& z = f.zones[a];
    for (std::size_t c = 0; c < s.classes.size(); ++c) {
      Load kept = p.refused[a][c];
      if (kept < 0) return z.zone + ": refuses a negative amount";
      for (std::size_t b = 0; b < n; ++b) {
        const Load to = p.load[a][c][b];
        if (to < 0) return z.zone + ": sends a negative amount";
        kept += to;
        if (to == 0 || a == b) continue;
        if (s.classes[c] == Affinity::kZone) return z.zone + ": moves demand bound to it";
        if (s.classes[c] == Affinity::kRegion && z.region != f.zones[b].region)
          return z.zone + ": moves demand bound to its region";
        if (!std::isfinite(f.distance[a][b])) return z.zone + ": sends to an unreachable zone";
      }
      if (kept != z.demand[c]) return z.zone + ": demand is lost or invented";
    }
    const Load can = capacity_of(z);
    if (all.own[a] + all.moved_in[a] > can) return z.zone + ": gets more than its capacity";
    if (all.moved_in[a] > 0 &&
        static_cast<double>(all.own[a] + all.moved_in[a]) > (1 - s.headroom) * static_cast<double>(can) + 1)
      return z.zone + ": moved traffic uses its headroom";
    if (sum(p.refused[a]) > 0 && all.own[a] + all.moved_in[a] < can)
      return z.zone + ": refuses demand that it could serve itself";
    Load together = 0;
    for (std::size_t b = 0; b < n; ++b) together += p.fallback_limits[b][a];
    const double beside = (1 - s.headroom) * static_cast<double>(can) - static_cast<double>(all.own[a]);
    if (static_cast<double>(together) > std::max(0.0, beside) + 1)
      return z.zone + ": the fallback limits together exceed its spare capacity";
  }
  return "";
}

// Where all capacity is trusted and the rates don't limit: no further unit could be served, kept in its zone
// or moved over a shorter distance. Searches for an improvement through any number of zones.
std::string possible_improvement(const PlannerSettings& s, const PlanInput& f, const Plan& p) {
  const std::size_t n = f.zones.size();
  const Sums all = sums(p);
  // Nodes: each zone's demand by affinity, then each zone as a target. The flow over an edge can be taken
  // back.
  const std::vector<Affinity> affinities = {Affinity::kZone, Affinity::kRegion, Affinity::kNone};
  const std::size_t nodes = 4 * n;
  std::vector<std::vector<Load>> flow(3 * n, std::vector<Load>(n));
  std::vector<Load> refused(3 * n);
  for (std::size_t a = 0; a < n; ++a) {
    for (std::size_t c = 0; c < s.classes.size(); ++c) {
      const std::size_t h = static_cast<std::size_t>(
          std::find(affinities.begin(), affinities.end(), s.classes[c]) - affinities.begin());
      refused[a * 3 + h] += p.refused[a][c];
      for (std::size_t b = 0; b < n; ++b) flow[a * 3 + h][b] += p.load[a][c][b];
    }
  }
  const auto may = [&](std::size_t from, std::size_t b) {
    const std::size_t a = from / 3;
    if (a == b) return true;
    if (!std::isfinite(f.distance[a][b]) || affinities[from % 3] == Affinity::kZone) return false;
    return affinities[from % 3] == Affinity::kNone || f.zones[a].region == f.zones[b].region;
  };
  // Moved traffic leaves the headroom free; a zone's own demand does not.
  const auto spare = [&](std::size_t b, bool moved) {
    const double part = moved ? 1 - s.headroom : 1;
    return static_cast<Load>(std::floor(static_cast<double>(capacity_of(f.zones[b])) * part + 1e-9)) -
           all.own[b] - all.moved_in[b];
  };
  // Distances from each demand, over edges that could be used (adding the cost) or taken back (subtracting
  // it).
  constexpr double kInfiniteCost = 1e18;
  for (std::size_t from = 0; from < 3 * n; ++from) {
    std::vector<double> cost(nodes, kInfiniteCost);
    std::vector<std::size_t> last(nodes, nodes);
    cost[from] = 0;
    for (std::size_t round = 0; round <= nodes; ++round) {
      bool changed = false;
      for (std::size_t x = 0; x < 3 * n; ++x) {
        for (std::size_t b = 0; b < n; ++b) {
          if (!may(x, b)) continue;
          // The own zone is always better than any other.
          const double way = x / 3 == b ? 0 : 1e6 + f.distance[x / 3][b];
          if (cost[x] < kInfiniteCost && cost[x] + way < cost[3 * n + b] - 1e-6) {
            cost[3 * n + b] = cost[x] + way;
            last[3 * n + b] = x;
            changed = true;
          }
          // Demand that is served in its own zone stays there.
          if (x / 3 != b && flow[x][b] > 0 && cost[3 * n + b] < kInfiniteCost &&
              cost[3 * n + b] - way < cost[x] - 1e-6) {
            cost[x] = cost[3 * n + b] - way;
            last[x] = 3 * n + b;
            changed = true;
          }
        }
      }
      if (!changed) break;
      if (round == nodes) return "a cycle of moves would be shorter";
    }
    for (std::size_t b = 0; b < n; ++b) {
      if (cost[3 * n + b] >= kInfiniteCost) continue;
      const std::size_t previous = last[3 * n + b];
      const bool moved = previous / 3 != b;
      if (refused[from] > 0 && spare(b, moved) > 0) return "more could be served";
    }
  }
  return "";
}

TEST(Plan, IsTheBestInEverySmallWorld) {
  const PlannerSettings s = [] {
    PlannerSettings out;
    out.classes = kClasses;
    out.max_move_rate = 1e6;
    return out;
  }();
  const std::vector<std::vector<Load>> demands = {{0, 0, 0},    {30, 0, 0}, {0, 30, 0}, {0, 0, 30},
                                                  {10, 20, 30}, {90, 0, 0}, {40, 40, 0}};
  const std::vector<Load> capacities = {0, 10, 40, 100};
  int worlds = 0;
  for (const auto& da : demands) {
    for (const auto& db : demands) {
      for (const auto& dc : demands) {
        for (const Load ca : capacities) {
          for (const Load cb : capacities) {
            for (const Load cc : capacities) {
              const PlanInput f = three(0, {ca, cb, cc}, {da, db, dc});
              const Plan p = Planner(s).make_plan(f);
              ASSERT_EQ(violated_invariant(s, f, p), "");
              ASSERT_EQ(possible_improvement(s, f, p), "")
                  << ca << ' ' << cb << ' ' << cc << " d " << sum(da) << ' ' << sum(db) << ' ' << sum(dc);
              ++worlds;
            }
          }
        }
      }
    }
  }
  EXPECT_EQ(worlds, 7 * 7 * 7 * 4 * 4 * 4);
}

// From each small world to each other one: the invariants hold at each step, and the plan settles on the
// optimum and stays there.
TEST(Plan, ComesToRestAfterEveryChange) {
  PlannerSettings s;
  s.classes = kClasses;
  s.recovery_hold = 2;
  const std::vector<std::pair<Load, std::vector<Load>>> zones = {
      {0, {20, 0, 0}}, {50, {20, 0, 0}}, {100, {40, 10, 10}}, {60, {0, 90, 0}}, {100, {0, 0, 0}}};
  const auto world = [&](std::size_t number, double at) {
    std::vector<Load> capacity;
    std::vector<std::vector<Load>> demand;
    for (int i = 0; i < 3; ++i, number /= zones.size()) {
      capacity.push_back(zones[number % zones.size()].first);
      demand.push_back(zones[number % zones.size()].second);
    }
    return three(at, capacity, demand);
  };
  const std::size_t worlds = zones.size() * zones.size() * zones.size();
  for (std::size_t from = 0; from < worlds; ++from) {
    for (std::size_t to = 0; to < worlds; ++to) {
      Planner planner(s);
      planner.make_plan(world(from, 0));
      Plan before, now;
      int turned_again = 0;
      Load last[9] = {};
      bool fell[9] = {};
      for (int i = 1; i <= 30; ++i) {
        const PlanInput f = world(to, i);
        now = planner.make_plan(f);
        ASSERT_EQ(violated_invariant(s, f, now), "") << from << " to " << to << " at " << i;
        // The flow over an edge rises, and may fall once other zones have capacity again; it never rises a
        // second time.
        for (std::size_t w = 0; w < 9; ++w) {
          Load over = 0;
          for (const auto& to : now.load[w / 3]) over += w / 3 == w % 3 ? 0 : to[w % 3];
          if (i > 1 && over < last[w]) fell[w] = true;
          if (i > 1 && over > last[w] && fell[w]) ++turned_again;
          last[w] = over;
        }
        if (i == 29) before = now;
      }
      ASSERT_EQ(turned_again, 0) << from << " to " << to;
      ASSERT_EQ(before.load, now.load) << from << " to " << to;
      ASSERT_EQ(possible_improvement(s, world(to, 30), now), "") << from << " to " << to;
    }
  }
}

TEST(Plan, HoldsTheRulesOnRandomCourses) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&](std::uint64_t below) { return static_cast<Load>(random() % below); };
    const std::size_t n = 2 + random() % 9;
    PlannerSettings s;
    s.classes = kClasses;
    s.recovery_hold = static_cast<double>(random() % 6);
    Planner planner(s);
    PlanInput f;
    f.distance.assign(n, std::vector<double>(n));
    for (std::size_t a = 0; a < n; ++a) {
      f.zones.push_back({"z" + std::to_string(a),
                         "r" + std::to_string(a % 3),
                         100'000 + draw(900'000),
                         1,
                         {draw(300'000), draw(100'000), draw(100'000)}});
      for (std::size_t b = 0; b < n; ++b)
        f.distance[a][b] = a == b ? 0 : 1 + static_cast<double>(random() % 50);
    }
    std::vector<Load> moved_in_before;
    for (int step = 0; step < 150; ++step) {
      f.now += 0.2 + static_cast<double>(random() % 10) / 10;
      ZoneInput& z = f.zones[random() % n];
      switch (random() % 8) {
        case 0:
          z.capacity = 0;
          break;
        case 1:
          z.capacity = 100'000 + draw(900'000);
          break;
        case 2:
          z.demand[random() % 3] = draw(600'000);
          break;
        case 3:
          z.available = static_cast<double>(random() % 5) / 4;
          break;
        case 4:
          f.distance[random() % n][random() % n] = kUnreachable;
          break;
        case 5:
          for (auto& row : f.distance)
            for (auto& d : row) d = std::isfinite(d) ? d : 9;
          break;
        default:
          break;
      }
      const Plan p = planner.make_plan(f);
      ASSERT_EQ(violated_invariant(s, f, p), "") << "seed " << seed << " step " << step;
      // The traffic moved to a zone grows at no more than the maximum rate.
      const Sums all = sums(p);
      for (std::size_t b = 0; b < n && !moved_in_before.empty(); ++b) {
        const double most = static_cast<double>(moved_in_before[b]) +
                            s.max_move_rate * 1.2 * static_cast<double>(capacity_of(f.zones[b])) + 1;
        ASSERT_LE(static_cast<double>(all.moved_in[b]), most) << "seed " << seed << " step " << step;
      }
      moved_in_before = all.moved_in;
    }
  }
}

TEST(Plan, MovesALostZonesTrafficWithinTwoSeconds) {
  Planner planner(free_to_move());
  const std::vector<std::vector<Load>> demand = {{50'000}, {50'000}, {50'000}};
  EXPECT_EQ(sums(planner.make_plan(three(0, {100'000, 100'000, 100'000}, demand))).moved, 0);
  Sums s;
  for (int i = 1; i <= 4; ++i) s = sums(planner.make_plan(three(i * 0.5, {0, 100'000, 100'000}, demand)));
  EXPECT_EQ(s.refused, 0);
  EXPECT_EQ(s.moved_in[1], 40'000) << "the nearest first, up to its headroom";
  EXPECT_EQ(s.moved_in[2], 10'000);
}

// The traffic does not go back at once or all together, and the other zones go on serving it meanwhile.
TEST(Plan, GoesBackAfterAHoldAndStepByStep) {
  PlannerSettings settings = free_to_move();
  Planner planner(settings);
  const std::vector<std::vector<Load>> demand = {{50'000}, {50'000}, {50'000}};
  planner.make_plan(three(0, {100'000, 100'000, 100'000}, demand));
  for (int i = 1; i <= 5; ++i) planner.make_plan(three(i, {0, 100'000, 100'000}, demand));
  Load last = 50'000;
  double began = 0, ended = 0;
  for (int i = 6; i <= 30 && ended == 0; ++i) {
    const Plan p = planner.make_plan(three(i, {100'000, 100'000, 100'000}, demand));
    const Sums s = sums(p);
    EXPECT_EQ(s.refused, 0);
    EXPECT_LE(s.moved, last);
    EXPECT_GE(s.moved, last - 20'000) << "a fifth of its capacity a second";
    if (s.moved < 50'000 && began == 0) began = i;
    if (s.moved == 0) ended = i;
    last = s.moved;
  }
  EXPECT_EQ(began, 6 + settings.recovery_hold) << "counted from when it was first seen to be back";
  EXPECT_EQ(ended, began + 2);
}

// All zones were lost and come back together: what a zone serves of its own demand stays there, even if other
// zones recover faster.
TEST(Plan, WhatIsServedNearDoesNotLeaveBecauseOthersAreBackSooner) {
  PlannerSettings settings;
  settings.classes = kClasses;
  Planner planner(settings);
  planner.make_plan(three(0, {0, 0, 0}, {{20, 0, 0}, {20, 0, 0}, {20, 0, 0}}));
  for (int i = 1; i <= 30; ++i) {
    const Plan p = planner.make_plan(three(i, {60, 50, 100}, {{0, 90, 0}, {20, 0, 0}, {0, 0, 0}}));
    ASSERT_EQ(p.load[1][0][1], 20) << i;
  }
}

TEST(Plan, WhatMayNotMoveGoesBeforeWhatMay) {
  PlannerSettings settings;
  settings.classes = kClasses;
  Planner planner(settings);
  Plan p;
  for (int i = 0; i < 3; ++i)
    p = planner.make_plan(three(i, {20, 100, 100}, {{20, 20, 20}, {40, 0, 0}, {0, 0, 0}}));
  EXPECT_EQ(sums(p).refused, 0);
  EXPECT_EQ(p.load[0][2][0], 20) << "bound to its zone";
  EXPECT_EQ(p.load[0][1][1], 20) << "bound to its region";
  EXPECT_EQ(p.load[0][0][0], 0);
}

TEST(Plan, BacksOffFromAZoneThatRelapsesAndForgetsInTheEnd) {
  PlannerSettings settings = free_to_move();
  settings.max_recovery_hold = 40;
  Planner planner(settings);
  const std::vector<std::vector<Load>> demand = {{50'000}, {50'000}, {50'000}};
  double at = 0;
  planner.make_plan(three(at, {100'000, 100'000, 100'000}, demand));
  const auto seconds_until_back = [&] {
    planner.make_plan(three(++at, {0, 100'000, 100'000}, demand));
    for (int i = 1; i < 200; ++i) {
      if (sums(planner.make_plan(three(++at, {100'000, 100'000, 100'000}, demand))).own[0] > 0) return i;
    }
    return 0;
  };
  EXPECT_EQ(seconds_until_back(), 6);
  EXPECT_EQ(seconds_until_back(), 11);
  EXPECT_EQ(seconds_until_back(), 21);
  EXPECT_EQ(seconds_until_back(), 41);
  EXPECT_EQ(seconds_until_back(), 41);
  at += settings.relapse_memory;
  planner.make_plan(three(at, {100'000, 100'000, 100'000}, demand));
  EXPECT_EQ(seconds_until_back(), 6);
}

// The zone is up for 2 s in every 4 s, which is shorter than the hold: traffic does not follow it.
TEST(Plan, DoesNotFollowAZoneThatFlaps) {
  Planner planner(free_to_move());
  const std::vector<std::vector<Load>> demand = {{40'000}, {40'000}, {40'000}};
  planner.make_plan(three(0, {100'000, 100'000, 100'000}, demand));
  int turns = 0;
  Load before = 0;
  for (int i = 1; i <= 60; ++i) {
    const Sums s = sums(planner.make_plan(three(i, {i % 4 < 2 ? 0 : 100'000, 100'000, 100'000}, demand)));
    if (i > 2) {
      EXPECT_EQ(s.refused, 0);
      EXPECT_EQ(s.moved, 40'000);
    }
    turns += s.moved < before;
    before = s.moved;
  }
  EXPECT_EQ(turns, 0);
}

// All zones at four fifths of their capacity, one is lost: the demand that no zone can take stays in its
// zone, and no other zone is overloaded.
TEST(Plan, DoesNotCarryOnWhatNobodyCanBear) {
  Planner planner(free_to_move());
  const std::vector<std::vector<Load>> demand = {{80'000}, {80'000}, {80'000}};
  planner.make_plan(three(0, {100'000, 100'000, 100'000}, demand));
  for (int i = 1; i <= 20; ++i) {
    const Plan p = planner.make_plan(three(i, {0, 100'000, 100'000}, demand));
    const Sums s = sums(p);
    EXPECT_EQ(s.own[1], 80'000);
    EXPECT_EQ(s.own[2], 80'000);
    EXPECT_EQ(s.moved_in[1], 10'000);
    EXPECT_EQ(s.moved_in[2], 10'000);
    EXPECT_EQ(sum(p.refused[0]), 60'000);
    ASSERT_EQ(p.explanations.size(), 1U);
    EXPECT_EQ(p.explanations[0], "a (calls/s): demand 80, capacity 0, trusted 0; moved 20, refused 60");
  }
}

TEST(Plan, DrainsAndOpensAZoneByHand) {
  Planner planner(free_to_move());
  const std::vector<std::vector<Load>> demand = {{40'000}, {40'000}, {40'000}};
  Load last = 0;
  for (int i = 0; i <= 10; ++i) {
    PlanInput f = three(i, {100'000, 100'000, 100'000}, demand);
    f.zones[0].available = 1 - i / 10.0;
    const Sums s = sums(planner.make_plan(f));
    EXPECT_GE(s.moved, last);
    EXPECT_EQ(s.refused, 0);
    last = s.moved;
  }
  EXPECT_EQ(last, 40'000);
}

TEST(Plan, ADemandThatJumpsIsMovedAsFastAsOthersCanBear) {
  Planner planner(free_to_move());
  planner.make_plan(three(0, {100'000, 100'000, 100'000}, {{20'000}, {20'000}, {20'000}}));
  const Plan first =
      planner.make_plan(three(0.2, {100'000, 100'000, 100'000}, {{200'000}, {20'000}, {20'000}}));
  const Sums s = sums(first);
  EXPECT_EQ(s.own[0], 100'000);
  EXPECT_EQ(s.moved_in[1], 10'000) << "a fifth of a second's part";
  EXPECT_EQ(s.moved_in[2], 10'000);
  EXPECT_EQ(s.refused, 80'000);
  Sums later;
  for (int i = 1; i <= 10; ++i)
    later = sums(planner.make_plan(
        three(0.2 + i * 0.2, {100'000, 100'000, 100'000}, {{200'000}, {20'000}, {20'000}})));
  EXPECT_EQ(later.refused, 0);
}

// A path that only one zone can't use does not mean that the zone at its end is lost.
TEST(Plan, GoesRoundAWayThatIsCut) {
  Planner planner(free_to_move());
  PlanInput f = three(0, {0, 100'000, 100'000}, {{30'000}, {20'000}, {20'000}});
  f.distance[0][1] = kUnreachable;
  Sums s;
  for (int i = 0; i < 3; ++i, f.now += 1) s = sums(planner.make_plan(f));
  EXPECT_EQ(s.moved_in[1], 0);
  EXPECT_EQ(s.moved_in[2], 30'000);
  EXPECT_EQ(s.own[1], 20'000);
}

TEST(Plan, AZoneOfWhichNothingIsToldAnyMoreStartsOver) {
  Planner planner(free_to_move());
  const std::vector<std::vector<Load>> demand = {{50'000}, {50'000}, {50'000}};
  planner.make_plan(three(0, {100'000, 100'000, 100'000}, demand));
  PlanInput two = three(1, {100'000, 100'000, 100'000}, demand);
  two.zones.erase(two.zones.begin());
  two.distance = {{0, 7}, {7, 0}};
  planner.make_plan(two);
  EXPECT_EQ(sums(planner.make_plan(three(2, {100'000, 100'000, 100'000}, demand))).own[0], 0)
      << "it is not trusted yet";
}

TEST(Plan, TurnsAwayWhatCantBe) {
  const auto facts = [](auto&& change) {
    PlanInput f = three(1, {10, 10, 10}, {{1}, {1}, {1}});
    change(f);
    return f;
  };
  Planner planner(free_to_move());
  const auto same = planner.make_plan(facts([](PlanInput&) {})).load;
  for (const PlanInput& f :
       {facts([](PlanInput& f) { f.zones[0].capacity = -1; }),
        facts([](PlanInput& f) { f.zones[1].available = 2; }),
        facts([](PlanInput& f) { f.zones[1].available = std::nan(""); }),
        facts([](PlanInput& f) { f.zones[0].demand.push_back(1); }),
        facts([](PlanInput& f) { f.zones[2].demand[0] = -5; }),
        facts([](PlanInput& f) { f.zones[1].zone = "a"; }),
        facts([](PlanInput& f) { f.distance.pop_back(); }),
        facts([](PlanInput& f) { f.distance[0][1] = -1; }),
        facts([](PlanInput& f) { f.distance[0].pop_back(); }), facts([](PlanInput& f) { f.now = 0.5; }),
        facts([](PlanInput& f) { f.now = std::nan(""); })}) {
    EXPECT_THROW(planner.make_plan(f), std::invalid_argument);
  }
  EXPECT_EQ(planner.make_plan(facts([](PlanInput&) {})).load, same) << "invalid input leaves no trace";
  for (const auto& change : std::vector<void (*)(PlannerSettings&)>{
           [](PlannerSettings& s) { s.headroom = 1.5; }, [](PlannerSettings& s) { s.max_move_rate = 0; },
           [](PlannerSettings& s) { s.recovery_rate = -1; },
           [](PlannerSettings& s) { s.max_recovery_hold = 1; },
           [](PlannerSettings& s) { s.recovery_hold = std::nan(""); }}) {
    PlannerSettings s = free_to_move();
    change(s);
    EXPECT_THROW(Planner{s}, std::invalid_argument);
  }
}

TEST(FairParts, AreTheFairOnesInEverySmallCase) {
  const std::vector<double> shares[] = {{1, 1, 1}, {3, 1, 1}, {0, 2, 1}, {0, 0, 0}};
  for (const auto& share : shares) {
    for (Load a = 0; a <= 6; ++a) {
      for (Load b = 0; b <= 6; ++b) {
        for (Load c = 0; c <= 6; ++c) {
          for (Load spare = -1; spare <= 20; ++spare) {
            const std::vector<Load> demand = {a, b, c}, got = max_min_fair_shares(demand, share, spare);
            ASSERT_EQ(sum(got), std::clamp<Load>(spare, 0, a + b + c));
            for (std::size_t i = 0; i < 3; ++i) {
              ASSERT_GE(got[i], 0);
              ASSERT_LE(got[i], demand[i]);
              // A tenant that wants more gets no less for its share than any other, except for one unit of
              // rounding.
              for (std::size_t j = 0; j < 3; ++j) {
                if (got[i] == demand[i] || (share[i] > 0) != (share[j] > 0)) continue;
                const double mine = share[i] > 0 ? share[i] : 1, other = share[j] > 0 ? share[j] : 1;
                ASSERT_GE(static_cast<double>(got[i] + 2) / mine, static_cast<double>(got[j] - 2) / other);
              }
              if (got[i] < demand[i] && share[i] > 0) {
                for (std::size_t j = 0; j < 3; ++j) ASSERT_TRUE(share[j] > 0 || got[j] == 0);
              }
            }
          }
        }
      }
    }
  }
}

}  // namespace
}  // namespace nettlestand::zones
