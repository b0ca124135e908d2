// Complete systems in simulated time: random scenarios, in which no guarantee may be violated, and injected
// faults that have to be found.
#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

#include "node/log.h"
#include "simulate/campaign.h"

using namespace nettlestand::tier;
using namespace nettlestand::tier::simulate;

namespace {

struct Totals {
  std::size_t orders = 0, results = 0, broken = 0;
  std::string first_violation;
};

// Runs scenarios on all cores. Each one belongs to a single thread, so the outcomes do not depend on the
// order.
Totals run_scenarios(std::uint64_t from, std::uint64_t count, Planted planted, bool until_broken) {
  Totals totals;
  std::mutex mutex;
  std::atomic<std::uint64_t> next(from);
  const auto worker = [&] {
    for (std::uint64_t seed = next++; seed < from + count; seed = next++) {
      const Outcome outcome = play(seed, planted);
      const std::lock_guard lock(mutex);
      totals.orders += outcome.orders;
      totals.results += outcome.results;
      if (outcome.broken.empty()) continue;
      if (totals.broken++ == 0)
        totals.first_violation = "seed " + std::to_string(seed) + ": " + outcome.broken;
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
  const Totals totals = run_scenarios(1, 4000, Planted::kNone, true);
  INFO(totals.first_violation);
  CHECK(totals.broken > 0);
}
#else
TEST_CASE("whole tiers keep their promises over many worlds") {
  start_logging("error");
  const Totals totals = run_scenarios(1, SIMULATED_WORLDS, Planted::kNone, false);
  INFO(totals.first_violation);
  CHECK(totals.broken == 0);
  // The scenarios did a minimum of work.
  CHECK(totals.orders > 30 * SIMULATED_WORLDS);
  CHECK(totals.results > 100 * SIMULATED_WORLDS);
}

TEST_CASE("a world plays the same way again") {
  const Outcome first = play(77), second = play(77);
  CHECK(first.orders == second.orders);
  CHECK(first.results == second.results);
  CHECK(first.log == second.log);
}

#ifndef SIMULATED_QUICKLY
TEST_CASE("faults planted in disk, clock and identity are found") {
  const auto planted = GENERATE(Planted::kAcknowledgeBeforeSync, Planted::kIdentityAfterWipe,
                                Planted::kNoSyncAtStart, Planted::kStandingClock);
  INFO("injected fault " << static_cast<int>(planted));
  CHECK(run_scenarios(1, 2000, planted, true).broken > 0);
}
#endif
#endif
