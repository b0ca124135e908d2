// The four rules, each on its own: no double effect, no request lost, drains kept, cold servers within
// budget.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "balancer_harness.h"

namespace quinceusher {
namespace {

std::size_t finals(const std::vector<Action>& actions) {
  return all<Refuse>(actions).size() + all<Fail>(actions).size();
}

bool proves_never_ran(Outcome o) {
  return o == Outcome::kRejected || o == Outcome::kDialFailed || o == Outcome::kNotSent;
}

constexpr Outcome kFailures[] = {Outcome::kError,      Outcome::kRejected, Outcome::kTimedOut,
                                 Outcome::kDialFailed, Outcome::kReset,    Outcome::kCancelled,
                                 Outcome::kNotSent,    Outcome::kUnknown};

MembershipUpdate two_cells() {
  MembershipUpdate m;
  for (int i = 0; i < 8; ++i) m.servers.push_back(server(i, i % 2, i / 2));
  return m;
}

// Every effect and scope with every failure: what may be sent again, where to, and what may be refused.
TEST(NoDoubleEffect, RepeatMatrix) {
  const std::pair<Effect, DedupScope> kinds[] = {{Effect::kSafe, DedupScope::kCell},
                                                 {Effect::kKeyed, DedupScope::kAll},
                                                 {Effect::kKeyed, DedupScope::kZone},
                                                 {Effect::kKeyed, DedupScope::kCell},
                                                 {Effect::kUnsafe, DedupScope::kCell}};
  std::map<std::string, Server> told;
  for (const Server& s : two_cells().servers) told[s.address] = s;
  for (const auto& [effect, scope] : kinds) {
    for (const Outcome first : kFailures) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        TestBalancer balancer(basic_settings(class_of(effect, scope)), seed);
        balancer.at(0, two_cells());
        std::optional<Server> may_have_run;
        std::string id = "r";
        auto actions = balancer.request(id);
        for (int attempt = 0; attempt < 10; ++attempt) {
          const auto sends = all<Send>(actions);
          if (sends.empty()) {
            EXPECT_EQ(finals(actions), 1U);
            if (!all<Refuse>(actions).empty() && may_have_run) {
              EXPECT_EQ(effect, Effect::kSafe) << "a repeat after the window would run again";
            }
            break;
          }
          ASSERT_EQ(sends.size(), 1U);
          const Server& s = told[sends[0].server];
          if (may_have_run) {
            EXPECT_NE(effect, Effect::kUnsafe);
            if (effect == Effect::kKeyed && scope == DedupScope::kZone) {
              EXPECT_EQ(s.zone, may_have_run->zone);
            }
            if (effect == Effect::kKeyed && scope == DedupScope::kCell) {
              EXPECT_EQ(s.cell, may_have_run->cell);
            }
          }
          const Outcome outcome = attempt == 0 ? first : Outcome::kDialFailed;
          if (!may_have_run && !proves_never_ran(outcome)) may_have_run = s;
          balancer.now += 0.05;
          actions = balancer.end(id, outcome, attempt);
          ASSERT_LT(attempt, 9);
        }
      }
    }
  }
}

TEST(NoDoubleEffect, NothingIsRepeatedAfterTheServersForget) {
  RequestClass c = class_of(Effect::kKeyed, DedupScope::kAll);
  c.dedup_window = 0.5;
  TestBalancer balancer(basic_settings(c));
  balancer.at(0, members(4));
  ASSERT_EQ(all<Send>(balancer.request("r")).size(), 1U);
  balancer.now = 0.6;
  EXPECT_TRUE(all<Send>(balancer.end("r", Outcome::kError)).empty());
}

// An outcome, the deadline and the client's leaving may come in any order: one final answer, then none.
TEST(NoneLost, OneFinalAnswerUnderEveryOrder) {
  for (const Outcome outcome : kFailures) {
    for (const bool gone_first : {false, true}) {
      Settings s = basic_settings(class_of(Effect::kUnsafe));
      s.max_attempts = 1;
      TestBalancer balancer(s);
      balancer.at(0, members(3));
      ASSERT_EQ(all<Send>(balancer.request("r")).size(), 1U);
      balancer.now = 1;
      std::vector<Action> after;
      if (gone_first) {
        after = balancer.at(1, RequestGone{"r"});
        EXPECT_EQ(finals(after), 0U);
        EXPECT_EQ(all<Cancel>(after).size(), 1U);
        after = balancer.end("r", outcome);
        EXPECT_EQ(finals(after), 0U);
      } else {
        after = balancer.end("r", outcome);
        EXPECT_EQ(finals(after), 1U);
        EXPECT_TRUE(balancer.at(1, RequestGone{"r"}).empty());
      }
      EXPECT_TRUE(all<Send>(after).empty());
      EXPECT_TRUE(balancer.end("r", outcome).empty()) << "an outcome twice";
    }
  }
}

