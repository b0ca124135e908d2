// Runs simulated scenarios and prints the violations that they find:
// nettlestand-simulate [--from SEED] [--worlds N] [--jobs N] [--planted NUMBER] [--coverage] [--until-broken]
// [--log SEED]
#include <popt.h>

#include <atomic>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "node/log.h"
#include "simulate/scenario.h"

using namespace nettlestand::tier;
using namespace nettlestand::tier::simulate;

namespace {

struct Options {
  long from = 1, worlds = 100, jobs = 1, injected_fault = 0, logged_seed = 0;
  int coverage = 0, stop_at_first_violation = 0;
};

struct Totals {
  std::size_t broken_scenarios = 0, acknowledged_changes = 0, results_read = 0;
  Millis longest_change_ms = 0;
  std::map<std::string, std::size_t> fault_counts, overlapping_faults, violation_kinds;
  std::uint64_t first_broken_seed = 0;
};

void add_result(Totals& totals, std::uint64_t seed, const ScenarioResult& outcome) {
  totals.acknowledged_changes += outcome.acknowledged_changes;
  totals.results_read += outcome.results_read;
  totals.longest_change_ms = std::max(totals.longest_change_ms, outcome.longest_change_ms);
  for (std::size_t i = 0; i < outcome.fault_counts.size(); ++i) {
    totals.fault_counts[fault_name(static_cast<Fault>(i))] += outcome.fault_counts[i];
  }
  for (const auto& [a, b] : outcome.overlapping_faults) {
    const auto [low, high] = std::minmax(a, b);
    ++totals.overlapping_faults[std::string(fault_name(low)) + "+" + fault_name(high)];
  }
  if (outcome.violation.empty()) return;
  ++totals.broken_scenarios;
  ++totals.violation_kinds[outcome.violation.substr(0, outcome.violation.find(':'))];
  if (totals.first_broken_seed == 0 || seed < totals.first_broken_seed) totals.first_broken_seed = seed;
  std::cout << "seed " << seed << ": " << outcome.violation << "\n";
}

void print_log(const ScenarioResult& outcome) {
  for (const std::string& line : outcome.fault_log) std::cout << line << "\n";
}

Totals run_scenarios(const Options& options) {
  Totals totals;
  std::mutex mutex;
  std::atomic<std::uint64_t> next(static_cast<std::uint64_t>(options.from));
  const auto end = static_cast<std::uint64_t>(options.from + options.worlds);
  std::vector<std::thread> threads;
  for (long i = 0; i < options.jobs; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t seed = next++; seed < end; seed = next++) {
        const ScenarioResult outcome = run_scenario(seed, static_cast<InjectedFault>(options.injected_fault));
        const std::lock_guard lock(mutex);
        add_result(totals, seed, outcome);
        if (options.logged_seed != 0) print_log(outcome);
        if (options.stop_at_first_violation != 0 && totals.broken_scenarios > 0) return;
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  return totals;
}

void print_coverage(const Totals& totals) {
  for (const auto& [name, count] : totals.fault_counts) std::cout << "  " << name << " " << count << "\n";
  std::size_t rarest = SIZE_MAX;
  for (const auto& [pair, count] : totals.overlapping_faults) rarest = std::min(rarest, count);
  const auto fault_kinds = static_cast<std::size_t>(Fault::kCount);
  std::cout << "pairs of faults that overlapped: " << totals.overlapping_faults.size() << " of "
            << fault_kinds * (fault_kinds + 1) / 2 << ", the least frequent " << rarest << " times\n";
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  const poptOption table[] = {
      {"from", 0, POPT_ARG_LONG, &options.from, 0, "first seed", "SEED"},
      {"worlds", 0, POPT_ARG_LONG, &options.worlds, 0, "number of scenarios", "N"},
      {"jobs", 0, POPT_ARG_LONG, &options.jobs, 0, "number of threads; each scenario runs on one", "N"},
      {"planted", 0, POPT_ARG_LONG, &options.injected_fault, 0, "injected fault, a value of InjectedFault",
       "NUMBER"},
      {"coverage", 0, POPT_ARG_NONE, &options.coverage, 0, "print how often each fault was injected",
       nullptr},
      {"until-broken", 0, POPT_ARG_NONE, &options.stop_at_first_violation, 0, "stop at the first violation",
       nullptr},
      {"log", 0, POPT_ARG_LONG, &options.logged_seed, 0, "run only this seed and print the log of its nodes",
       "SEED"},
      POPT_AUTOHELP{nullptr, 0, 0, nullptr, 0, nullptr, nullptr}};
  poptContext context =
      poptGetContext("nettlestand-simulate", argc, const_cast<const char**>(argv), table, 0);
  const bool valid_arguments = poptGetNextOpt(context) == -1;
  poptFreeContext(context);
  if (!valid_arguments) return 2;
  start_logging(options.logged_seed != 0 ? "info" : "error");
  if (options.logged_seed != 0) {
    options.from = options.logged_seed;
    options.worlds = 1;
  }
  const auto started_at = std::chrono::steady_clock::now();
  const Totals totals = run_scenarios(options);
  const std::chrono::duration<double> duration = std::chrono::steady_clock::now() - started_at;
  std::cout << options.worlds << " scenarios, " << totals.broken_scenarios << " with violations, "
            << totals.acknowledged_changes << " changes acknowledged, " << totals.results_read
            << " results read, longest wait for a change " << totals.longest_change_ms << " ms, "
            << static_cast<double>(options.worlds) / duration.count() << " scenarios/s\n";
  for (const auto& [kind, count] : totals.violation_kinds)
    std::cout << "  " << count << " x " << kind << "\n";
  if (options.coverage != 0) print_coverage(totals);
  return totals.broken_scenarios == 0 ? 0 : 1;
}
