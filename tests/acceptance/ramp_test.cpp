// Cold servers before many copies, by the sum of what all send: the module's ramp in the emulator, judged
// from outside by the times at which attempts were sent.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "emulator/fleet.h"

namespace nettlestand::fleet {
namespace {

// By how many calls a server that started at `born` was sent too much in any window, at its worst; below 0:
// never. What it may get is its present capacity times the multiple, and what chance adds to that.
double beyond_budget(const Spec& spec, const std::vector<double>& sent_at, double born) {
  double worst = -1e9;
  std::size_t from = 0;
  for (std::size_t i = 0; i < sent_at.size(); ++i) {
    while (sent_at[from] <= sent_at[i] - spec.tip_after) ++from;
    const double age = sent_at[i] - born;
    if (age < 0 || age > spec.ramp_time) continue;
    const double warm = spec.start_capacity + (1 - spec.start_capacity) * age / spec.ramp_time;
    const double calls = static_cast<double>(i - from + 1);
    const double budget = spec.tip_multiple * spec.tip_after * warm * spec.cores / spec.work;
    worst = std::max(worst, calls - (budget + 2 * std::sqrt(budget) + 2));
  }
  return worst;
}

constexpr double kBack = 10;  // s, when servers come back cold and the burst begins

struct Scene {
  const char* name;
  std::size_t copies, servers;
  double work;                     // s
  double start, multiple, window;  // of the rule: capacity at the start, as a part
  double before, burst;            // load, of capacity
  std::size_t cold;                // servers that come back cold, all at once, as the burst begins
  bool kills;                      // copies die and start anew while they warm up
};
void PrintTo(const Scene& scene, std::ostream* out) { *out << scene.name; }

class Ramp : public ::testing::TestWithParam<Scene> {};

Spec spec_of(const Scene& scene, std::uint64_t seed) {
  Spec spec;
  spec.seed = seed;
  spec.copies = scene.copies;
  spec.servers = scene.servers;
  spec.cores = 2;
  spec.work = scene.work;
  spec.aim = 10 * scene.work;
  spec.give_up = 25 * scene.work;
  spec.start_capacity = scene.start;
  spec.tip_multiple = scene.multiple;
  spec.tip_after = scene.window;
  spec.ramp_time = 6;
  spec.uneven = 0.6;
  spec.seconds = 24;
  spec.keep_times = true;
  const double capacity = static_cast<double>(scene.servers) * spec.cores / spec.work;
  spec.tenants = {{capacity, capacity * scene.before}};
  spec.steps = {{kBack, scene.burst / scene.before}, {kBack + 4, 1}};
  ListChange away, back;
  away.at = kBack - 4;
  away.count = scene.cold;
  away.state = quinceusher::ServerState::kGone;
  back.at = kBack;
  back.count = scene.cold;
  back.restarted = true;
  spec.changes = {away, back};
  for (std::size_t copy = 0; scene.kills && copy < scene.copies; copy += 3) {
    const double at = kBack + 0.2 + 0.1 * static_cast<double>(copy);
    spec.copy_faults.push_back({CopyFault::Kind::kKill, at, at + 0.3, copy});
  }
  return spec;
}

double worst_of(const Scene& scene, const Spec& spec, const Result& result) {
  double worst = -1e9;
  for (std::size_t i = 0; i < scene.cold; ++i)
    worst = std::max(worst, beyond_budget(spec, result.sent_at[i], kBack));
  return worst;
}

TEST_P(Ramp, HoldsForTheSumOfAllCopies) {
  const Scene& scene = GetParam();
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    const Spec spec = spec_of(scene, seed);
    const Result result = play(spec);
    EXPECT_LE(worst_of(scene, spec, result), 0) << "seed " << seed;
    EXPECT_EQ(result.fallen_over, 0U) << "seed " << seed;
    std::uint64_t sent = 0;
    for (std::size_t second = 0; second < 6; ++second)
      sent += result.sent_by_second[0][static_cast<std::size_t>(kBack) + second];
    EXPECT_GT(sent, 0U) << "it is used while it warms up";
  }
}

// The scenes are hard enough: whoever takes a server that has just come back for an idle one pushes it over.
TEST_P(Ramp, IsBrokenByWhoGoesByCallsInFlightAlone) {
  const Scene& scene = GetParam();
  Spec spec = spec_of(scene, 1);
  spec.policy = Policy::kLeastBusy;
  spec.copy_faults.clear();  // it has no copies
  EXPECT_GT(worst_of(scene, spec, play(spec)), 0);
}

INSTANTIATE_TEST_SUITE_P(Scenes, Ramp,
                         ::testing::Values(Scene{"thirty", 30, 12, 0.2, 0.1, 2, 1, 0.3, 1.6, 3, false},
                                           Scene{"thirty_killed", 30, 12, 0.2, 0.1, 2, 1, 0.3, 1.6, 3, true},
                                           Scene{"twenty_small", 20, 8, 0.3, 0.1, 2, 2, 0.2, 1.6, 2, false},
                                           Scene{"thirty_quick", 30, 10, 0.1, 0.1, 2, 1, 0.3, 1.6, 3, true},
                                           Scene{"thirty_half_cold", 30, 12, 0.2, 0.1, 2, 1, 0.3, 1.6, 7,
                                                 true},
                                           Scene{"hundred_thin", 100, 12, 0.2, 0.1, 2, 1, 0.3, 1.6, 3, true}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace nettlestand::fleet
