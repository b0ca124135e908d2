// BalancersChanged: subsets, allowances and learned limits follow the number of balancers.
#include <gtest/gtest.h>

#include <set>

#include "balancer_harness.h"

namespace quinceusher {
namespace {

Settings of_copies(int index, int count) {
  Settings s;
  s.copy_index = index;
  s.copy_count = count;
  s.max_attempts = 1;
  RequestClass c;
  c.aim = 1;
  c.give_up = 2;
  c.effect = Effect::kSafe;
  s.classes = {c};
  s.tenants = {Tenant{100.0}};
  s.over_share_worth = 0.1;
  return s;
}

MembershipUpdate list_of(int servers) {
  MembershipUpdate m;
  for (int i = 0; i < servers; ++i) {
    Server s;
    s.address = "s" + std::to_string(i);
    m.servers.push_back(s);
  }
  return m;
}

// Sends calls that are answered at once; returns the servers that got them.
std::set<std::string> reached(Balancer& b, double& now, int calls, const std::string& run) {
  std::set<std::string> out;
  for (int i = 0; i < calls; ++i) {
    now += 0.05;
    Request r;
    r.id = run + std::to_string(i);
    r.time_left = 2;
    std::vector<Action> actions;
    b.handle(now, r, actions);
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) {
        out.insert(send->server);
        std::vector<Action> more;
        b.handle(now + 0.01, AttemptResult{r.id, 0, Outcome::kDelivered, 0.01, true}, more);
      }
    }
    now += 0.01;
  }
  return out;
}

TEST(Copies, TheSubsetIsThatOfThePlaceAmongThoseThatAreThere) {
  Balancer told(of_copies(3, 10), 1), born(of_copies(1, 4), 1);
  std::vector<Action> ignored;
  double now = 1, other = 1;
  told.handle(now, list_of(80), ignored);
  born.handle(other, list_of(80), ignored);
  const auto before = reached(told, now, 400, "a");
  EXPECT_EQ(before.size(), 16U);  // 80 servers by 10 balancers, each used by two
  told.handle(now, BalancersChanged{1, 4, 4}, ignored);
  const auto after = reached(told, now, 800, "b");
  EXPECT_EQ(after, reached(born, other, 800, "b")) << "as if it had started so";
  EXPECT_EQ(after.size(), 40U);
}

TEST(Copies, AllServersStayCoveredWhateverTheCount) {
  for (const int count : {1, 2, 3, 7, 10}) {
    std::set<std::string> all;
    for (int i = 0; i < count; ++i) {
      Balancer b(of_copies(0, 10), 1);
      std::vector<Action> ignored;
      double now = 1;
      b.handle(now, list_of(30), ignored);
      b.handle(now, BalancersChanged{i, count, static_cast<double>(count)}, ignored);
      const auto some = reached(b, now, 600, "c");
      all.insert(some.begin(), some.end());
    }
    EXPECT_EQ(all.size(), 30U) << count;
  }
}

TEST(Copies, AllowancesAndLearnedLimitsAreThoseOfTheSharers) {
  Balancer b(of_copies(0, 10), 1);
  std::vector<Action> ignored;
  b.handle(1, list_of(10), ignored);
  const double before = b.tenant(1, 0).rate_limit;
  b.handle(1, BalancersChanged{0, 3, 5}, ignored);
  EXPECT_NEAR(b.tenant(1, 0).rate_limit, before * 2, 1e-9) << "by the sharers, not by the count";
  b.handle(1, BalancersChanged{0, 10, 10}, ignored);
  EXPECT_NEAR(b.tenant(1, 0).rate_limit, before, 1e-9) << "and back";
}

TEST(Copies, ACountThatCannotBeChangesNothing) {
  Balancer b(of_copies(0, 10), 1);
  std::vector<Action> ignored;
  double now = 1;
  b.handle(now, list_of(80), ignored);
  const double limit = b.tenant(1, 0).rate_limit;
  for (const BalancersChanged& c :
       {BalancersChanged{-1, 3, 3}, BalancersChanged{3, 3, 3}, BalancersChanged{0, 0, 1},
        BalancersChanged{0, 3, 0}, BalancersChanged{0, 3, std::numeric_limits<double>::quiet_NaN()}}) {
    b.handle(now, c, ignored);
  }
  EXPECT_EQ(b.tenant(1, 0).rate_limit, limit);
  EXPECT_EQ(reached(b, now, 400, "d").size(), 16U);
}

TEST(Copies, CallsThatAreOutWhenItChangesAreFinishedAsEver) {
  Balancer b(of_copies(0, 10), 1);
  std::vector<Action> actions;
  b.handle(1, list_of(80), actions);
  Request r;
  r.id = "one";
  r.time_left = 2;
  actions.clear();
  b.handle(1.1, r, actions);
  ASSERT_EQ(actions.size(), 1U);
  b.handle(1.2, BalancersChanged{0, 1, 1}, actions);
  actions.clear();
  b.handle(1.3, AttemptResult{"one", 0, Outcome::kDelivered, 0.2, true}, actions);
  EXPECT_TRUE(actions.empty());
}

}  // namespace
}  // namespace quinceusher
