// Plays worlds from seeds and tells what was broken: nettlestand-simulate [--from SEED] [--worlds N] [--jobs
// N]
// [--planted NAME] [--coverage] [--log SEED].
#include <popt.h>

#include <atomic>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "node/log.h"
#include "simulate/campaign.h"

using namespace nettlestand::tier;
using namespace nettlestand::tier::simulate;

namespace {

struct Options {
  long from = 1, worlds = 100, jobs = 1, planted = 0, logged = 0;
  int coverage = 0, until_broken = 0;
};

struct Totals {
  std::size_t broken = 0, orders = 0, results = 0;
  Millis longest_order = 0;
  std::map<std::string, std::size_t> struck, overlaps, kinds;
  std::uint64_t first_broken = 0;
};

void add(Totals& totals, std::uint64_t seed, const Outcome& outcome) {
  totals.orders += outcome.orders;
  totals.results += outcome.results;
  totals.longest_order = std::max(totals.longest_order, outcome.longest_order);
  for (std::size_t i = 0; i < outcome.struck.size(); ++i) {
    totals.struck[name_of(static_cast<Fault>(i))] += outcome.struck[i];
  }
  for (const auto& [a, b] : outcome.overlaps) {
    const auto [low, high] = std::minmax(a, b);
    ++totals.overlaps[std::string(name_of(low)) + "+" + name_of(high)];
  }
  if (outcome.broken.empty()) return;
  ++totals.broken;
  ++totals.kinds[outcome.broken.substr(0, outcome.broken.find(':'))];
  if (totals.first_broken == 0 || seed < totals.first_broken) totals.first_broken = seed;
  std::cout << "seed " << seed << ": " << outcome.broken << "\n";
}

void print_log(const Outcome& outcome) {
  for (const std::string& line : outcome.log) std::cout << line << "\n";
}

Totals play_all(const Options& options) {
  Totals totals;
  std::mutex mutex;
  std::atomic<std::uint64_t> next(static_cast<std::uint64_t>(options.from));
  const auto end = static_cast<std::uint64_t>(options.from + options.worlds);
  std::vector<std::thread> threads;
  for (long i = 0; i < options.jobs; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t seed = next++; seed < end; seed = next++) {
        const Outcome outcome = play(seed, static_cast<Planted>(options.planted));
        const std::lock_guard lock(mutex);
        add(totals, seed, outcome);
        if (options.logged != 0) print_log(outcome);
        if (options.until_broken != 0 && totals.broken > 0) return;
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  return totals;
}

void print_coverage(const Totals& totals) {
  for (const auto& [name, count] : totals.struck) std::cout << "  " << name << " " << count << "\n";
  std::size_t least = SIZE_MAX;
  for (const auto& [pair, count] : totals.overlaps) least = std::min(least, count);
  const auto kinds = static_cast<std::size_t>(Fault::kCount);
  std::cout << "pairs that overlapped: " << totals.overlaps.size() << " of " << kinds * (kinds + 1) / 2
            << ", the rarest " << least << " times\n";
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  const poptOption table[] = {
      {"from", 0, POPT_ARG_LONG, &options.from, 0, "the first seed", "SEED"},
      {"worlds", 0, POPT_ARG_LONG, &options.worlds, 0, "how many", "N"},
      {"jobs", 0, POPT_ARG_LONG, &options.jobs, 0, "threads, each with worlds of its own", "N"},
      {"planted", 0, POPT_ARG_LONG, &options.planted, 0, "a planted fault", "NUMBER"},
      {"coverage", 0, POPT_ARG_NONE, &options.coverage, 0, "how often each fault struck", nullptr},
      {"until-broken", 0, POPT_ARG_NONE, &options.until_broken, 0, "stop at the first broken world", nullptr},
      {"log", 0, POPT_ARG_LONG, &options.logged, 0, "play this seed alone, with the log of its nodes",
       "SEED"},
      POPT_AUTOHELP{nullptr, 0, 0, nullptr, 0, nullptr, nullptr}};
  poptContext context =
      poptGetContext("nettlestand-simulate", argc, const_cast<const char**>(argv), table, 0);
  const bool understood = poptGetNextOpt(context) == -1;
  poptFreeContext(context);
  if (!understood) return 2;
  start_logging(options.logged != 0 ? "info" : "error");
  if (options.logged != 0) {
    options.from = options.logged;
    options.worlds = 1;
  }
  const auto began = std::chrono::steady_clock::now();
  const Totals totals = play_all(options);
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
  std::cout << options.worlds << " worlds, " << totals.broken << " broken, " << totals.orders
            << " orders acknowledged, " << totals.results << " results read, longest wait of an order "
            << totals.longest_order << " ms, " << static_cast<double>(options.worlds) / took.count()
            << " worlds a second\n";
  for (const auto& [kind, count] : totals.kinds) std::cout << "  " << count << " x " << kind << "\n";
  if (options.coverage != 0) print_coverage(totals);
  return totals.broken == 0 ? 0 : 1;
}
