// Unit tests of suppression, rate limits, subsets, server choice and settings validation.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <set>
#include <stdexcept>

#include "balancer_harness.h"

namespace quinceusher {
namespace {

TEST(Suppression, FollowsTheWorkedFigures) {
  EXPECT_NEAR(suppression_factor(10, 14, 14), 0.286, 0.0005);
  EXPECT_NEAR(suppression_factor(10, 11.67, 12), 0.167, 0.0005);
  EXPECT_NEAR(suppression_factor(10, 13.33, 15), 0.333, 0.0005);
}

TEST(Suppression, TakesTheHigherRateAndStaysInRange) {
  EXPECT_DOUBLE_EQ(suppression_factor(10, 20, 5), 0.5);
  EXPECT_DOUBLE_EQ(suppression_factor(10, 5, 20), 0.5);
  EXPECT_DOUBLE_EQ(suppression_factor(10, 5, 5), 0);
  EXPECT_DOUBLE_EQ(suppression_factor(10, 0, 0), 0);
  EXPECT_DOUBLE_EQ(suppression_factor(std::numeric_limits<double>::infinity(), 5, 5), 0);
}

Settings one_tenant(double allowance) {
  Settings s = basic_settings();
  s.tenants = {{allowance}};
  return s;
}

// Plays calls at a steady rate, each answered at once; returns how many were admitted.
int offer(TestBalancer& balancer, double from, double seconds, double rate, const std::string& prefix,
          Outcome outcome = Outcome::kDelivered) {
  int admitted = 0;
  const int calls = static_cast<int>(seconds * rate);
  for (int i = 0; i < calls; ++i) {
    balancer.now = from + i / rate;
    const std::string id = prefix + std::to_string(i);
    if (all<Send>(balancer.request(id)).empty()) continue;
    ++admitted;
    const auto after = balancer.end(id, outcome);
    for (const Send& again : all<Send>(after)) balancer.end(again.id, Outcome::kDelivered, 1);
  }
  return admitted;
}

TEST(Admission, BelowTheLimitEverythingGoes) {
  TestBalancer balancer(one_tenant(100));
  balancer.at(0, members(4));
  EXPECT_EQ(offer(balancer, 0, 10, 50, "a"), 500);
  EXPECT_DOUBLE_EQ(balancer.subject.tenant(balancer.now, 0).suppression_factor, 0);
}

TEST(Admission, AboveTheLimitTheRestIsDeniedSmoothly) {
  Settings s = one_tenant(10);
  s.over_share_worth = 0;  // the limit stays where it starts
  TestBalancer balancer(s);
  balancer.at(0, members(4));
  const double limit = balancer.subject.tenant(0, 0).rate_limit;
  const int admitted = offer(balancer, 0, 8, 4 * limit, "a");
  const TenantView view = balancer.subject.tenant(balancer.now, 0);
  EXPECT_GT(admitted, 0.8 * limit * 8);
  EXPECT_LT(admitted, 1.6 * limit * 8);
  EXPECT_NEAR(view.suppression_factor, 1 - view.rate_limit / (4 * limit), 0.05);
  EXPECT_GT(view.declined, 0);
}

TEST(Admission, AtTheHardLimitAllAreDenied) {
  TestBalancer balancer(one_tenant(10));
  balancer.at(0, members(4));
  const double limit = balancer.subject.tenant(0, 0).rate_limit;
  const double flood = 400 * limit;
  int late_admissions = 0;
  for (int i = 0; i < static_cast<int>(flood); ++i) {
    balancer.now = i / flood;
    const bool sent = !all<Send>(balancer.request("r" + std::to_string(i))).empty();
    if (i > flood * 0.9 && sent) ++late_admissions;
  }
  EXPECT_EQ(late_admissions, 0);
  EXPECT_DOUBLE_EQ(balancer.subject.tenant(balancer.now, 0).suppression_factor, 1);
}

TEST(Admission, TheWindowExpires) {
  TestBalancer balancer(one_tenant(10));
  balancer.at(0, members(4));
  for (int i = 0; i < 500; ++i) balancer.request("r" + std::to_string(i));
  EXPECT_GT(balancer.subject.tenant(0, 0).suppression_factor, 0.5);
  EXPECT_DOUBLE_EQ(balancer.subject.tenant(1.35, 0).total, 500);
  EXPECT_DOUBLE_EQ(balancer.subject.tenant(1.65, 0).total, 0);
  EXPECT_DOUBLE_EQ(balancer.subject.tenant(1.65, 0).suppression_factor, 0);
}

// The factor is cached for 100 ms: a flood within that time is met with the factor from before it.
TEST(Admission, TheFactorIsCached) {
  Settings s = one_tenant(100);
  s.over_share_worth = 0;
  TestBalancer balancer(s);
  balancer.at(0, members(4));
  const double limit = balancer.subject.tenant(0, 0).rate_limit;
  const int soft = static_cast<int>(1.5 * limit);
  const auto pour = [&](double time, int calls, const std::string& prefix) {
    int admitted = 0;
    for (int i = 0; i < calls; ++i) {
      balancer.now = time;
      const std::string id = prefix + std::to_string(i);
      if (all<Send>(balancer.request(id)).empty()) continue;
      ++admitted;
      balancer.end(id, Outcome::kDelivered);
    }
    return admitted;
  };
  EXPECT_EQ(pour(0, soft, "fill"), soft);
  EXPECT_NEAR(pour(0.01, 1000, "cached"), 667, 60);  // the factor from when the flood began: a third
  const double factor = balancer.subject.tenant(0.12, 0).suppression_factor;
  EXPECT_GT(factor, 0.85);
  EXPECT_NEAR(pour(0.12, 1000, "fresh"), 1000 * (1 - factor), 40);
}

TEST(Admission, ADenialIsARefusalUnsent) {
  TestBalancer balancer(one_tenant(10));
  balancer.at(0, members(4));
  int refused = 0;
  for (int i = 0; i < 900; ++i) {
    balancer.now = 0.001 * i;
    const auto actions = balancer.request("r" + std::to_string(i));
    EXPECT_EQ(all<Refuse>(actions).size() + all<Send>(actions).size(), 1U);
    refused += static_cast<int>(all<Refuse>(actions).size());
    if (!all<Send>(actions).empty()) balancer.end("r" + std::to_string(i), Outcome::kDelivered);
  }
  EXPECT_GT(refused, 300);
  EXPECT_EQ(balancer.subject.tenant(balancer.now, 0).declined, refused);
}

TEST(Limit, RisesWhileCallsFinishInTime) {
  TestBalancer balancer(one_tenant(10));
  balancer.at(0, members(4));
  const double before = balancer.subject.tenant(0, 0).rate_limit;
  offer(balancer, 0, 10, before * 0.9, "a");
  EXPECT_GT(balancer.subject.tenant(balancer.now, 0).rate_limit, before);
  EXPECT_LT(balancer.subject.tenant(balancer.now, 0).rate_limit, before * 2);
}

TEST(Limit, DropsWhenCallsFailButKeepsAFloor) {
  TestBalancer balancer(one_tenant(100));
  balancer.at(0, members(4));
  offer(balancer, 0, 40, 120, "up");
  const double before = balancer.subject.tenant(balancer.now, 0).rate_limit;
  ASSERT_GT(before, 130);
  offer(balancer, 40, 5, before, "a", Outcome::kRejected);
  EXPECT_LT(balancer.subject.tenant(balancer.now, 0).rate_limit, before);
  offer(balancer, 45, 60, 50, "b", Outcome::kRejected);
  EXPECT_GE(balancer.subject.tenant(balancer.now, 0).rate_limit, 100);
}

TEST(Limit, OneReviewDropsItOnce) {
  TestBalancer balancer(one_tenant(100));
  balancer.at(0, members(4));
  offer(balancer, 0, 0.9, 200, "a", Outcome::kRejected);
  const double once = balancer.subject.tenant(balancer.now, 0).rate_limit;
  offer(balancer, 0.9, 0.05, 200, "b", Outcome::kRejected);
  EXPECT_DOUBLE_EQ(balancer.subject.tenant(balancer.now, 0).rate_limit, once);
}

// Without a configured share: a failure among the first calls, when the window has hardly begun to fill, must
// not cut the limit to the rate of that window.
TEST(Limit, IsNotLearnedFromAWindowThatHasHardlyBegun) {
  TestBalancer balancer(basic_settings());
  balancer.at(0, members(4));
  for (const double from : {1.0, 30.0}) {  // at its start, and after a pause
    int denied = 0;
    std::deque<std::string> out;
    for (int i = 0; i < 2000; ++i) {
      balancer.now = from + i / 1000.0;
      const std::string id = std::to_string(from) + "-" + std::to_string(i);
      all<Send>(balancer.request(id)).empty() ? ++denied : (out.push_back(id), 0);
      if (out.size() < 20) continue;  // so many are out before the first one ends
      balancer.end(out.front(), i == 20 ? Outcome::kReset : Outcome::kDelivered, 0, 0.02);
      if (i == 20) balancer.end(out.front(), Outcome::kDelivered, 1, 0.001);
      out.pop_front();
    }
    for (const std::string& id : out) balancer.end(id, Outcome::kDelivered, 0, 0.02);
    EXPECT_EQ(denied, 0) << "from " << from;
  }
}

// At the rise for traffic beyond a share, a limit that an overload had pushed below the tenant's share stayed
// there for the rest of the day.
TEST(Limit, BelowThePartItRisesAtTheFullRate) {
  Settings s = one_tenant(400);
  s.over_share_worth = 0.05;
  s.copy_count = 400;
  TestBalancer balancer(s);
  balancer.at(0, members(20));
  offer(balancer, 0, 40, 1, "bad", Outcome::kRejected);
  const double low = balancer.subject.tenant(balancer.now, 0).rate_limit;
  ASSERT_LT(low, 0.6);
  offer(balancer, 40, 20, 1, "good");
  EXPECT_GT(balancer.subject.tenant(balancer.now, 0).rate_limit, 1.5 * low);
}

// With its own zone alone, a zone with more traffic than servers is overloaded beside an idle one.
TEST(Subset, ACrowdedZoneUsesOtherZonesToo) {
  const auto far_share = [](double near_answer) {
    Settings s = basic_settings();
    s.cross_zone_price = 0.01;
    TestBalancer balancer(s);
    MembershipUpdate m;
    for (int i = 0; i < 12; ++i) m.servers.push_back(server(i, i % 2));
    balancer.at(0, m);
    int far = 0;
    for (int i = 0; i < 600; ++i) {
      balancer.now = i * 0.5;
      const std::string id = std::to_string(i);
      for (const Send& send : all<Send>(balancer.request(id))) {
        const bool crossed = (send.server.back() - '0') % 2 == 1;
        far += crossed ? 1 : 0;
        balancer.end(id, Outcome::kDelivered, 0, crossed ? 0.12 : near_answer);
      }
    }
    return far / 600.0;
  };
  EXPECT_LT(far_share(0.1), 0.1) << "crossing has a price; chance in the answer times must not pay it";
  EXPECT_GT(far_share(0.5), 0.4);
}

TEST(Subset, CoversEvenly) {
  for (std::size_t copies = 1; copies <= 40; ++copies) {
    for (std::size_t servers = 1; servers <= 45; servers += 4) {
      for (const std::size_t size : {3U, 8U}) {
        std::vector<int> uses(servers, 0);
        for (std::size_t i = 0; i < copies; ++i) {
          const auto subset = subset_of(i, copies, servers, size);
          EXPECT_EQ(std::set<std::size_t>(subset.begin(), subset.end()).size(), std::min(size, servers));
          for (const std::size_t at : subset) ++uses[at];
        }
        const auto [least, most] = std::minmax_element(uses.begin(), uses.end());
        // Starts are evenly spread: no server is used by over one balancer more than another.
        EXPECT_LE(*most - *least, 1) << copies << " copies, " << servers << " servers, size " << size;
      }
    }
  }
}

TEST(Subset, MovesLittleWhenOneServerLeaves) {
  for (const int copies : {3, 7, 12}) {
    for (int index = 0; index < copies; ++index) {
      Settings s = basic_settings();
      s.copy_index = index;
      s.copy_count = copies;
      const auto used = [&](bool without_one) {
        TestBalancer balancer(s);
        MembershipUpdate m = members(24);
        if (without_one) m.servers.erase(m.servers.begin() + 5);
        balancer.at(0, m);
        std::set<std::string> out;
        for (int i = 0; i < 400; ++i) {
          const std::string id = std::to_string(i);
          for (const Send& send : all<Send>(balancer.request(id))) out.insert(send.server);
          balancer.end(id, Outcome::kDelivered);
        }
        return out;
      };
      const auto before = used(false);
      const auto after = used(true);
      std::vector<std::string> kept;
      std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                            std::back_inserter(kept));
      EXPECT_GE(kept.size() + 2, before.size());
    }
  }
}

// With a subset of fixed size, a lone balancer would leave most of a large tier without work.
TEST(Subset, FewCopiesStillReachEveryServer) {
  std::set<std::string> used;
  for (int index = 0; index < 2; ++index) {
    Settings s = basic_settings();
    s.copy_index = index;
    s.copy_count = 2;
    TestBalancer balancer(s);
    balancer.at(0, members(40));
    for (int i = 0; i < 200; ++i) {
      for (const Send& send : all<Send>(balancer.request(std::to_string(i)))) used.insert(send.server);
    }
  }
  EXPECT_EQ(used.size(), 40U);
}

TEST(Pick, PrefersTheLessBusy) {
  Settings s = basic_settings();
  TestBalancer balancer(s);
  balancer.at(0, members(2));
  std::map<std::string, int> held;
  for (int i = 0; i < 10; ++i) {
    for (const Send& send : all<Send>(balancer.request(std::to_string(i)))) ++held[send.server];
  }
  EXPECT_EQ(held["s0"], 5);
  EXPECT_EQ(held["s1"], 5);
}

// When sizes were compared, a balancer with nothing in flight sent every call to the largest server.
TEST(Pick, SizeCountsInTheDraw) {
  TestBalancer balancer(basic_settings());
  MembershipUpdate m = members(2);
  m.servers[1].weight = 3;
  balancer.at(0, m);
  std::map<std::string, int> used;
  for (int i = 0; i < 400; ++i) {
    balancer.now = i * 0.4;
    for (const Send& send : all<Send>(balancer.request(std::to_string(i)))) ++used[send.server];
    balancer.end(std::to_string(i), Outcome::kDelivered);
  }
  EXPECT_NEAR(used["s0"], 100, 30);
  EXPECT_NEAR(used["s1"], 300, 30);
}

TEST(Pick, TheSameSeedAndEventsGiveTheSameActions) {
  const auto run = [] {
    TestBalancer balancer(basic_settings(), 99);
    balancer.at(5, members(12));
    std::string out;
    for (int i = 0; i < 200; ++i) {
      for (const Send& send : all<Send>(balancer.request(std::to_string(i)))) out += send.server + " ";
    }
    return out;
  };
  EXPECT_EQ(run(), run());
}

TEST(Settings, UnusableOnesAreNamed) {
  const auto message = [](auto change) {
    Settings s = basic_settings();
    s.tenants = {{1.0}};
    change(s);
    try {
      const Balancer b(s, 1);
    } catch (const std::invalid_argument& problem) {
      return std::string(problem.what());
    }
    return std::string("accepted");
  };
  const auto names = [&](auto change, const char* field) {
    EXPECT_NE(message(change).find(field), std::string::npos) << field << ": " << message(change);
  };
  names([](Settings& s) { s.copy_count = 0; }, "copy_count");
  names([](Settings& s) { s.copy_index = 1; }, "copy_index");
  names([](Settings& s) { s.copy_index = -1; }, "copy_index");
  names([](Settings& s) { s.tick = -1; }, "tick");
  names([](Settings& s) { s.tier = -1; }, "tier");
  names([](Settings& s) { s.max_attempts = 0; }, "max_attempts");
  names([](Settings& s) { s.max_retry_after = -1; }, "max_retry_after");
  names([](Settings& s) { s.ask_within = -1; }, "ask_within");
  names([](Settings& s) { s.ramp_time = -1; }, "ramp_time");
  names([](Settings& s) { s.over_share_worth = -1; }, "over_share_worth");
  names([](Settings& s) { s.start_capacity = 1.5; }, "start_capacity");
  names([](Settings& s) { s.classes[0].effect = static_cast<Effect>(9); }, "effect");
  names([](Settings& s) { s.classes[0].dedup_scope = static_cast<DedupScope>(9); }, "dedup_scope");
  names([](Settings& s) { s.classes[0].aim = -1; }, "aim");
  names([](Settings& s) { s.classes[0].give_up = -1; }, "give_up");
  names([](Settings& s) { s.classes[0].dedup_window = -1; }, "dedup_window");
  names([](Settings& s) { s.tenants[0].allowance = -1; }, "allowance");
  names([](Settings& s) { s.classes[0].aim = std::numeric_limits<double>::quiet_NaN(); }, "aim");
  EXPECT_EQ(message([](Settings&) {}), "accepted");
}

TEST(Settings, NumbersOutOfRangeAreHarmless) {
  TestBalancer balancer(basic_settings());
  balancer.at(0, members(2));
  EXPECT_EQ(all<Send>(balancer.request("a", 77, 88)).size(), 1U);
  EXPECT_TRUE(balancer.end("a", Outcome::kDelivered, 9).empty());
  EXPECT_TRUE(balancer.end("a", Outcome::kDelivered, -1).empty());
  EXPECT_TRUE(balancer.end("never", Outcome::kDelivered).empty());
  EXPECT_TRUE(balancer.at(0, TimerFired{12345}).empty());
  EXPECT_TRUE(balancer.at(0, RequestGone{"never"}).empty());
  EXPECT_GE(balancer.subject.tenant(0, 1234).rate_limit, 0);
}

}  // namespace
}  // namespace quinceusher
