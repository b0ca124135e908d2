// Server health, capacity, timeouts and retries.
#include <gtest/gtest.h>

#include <cmath>
#include <map>

#include "balancer_harness.h"

namespace quinceusher {
namespace {

// Settings with an allowance that no test here reaches, so that admission never denies.
Settings unlimited_settings() {
  Settings s = basic_settings();
  s.tenants = {{1000.0}};
  return s;
}

// Plays calls; those to `sick` end with `outcome`. Returns the number of first sends to each server.
std::map<std::string, int> play(TestBalancer& balancer, const std::string& sick, Outcome outcome, double from,
                                double seconds, double rate, const std::string& prefix) {
  std::map<std::string, int> firsts;
  for (int i = 0; i < static_cast<int>(seconds * rate); ++i) {
    balancer.now = from + i / rate;
    const std::string id = prefix + std::to_string(i);
    auto sends = all<Send>(balancer.request(id));
    if (!sends.empty()) ++firsts[sends[0].server];
    for (int attempt = 0; !sends.empty(); ++attempt) {
      sends = all<Send>(balancer.end(id, sends[0].server == sick ? outcome : Outcome::kDelivered, attempt));
    }
  }
  return firsts;
}

// A server that fails at once has nothing in flight and looks the least busy of all.
TEST(Health, AFastFailingServerIsShunnedAndComesBack) {
  TestBalancer balancer(unlimited_settings());
  balancer.at(0, members(6));
  const auto unhealthy = play(balancer, "s2", Outcome::kError, 0, 10, 50, "a");
  EXPECT_LT(unhealthy.at("s2"), 25);
  const auto back = play(balancer, "", Outcome::kDelivered, 10, 30, 50, "b");
  EXPECT_GT(back.at("s2"), 100);
}

// A server that is slow because it is crowded must not keep its share, or it stays crowded.
TEST(Health, ASlowServerGetsFewerCalls) {
  TestBalancer balancer(unlimited_settings());
  balancer.at(0, members(4));
  std::map<std::string, int> used;
  for (int i = 0; i < 400; ++i) {
    balancer.now = i * 0.5;
    const std::string id = std::to_string(i);
    const auto sends = all<Send>(balancer.request(id));
    if (sends.empty()) continue;
    ++used[sends[0].server];
    balancer.end(id, Outcome::kDelivered, 0, sends[0].server == "s1" ? 0.4 : 0.1);
  }
  EXPECT_GT(used["s0"], 80);
  EXPECT_LT(used["s1"], 50);
  EXPECT_GT(used["s1"], 3) << "it must be tried now and then, or it never comes back";
}

// A silent server was judged only when its calls ended, for unsafe classes at the end of their time.
TEST(Health, ASilentServerIsSparedBeforeItsCallsEnd) {
  TestBalancer balancer(basic_settings(class_of(Effect::kUnsafe)));
  balancer.at(0, members(4));
  int silent = 0;
  for (int i = 0; i < 160; ++i) {
    balancer.now = i * 0.25;
    const std::string id = std::to_string(i);
    const auto sends = all<Send>(balancer.request(id));
    if (sends.empty()) continue;
    if (sends[0].server != "s1") {
      balancer.end(id, Outcome::kDelivered, 0, 0.1);
    } else if (i >= 80) {
      ++silent;
    } else {
      balancer.end(id, Outcome::kDelivered, 0, 0.1);
    }
  }
  EXPECT_LE(silent, 4);
}

// Where the cause is shared, judging each server alone would leave nobody to send to.
TEST(Health, WhenAllFailTheFleetIsNotEmptied) {
  TestBalancer balancer(unlimited_settings());
  balancer.at(0, members(4));
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    balancer.now = i * 0.02;
    const std::string id = std::to_string(i);
    auto sends = all<Send>(balancer.request(id));
    sent += static_cast<int>(sends.size());
    for (int attempt = 0; !sends.empty(); ++attempt)
      sends = all<Send>(balancer.end(id, Outcome::kError, attempt));
  }
  EXPECT_EQ(sent, 200);
}

TEST(Health, FurtherAttemptsHaveABudget) {
  TestBalancer balancer(basic_settings());
  balancer.at(0, members(4));
  int firsts = 0;
  int others = 0;
  for (int i = 0; i < 300; ++i) {
    balancer.now = i * 0.02;
    const std::string id = std::to_string(i);
    auto sends = all<Send>(balancer.request(id));
    firsts += static_cast<int>(sends.size());
    for (int attempt = 0; !sends.empty(); ++attempt) {
      sends = all<Send>(balancer.end(id, Outcome::kError, attempt));
      others += static_cast<int>(sends.size());
    }
  }
  EXPECT_GT(others, 0);
  EXPECT_LT(others, firsts / 4 + 10);
}

TEST(Health, AFurtherAttemptGoesElsewhere) {
  TestBalancer balancer(basic_settings());
  balancer.at(0, members(3));
  const auto first = all<Send>(balancer.request("r"));
  const auto second = all<Send>(balancer.end("r", Outcome::kReset));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(first[0].server, second[0].server);
}

// Calls to a server that has stopped answering only wait, behind each other.
TEST(Room, CallsInFlightAreBoundByWhatAServerAnswers) {
  TestBalancer balancer(unlimited_settings());
  balancer.at(0, members(3));
  int sent = 0;
  int refused = 0;
  for (int i = 0; i < 300; ++i) {
    balancer.now = i * 0.01;
    const auto actions = balancer.request(std::to_string(i));
    sent += static_cast<int>(all<Send>(actions).size());
    refused += static_cast<int>(all<Refuse>(actions).size());
  }
  EXPECT_EQ(sent + refused, 300);
  EXPECT_GT(sent, 3);
  EXPECT_LT(sent, 40);
}

// What each of many balancers takes for a small start is a crowd when all start together.
TEST(Room, TheStartIsSharedOutOverTheCopies) {
  std::map<std::string, int> held;
  for (int index = 0; index < 8; ++index) {
    Settings s = unlimited_settings();
    s.copy_index = index;
    s.copy_count = 8;
    TestBalancer balancer(s, static_cast<std::uint64_t>(index) + 1);
    balancer.at(0, members(10));
    for (int i = 0; i < 100; ++i) {
      for (const Send& send : all<Send>(balancer.request(std::to_string(i)))) ++held[send.server];
    }
  }
  EXPECT_EQ(held.size(), 10U);
  for (const auto& [address, calls] : held) EXPECT_LE(calls, 16) << address;
}

// A refusal past the first tier throws away the work that was done above it.
TEST(Room, PastTheFirstTierNothingIsRefusedForIt) {
  Settings s = unlimited_settings();
  s.tier = 1;
  TestBalancer balancer(s);
  balancer.at(0, members(3));
  for (int i = 0; i < 300; ++i) EXPECT_EQ(all<Send>(balancer.request(std::to_string(i))).size(), 1U);
}

// One of many balancers: a few calls a second at random times, one or two in flight, answered late or never.
struct SparseRun {
  int sent = 0;
  int refused = 0;
};

SparseRun run_sparse(double answer_time, double seconds) {
  Settings s = basic_settings();
  s.copy_count = 400;
  s.tenants = {{1000.0}};
  TestBalancer balancer(s);
  balancer.at(0, members(60));
  SparseRun run;
  std::multimap<double, std::string> due;
  std::uint64_t draw = 7;
  double now = 0;
  for (int i = 0; now < seconds; ++i) {
    draw = draw * 6364136223846793005ULL + 1442695040888963407ULL;
    now += -std::log((static_cast<double>(draw >> 11) + 1) * 0x1.0p-53) / 2.5;
    while (!due.empty() && due.begin()->first <= now) {
      balancer.now = due.begin()->first;
      balancer.end(due.begin()->second, Outcome::kDelivered, 0, answer_time);
      due.erase(due.begin());
    }
    balancer.now = now;
    const std::string id = std::to_string(i);
    const auto actions = balancer.request(id);
    run.refused += static_cast<int>(all<Refuse>(actions).size());
    for (const Send& send : all<Send>(actions)) {
      ++run.sent;
      if (answer_time < send.timeout) due.emplace(now + answer_time, id);
    }
  }
  return run;
}

// A sparse balancer took two calls in flight at once for a queue, and refused a tenth on a calm day.
TEST(Room, ASparseCopyDoesNotRefuseForChance) {
  const SparseRun calm = run_sparse(0.3, 60);
  EXPECT_GT(calm.sent, 120);
  EXPECT_LE(calm.refused, calm.sent / 50);
}

// With limits of a call or so, no sparse balancer ever held back, and a backlog never drained.
TEST(Room, ASparseCopyHoldsBackWhenAnswersTakeTooLong) {
  const SparseRun jammed = run_sparse(5, 60);
  EXPECT_GT(jammed.refused, 2 * jammed.sent);
}

TEST(Timeouts, FollowTheObservedLatency) {
  TestBalancer balancer(basic_settings());
  balancer.at(0, members(4));
  const double before = all<Send>(balancer.request("first"))[0].timeout;
  for (int i = 0; i < 100; ++i) {
    balancer.now = i * 0.1;
    balancer.request(std::to_string(i));
    balancer.end(std::to_string(i), Outcome::kDelivered, 0, 0.05);
  }
  const double after = all<Send>(balancer.request("last"))[0].timeout;
  EXPECT_LT(after, before / 2);
  EXPECT_GT(after, 0.05);
}

}  // namespace
}  // namespace quinceusher
