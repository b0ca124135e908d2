// How a node splits its demand with a plan and without one.
#include "zones/plan_follower.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <stdexcept>

namespace nettlestand::zones {
namespace {

const std::vector<Affinity> kClasses = {Affinity::kNone, Affinity::kZone};
const std::vector<double> kDistance = {0, 1, 8};

PlanInput facts(double at, const std::vector<Load>& capacity, const std::vector<std::vector<Load>>& demand) {
  PlanInput out;
  out.now = at;
  const char* const names[] = {"a", "b", "c"};
  for (std::size_t i = 0; i < 3; ++i) out.zones.push_back({names[i], "west", capacity[i], 1, demand[i]});
  out.distance = {{0, 1, 8}, {1, 0, 7}, {8, 7, 0}};
  return out;
}

PlannerSettings planner_settings() {
  PlannerSettings out;
  out.classes = kClasses;
  return out;
}

// A plan for three zones of which the first is lost.
Plan plan_of(std::uint64_t token, std::uint64_t epoch, double lease = 3) {
  Planner planner(planner_settings());
  Plan out;
  for (int i = 0; i < 4; ++i) {
    out = planner.make_plan(facts(i, {0, 100'000, 100'000}, {{40'000, 10'000}, {60'000, 0}, {50'000, 0}}));
  }
  out.token = token;
  out.epoch = epoch;
  out.lease = lease;
  return out;
}

PlanFollowerSettings settings_of(const std::string& zone) { return {zone, kClasses, 10}; }

TEST(Follower, TakesNewerPlansAloneInWhateverOrderTheyCome) {
  std::vector<std::pair<std::uint64_t, std::uint64_t>> order = {{1, 1}, {1, 2}, {2, 1}, {2, 9}, {3, 1}};
  do {
    PlanFollower follower(settings_of("a"));
    auto newest = std::pair<std::uint64_t, std::uint64_t>(0, 0);
    for (const auto& [token, epoch] : order) {
      const bool newer = std::pair(token, epoch) > newest;
      ASSERT_EQ(follower.offer(plan_of(token, epoch), 0, 10), newer);
      if (newer) newest = {token, epoch};
      ASSERT_FALSE(follower.offer(plan_of(token, epoch), 0, 10)) << "the same plan twice";
      ASSERT_EQ(follower.plan(10)->token, newest.first);
      ASSERT_EQ(follower.plan(10)->epoch, newest.second);
    }
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST(Follower, FollowsAPlanForItsLeaseFromWhenItWasMade) {
  PlanFollower follower(settings_of("a"));
  EXPECT_EQ(follower.plan(0), nullptr);
  EXPECT_EQ(follower.lease_end(), std::numeric_limits<double>::infinity());
  ASSERT_TRUE(follower.offer(plan_of(1, 1, 3), 1, 10));
  EXPECT_NE(follower.plan(11.9), nullptr);
  EXPECT_EQ(follower.lease_end(), 12);
  EXPECT_EQ(follower.age(11), 2) << "to be handed on with it";
  EXPECT_EQ(follower.plan(12), nullptr);
  EXPECT_FALSE(follower.split(1, 1, kDistance, 12).from_plan);
  // A plan that has expired on its way is remembered and not followed.
  ASSERT_TRUE(follower.offer(plan_of(1, 2, 3), 5, 13));
  EXPECT_EQ(follower.plan(13), nullptr);
  EXPECT_FALSE(follower.offer(plan_of(1, 1, 3), 0, 13));
}

TEST(Follower, SendsItsDemandWhereThePlanHasIt) {
  PlanFollower follower(settings_of("a"));
  ASSERT_TRUE(follower.offer(plan_of(1, 1), 0, 10));
  const TrafficSplit s = follower.split(1, 1, kDistance, 10);
  EXPECT_TRUE(s.from_plan);
  EXPECT_EQ(s.zones, (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(s.fractions[0], (std::vector<double>{0, 0.75, 0.25}))
      << "30 of 40 to b, up to its headroom, 10 to c";
  EXPECT_EQ(s.fractions[1], (std::vector<double>{0, 0, 0})) << "bound to its zone: refused rather than moved";
  PlanFollower other(settings_of("b"));
  ASSERT_TRUE(other.offer(plan_of(1, 1), 0, 10));
  EXPECT_EQ(other.split(1, 1, {1, 0, 7}, 10).fractions[0], (std::vector<double>{0, 1, 0}));
  EXPECT_EQ(other.split(1, 1, {1, 0, 7}, 10).fractions[1], (std::vector<double>{0, 1, 0}))
      << "no demand: stays in its zone";
}

// Ten times the demand and no new plan yet: other zones get what was planned, and no more.
TEST(Follower, WhatGoesToOthersDoesNotGrowWithTheDemand) {
  PlanFollower follower(settings_of("a"));
  ASSERT_TRUE(follower.offer(plan_of(1, 1), 0, 10));
  const TrafficSplit s = follower.split(1, 10, kDistance, 10);
  EXPECT_NEAR(s.fractions[0][1], 0.075, 1e-9);
  EXPECT_NEAR(s.fractions[0][2], 0.025, 1e-9);
  EXPECT_NEAR(s.fractions[0][0], 0.9, 1e-9);
  EXPECT_EQ(follower.split(1, 0.1, kDistance, 10).fractions[0],
            follower.split(1, 1, kDistance, 10).fractions[0]);
}

TEST(Follower, WithoutAPlanAllStaysNear) {
  const PlanFollower follower(settings_of("a"));
  const TrafficSplit s = follower.split(0, 1, kDistance, 10);
  EXPECT_FALSE(s.from_plan);
  EXPECT_EQ(s.zones, std::vector<std::string>{"a"});
  EXPECT_EQ(s.fractions, (std::vector<std::vector<double>>{{1}, {1}}));
}

// Whatever each zone sees, however many have lost their plan and however long ago.
TEST(Follower, AllAloneTogetherStayWithinWhatTargetsWereLastKnownToBear) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&](std::uint64_t below) { return static_cast<Load>(random() % below); };
    std::vector<Load> capacity;
    std::vector<std::vector<Load>> demand;
    for (int i = 0; i < 3; ++i) {
      capacity.push_back(draw(2) == 0 ? 0 : draw(200'000));
      demand.push_back({draw(100'000), draw(60'000), draw(30'000)});
    }
    PlannerSettings settings = planner_settings();
    settings.classes = {Affinity::kNone, Affinity::kRegion, Affinity::kZone};
    Planner planner(settings);
    Plan plan;
    PlanInput f;
    for (int i = 0; i < 4; ++i) plan = planner.make_plan(f = facts(i, capacity, demand));
    plan.token = plan.epoch = 1;
    plan.lease = 3;
    std::vector<double> into(3);
    std::vector<double> last(9, 2);
    for (double at = 3; at < 60; at += 7) {
      std::fill(into.begin(), into.end(), 0);
      for (std::size_t a = 0; a < 3; ++a) {
        PlanFollower follower({plan.zones[a], settings.classes, 10});
        ASSERT_TRUE(follower.offer(plan, 0, 0));
        const double near = static_cast<double>(draw(11)) / 10, growth = static_cast<double>(draw(100)) / 10;
        const TrafficSplit s = follower.split(near, growth, f.distance[a], at);
        ASSERT_FALSE(s.from_plan);
        for (std::size_t c = 0; c < 3; ++c) {
          double all = 0;
          for (std::size_t b = 0; b < 3; ++b) {
            ASSERT_GE(s.fractions[c][b], 0);
            all += s.fractions[c][b];
            into[b] += s.fractions[c][b] * static_cast<double>(demand[a][c]) * growth * (a == b ? 0 : 1);
          }
          ASSERT_LE(all, 1 + 1e-9);
        }
        // All of the zone's own servers fail: the largest amount that it may send, which never grows over
        // time.
        const TrafficSplit most = follower.split(0, 1, f.distance[a], at);
        double away = 0;
        for (std::size_t b = 0; b < 3; ++b) away += b == a ? 0 : most.fractions[0][b];
        ASSERT_LE(away, last[a] + 1e-9);
        last[a] = away;
      }
      for (std::size_t b = 0; b < 3; ++b) {
        Load own = 0;
        for (const auto& to : plan.load[b]) own += to[b];
        ASSERT_LE(into[b] + static_cast<double>(own), static_cast<double>(capacity[b]) + 1e-6) << seed;
      }
    }
  }
}

TEST(Follower, AwayGoesOnlyWhatFailsNearAndTheNearestWayFirst) {
  PlanFollower follower(settings_of("a"));
  ASSERT_TRUE(follower.offer(plan_of(1, 1, 3), 0, 0));
  EXPECT_EQ(follower.split(1, 1, kDistance, 3).fractions[0], (std::vector<double>{1, 0, 0}));
  const TrafficSplit half = follower.split(0.9, 1, kDistance, 3);
  EXPECT_NEAR(half.fractions[0][1], 0.1, 1e-9);
  EXPECT_EQ(half.fractions[0][2], 0);
  EXPECT_EQ(follower.split(0, 1, {0, kUnreachable, 8}, 3).fractions[0][1], 0)
      << "nothing is sent to an unreachable zone";
}

TEST(Follower, WhatIsHeldStaysWhereItIsHeldAlsoWithoutAPlan) {
  PlannerSettings settings;
  settings.classes = {Affinity::kNone, Affinity::kRegion, Affinity::kZone};
  Planner planner(settings);
  PlanInput f = facts(0, {100'000, 100'000, 100'000}, {{20'000, 20'000, 20'000}, {0, 0, 0}, {0, 0, 0}});
  f.zones[2].region = "east";
  Plan plan = planner.make_plan(f);
  plan.token = plan.epoch = 1;
  plan.lease = 3;
  PlanFollower follower({"a", settings.classes, 10});
  ASSERT_TRUE(follower.offer(plan, 0, 0));
  // The nearest target is in the other region, and has capacity.
  const TrafficSplit s = follower.split(0, 1, {0, 8, 1}, 3);
  EXPECT_EQ(s.fractions[0], (std::vector<double>{0, 0, 1}));
  EXPECT_EQ(s.fractions[1], (std::vector<double>{0, 1, 0}));
  EXPECT_EQ(s.fractions[2], (std::vector<double>{0, 0, 0}));
  EXPECT_EQ(follower.split(0, 1, {0, 1, 8}, 3).fractions[1], (std::vector<double>{0, 1, 0}));
}

TEST(Follower, TurnsAwayWhatIsNoPlan) {
  PlanFollower follower(settings_of("a"));
  ASSERT_TRUE(follower.offer(plan_of(5, 5), 0, 10));
  for (const auto& spoil : std::vector<void (*)(Plan&)>{
           [](Plan& p) { p.token = 0; }, [](Plan& p) { p.lease = 0; },
           [](Plan& p) { p.lease = std::nan(""); }, [](Plan& p) { p.load.pop_back(); },
           [](Plan& p) { p.load[1].pop_back(); }, [](Plan& p) { p.load[1][0].push_back(3); },
           [](Plan& p) { p.load[2][1][0] = -1; }, [](Plan& p) { p.refused[0].clear(); },
           [](Plan& p) { p.fallback_limits[0][0] = -1; }, [](Plan& p) { p.fallback_limits.clear(); },
           [](Plan& p) { p.regions.pop_back(); },
           [](Plan& p) {
             p.zones = {"x", "y", "z"};
           }}) {
    Plan plan = plan_of(9, 9);
    spoil(plan);
    EXPECT_FALSE(follower.offer(plan, 0, 10));
    EXPECT_EQ(follower.plan(10)->token, 5U);
  }
  EXPECT_FALSE(follower.offer(plan_of(9, 9), -1, 10));
  EXPECT_FALSE(follower.offer(plan_of(9, 9), std::nan(""), 10));
  EXPECT_THROW(PlanFollower({"", kClasses, 10}), std::invalid_argument);
  EXPECT_THROW(PlanFollower({"a", kClasses, 0}), std::invalid_argument);
}

}  // namespace
}  // namespace nettlestand::zones