TEST(NoneLost, AnOutcomeThatEndedTheRequestNeedsNoAnswer) {
  TestBalancer balancer(basic_settings());
  balancer.at(0, members(3));
  balancer.request("r");
  EXPECT_TRUE(balancer.end("r", Outcome::kDelivered).empty());
  EXPECT_TRUE(balancer.at(0, RequestGone{"r"}).empty());
}

TEST(NoneLost, ATimeOutNeverPassesTheClientsOwn) {
  RequestClass c = class_of(Effect::kUnsafe);
  c.late_worth = 0.5;
  TestBalancer balancer(basic_settings(c));
  balancer.at(0, members(3));
  Request r;
  r.id = "r";
  r.time_left = 0.7;
  const auto sends = all<Send>(balancer.at(0, r));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_LE(sends[0].timeout, 0.7);
  EXPECT_GT(sends[0].timeout, 0);
}

TEST(NoneLost, WithoutServersARequestIsRefused) {
  TestBalancer nothing_known(basic_settings());
  EXPECT_EQ(all<Refuse>(nothing_known.request("a")).size(), 1U);
  TestBalancer draining(basic_settings());
  MembershipUpdate m = members(3);
  for (Server& s : m.servers) s.state = ServerState::kDraining;
  draining.at(0, m);
  EXPECT_EQ(all<Refuse>(draining.request("a")).size(), 1U);
}

TEST(NoneLost, NoMoreAttemptsThanAllowed) {
  Settings s = basic_settings();
  s.max_attempts = 3;
  TestBalancer balancer(s);
  balancer.at(0, members(8));
  auto actions = balancer.request("r");
  int sends = 0;
  while (!all<Send>(actions).empty()) actions = balancer.end("r", Outcome::kRejected, sends++);
  EXPECT_LE(sends, 3);
  EXPECT_EQ(finals(actions), 1U);
}

std::set<std::string> servers_used(TestBalancer& balancer, int calls, const std::string& prefix) {
  std::set<std::string> used;
  for (int i = 0; i < calls; ++i) {
    const std::string id = prefix + std::to_string(i);
    for (const Send& send : all<Send>(balancer.request(id))) used.insert(send.server);
    balancer.end(id, Outcome::kDelivered);
  }
  return used;
}

TEST(Drains, NothingNewOnceTold) {
  for (const ServerState state : {ServerState::kDraining, ServerState::kGone}) {
    TestBalancer balancer(basic_settings());
    balancer.at(0, members(3));
    EXPECT_EQ(servers_used(balancer, 50, "a").size(), 3U);
    MembershipUpdate change;
    change.form = MembershipUpdate::Form::kChanges;
    change.servers = {server(1)};
    change.servers[0].state = state;
    balancer.at(1, change);
    EXPECT_EQ(servers_used(balancer, 50, "b"), (std::set<std::string>{"s0", "s2"}));
    change.servers[0].state = ServerState::kReady;
    balancer.at(2, change);
    EXPECT_EQ(servers_used(balancer, 50, "c").size(), 3U);
  }
}

TEST(Drains, AServerMissingFromAFullListIsGone) {
  TestBalancer balancer(basic_settings());
  balancer.at(0, members(3));
  balancer.at(1, members(2));
  EXPECT_EQ(servers_used(balancer, 50, "a"), (std::set<std::string>{"s0", "s1"}));
  MembershipUpdate failed;
  failed.form = MembershipUpdate::Form::kFailed;
  balancer.at(2, failed);
  EXPECT_EQ(servers_used(balancer, 50, "b"), (std::set<std::string>{"s0", "s1"}));
}

TEST(Watch, IsAskedForAtTheStartAndAgainAfterFailures) {
  Settings s = basic_settings();
  s.must_watch = true;
  s.ask_within = 10;
  TestBalancer balancer(s);
  EXPECT_EQ(all<WatchMembers>(balancer.at(0, Started{})).size(), 1U);
  MembershipUpdate failed;
  failed.form = MembershipUpdate::Form::kFailed;
  double now = 0;
  for (int i = 0; i < 12; ++i) {
    const auto timers = all<SetTimer>(balancer.at(now, failed));
    ASSERT_EQ(timers.size(), 1U);
    EXPECT_GT(timers[0].at, now);
    EXPECT_LE(timers[0].at, now + 5) << "within the time after which it counts as told";
    now = timers[0].at;
    EXPECT_EQ(all<WatchMembers>(balancer.at(now, TimerFired{timers[0].token})).size(), 1U);
  }
}

