// The warm-up ramp of restarted servers in the emulator: the sum of what all balancers send to a server is
// checked by the times at which attempts were sent.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "emulator/fleet.h"

namespace nettlestand::fleet {
namespace {

// The largest number of calls above the budget in any window, for a server that started at `started_at`;
// below 0 if the budget was never exceeded. The budget is the server's current capacity times the multiple,
// plus an allowance for randomness.
double worst_excess(const Spec& spec, const std::vector<double>& sent_at, double started_at) {
  double worst = -1e9;
  std::size_t from = 0;
  for (std::size_t i = 0; i < sent_at.size(); ++i) {
    while (sent_at[from] <= sent_at[i] - spec.tip_after) ++from;
    const double age = sent_at[i] - started_at;
    if (age < 0 || age > spec.ramp_time) continue;
    const double warm = spec.start_capacity + (1 - spec.start_capacity) * age / spec.ramp_time;
    const double calls = static_cast<double>(i - from + 1);
    const double budget = spec.tip_multiple * spec.tip_after * warm * spec.cores / spec.work;
    worst = std::max(worst, calls - (budget + 2 * std::sqrt(budget) + 2));
  }
  return worst;
}

constexpr double kRestartSeconds = 10;  // when servers restart cold and the burst begins

struct Scenario {
  const char* name;
  std::size_t copies, servers;
  double work;                     // s
  double start, multiple, window;  // of the ramp; start: share of the capacity at first; window: s
  double before, burst;            // load, relative to capacity
  std::size_t cold;                // servers that restart cold, all when the burst begins
  bool kills;                      // balancers are killed and restarted during the warm-up
};
void PrintTo(const Scenario& scenario, std::ostream* out) { *out << scenario.name; }

class Ramp : public ::testing::TestWithParam<Scenario> {};

Spec spec_of(const Scenario& scenario, std::uint64_t seed) {
  Spec spec;
  spec.seed = seed;
  spec.balancers = scenario.copies;
  spec.servers = scenario.servers;
  spec.cores = 2;
  spec.work = scenario.work;
  spec.aim = 10 * scenario.work;
  spec.give_up = 25 * scenario.work;
  spec.start_capacity = scenario.start;
  spec.tip_multiple = scenario.multiple;
  spec.tip_after = scenario.window;
  spec.ramp_time = 6;
  spec.uneven = 0.6;
  spec.seconds = 24;
  spec.keep_times = true;
  const double capacity = static_cast<double>(scenario.servers) * spec.cores / spec.work;
  spec.tenants = {{capacity, capacity * scenario.before}};
  spec.steps = {{kRestartSeconds, scenario.burst / scenario.before}, {kRestartSeconds + 4, 1}};
  ListChange away, back;
  away.at = kRestartSeconds - 4;
  away.count = scenario.cold;
  away.state = quinceusher::ServerState::kGone;
  back.at = kRestartSeconds;
  back.count = scenario.cold;
  back.restarted = true;
  spec.changes = {away, back};
  for (std::size_t copy = 0; scenario.kills && copy < scenario.copies; copy += 3) {
    const double at = kRestartSeconds + 0.2 + 0.1 * static_cast<double>(copy);
    spec.balancer_faults.push_back({BalancerFault::Kind::kKill, at, at + 0.3, copy});
  }
  return spec;
}

double worst_of(const Scenario& scenario, const Spec& spec, const Result& result) {
  double worst = -1e9;
  for (std::size_t i = 0; i < scenario.cold; ++i)
    worst = std::max(worst, worst_excess(spec, result.sent_at[i], kRestartSeconds));
  return worst;
}

TEST_P(Ramp, HoldsForTheSumOfAllCopies) {
  const Scenario& scenario = GetParam();
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    const Spec spec = spec_of(scenario, seed);
    const Result result = play(spec);
    EXPECT_LE(worst_of(scenario, spec, result), 0) << "seed " << seed;
    EXPECT_EQ(result.fallen_over, 0U) << "seed " << seed;
    std::uint64_t sent = 0;
    for (std::size_t second = 0; second < 6; ++second)
      sent += result.sent_by_second[0][static_cast<std::size_t>(kRestartSeconds) + second];
    EXPECT_GT(sent, 0U) << "it is used while it warms up";
  }
}

// Shows that the scenarios are hard enough: a policy that treats a restarted server as an idle one overloads
// it.
TEST_P(Ramp, IsBrokenByWhoGoesByCallsInFlightAlone) {
  const Scenario& scenario = GetParam();
  Spec spec = spec_of(scenario, 1);
  spec.policy = Policy::kLeastBusy;
  spec.balancer_faults.clear();  // this policy has no separate balancers
  EXPECT_GT(worst_of(scenario, spec, play(spec)), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Scenes, Ramp,
    ::testing::Values(Scenario{"thirty", 30, 12, 0.2, 0.1, 2, 1, 0.3, 1.6, 3, false},
                      Scenario{"thirty_killed", 30, 12, 0.2, 0.1, 2, 1, 0.3, 1.6, 3, true},
                      Scenario{"twenty_small", 20, 8, 0.3, 0.1, 2, 2, 0.2, 1.6, 2, false},
                      Scenario{"thirty_quick", 30, 10, 0.1, 0.1, 2, 1, 0.3, 1.6, 3, true},
                      Scenario{"thirty_half_cold", 30, 12, 0.2, 0.1, 2, 1, 0.3, 1.6, 7, true},
                      Scenario{"hundred_thin", 100, 12, 0.2, 0.1, 2, 1, 0.3, 1.6, 3, true}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace nettlestand::fleet
