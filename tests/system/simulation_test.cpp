// Complete systems in simulated time: random scenarios, in which no guarantee may be violated, and injected
// faults that have to be found.
#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

#include "node/log.h"
#include "simulate/scenario.h"

using namespace nettlestand::tier;
using namespace nettlestand::tier::simulate;

namespace {

struct Totals {
  std::size_t orders = 0, results = 0, broken = 0;
  std::string first_violation;
};

// Runs scenarios on all cores. Each one belongs to a single thread, so the outcomes do not depend on the
// order.
Totals run_scenarios(std::uint64_t from, std::uint64_t count, InjectedFault injected_fault,
                     bool until_broken) {
  Totals totals;
  std::mutex mutex;
  std::atomic<std::uint64_t> next(from);
  const auto worker = [&] {
    for (std::uint64_t seed = next++; seed < from + count; seed = next++) {
      const ScenarioResult outcome = run_scenario(seed, injected_fault);
      const std::lock_guard lock(mutex);
      totals.orders += outcome.acknowledged_changes;
      totals.results += outcome.results_read;
      if (outcome.violation.empty()) continue;
      if (totals.broken++ == 0)
        totals.first_violation = "seed " + std::to_string(seed) + ": " + outcome.violation;
      if (until_broken) next = from + count;
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i)
    threads.emplace_back(worker);
  for (std::thread& thread : threads) thread.join();
  return totals;
}

}  // namespace

#ifdef PLANTED_VARIANT
// Built with a fault injected into one source file: see CMakeLists.txt.
TEST_CASE("the planted fault of this build is found") {
  start_logging("error");
  const Totals totals = run_scenarios(1, 4000, InjectedFault::kNone, true);
  INFO(totals.first_violation);
  CHECK(totals.broken > 0);
}
#else
TEST_CASE("whole tiers keep their promises over many worlds") {
  start_logging("error");
  const Totals totals = run_scenarios(1, SIMULATED_WORLDS, InjectedFault::kNone, false);
  INFO(totals.first_violation);
  CHECK(totals.broken == 0);
  // The scenarios did a minimum of work.
  CHECK(totals.orders > 30 * SIMULATED_WORLDS);
  CHECK(totals.results > 100 * SIMULATED_WORLDS);
}

TEST_CASE("a world plays the same way again") {
  const ScenarioResult first = run_scenario(77), second = run_scenario(77);
  CHECK(first.acknowledged_changes == second.acknowledged_changes);
  CHECK(first.results_read == second.results_read);
  CHECK(first.fault_log == second.fault_log);
}

#ifndef SIMULATED_QUICKLY
TEST_CASE("faults planted in disk, clock and identity are found") {
  const auto injected_fault =
      GENERATE(InjectedFault::kAcknowledgeBeforeSync, InjectedFault::kIdentitySurvivesWipe,
               InjectedFault::kNoSyncOnStart, InjectedFault::kClockStopsWhileFrozen);
  INFO("injected fault " << static_cast<int>(injected_fault));
  CHECK(run_scenarios(1, 2000, injected_fault, true).broken > 0);
}
#endif
#endif