TEST(Watch, IsNotAskedForWhereChangesArriveByThemselves) {
  TestBalancer balancer(basic_settings());
  EXPECT_TRUE(balancer.at(0, Started{}).empty());
  MembershipUpdate failed;
  failed.form = MembershipUpdate::Form::kFailed;
  EXPECT_TRUE(balancer.at(0, failed).empty());
}

// Several balancers and one server that has just started: together they stay within what it can take.
TEST(ColdServer, TheCopiesTogetherKeepTheBudget) {
  constexpr int kCopies = 10;
  constexpr int kServers = 10;
  constexpr double kRate = 20;  // per balancer; a server's share is 20 a second over all balancers
  Settings s = basic_settings();
  s.copy_count = kCopies;
  s.start_capacity = 0.14;
  s.ramp_time = 24;
  std::vector<double> sends;
  for (int c = 0; c < kCopies; ++c) {
    s.copy_index = c;
    TestBalancer balancer(s, static_cast<std::uint64_t>(c) + 1);
    balancer.at(100, members(kServers));
    for (int i = 0; i < static_cast<int>(40 * kRate); ++i) {
      const double now = 100 + i / kRate;
      if (i == static_cast<int>(10 * kRate)) {
        MembershipUpdate restart;
        restart.form = MembershipUpdate::Form::kChanges;
        restart.servers = {server(0)};
        restart.servers[0].started = 109;
        balancer.at(now, restart);
      }
      balancer.now = now;
      const std::string id = std::to_string(i);
      for (const Send& send : all<Send>(balancer.request(id))) {
        if (send.server == "s0" && now >= 110) sends.push_back(now);
      }
      balancer.end(id, Outcome::kDelivered);
    }
  }
  const double share = kCopies * kRate / kServers;
  for (int step = 0; step < 48; ++step) {
    const double t = 110 + 0.5 * step;
    const double able = share * (0.14 + 0.86 * (t - 109) / 24);
    const auto in_window =
        std::count_if(sends.begin(), sends.end(), [t](double at) { return at >= t && at < t + 2; });
    EXPECT_LE(static_cast<double>(in_window), 3 * able * 2) << "at " << t;
  }
  EXPECT_GT(sends.size(), 50U) << "a cold server must get some work, or it never warms";
  // Held to the load of a warm one, a server that warms by its work stays cold while the rest is crowded.
  const auto early = std::count_if(sends.begin(), sends.end(), [](double at) { return at < 118; });
  EXPECT_GE(early, 28);
}

// If each of many balancers starts with a call, they spend a cold tier's budget at once.
TEST(ColdServer, ManyCopiesDoNotStartTogether) {
  Settings s = basic_settings();
  s.copy_count = 29;
  s.start_capacity = 0.32;
  s.ramp_time = 9;
  s.tenants = {{180.0}};
  int sent = 0;
  for (int c = 0; c < s.copy_count; ++c) {
    s.copy_index = c;
    TestBalancer balancer(s, static_cast<std::uint64_t>(c) + 1);
    MembershipUpdate m = members(31);
    for (Server& one : m.servers) one.started = 1000;
    balancer.at(1000, m);
    for (const double at : {1000.01, 1000.05}) {
      balancer.now = at;
      sent += static_cast<int>(all<Send>(balancer.request(std::to_string(at))).size());
    }
  }
  EXPECT_LT(sent, 20) << "of 58";
}

TEST(ColdServer, AFleetThatIsAllColdStillServes) {
  Settings s = basic_settings();
  s.start_capacity = 0.2;
  s.ramp_time = 10;
  s.tenants = {{100.0}};
  TestBalancer balancer(s);
  MembershipUpdate m = members(4);
  for (Server& one : m.servers) one.started = 99.5;
  balancer.at(100, m);
  int sent = 0;
  for (int i = 0; i < 500; ++i) {
    balancer.now = 100 + i * 0.01;
    const std::string id = std::to_string(i);
    sent += static_cast<int>(all<Send>(balancer.request(id)).size());
    balancer.end(id, Outcome::kDelivered);
  }
  EXPECT_GT(sent, 50);
  EXPECT_LT(sent, 400);
}

}  // namespace
}  // namespace quinceusher
