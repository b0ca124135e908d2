// The decision module with simulated servers: a grid of sizes, load changes, faults and random scenarios. The
// simulation is deterministic, so its figures do not depend on the machine.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "emulator/grid.h"
#include "fleet_minimums.h"

namespace nettlestand::fleet {
namespace {

using quinceusher::Effect;
using quinceusher::ServerState;

// Servers of two cores; `load` is a fraction of their capacity, from four tenants with equal allowances.
Spec fleet_of(std::size_t servers, double work, double aim, double load, std::size_t copies = 1) {
  Spec out;
  out.servers = servers;
  out.work = work;
  out.aim = aim;
  out.give_up = 2.5 * aim;
  out.balancers = copies;
  out.draw = WorkDraw::kUniform;
  const double capacity = static_cast<double>(servers) * 2 / work;
  for (int i = 0; i < 4; ++i) out.tenants.push_back({capacity / 4, capacity * load / 4});
  out.seconds = 15;
  return out;
}

// Plays a run and checks what must hold in each, whatever happens.
Result play_and_check_rules(const Spec& spec) {
  Result out = play(spec);
  EXPECT_EQ(out.unanswered, 0U);
  EXPECT_EQ(out.answered_twice, 0U);
  EXPECT_EQ(out.repeats_run, 0U);
  EXPECT_EQ(out.sent_after_drain, 0U);
  EXPECT_EQ(out.fallen_over, 0U);
  EXPECT_EQ(out.all.asked, out.all.served + out.all.refused + out.all.failed);
  return out;
}

double served(const Result& result, std::size_t from, std::size_t until) {
  Counts sum;
  for (std::size_t s = from; s < until; ++s) {
    sum.asked += result.seconds[s].asked;
    sum.served += result.seconds[s].served;
  }
  return sum.served_part();
}

// ---------------------------------------------------------------- the grid

std::vector<std::string> below(double load, const std::map<std::string, Minimums>& listed) {
  const std::vector<Cell> cells = grid(load, 3000, 30);
  std::vector<std::string> wrong(cells.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> workers;
  for (unsigned t = 0; t < std::max(2U, std::thread::hardware_concurrency()); ++t) {
    workers.emplace_back([&] {
      for (std::size_t i; (i = next++) < cells.size();) {
        Spec spec = spec_of(cells[i], 1);
        spec.draw = WorkDraw::kUniform;
        const Result result = play(spec);
        const Judgement j = judge(cells[i], result);
        const auto it = listed.find(cells[i].name());
        const Minimums minimums = it == listed.end() ? Minimums() : it->second;
        const bool good = load <= 1
                              ? j.served >= minimums.served
                              : j.of_capacity >= minimums.of_capacity && j.worst_tenant >= minimums.tenant;
        const bool rules = result.unanswered + result.answered_twice + result.repeats_run == 0;
        if (good && rules) continue;
        wrong[i] = cells[i].name() + (rules ? "" : ": a rule broken") + ": served " +
                   std::to_string(j.served) + ", of capacity " + std::to_string(j.of_capacity) +
                   ", worst tenant " + std::to_string(j.worst_tenant);
      }
    });
  }
  for (std::thread& worker : workers) worker.join();
  std::erase(wrong, std::string());
  return wrong;
}

std::string joined(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& line : lines) out += line + "\n";
  return out;
}

TEST(Grid, AtHalfOfCapacityAllButAFewAreServed) {
  const auto wrong = below(0.5, minimums_at_half_load());
  EXPECT_TRUE(wrong.empty()) << joined(wrong);
}

TEST(Grid, PastCapacityTheCapacityIsUsedAndSharesAreKept) {
  const auto wrong = below(1.5, minimums_past_capacity());
  EXPECT_TRUE(wrong.empty()) << joined(wrong);
}

// ---------------------------------------------------------------- load

class Jump : public ::testing::TestWithParam<std::tuple<double, double>> {};

TEST_P(Jump, OfTenTimesAndBackIsServed) {
  const auto [aim, copies] = GetParam();
  Spec spec = fleet_of(10, 0.01, aim, 0.5, static_cast<std::size_t>(copies));
  spec.steps = {{0, 0.1}, {5, 1}, {10, 0.1}};
  const Result r = play_and_check_rules(spec);
  EXPECT_GE(served(r, 1, 15), 0.995);
  EXPECT_GE(served(r, 5, 6), 0.98) << "the second of the jump itself";
}

INSTANTIATE_TEST_SUITE_P(Load, Jump,
                         ::testing::Combine(::testing::Values(0.1, 2.0), ::testing::Values(1, 10)));

// What was learned in a quiet minute must not limit a busy one.
TEST(Load, FromOneCallInFlightToAThousand) {
  for (const double aim : {0.1, 2.0}) {
    Spec spec = fleet_of(100, 0.01, aim, 0.5);
    spec.steps = {{0, 0.0001}, {5, 1}, {10, 0.1}};
    const Result r = play_and_check_rules(spec);
    EXPECT_GE(served(r, 5, 15), 0.995) << aim;
  }
}

// 20,000 calls a second, and servers that can suddenly do 66: admitted calls feed a queue that nothing stops.
TEST(Load, AnswersOfATenthOfAMillisecondTurnIntoThreeHundred) {
  for (const std::size_t copies : {1U, 4U}) {
    Spec spec = fleet_of(10, 0.0003, 2, 0.3, copies);
    spec.seconds = 20;
    spec.faults = {{5, 10, 0, 10, FaultKind::kSlow, 1000}};
    const Result r = play_and_check_rules(spec);
    EXPECT_GE(served(r, 1, 5), 0.995);
    EXPECT_GE(served(r, 11, 20), 0.995) << "a second after the end all is as before";
  }
}

TEST(Load, OneServerTenTimesQuickerThanItsPeers) {
  Spec spec = fleet_of(10, 0.01, 0.2, 0.8);
  spec.speeds = {10};
  const Result r = play_and_check_rules(spec);
  EXPECT_GE(served(r, 1, 15), 0.995);
  const auto others = std::minmax_element(r.done.begin() + 1, r.done.end());
  EXPECT_GT(*others.first * 3, *others.second);
  EXPECT_GT(r.done[0], *others.second);
}

TEST(Load, RealOverloadIsRefusedEarlyAndFairly) {
  for (const double load : {1.5, 3.0}) {
    Spec spec = fleet_of(10, 0.01, 0.2, load);
    for (std::size_t i = 1; i < 4; ++i) spec.tenants[i].offered = spec.tenants[i].allowance * 0.9;
    spec.tenants[0].offered = spec.tenants[0].allowance * (load * 4 - 2.7);
    const Result r = play_and_check_rules(spec);
    EXPECT_GE(r.all.in_aim, 0.9 * 14 * 2000) << load;
    EXPECT_LE(r.all.failed, r.all.asked / 1000) << "what can't be served is refused, not failed";
    for (std::size_t i = 1; i < 4; ++i) {
      EXPECT_GE(static_cast<double>(r.tenants[i].in_aim), 0.9 * static_cast<double>(r.tenants[i].asked));
    }
  }
}

// ---------------------------------------------------------------- balancers

class Together : public ::testing::TestWithParam<double> {};

TEST_P(Together, AHundredCopiesStartBeforeTenServersThatAreWarm) {
  const Result r = play_and_check_rules(fleet_of(10, 0.05, 2, GetParam(), 100));
  EXPECT_GE(served(r, 0, 1), 0.9);
  EXPECT_GE(served(r, 1, 15), 0.99);
}

// If each of a hundred balancers takes its first call for no load, they overload a cold server.
TEST_P(Together, AHundredCopiesStartBeforeTenServersThatAreCold) {
  Spec spec = fleet_of(10, 0.05, 2, GetParam(), 100);
  spec.cold = true;
  const Result r = play_and_check_rules(spec);
  EXPECT_GE(served(r, 0, 9), 0.65);
  EXPECT_GE(served(r, 9, 15), 0.995);
}

INSTANTIATE_TEST_SUITE_P(Copies, Together, ::testing::Values(0.1, 0.25, 0.5));

TEST(Copies, AFewBeforeServersThatAreAllColdDoNotPushThemOver) {
  for (const double load : {0.5, 1.0, 1.5}) {
    Spec spec = fleet_of(10, 0.01, 2, load, 2);
    spec.cold = true;
    play_and_check_rules(spec);
  }
}

TEST(Copies, ARestartedServerIsRampedUpByAllTogether) {
  for (const std::size_t copies : {1U, 10U, 100U}) {
    Spec spec = fleet_of(10, 0.01, 2, 0.7, copies);
    spec.seconds = 25;
    spec.changes = {{5, 3, 1, ServerState::kDraining, false}, {7, 3, 1, ServerState::kReady, true}};
    const Result r = play_and_check_rules(spec);
    EXPECT_GE(served(r, 1, 25), 0.995) << copies;
    EXPECT_EQ(r.sent_by_second[3][6], 0U);
    const double usual = static_cast<double>(r.sent_by_second[4][4]);
    EXPECT_GT(r.sent_by_second[3][20], usual * 0.6) << copies << ": it has its share again";
  }
}

// ---------------------------------------------------------------- faults

struct Faulty {
  std::size_t servers;  // of four
  FaultKind kind;
  Effect effect;
};

class FaultOfFiveSeconds : public ::testing::TestWithParam<std::tuple<int, FaultKind, Effect>> {};

TEST_P(FaultOfFiveSeconds, IsContainedAndOver) {
  const auto [count, kind, effect] = GetParam();
  Spec spec = fleet_of(4, 0.01, 2, 0.15);
  spec.effect = effect;
  spec.seconds = 25;
  spec.faults = {{5, 10, 0, static_cast<std::size_t>(count), kind}};
  const Result r = play_and_check_rules(spec);
  if (count < 4) {
    // Some calls detect the fault; those that may not be repeated are lost.
    EXPECT_GE(served(r, 5, 7), 0.8);
    EXPECT_GE(served(r, 7, 10), 0.97);
  }
  EXPECT_GE(served(r, 13, 25), 0.99) << "three seconds after the end all is as before";
  if (kind == FaultKind::kRefuse || kind == FaultKind::kHangConnect || effect != Effect::kUnsafe) {
    const double usual = static_cast<double>(r.sent_by_second[3][4]);
    const double back = static_cast<double>(r.sent_by_second[0][15] + r.sent_by_second[0][16]) / 2;
    EXPECT_GT(back, usual * 0.4) << "it has its share again within 5 s";
  }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, FaultOfFiveSeconds,
    ::testing::Combine(::testing::Values(1, 3, 4),
                       ::testing::Values(FaultKind::kRefuse, FaultKind::kHangConnect, FaultKind::kSilent,
                                         FaultKind::kReset, FaultKind::kError),
                       ::testing::Values(Effect::kSafe, Effect::kKeyed, Effect::kUnsafe)));

TEST(Faults, AServerThatRefusesEveryThirdConnectCostsNothing) {
  Spec spec = fleet_of(4, 0.01, 2, 0.3);
  spec.faults = {{5, 10, 0, 4, FaultKind::kRefuse}};
  spec.faults[0].every = 3;
  EXPECT_GE(served(play_and_check_rules(spec), 1, 15), 0.995);
}

TEST(Faults, AServerThatRefusesOneCopyAloneServesTheOthers) {
  Spec spec = fleet_of(4, 0.01, 2, 0.3, 4);
  spec.faults = {{5, 10, 0, 1, FaultKind::kRefuse}};
  spec.faults[0].balancer = 0;
  const Result r = play_and_check_rules(spec);
  EXPECT_GE(served(r, 1, 15), 0.995);
  EXPECT_GT(r.sent_by_second[0][8] * 2, r.sent_by_second[1][8]) << "three of four balancers still use it";
}

TEST(Faults, NineHundredAndNinetyOfAThousandServersAreGone) {
  for (const FaultKind kind : {FaultKind::kRefuse, FaultKind::kHangConnect}) {
    Spec spec = fleet_of(1000, 0.01, 2, 0.005);
    spec.faults = {{0, 100, 10, 990, kind}};
    EXPECT_GE(served(play_and_check_rules(spec), 1, 15), 0.99);
    spec.faults[0].from = 5;
    EXPECT_GE(served(play_and_check_rules(spec), 8, 15), 0.99);
  }
}

TEST(Faults, InTheMiddleOfRealOverload) {
  for (const double load : {1.5, 3.0}) {
    for (const FaultKind kind : {FaultKind::kRefuse, FaultKind::kReset, FaultKind::kSilent}) {
      Spec spec = fleet_of(4, 0.01, 0.2, load);
      spec.effect = Effect::kKeyed;
      spec.seconds = 20;
      spec.faults = {{5, 10, 0, 1, kind}};
      const Result r = play_and_check_rules(spec);
      double in_aim = 0;
      for (std::size_t s = 6; s < 10; ++s) in_aim += static_cast<double>(r.seconds[s].in_aim);
      EXPECT_GE(in_aim / 4, 0.8 * 600) << "three servers can do 600 a second";
      in_aim = 0;
      for (std::size_t s = 14; s < 20; ++s) in_aim += static_cast<double>(r.seconds[s].in_aim);
      EXPECT_GE(in_aim / 6, 0.85 * 800);
    }
  }
}

// ---------------------------------------------------------------- whatever happens

struct RandomScenario {
  Spec spec;
  double recovered_at = 0;  // s; from then on nothing has been wrong for 10 s
};

// Random servers with random faults, drains and restarts. `load` is of capacity, at most 4,000 calls a
// second.
RandomScenario random_scenario(std::uint64_t seed, double load, double cold) {
  std::mt19937_64 random(seed);
  const auto unit = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
  const auto below = [&](std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); };
  const auto spread = [&](double from, double to) { return from * std::pow(to / from, unit()); };
  RandomScenario out;
  Spec& s = out.spec;
  s.seed = seed;
  s.servers = 1 + below(60);
  s.balancers = 1 + below(30);
  s.cores = std::vector{1, 2, 4, 16}[below(4)];
  s.work = spread(0.0003, 0.5);
  s.aim = s.work * spread(5, 200);
  s.give_up = s.aim * (1.5 + 2 * unit());
  s.effect = std::vector{Effect::kSafe, Effect::kKeyed, Effect::kUnsafe}[below(3)];
  s.draw = unit() < 0.5 ? WorkDraw::kUniform : WorkDraw::kExponential;
  s.cold = unit() < cold;
  const double capacity = static_cast<double>(s.servers) * s.cores / s.work;
  for (int i = 0; i < 4; ++i) s.tenants.push_back({capacity / 4, std::min(capacity * load, 4000.0) / 4});
  double last = s.cold ? s.ramp_time : 0;
  for (std::size_t i = 1 + below(3); i > 0; --i) {
    Fault f;
    f.from = 1 + 8 * unit();
    f.until = f.from + spread(0.3, 12);
    f.count = unit() < 0.4 ? s.servers : 1 + below(s.servers);
    f.first = f.count == s.servers ? 0 : below(s.servers);
    f.kind = static_cast<FaultKind>(below(6));
    f.factor = spread(2, 100);
    f.every = unit() < 0.3 ? 2 + below(3) : 1;
    f.balancer = unit() < 0.3 ? static_cast<int>(below(s.balancers)) : -1;
    // Calls that a slow server has begun still take their time.
    const double goes_on = f.kind == FaultKind::kSlow ? 4 * f.factor * s.work : 0;
    last = std::max(last, f.until + goes_on);
    s.faults.push_back(f);
  }
  for (std::size_t i = below(3); i > 0; --i) {
    ListChange away;
    away.at = 1 + 8 * unit();
    away.first = below(s.servers);
    away.count = unit() < 0.15 ? s.servers : 1 + below(1 + s.servers / 4);
    away.state = unit() < 0.5 ? ServerState::kDraining : ServerState::kGone;
    ListChange back = away;
    back.at += 0.05 + 3 * unit();
    back.state = ServerState::kReady;
    back.restarted = unit() < 0.7;
    last = std::max(last, back.at + (back.restarted ? s.ramp_time : 0));
    s.changes.push_back(away);
    s.changes.push_back(back);
  }
  out.recovered_at = last + 10;
  s.seconds = out.recovered_at + 5;
  return out;
}

std::string describe(const Spec& s) {
  std::string out = std::to_string(s.servers) + " servers, " + std::to_string(s.balancers) +
                    " copies, work " + std::to_string(s.work) + ", aim " + std::to_string(s.aim) +
                    ", effect " + std::to_string(static_cast<int>(s.effect));
  for (const Fault& f : s.faults) {
    out += ", fault " + std::to_string(static_cast<int>(f.kind)) + " of " + std::to_string(f.count) +
           " from " + std::to_string(f.from) + " until " + std::to_string(f.until);
  }
  return out;
}

// Plays scenarios on all cores; `wrong` describes what is wrong with one, or returns nothing.
template <class Wrong>
std::string check_scenarios(std::uint64_t first, std::uint64_t count, double load, double cold,
                            Wrong&& wrong) {
  std::vector<std::string> out(count);
  std::atomic<std::uint64_t> next{0};
  std::vector<std::thread> workers;
  for (unsigned t = 0; t < std::max(2U, std::thread::hardware_concurrency()); ++t) {
    workers.emplace_back([&] {
      for (std::uint64_t i; (i = next++) < count;) {
        const RandomScenario scenario = random_scenario(first + i, load, cold);
        const Result r = play(scenario.spec);
        std::string text = wrong(scenario, r);
        if (r.unanswered + r.answered_twice + r.repeats_run + r.sent_after_drain + r.fallen_over > 0) {
          text += " a rule broken: unanswered " + std::to_string(r.unanswered) + " twice " +
                  std::to_string(r.answered_twice) + " run twice " + std::to_string(r.repeats_run) +
                  " after a drain " + std::to_string(r.sent_after_drain) + " pushed over " +
                  std::to_string(r.fallen_over);
        }
        if (!text.empty())
          out[i] = "seed " + std::to_string(first + i) + text + "; " + describe(scenario.spec);
      }
    });
  }
  for (std::thread& worker : workers) worker.join();
  std::erase(out, std::string());
  return joined(out);
}

// What was learned in an outage must not hold a balancer back for good, or for much longer than it lasted.
TEST(Stories, TenSecondsAfterTheLastFaultAlmostAllIsServed) {
  EXPECT_EQ(check_scenarios(1, 300, 0.3, 0.2,
                            [](const RandomScenario& scenario, const Result& r) -> std::string {
                              const double part = served(r, static_cast<std::size_t>(scenario.recovered_at),
                                                         r.seconds.size());
                              return part < 0.9 ? " served " + std::to_string(part) : "";
                            }),
            "");
}

TEST(Stories, UnderAnyLoadTheRulesAreKept) {
  for (const double load : {0.5, 0.9, 1.2, 1.5}) {
    EXPECT_EQ(check_scenarios(1000, 100, load, 0.6,
                              [](const RandomScenario&, const Result&) { return std::string(); }),
              "")
        << load;
  }
}

// A third of a large tier fails and returns cold, before many balancers with small subsets. Each budgets for
// its members by the traffic that it sends to them. When it was by a proportional part of all servers, the
// few balancers of a server together gave it a twentieth of what it could do, and it stood idle until it was
// warm (zone+mass).
TEST(Returns, AThirdThatReturnsColdCarriesWhatItCan) {
  Spec spec;
  spec.servers = 220;
  spec.balancers = 50;
  spec.aim = 0.5;
  spec.give_up = 1;
  const double capacity = static_cast<double>(spec.servers) * spec.cores / spec.work;
  spec.tenants = {{capacity, 0.6 * capacity}};
  spec.seconds = 11;
  spec.changes = {{1.5, 0, 66, quinceusher::ServerState::kGone, false},
                  {4, 0, 66, quinceusher::ServerState::kReady, true}};
  const Result result = play(spec);
  double sent = 0, able = 0;
  for (std::size_t second = 5; second < 10; ++second) {
    for (std::size_t i = 0; i < 66; ++i) sent += result.sent_by_second[i].at(second);
    const double age = static_cast<double>(second) - 4 + 0.5;
    able += 66 * spec.cores / spec.work *
            (spec.start_capacity + (1 - spec.start_capacity) * age / spec.ramp_time);
  }
  EXPECT_GT(sent, 0.4 * able) << "of " << able << " that they could do they were sent " << sent;
  EXPECT_EQ(result.fallen_over, 0U);
  EXPECT_EQ(result.sent_after_drain, 0U);
  double in_aim = 0, asked = 0;
  for (std::size_t second = 5; second < 10; ++second) {
    in_aim += static_cast<double>(result.seconds[second].in_aim);
    asked += static_cast<double>(result.seconds[second].asked);
  }
  EXPECT_GT(in_aim, 0.97 * asked);
}

}  // namespace
}  // namespace nettlestand::fleet
