// The number of balancers with hysteresis, as the decision module is told of it.
#include "peers/balancer_tracker.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace nettlestand::peers {
namespace {

BalancerTrackerSettings settings(int index, int count) {
  BalancerTrackerSettings out;
  out.self.name = "n" + std::to_string(index);
  out.self.number = static_cast<std::uint32_t>(index);
  out.index = index;
  out.count = count;
  return out;
}

Member member(int i, MemberState state, int tier = 0) {
  Member m;
  m.identity.name = "n" + std::to_string(i);
  m.identity.number = static_cast<std::uint32_t>(i);
  m.identity.tier = static_cast<std::uint8_t>(tier);
  m.identity_known = true;
  m.key = member_key(m.identity.name);
  m.state = state;
  return m;
}

// Lets time pass and returns the last assignment reported in it.
std::optional<BalancerAssignment> advance(BalancerTracker& tracker, double& now, double seconds) {
  std::optional<BalancerAssignment> last;
  const double until = now + seconds;
  while (tracker.next_tick() <= until) {
    now = std::max(now, tracker.next_tick());
    if (const auto told = tracker.tick(now)) last = told;
  }
  now = until;
  return last;
}

BalancerTracker ten(double& now, int self = 4) {
  BalancerTracker out(settings(self, 10), now);
  for (int i = 0; i < 10; ++i) {
    if (i != self) out.on_member_changed(now, member(i, MemberState::kAlive));
  }
  return out;
}

TEST(PeersCopies, WhereAllAreThereNothingIsTold) {
  double now = 100;
  BalancerTracker tracker = ten(now);
  EXPECT_FALSE(advance(tracker, now, 700));
  EXPECT_EQ(tracker.assignment(), (BalancerAssignment{4, 10, 10}));
}

TEST(PeersCopies, TheDeadCountNoMoreAfterAWhileAndTheirAllowancesHalf) {
  double now = 100;
  BalancerTracker tracker = ten(now);
  advance(tracker, now, 10);
  for (const int i : {1, 2, 7}) tracker.on_member_changed(now, member(i, MemberState::kDead));
  EXPECT_FALSE(advance(tracker, now, 2.9)) << "not before the delay";
  EXPECT_EQ(advance(tracker, now, 1), (BalancerAssignment{2, 7, 7}));
  for (const int i : {0, 3, 5, 6, 8}) tracker.on_member_changed(now, member(i, MemberState::kDead));
  EXPECT_EQ(advance(tracker, now, 5), (BalancerAssignment{0, 2, 5}))
      << "the lost ones may be on the other side of a partition";
  EXPECT_EQ(advance(tracker, now, 700), (BalancerAssignment{0, 2, 2})) << "not forever";
}

TEST(PeersCopies, GoodbyesTakeTheirAllowancesAlong) {
  double now = 100;
  BalancerTracker tracker = ten(now);
  advance(tracker, now, 700);
  for (int i = 5; i < 10; ++i) tracker.on_member_changed(now, member(i, MemberState::kLeaving));
  for (int i = 5; i < 10; ++i) tracker.on_member_changed(now, member(i, MemberState::kLeft));
  EXPECT_EQ(advance(tracker, now, 5), (BalancerAssignment{4, 5, 5}));
}

TEST(PeersCopies, ARestartThatIsQuickMovesNothing) {
  double now = 100;
  BalancerTracker tracker = ten(now);
  advance(tracker, now, 10);
  for (int i = 0; i < 10; ++i) {  // a rolling restart of all
    if (i == 4) continue;
    tracker.on_member_changed(now, member(i, MemberState::kLeaving));
    tracker.on_member_changed(now, member(i, MemberState::kLeft));
    EXPECT_FALSE(advance(tracker, now, 2.5));
    tracker.on_member_changed(now, member(i, MemberState::kAlive));
    EXPECT_FALSE(advance(tracker, now, 2.5));
  }
}

TEST(PeersCopies, WhoFlapsMovesLittleAndThenNothing) {
  double now = 100;
  BalancerTracker tracker = ten(now);
  advance(tracker, now, 10);
  int told = 0;
  for (int i = 0; i < 60; ++i) {
    tracker.on_member_changed(now, member(2, MemberState::kDead));
    if (advance(tracker, now, 5)) ++told;
    tracker.on_member_changed(now, member(2, MemberState::kAlive));
    if (advance(tracker, now, 5)) ++told;
  }
  EXPECT_LE(told, 4);
}

TEST(PeersCopies, WhoHearsNobodyHoldsWhatItHad) {
  double now = 100;
  BalancerTracker tracker = ten(now);
  advance(tracker, now, 10);
  for (int i = 0; i < 10; ++i) {
    if (i != 4) tracker.on_member_changed(now, member(i, MemberState::kDead));
  }
  EXPECT_FALSE(advance(tracker, now, 300));
  BalancerTracker never(settings(2, 5), now);
  EXPECT_FALSE(advance(never, now, 1000)) << "the same if no other balancer was ever heard of";
}

TEST(PeersCopies, OthersTiersDoNotCountAndMoreThanConfiguredDo) {
  double now = 0;
  BalancerTracker tracker(settings(1, 3), now);
  for (const int i : {0, 2, 3, 4}) tracker.on_member_changed(now, member(i, MemberState::kAlive));
  for (const int i : {5, 6}) tracker.on_member_changed(now, member(i, MemberState::kAlive, 1));
  EXPECT_EQ(advance(tracker, now, 10), (BalancerAssignment{1, 5, 5}));
}

TEST(PeersCopies, AFleetThatNeverSettlesIsCountedAllTheSame) {
  double now = 0;
  BalancerTracker tracker(settings(0, 4), now);
  tracker.on_member_changed(now, member(1, MemberState::kAlive));
  for (int i = 0; i < 40; ++i) {
    tracker.on_member_changed(now, member(2, i % 2 == 0 ? MemberState::kAlive : MemberState::kDead));
    advance(tracker, now, 1);
  }
  EXPECT_NE(tracker.assignment().count, 4);
}

// Random state changes: the index is always below the count, the divisor is never below it, and nodes that
// see the same members agree.
TEST(PeersCopies, RandomWalksKeepTheRules) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    double now = 0;
    std::vector<BalancerTracker> all;
    for (int i = 0; i < 6; ++i) all.emplace_back(settings(i, 6), now);
    for (int step = 0; step < 60; ++step) {
      const int who = static_cast<int>(random() % 6);
      const auto state = static_cast<MemberState>(random() % 5);
      for (int i = 0; i < 6; ++i) {
        if (i != who) all[static_cast<std::size_t>(i)].on_member_changed(now, member(who, state));
      }
      const double seconds = static_cast<double>(random() % 100) / 10;
      for (BalancerTracker& one : all) {
        double own = now;
        if (const auto told = advance(one, own, seconds)) {
          ASSERT_GE(told->index, 0);
          ASSERT_LT(told->index, told->count);
          ASSERT_GE(told->rate_limit_divisor, told->count);
          ASSERT_LE(told->rate_limit_divisor, std::max(6.0, 1.0 * told->count));
        }
      }
      now += seconds;
    }
    // All are present and stay: each gets an index of its own.
    for (int who = 0; who < 6; ++who) {
      for (int i = 0; i < 6; ++i) {
        if (i != who)
          all[static_cast<std::size_t>(i)].on_member_changed(now, member(who, MemberState::kAlive));
      }
    }
    for (int i = 0; i < 6; ++i) {
      double own = now;
      advance(all[static_cast<std::size_t>(i)], own, 1000);
      EXPECT_EQ(all[static_cast<std::size_t>(i)].assignment(), (BalancerAssignment{i, 6, 6})) << seed;
    }
  }
}

TEST(PeersCopies, SettingsThatCannotBeAreTurnedAway) {
  EXPECT_THROW(BalancerTracker(settings(3, 3), 0), std::invalid_argument);
  BalancerTrackerSettings s = settings(0, 1);
  s.join_delay = std::nan("");
  EXPECT_THROW(BalancerTracker(s, 0), std::invalid_argument);
}

}  // namespace
}  // namespace nettlestand::peers
